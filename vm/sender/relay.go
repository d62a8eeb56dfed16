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

// errNotAnEvent is the error of a stream that has begun and goes on with something else: another type of content, or lines that are no field
// of an event, such as the text of an error or the head of another response.
var errNotAnEvent = errors.New("stream goes on with something that is no event")

// errNoEvent is the error of a response without any event that ends with its connection. Nothing shows that it is whole.
var errNoEvent = errors.New("stream ended with its connection before an event")

// streamRelay relays complete events to the caller, over one attempt or several consecutive ones.
type streamRelay struct {
	out      responseWriter
	headSent atomic.Bool
	// position is where the stream stands; nil until its first event was sent. A search for another engine reads it meanwhile.
	position atomic.Pointer[streamPosition]
	// softwareVersion is that of the engine whose events are relayed, and relayedAny means that it has sent one.
	softwareVersion string
	relayedAny      bool
	// onBegin is called with the software version before the first event is sent.
	onBegin func(softwareVersion string)
	// onHead is called before the head is sent.
	onHead   func()
	splitter eventsplitter.Splitter
	memory   eventLoan
	order    eventOrder
	// maxBytes limits the stream of each attempt.
	maxBytes int64
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

// newStreamRelay returns the relay of the stream that a demand allows, which the caller resumes at a position, or which begins where that
// is nil.
func newStreamRelay(
	out responseWriter, resumed *streamPosition, d fuchsiaspoke.Demand, onBegin func(softwareVersion string), onHead func(),
) *streamRelay {
	r := &streamRelay{out: out, onBegin: onBegin, onHead: onHead, maxBytes: maxStreamBytes(d), order: eventOrder{max: maxEvents(d)}}
	r.position.Store(resumed)
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

// relayEvents relays the events in the body of a response. It calls receive after each read, with whether that continues the stream: in an
// event stream only events do, since bytes that complete none may go on without end. It ends with errStalled if receive returns false, and
// calls relayed once the events of a read were sent.
func (r *streamRelay) relayEvents(
	response *transport.Response, from io.Reader, softwareVersion string, receive func(progress bool) bool, relayed func(),
) error {
	r.splitter, r.softwareVersion, r.relayedAny = eventsplitter.Splitter{}, softwareVersion, false
	r.order.restart()
	defer r.memory.end(&r.splitter)
	if r.headSent.Load() && !mayBeEventStream(response.Header) {
		return errNotAnEvent
	}
	body := bytelimiter.Limiter{Reader: from}
	body.Limit("response stream", r.maxBytes)
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if memoryErr := r.memory.reserve(&r.splitter, n); memoryErr != nil {
				return memoryErr
			}
			events := r.splitter.Add(buffer[:n])
			if !receive(!mayBeEventStream(response.Header) || r.isProgress(events)) {
				return errStalled
			}
			if sendErr := r.sendInOrder(response, events); sendErr != nil {
				return sendErr
			}
			r.memory.release(&r.splitter)
			relayed()
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
	if r.headSent.Swap(true) {
		return
	}
	r.onHead()
	r.out.Head(http.StatusOK, response.Header, -1)
}

// sendInOrder sends complete events, up to the first one that is out of order.
func (r *streamRelay) sendInOrder(response *transport.Response, events []byte) error {
	if !mayBeEventStream(response.Header) {
		return r.sendEvents(response, events)
	}
	if r.position.Load() != nil && !areEvents(events) {
		return errNotAnEvent
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
	r.relayedAny = true
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
	if isEventStream(response.Header) && !r.relayedAny && response.Framing() == fuchsiaspoke.FramedByConnection {
		return errNoEvent
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

// areEvents reports whether each line is a comment or begins with the name of a field, which consists of small letters, digits and hyphens.
func areEvents(events []byte) bool {
	for line := range bytes.FieldsFuncSeq(events, isLineEnd) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.ContainsFunc(name, func(c rune) bool { return c != '-' && (c < 'a' || c > 'z') && (c < '0' || c > '9') }) {
			return false
		}
	}
	return true
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
