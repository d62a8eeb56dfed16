package parser

import "encoding/json"

// scanner reads JSON that is known to be valid.
type scanner struct {
	body []byte
	at   int
}

// peek returns the next byte that is not white space, or 0 at the end.
func (s *scanner) peek() byte {
	for s.at < len(s.body) {
		switch c := s.body[s.at]; c {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return c
		}
	}
	return 0
}

// enter goes to the next member of an object or list, and past its end when there is none.
func (s *scanner) enter(end byte) bool {
	if s.peek() != end {
		s.at++
	}
	if s.peek() != end {
		return true
	}
	s.at++
	return false
}

// count returns the number of members of the list that comes next, without going past it.
func (s *scanner) count() int {
	ahead := *s
	n := 0
	for ahead.enter(']') {
		ahead.raw()
		n++
	}
	return n
}

func (s *scanner) colon() {
	s.peek()
	s.at++
}

// raw returns the next value and goes past it.
func (s *scanner) raw() []byte {
	first := s.peek()
	start := s.at
	switch first {
	case '"':
		s.skipString()
	case '{', '[':
		s.skipNested()
	default:
		s.skipWord()
	}
	return s.body[start:s.at]
}

func (s *scanner) skipString() {
	s.at++
	for s.body[s.at] != '"' {
		if s.body[s.at] == '\\' {
			s.at++
		}
		s.at++
	}
	s.at++
}

func (s *scanner) skipNested() {
	depth := 0
	for {
		switch s.body[s.at] {
		case '"':
			s.skipString()
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		s.at++
		if depth == 0 {
			return
		}
	}
}

func (s *scanner) skipWord() {
	for s.at < len(s.body) {
		switch s.body[s.at] {
		case ' ', '\t', '\r', '\n', ',', '}', ']':
			return
		}
		s.at++
	}
}

// unquote returns a string's text; without escapes it is a part of the body itself.
func unquote(raw []byte) []byte {
	for _, c := range raw {
		if c == '\\' {
			return unescape(raw)
		}
	}
	return raw[1 : len(raw)-1]
}

func unescape(raw []byte) []byte {
	var text string
	_ = json.Unmarshal(raw, &text)
	return []byte(text)
}
