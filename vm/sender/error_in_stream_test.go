package sender_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke/vm/sender"
	"github.com/pkg/errors"
)

// breakingAfter returns an engine that sends the events up to last and resets the connection.
func breakingAfter(last int) engine {
	return func(w http.ResponseWriter, _ *http.Request, from int) {
		sendEvents(w, from, last)
		panic(http.ErrAbortHandler)
	}
}

// answering returns an engine that answers 200 with a body; without chunks and length if it is unframed.
func answering(contentType, body string, unframed bool) engine {
	return func(w http.ResponseWriter, _ *http.Request, _ int) {
		if !unframed {
			w.Header().Set("Content-Type", contentType)
			_, _ = fmt.Fprint(w, body)
			return
		}
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n\r\n%s", contentType, body)
	}
}

// Issue 51: a stream broke off, the next replica answered with an error, and callers found its text or its head in their stream, or the stream ended
// as if it were complete.
func TestErrorOfNextEngineIsNotPartOfStream(t *testing.T) {
	const text = "engine overloaded\n\n"
	for name, next := range map[string]engine{
		"text":           answering("text/plain", text, false),
		"unframed text":  answering("application/json", `{"error":"overloaded"}`, true),
		"text as event":  answering("text/event-stream", text, false),
		"head and text":  answering("text/event-stream", "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\n\r\n"+text, false),
		"unframed empty": answering("text/event-stream", "", true),
	} {
		t.Run(name, func(t *testing.T) {
			f := newTakeover(t, 2, breakingAfter(3), next)
			out := &streamWriter{}
			err := f.serve(out)
			if body := out.body.String(); !errors.Is(err, sender.ErrResponseInterrupted) || strings.Count(body, "id: ") != 3 || len(body) != 3*len("id: 1\ndata: piece 1\n\n") {
				t.Errorf("error %v, body %q, want three events and an interrupted response", err, body)
			}
			f = newTakeover(t, 3, breakingAfter(3), next, soundEngine)
			f.expectWhole(t, &streamWriter{})
		})
	}
}

// The rest of a stream may be empty, as when its engine broke off after the last event.
func TestStreamThatBrokeAfterItsLastEventIsComplete(t *testing.T) {
	f := newTakeover(t, 2, breakingAfter(streamEvents), soundEngine)
	f.expectWhole(t, &streamWriter{})
}
