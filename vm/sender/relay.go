package sender

import (
	"bytes"
	"cmp"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
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
	headSent atomic.Bool
	// position is where the stream stands; nil until its first event was sent. A search for another engine reads it meanwhile.
	position atomic.Pointer[streamPosition]
	// softwareVersion is that of the engine whose events are relayed.
	softwareVersion string
	// onBegin is called with the software version before the first event is sent.
	onBegin  func(softwareVersion string)
	splitter eventsplitter.Splitter
	// lastSent is the time of the last write of events to the caller, and longestPause the longest time between two writes.
	lastSent     time.Time
	longestPause time.Duration
}

// streamPosition is the ID of the last event that the caller has received, and the software version that made the events.
type streamPosition struct {
	lastEvent       string
	softwareVersion string
}

// mayGoOnAt reports whether a stream may go on at a replica: one that has not begun at any, another at its software version alone.
func (p *streamPosition) mayGoOnAt(r fuchsiaspoke.Replica) bool {
	return p == nil || p.softwareVersion == r.SoftwareVersion
}

// newStreamRelay returns the relay of a stream that the caller resumes at a position, or that begins where it is nil.
func newStreamRelay(out responseWriter, resumed *streamPosition, onBegin func(string)) *streamRelay {
	r := &streamRelay{out: out, onBegin: onBegin}
	r.position.Store(resumed)
	return r
}

// lastEvent returns the ID of the last event that was sent to the caller.
func (r *streamRelay) lastEvent() string {
	if p := r.position.Load(); p != nil {
		return p.lastEvent
	}
	return ""
}

// mayGoOn reports whether another attempt may go on where the caller stands: at the beginning, or after an event that has an ID on a route
// whose streams may be resumed.
func (r *streamRelay) mayGoOn(route fuchsiaspoke.ServiceRoute) bool {
	return !r.headSent.Load() || route.Resumable && r.lastEvent() != ""
}

// relayEvents relays the events in the body of a response. It calls receive after each read that returns data, and ends with errStalled if that
// returns false. It calls relayed once the events of that read were sent.
func (r *streamRelay) relayEvents(
	response *transport.Response, body io.Reader, softwareVersion string, receive func() bool, relayed func(),
) error {
	r.splitter, r.softwareVersion = eventsplitter.Splitter{}, softwareVersion
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if !receive() {
				return errStalled
			}
			if sendErr := r.sendEvents(response, r.splitter.Add(buffer[:n])); sendErr != nil {
				return sendErr
			}
			relayed()
		}
		if err == io.EOF {
			return r.finishStream(response)
		}
		if err != nil {
			return errors.Wrap(err, "read stream")
		}
		if len(r.splitter.Rest()) > maxEventBytes {
			return errors.New("stream event exceeds the size limit")
		}
	}
}

func (r *streamRelay) sendHead(response *transport.Response) {
	if r.headSent.Swap(true) {
		return
	}
	r.out.Head(http.StatusOK, response.Header, -1)
}

// sendEvents sends complete events, if there are any.
func (r *streamRelay) sendEvents(response *transport.Response, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if r.position.Load() == nil {
		r.onBegin(r.softwareVersion)
	}
	r.sendHead(response)
	if err := r.out.Body(events); err != nil {
		return ErrCallerDisconnected
	}
	r.recordPause(time.Now())
	r.position.Store(&streamPosition{lastEvent: cmp.Or(lastID(events), r.lastEvent()), softwareVersion: r.softwareVersion})
	return nil
}

// recordPause updates the longest pause between two writes of events.
func (r *streamRelay) recordPause(now time.Time) {
	if !r.lastSent.IsZero() {
		r.longestPause = max(r.longestPause, now.Sub(r.lastSent))
	}
	r.lastSent = now
}

// finishStream completes an attempt whose body has ended. A body that is no event stream is sent to its last byte; one without a
// Content-Type is taken for an event stream.
func (r *streamRelay) finishStream(response *transport.Response) error {
	rest := r.splitter.Rest()
	if len(rest) > 0 && (isEventStream(response.Header) || response.Header.Get("Content-Type") == "") {
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

// lastID returns the ID of the last event that has one.
func lastID(events []byte) string {
	id := ""
	for line := range bytes.FieldsFuncSeq(events, isLineEnd) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}

func isLineEnd(r rune) bool { return r == '\n' || r == '\r' }
