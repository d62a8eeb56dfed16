package sender

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/transport"
	"github.com/pkg/errors"
)

const (
	readBufferBytes = 4096
	// maxEventBytes limits an incomplete event.
	maxEventBytes = 1 << 20
)

// streamRelay relays complete events to the caller, over one attempt or several consecutive ones.
type streamRelay struct {
	out       responseWriter
	resumable bool
	headSent  bool
	// lastEventID is the ID of the last event that was sent to the caller.
	lastEventID string
	pending     []byte
	// lastSent is the time of the last write of events to the caller, and longestPause the longest time between two writes.
	lastSent     time.Time
	longestPause time.Duration
	// unfinishedBytes is the number of bytes after the last complete event at the end of the latest attempt's body.
	unfinishedBytes int
}

// relayEvents relays the events of one attempt, and calls onData after each read that returns data.
func (r *streamRelay) relayEvents(response *transport.Response, onData func()) error {
	r.pending, r.unfinishedBytes = r.pending[:0], 0
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := response.Read(buffer)
		if n > 0 {
			onData()
			r.pending = append(r.pending, buffer[:n]...)
			if sendErr := r.flushEvents(response); sendErr != nil {
				return sendErr
			}
		}
		if err == io.EOF {
			r.unfinishedBytes = len(r.pending)
			return r.finishStream(response)
		}
		if err != nil {
			return errors.Wrap(err, "read stream")
		}
		if len(r.pending) > maxEventBytes {
			return errors.New("stream event exceeds the size limit")
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

// flushEvents sends the complete events among the pending bytes.
func (r *streamRelay) flushEvents(response *transport.Response) error {
	end := bytes.LastIndex(r.pending, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	events := r.pending[:end+2]
	r.sendHead(response)
	if err := r.out.Body(events); err != nil {
		return ErrCallerDisconnected
	}
	r.recordPause(time.Now())
	if id := lastID(events); id != "" {
		r.lastEventID = id
	}
	r.pending = append(r.pending[:0], r.pending[end+2:]...)
	return nil
}

// recordPause updates the longest pause between two writes of events.
func (r *streamRelay) recordPause(now time.Time) {
	if !r.lastSent.IsZero() {
		r.longestPause = max(r.longestPause, now.Sub(r.lastSent))
	}
	r.lastSent = now
}

// finishStream sends the bytes after the last complete event. In a resumable stream such bytes are an error.
func (r *streamRelay) finishStream(response *transport.Response) error {
	r.sendHead(response)
	if len(r.pending) == 0 {
		return nil
	}
	if r.resumable {
		return errors.New("stream ended with an incomplete event")
	}
	if err := r.out.Body(r.pending); err != nil {
		return ErrCallerDisconnected
	}
	return nil
}

// bodyEnd returns how the body of the latest attempt ended, whose relayEvents returned err.
func (r *streamRelay) bodyEnd(err error) fuchsiaspoke.BodyEnd {
	switch {
	case r.unfinishedBytes > 0:
		return fuchsiaspoke.BodyEndedInsideEvent
	case err != nil:
		return fuchsiaspoke.BodyReadFailed
	}
	return fuchsiaspoke.BodyComplete
}

// lastID returns the ID of the last event that has one.
func lastID(events []byte) string {
	id := ""
	for line := range bytes.Lines(events) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
