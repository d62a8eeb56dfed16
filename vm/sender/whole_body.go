package sender

import (
	"io"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/bytelimiter"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/eventsplitter"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/transport"
)

const (
	// minPartBytes and maxPartBytes are the sizes of the parts in which a body of unknown length is read.
	minPartBytes = 1 << 10
	maxPartBytes = 256 << 10
	// unlentBytes is how much of each body needs no loan, so that large bodies keep no small ones from being read.
	unlentBytes = 4 << 10
)

// wholeBody is a body that is read to its end before any of it is sent on. It is kept in the parts in which it was read, as one piece would be
// copied when it grows.
type wholeBody struct {
	parts [][]byte
	bytes int64
	// held is the size of the parts' memory, of which borrowed bytes are borrowed.
	held, borrowed int64
}

// readBody reads a whole body, which is borrowed part by part before it is read. It fails if the body is longer than maxResponseBytes, framing
// included, if what the responses of all requests hold reaches the limit of Responses, or with an event stream that ended inside an event.
func (t *requestTask) readBody(response *transport.Response) (*wholeBody, error) {
	b := &wholeBody{}
	err := t.fillBody(b, response)
	if err == nil && isEventStream(response.Header) && b.endsInsideEvent() {
		err = errEndedInsideEvent
	}
	if err != nil {
		t.loan.giveBack(b.borrowed)
		return nil, err
	}
	return b, nil
}

func (t *requestTask) fillBody(b *wholeBody, response *transport.Response) error {
	length := response.Length()
	if length > maxResponseBytes {
		return &fuchsiaspoke.LimitError{Part: "response body", Bytes: maxResponseBytes}
	}
	response.LimitBody(maxResponseBytes)
	limiter := &bytelimiter.Limiter{Reader: response}
	limiter.Limit("response body", maxResponseBytes)
	for {
		n := b.nextPart(length)
		if !b.borrow(t.loan, n) {
			return t.memoryExhausted("sum of whole responses held at once")
		}
		err := b.readPart(limiter, n)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// nextPart returns the size of the next part: what is left of the body's length, or if that is unknown (-1), as much as was read before.
func (b *wholeBody) nextPart(length int64) int64 {
	if length >= 0 {
		return min(max(length-b.bytes, 1), maxPartBytes)
	}
	return min(max(b.bytes, minPartBytes), maxPartBytes)
}

// borrow borrows n more bytes, and reports whether they may be held.
func (b *wholeBody) borrow(l *loan, n int64) bool {
	more := max(b.held+n-unlentBytes, 0) - b.borrowed
	if more > 0 && !l.borrow(more) {
		return false
	}
	b.held, b.borrowed = b.held+n, b.borrowed+more
	return true
}

// readPart reads a part of n bytes, or less at the end of the body, which is io.EOF.
func (b *wholeBody) readPart(r io.Reader, n int64) error {
	part := make([]byte, n)
	read := 0
	var err error
	for read < len(part) && err == nil {
		var m int
		m, err = r.Read(part[read:])
		read += m
	}
	if read > 0 {
		b.parts = append(b.parts, part[:read])
		b.bytes += int64(read)
	}
	return err
}

// endsInsideEvent reports whether the last event of a stream is incomplete.
func (b *wholeBody) endsInsideEvent() bool {
	var s eventsplitter.Splitter
	inside := false
	for _, part := range b.parts {
		inside = s.Skip(part)
	}
	return inside
}

// writeTo writes the body to the caller.
func (b *wholeBody) writeTo(out responseWriter) error {
	if len(b.parts) == 0 {
		return out.Body(nil)
	}
	for _, part := range b.parts {
		if err := out.Body(part); err != nil {
			return err
		}
	}
	return nil
}
