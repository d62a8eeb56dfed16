package sender

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/bytelimiter"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/eventsplitter"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/transport"
	"github.com/pkg/errors"
)

const (
	readBufferBytes = 4096
	// maxEventBytes limits an incomplete event.
	maxEventBytes = 1 << 20
)

// errEndedInsideEvent is the error of a stream whose last event is incomplete. Its replica broke off, however the response is framed:
// the connection of a process that died ends like that of a response without a length.
var errEndedInsideEvent = errors.New("stream ended inside an event")

// streamRelay relays complete events to the caller, over one attempt or several consecutive ones.
type streamRelay struct {
	out      responseWriter
	headSent bool
	// lastEventID holds the ID of the last event that was sent to the caller; a search for another engine reads it meanwhile.
	lastEventID atomic.Value
	splitter    eventsplitter.Splitter
	order       eventOrder
	// maxBytes limits the stream of each attempt.
	maxBytes int64
	// lastSent is the time of the last write of events to the caller, and longestPause the longest time between two writes.
	lastSent     time.Time
	longestPause time.Duration
}

// newStreamRelay returns the relay of the stream that a demand allows, whose caller has received the events up to lastEvent.
func newStreamRelay(out responseWriter, lastEvent string, d fuchsiaspoke.Demand) *streamRelay {
	r := &streamRelay{out: out, maxBytes: maxStreamBytes(d), order: eventOrder{max: maxEvents(d)}}
	r.lastEventID.Store(lastEvent)
	return r
}

// maxStreamBytes returns the limit of the stream of a request. Without a number of tokens it is that of other responses.
func maxStreamBytes(d fuchsiaspoke.Demand) int64 {
	if d.OutputTokens <= 0 {
		return maxResponseBytes
	}
	return bytelimiter.StreamBytes(d.OutputTokens)
}

// lastEvent returns the ID of the last event that was sent to the caller.
func (r *streamRelay) lastEvent() string {
	id, _ := r.lastEventID.Load().(string)
	return id
}

// relayEvents relays the events of one attempt, and calls onProgress after each read that does. In an event stream only events with data
// are progress: bytes that complete none may go on without end.
func (r *streamRelay) relayEvents(response *transport.Response, onProgress func()) error {
	r.splitter = eventsplitter.Splitter{}
	r.order.restart()
	body := bytelimiter.Limiter{Reader: response}
	body.Limit("response stream", r.maxBytes)
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			events := r.splitter.Add(buffer[:n])
			if !mayBeEventStream(response.Header) || r.isProgress(events) {
				onProgress()
			}
			if sendErr := r.sendInOrder(response, events); sendErr != nil {
				return sendErr
			}
		}
		if err == io.EOF {
			return r.finishStream(response)
		}
		if err != nil {
			return errors.Wrap(err, "read stream")
		}
		if len(r.splitter.Rest()) > maxEventBytes {
			return &fuchsiaspoke.LimitError{Part: "stream event", Bytes: maxEventBytes}
		}
	}
}

func (r *streamRelay) sendHead(response *transport.Response) {
	if r.headSent {
		return
	}
	r.headSent = true
	r.out.Head(http.StatusOK, response.Header, -1)
}

// sendInOrder sends complete events, up to the first one that is out of order.
func (r *streamRelay) sendInOrder(response *transport.Response, events []byte) error {
	if !mayBeEventStream(response.Header) {
		return r.sendEvents(response, events)
	}
	inOrder, orderErr := r.order.accept(events)
	if err := r.sendEvents(response, inOrder); err != nil {
		return err
	}
	return orderErr
}

// sendEvents sends complete events, if there are any.
func (r *streamRelay) sendEvents(response *transport.Response, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	r.sendHead(response)
	if err := r.out.Body(events); err != nil {
		return ErrCallerDisconnected
	}
	r.recordPause(time.Now())
	if id := lastID(events); id != "" {
		r.lastEventID.Store(id)
	}
	return nil
}

// isProgress reports whether events continue the stream: with an id, or with data where no event of the stream has had an id.
func (r *streamRelay) isProgress(events []byte) bool {
	return lastID(events) != "" || r.lastEvent() == "" && hasData(events)
}

// recordPause updates the longest pause between two writes of events.
func (r *streamRelay) recordPause(now time.Time) {
	if !r.lastSent.IsZero() {
		r.longestPause = max(r.longestPause, now.Sub(r.lastSent))
	}
	r.lastSent = now
}

// finishStream completes an attempt whose body has ended. A body that is no event stream is sent to its last byte.
func (r *streamRelay) finishStream(response *transport.Response) error {
	rest := r.splitter.Rest()
	if len(rest) > 0 && mayBeEventStream(response.Header) {
		return errEndedInsideEvent
	}
	r.sendHead(response)
	if len(rest) == 0 {
		return nil
	}
	if err := r.out.Body(rest); err != nil {
		return ErrCallerDisconnected
	}
	return nil
}

// isEventStream reports whether the Content-Type says that a response is a stream of events.
func isEventStream(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// mayBeEventStream reports whether a response of an engine is taken for a stream of events: also one without a Content-Type is.
func mayBeEventStream(h http.Header) bool {
	return isEventStream(h) || h.Get("Content-Type") == ""
}

// bodyEnd returns how a body ended whose reading gave err.
func bodyEnd(err error) fuchsiaspoke.BodyEnd {
	switch {
	case errors.Is(err, errEndedInsideEvent):
		return fuchsiaspoke.BodyEndedInsideEvent
	case err != nil:
		return fuchsiaspoke.BodyReadFailed
	}
	return fuchsiaspoke.BodyComplete
}

// hasData reports whether an event has data.
func hasData(events []byte) bool {
	for line := range bytes.FieldsFuncSeq(events, isLineEnd) {
		if bytes.HasPrefix(line, []byte("data:")) {
			return true
		}
	}
	return false
}

func isLineEnd(r rune) bool { return r == '\n' || r == '\r' }
