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
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/bytelender"
)

const (
	// largeBytes is the size of a large body, and maxWholeBytes that of the largest one that is no stream.
	largeBytes    = 3<<20 + 1
	maxWholeBytes = 16 << 20
	// lentLimit is more than the bodies of two attempts need.
	lentLimit = 64 << 20
)

// sendsBody returns a replica that sends n bytes with a status, in chunks or with their length.
func sendsBody(status, n int, chunked bool) engine {
	return func(w http.ResponseWriter, _ *http.Request, _ int) {
		if !chunked {
			w.Header().Set("Content-Length", fmt.Sprint(n))
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, strings.Repeat("m", n))
	}
}

// thenSilent returns a replica that sends so many bytes of a longer body, and then nothing for a time, or until its connection ends if that is 0.
func thenSilent(n int, pause time.Duration) engine {
	return func(w http.ResponseWriter, q *http.Request, _ int) {
		w.Header().Set("Content-Length", fmt.Sprint(n+1))
		_, _ = io.WriteString(w, strings.Repeat("m", n))
		_ = http.NewResponseController(w).Flush()
		ended := make(<-chan time.Time)
		if pause > 0 {
			ended = time.After(pause)
		}
		select {
		case <-ended:
			_, _ = io.WriteString(w, "m")
		case <-q.Context().Done():
		}
	}
}

// endlessBody sends chunks until the connection ends.
func endlessBody(w http.ResponseWriter, _ *http.Request, _ int) {
	part := []byte(strings.Repeat("m", 64<<10))
	for _, err := w.Write(part); err == nil; {
		_, err = w.Write(part)
	}
}

// inOrder returns as many replicas as there are answers; the nth request at any of them gets the nth answer.
func inOrder(answers []engine) []engine {
	var requests atomic.Int64
	one := func(w http.ResponseWriter, q *http.Request, from int) {
		n := int(requests.Add(1))
		answers[min(n, len(answers))-1](w, q, from)
	}
	return slices.Repeat([]engine{one}, len(answers))
}

func diesInBody(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set("Content-Length", fmt.Sprint(2*largeBytes))
	_, _ = io.WriteString(w, strings.Repeat("m", largeBytes))
	panic(http.ErrAbortHandler)
}

func endsInEvent(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\n\ndata: "+strings.Repeat("m", largeBytes))
}

// lentWriter counts the bytes of a response, and the most that was lent as they were written; failing writes fail.
type lentWriter struct {
	lender        *bytelender.Lender
	length, bytes int
	lent          int64
	failing       bool
}

func (w *lentWriter) Head(_ int, _ http.Header, length int) { w.length = length }

func (w *lentWriter) Body(p []byte) error {
	w.lent = max(w.lent, w.lender.Lent())
	w.bytes += len(p)
	if w.failing {
		return errors.New("caller left")
	}
	return nil
}

// serveLent serves one request, which its caller leaves after a time.
func (f *takeover) serveLent(out *lentWriter, leaveAfter time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), leaveAfter)
	defer cancel()
	req := fuchsiaspoke.AdmittedRequest{ID: "r", Service: "texts", Arrived: f.Clock(), Deadline: f.Clock() + f.route.Timeout, Route: f.route}
	return f.Serve(ctx, req, fuchsiaspoke.Message{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}}, out)
}

