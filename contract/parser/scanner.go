package parser

import "encoding/json"

// scanner splits JSON into values. The body must have valid syntax: the scanner does not check it again.
type scanner struct {
	body   []byte
	offset int
}

// peek returns the next byte that is not white space, or 0 at the end.
func (s *scanner) peek() byte {
	for s.offset < len(s.body) {
		switch c := s.body[s.offset]; c {
		case ' ', '\t', '\r', '\n':
			s.offset++
		default:
			return c
		}
	}
	return 0
}

// nextMember advances to the next member of an object or array and reports whether there is one. After the last member it
// advances past the closing bracket.
func (s *scanner) nextMember(end byte) bool {
	if s.peek() != end {
		s.offset++
	}
	if s.peek() != end {
		return true
	}
	s.offset++
	return false
}

// countMembers returns the length of the array at the current offset, without advancing.
func (s *scanner) countMembers() int {
	lookahead := *s
	n := 0
	for lookahead.nextMember(']') {
		lookahead.nextValue()
		n++
	}
	return n
}

func (s *scanner) skipColon() {
	s.peek()
	s.offset++
}

// nextValue returns the next value in its encoded form and advances past it.
func (s *scanner) nextValue() []byte {
	first := s.peek()
	start := s.offset
	switch first {
	case '"':
		s.skipString()
	case '{', '[':
		s.skipNested()
	default:
		s.skipLiteral()
	}
	return s.body[start:s.offset]
}

func (s *scanner) skipString() {
	s.offset++
	for s.body[s.offset] != '"' {
		if s.body[s.offset] == '\\' {
			s.offset++
		}
		s.offset++
	}
	s.offset++
}

func (s *scanner) skipNested() {
	depth := 0
	for {
		switch s.body[s.offset] {
		case '"':
			s.skipString()
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		s.offset++
		if depth == 0 {
			return
		}
	}
}

func (s *scanner) skipLiteral() {
	for s.offset < len(s.body) {
		switch s.body[s.offset] {
		case ' ', '\t', '\r', '\n', ',', '}', ']':
			return
		}
		s.offset++
	}
}

// unquote returns the text of a JSON string. Without escapes the result is a slice of the body, not a copy.
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
