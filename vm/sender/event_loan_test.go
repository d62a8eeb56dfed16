package sender_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/bytelender"
)

// largeEventBytes is the size of a large event, which is below its limit of 1 MiB.
const largeEventBytes = 900 << 10

const (
	// lentStreamTimeout is the time of a stream that needs little of it, and silentStreamTimeout that of one which ends with it.
	lentStreamTimeout   = 30 * time.Second
	silentStreamTimeout = 3 * time.Second
)

// startsEvent returns an engine that sends n bytes of an event, and then does what end does.
func startsEvent(n int, end engine) engine {
	return func(w http.ResponseWriter, q *http.Request, from int) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: "+strings.Repeat("m", n))
		_ = http.NewResponseController(w).Flush()
		end(w, q, from)
	}
}

func staysSilent(_ http.ResponseWriter, q *http.Request, _ int) { <-q.Context().Done() }
func breaksOff(http.ResponseWriter, *http.Request, int)         { panic(http.ErrAbortHandler) }
func ends(http.ResponseWriter, *http.Request, int)              {}
func endsEvent(w http.ResponseWriter, _ *http.Request, _ int)   { _, _ = io.WriteString(w, "\n\n") }

// signallingWriter closes written after the first write.
type signallingWriter struct {
	lentWriter
	once    sync.Once
	written chan struct{}
}

func (w *signallingWriter) Body(p []byte) error {
	defer w.once.Do(func() { close(w.written) })
	return w.lentWriter.Body(p)
}

// eventWriter writes the response to a caller.
type eventWriter interface {
	Head(status int, header http.Header, length int)
	Body(p []byte) error
}

// serveStreamLent serves one stream, which its caller leaves after a time.
func (f *takeover) serveStreamLent(out eventWriter, leaveAfter time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), leaveAfter)
	defer cancel()
	req := fuchsiaspoke.AdmittedRequest{
		ID: "r", Service: "texts", Arrived: f.Clock(), Deadline: f.Clock() + f.route.Timeout, Route: f.route,
		Demand: fuchsiaspoke.Demand{Model: "m", PromptTokens: 100, OutputTokens: 1000},
	}
	return f.Serve(ctx, req, fuchsiaspoke.Message{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}}, out)
}

// Whatever becomes of a stream and of its attempts, nothing stays lent.
func TestIncompleteEventsAreGivenBackAtEachEnd(t *testing.T) {
	held, whole := startsEvent(largeEventBytes, staysSilent), startsEvent(largeEventBytes, endsEvent)
	for name, c := range map[string]struct {
		engines    []engine
		timeout    time.Duration
		leaveAfter time.Duration
		failing    bool
		whole      bool
	}{
		"whole":                          {engines: []engine{whole}, whole: true},
		"ends inside event":              {engines: []engine{startsEvent(largeEventBytes, ends)}},
		"breaks off":                     {engines: []engine{startsEvent(largeEventBytes, breaksOff)}},
		"breaks off, and another one":    {engines: []engine{startsEvent(largeEventBytes, breaksOff), whole}, whole: true},
		"too large":                      {engines: []engine{startsEvent(2<<20, staysSilent)}},
		"silent":                         {engines: []engine{held}, timeout: silentStreamTimeout},
		"silent, and another one":        {engines: []engine{held, whole}, whole: true},
		"both silent":                    {engines: []engine{held, held}, timeout: silentStreamTimeout},
		"caller leaves during the event": {engines: []engine{held}, leaveAfter: 400 * time.Millisecond},
		"caller leaves during the write": {engines: []engine{whole}, failing: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTakeover(t, 2, c.engines...)
			f.route.Timeout = cmp.Or(c.timeout, lentStreamTimeout)
			f.Responses = &bytelender.Lender{Limit: lentLimit}
			out := &lentWriter{lender: f.Responses, failing: c.failing}
			err := f.serveStreamLent(out, cmp.Or(c.leaveAfter, lentStreamTimeout))
			if n := f.Responses.Lent(); n != 0 {
				t.Errorf("%d bytes are still lent, error %v", n, err)
			}
			if (err == nil) != c.whole || c.whole && (out.bytes < largeEventBytes || out.lent < largeEventBytes) {
				t.Errorf("%d bytes, %d lent, error %v, want a whole stream: %v", out.bytes, out.lent, err, c.whole)
			}
		})
	}
}

// A complete event is given back while its stream goes on.
func TestCompleteEventIsGivenBackBeforeItsStreamEnds(t *testing.T) {
	checked := make(chan struct{})
	f := newTakeover(t, 1, startsEvent(largeEventBytes, func(w http.ResponseWriter, q *http.Request, from int) {
		endsEvent(w, q, from)
		_ = http.NewResponseController(w).Flush()
		<-checked
	}))
	f.route.Timeout = lentStreamTimeout
	f.Responses = &bytelender.Lender{Limit: lentLimit}
	out := &signallingWriter{lentWriter: lentWriter{lender: f.Responses}, written: make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- f.serveStreamLent(out, lentStreamTimeout) }()
	select {
	case <-out.written:
	case err := <-served:
		close(checked)
		t.Fatalf("no event was written, error %v", err)
	}
	for n := 0; f.Responses.Lent() > 0 && n < 200; n++ {
		time.Sleep(10 * time.Millisecond)
	}
	if n := f.Responses.Lent(); n != 0 || len(served) > 0 {
		t.Errorf("%d bytes are still lent, stream ended %v", n, len(served) > 0)
	}
	close(checked)
	if err := <-served; err != nil || out.lent < largeEventBytes {
		t.Errorf("%d bytes were lent, error %v", out.lent, err)
	}
}

// A stream that the lender refuses fails as one whose event is too large does, and is told from it. Ordinary events need no loan.
func TestStreamThatMayNotHoldItsEventFails(t *testing.T) {
	var mu sync.Mutex
	var events, failures []string
	run := func(e engine) error {
		f := newTakeover(t, 1, e)
		f.route.Timeout = lentStreamTimeout
		f.Responses = &bytelender.Lender{Limit: 1 << 20}
		f.Responses.Lend(1 << 20)
		f.Count = func(event string) {
			mu.Lock()
			defer mu.Unlock()
			events = append(events, event)
		}
		f.Log = func(event string, keysAndValues ...any) {
			mu.Lock()
			defer mu.Unlock()
			failures = append(failures, event+" "+fmt.Sprint(keysAndValues...))
		}
		err := f.serveStreamLent(&lentWriter{lender: f.Responses}, lentStreamTimeout)
		if n := f.Responses.Lent(); n != 1<<20 {
			t.Errorf("%d bytes are lent, want those of before", n)
		}
		return err
	}
	if err := run(soundEngine); err != nil || slices.Contains(events, "response_memory_exhausted") {
		t.Errorf("ordinary stream: error %v, events %v", err, events)
	}
	var refusal *fuchsiaspoke.Refusal
	if err := run(startsEvent(largeEventBytes, staysSilent)); !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.RunUnknown {
		t.Errorf("error %v, want a refusal with an unknown outcome", err)
	}
	if !slices.Contains(events, "response_memory_exhausted") {
		t.Errorf("events %v", events)
	}
	if log := strings.Join(failures, "\n"); !strings.Contains(log, "sum of incomplete events held at once exceeds 1048576 bytes") {
		t.Errorf("the log doesn't tell why:\n%s", log)
	}
}
