package sender

import (
	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/eventsplitter"
)

// unlentEventBytes is how much of an incomplete event needs no loan: a read more than of a whole body, as a read may complete many small events.
const unlentEventBytes = unlentBytes + readBufferBytes

// eventLoan is the memory that an attempt's stream has borrowed for an event that is incomplete or being sent.
type eventLoan struct {
	loan *loan
	// refused counts a refusal of the lender, and returns its error.
	refused func() error
	// borrowed is the size of the splitter's memory, or 0 if that needs no loan.
	borrowed int64
}

// reserve makes room for n more bytes of the stream. It borrows before it grows, with the memory that is copied from still held.
func (l *eventLoan) reserve(s *eventsplitter.Splitter, n int) error {
	need := len(s.Rest()) + n
	if need <= unlentEventBytes || need <= s.Held() {
		return nil
	}
	size := int64(min(2*need, maxEventBytes+readBufferBytes))
	if !l.loan.borrow(size) {
		return l.refused()
	}
	s.Resize(int(size))
	l.loan.giveBack(l.borrowed)
	l.borrowed = size
	return nil
}

// release gives back the memory of an event that was sent, unless the next one needs it.
func (l *eventLoan) release(s *eventsplitter.Splitter) {
	if l.borrowed == 0 || len(s.Rest()) > unlentEventBytes {
		return
	}
	s.Resize(unlentEventBytes)
	l.giveBack()
}

// end gives back everything at the end of the stream, whose bytes are no longer used.
func (l *eventLoan) end(s *eventsplitter.Splitter) {
	*s = eventsplitter.Splitter{}
	l.giveBack()
}

func (l *eventLoan) giveBack() {
	l.loan.giveBack(l.borrowed)
	l.borrowed = 0
}

// memoryExhausted counts that the lender has refused memory for a part of a response, and returns the error of that response.
func (t *requestTask) memoryExhausted(part string) error {
	t.Count("response_memory_exhausted")
	return &fuchsiaspoke.LimitError{Part: part, Bytes: t.Responses.Limit}
}