// Whatever becomes of a request and of its attempts, nothing stays lent.
func TestWholeResponsesAreGivenBackAtEachEnd(t *testing.T) {
	whole, large := sendsBody(http.StatusOK, largeBytes, false), sendsBody(http.StatusOK, largeBytes, true)
	failed, silent := sendsBody(http.StatusInternalServerError, largeBytes, false), thenSilent(largeBytes, 0)
	for name, c := range map[string]struct {
		// answers are those of the replicas, in the order of the attempts.
		answers    []engine
		leaveAfter time.Duration
		failing    bool
		// want is the number of bytes that the caller gets; 0 is a request that fails.
		want int
	}{
		"length":                  {answers: []engine{whole}, want: largeBytes},
		"chunks":                  {answers: []engine{large}, want: largeBytes},
		"largest body":            {answers: []engine{sendsBody(http.StatusOK, maxWholeBytes, false)}, want: maxWholeBytes},
		"too long by one":         {answers: []engine{sendsBody(http.StatusOK, maxWholeBytes+1, false)}},
		"without end":             {answers: []engine{endlessBody}},
		"connection ends":         {answers: []engine{diesInBody}},
		"ends in event":           {answers: []engine{endsInEvent}},
		"failed, and another one": {answers: []engine{failed, whole}, want: largeBytes},
		"both failed":             {answers: []engine{failed, failed}, want: largeBytes},
		"silent":                  {answers: []engine{silent}},
		"silent, and another one": {answers: []engine{silent, whole}, want: largeBytes},
		"both silent":             {answers: []engine{silent, silent}},
		"late, and another one that is later": {
			answers: []engine{thenSilent(largeBytes, 500*time.Millisecond), thenSilent(largeBytes, time.Second)}, want: largeBytes + 1,
		},
		"caller leaves during the read":  {answers: []engine{silent, silent}, leaveAfter: 400 * time.Millisecond},
		"caller leaves during the write": {answers: []engine{whole}, failing: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newPlainFleet(t, len(c.answers), inOrder(c.answers)...)
			f.route.Timeout = 2 * time.Second
			f.Responses = &bytelender.Lender{Limit: lentLimit}
			out := &lentWriter{lender: f.Responses, failing: c.failing}
			err := f.serveLent(out, cmp.Or(c.leaveAfter, requestTimeout))
			if n := f.Responses.Lent(); n != 0 {
				t.Errorf("%d bytes are still lent, error %v", n, err)
			}
			if got := out.bytes; err == nil && (got != c.want || out.length != got || out.lent < int64(got)-8<<10) || (err == nil) != (c.want > 0) {
				t.Errorf("%d bytes of %d, %d lent, error %v, want %d bytes", got, out.length, out.lent, err, c.want)
			}
		})
	}
}

// A response that the lender refuses fails as one that is too large does, and is told from it. Small ones need no loan.
func TestResponseThatMayNotBeHeldHasUnknownOutcome(t *testing.T) {
	var mu sync.Mutex
	var events, failures []string
	run := func(replica engine) (*lentWriter, error) {
		f := newPlainFleet(t, 2, replica)
		f.route.Idempotent = false
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
		out := &lentWriter{lender: f.Responses}
		err := f.serveLent(out, requestTimeout)
		if n := f.Responses.Lent(); n != 1<<20 {
			t.Errorf("%d bytes are lent, want those of before", n)
		}
		return out, err
	}
	for _, chunked := range []bool{false, true} {
		if out, err := run(sendsBody(http.StatusOK, 800, chunked)); err != nil || out.bytes != 800 {
			t.Errorf("small response: %d bytes, error %v", out.bytes, err)
		}
	}
	if len(events) > 0 {
		t.Errorf("small responses: events %v", events)
	}
	_, err := run(sendsBody(http.StatusOK, largeBytes, false))
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.RunUnknown || refusal.Status != http.StatusBadGateway {
		t.Errorf("error %v, want a refusal with an unknown outcome", err)
	}
	if len(events) != 1 || events[0] != "response_memory_exhausted" {
		t.Errorf("events %v", events)
	}
	if log := strings.Join(failures, "\n"); !strings.Contains(log, "sum of whole responses held at once exceeds 1048576 bytes") {
		t.Errorf("the log doesn't tell why:\n%s", log)
	}
}

// Of a request and its hedge, either of which may end first, nothing stays lent.
func TestWholeResponsesOfHedgedRequestsAreGivenBack(t *testing.T) {
	h := newHedgedFleet(t, "1,0,6,100")
	h.route.Objective = 200 * time.Millisecond
	h.Responses = &bytelender.Lender{Limit: lentLimit}
	h.warmUp(t)
	h.pause.Store(int64(300 * time.Millisecond))
	for n := 0; n < 30 && h.count("hedge_faster") < 3; n++ {
		h.request(t, fmt.Sprint("/slow/", n, strings.Repeat("m", 32<<10)))
		if n := h.Responses.Lent(); n != 0 {
			t.Fatalf("%d bytes are still lent", n)
		}
		time.Sleep(time.Duration(h.pause.Load()))
	}
	if h.count("hedge_faster") == 0 {
		t.Fatalf("events %v, want hedged requests that were faster", h.events)
	}
}
