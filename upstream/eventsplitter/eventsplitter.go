// Package eventsplitter splits a stream of server-sent events at the ends of its events.
package eventsplitter

// Splitter collects the bytes of one stream. Its zero value is ready to use.
type Splitter struct {
	// pending holds the latest complete events, which end at end, and the bytes of the incomplete event after them.
	pending []byte
	end     int
	// inLine means that the current line has bytes. An event ends with an empty line.
	inLine bool
	// afterCR means that the latest byte was a carriage return, which a line feed may follow as part of the same line end.
	afterCR bool
	// atEventEnd means that the latest line end was that of an empty line.
	atEventEnd bool
}

// Add appends bytes of the stream and returns the events that they complete. The result is valid until the next call.
func (s *Splitter) Add(p []byte) []byte {
	s.pending = append(s.pending[:0], s.pending[s.end:]...)
	s.end = 0
	from := len(s.pending)
	s.pending = append(s.pending, p...)
	for i := from; i < len(s.pending); i++ {
		if s.scan(s.pending[i]) {
			s.end = i + 1
		}
	}
	return s.pending[:s.end]
}

// Rest returns the bytes after the last complete event.
func (s *Splitter) Rest() []byte { return s.pending[s.end:] }

// Held returns the size of the memory that the splitter holds.
func (s *Splitter) Held() int { return cap(s.pending) }

// Resize moves the bytes after the last complete event to a memory of the given size, which must hold them. The result of Add is no longer valid.
func (s *Splitter) Resize(size int) {
	pending := make([]byte, 0, size)
	s.pending = append(pending, s.Rest()...)
	s.end = 0
}

// Skip advances over bytes of the stream without keeping them, and reports whether the stream is inside an event then. A stream is read
// either by Skip or by Add.
func (s *Splitter) Skip(p []byte) (inside bool) {
	for _, b := range p {
		inside = !s.scan(b)
	}
	return inside
}

// scan advances by a byte, and reports whether the stream is at the end of an event then. Lines end with a line feed, a carriage return, or both.
func (s *Splitter) scan(b byte) bool {
	switch {
	case b == '\n' && s.afterCR:
		s.afterCR = false
	case b == '\n' || b == '\r':
		s.atEventEnd = !s.inLine
		s.inLine = false
		s.afterCR = b == '\r'
	default:
		s.inLine, s.afterCR, s.atEventEnd = true, false, false
	}
	return s.atEventEnd
}
