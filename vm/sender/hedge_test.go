package sender_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// hedgedFleet is a sender to three replicas, of which the first one can be slowed down.
type hedgedFleet struct {
	*takeover
	// load is what the replicas state, and pause how long the first one takes.
	load  string
	pause atomic.Int64
	// resetsHedges makes the second replica of a request reset the connection in its response.
	resetsHedges atomic.Bool
	// upload is the body of the requests.
	upload []byte
	// connections is the number of connections that the replicas have accepted, and runs that of requests by target.
	connections atomic.Int64
	mu          sync.Mutex
	runs        map[string]int
	events      map[string]int
}

func newHedgedFleet(t *testing.T, load string) *hedgedFleet {
	t.Helper()
	h := &hedgedFleet{load: load, runs: map[string]int{}, events: map[string]int{}}
	h.takeover = newPlainFleet(t, 2, soundEngine, soundEngine, soundEngine)
	published := h.Published()
	for i, r := range h.replicas {
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { h.answer(w, q, i == 0) }))
		s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				h.connections.Add(1)
			}
		}
		s.Start()
		t.Cleanup(s.Close)
		r.Address = s.Listener.Addr().String()
		published.Replicas[r.ID] = r
	}
	h.Count = func(event string) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.events[event]++
	}
	h.Log = func(string, ...any) {}
	return h
}

func (h *hedgedFleet) answer(w http.ResponseWriter, q *http.Request, first bool) {
	h.mu.Lock()
	h.runs[q.URL.String()]++
	run := h.runs[q.URL.String()]
	h.mu.Unlock()
	if run > 1 && h.resetsHedges.Load() {
		resetInResponse(w)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	time.Sleep(5 * time.Millisecond)
	if first {
		time.Sleep(time.Duration(h.pause.Load()))
	}
	w.Header().Set("X-Server-Load", h.load)
	_, _ = fmt.Fprint(w, "done ", q.URL.String())
}

// resetInResponse sends a part of a response that has neither a length nor chunks, and resets the connection.
func resetInResponse(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
	time.Sleep(30 * time.Millisecond)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// request sends one request and returns how long it took. It fails the test unless the response is whole and that of the request.
func (h *hedgedFleet) request(t *testing.T, target string) time.Duration {
	t.Helper()
	began := h.Clock()
	req := fuchsiaspoke.AdmittedRequest{ID: target, Service: "texts", Arrived: began, Deadline: began + requestTimeout, Route: h.route}
	out := &streamWriter{}
	m := fuchsiaspoke.Message{Method: http.MethodGet, Target: target, Host: "h", Header: http.Header{}}
	if h.upload != nil {
		m.Method, m.Body = http.MethodPost, h.upload
	}
	err := h.Serve(context.Background(), req, m, out)
	if err != nil || out.body.String() != "done "+target {
		t.Errorf("request %s: error %v, body %q", target, err, out.body.String())
	}
	return h.Clock() - began
}

// warmUp makes usual times known, and opens a connection to each replica.
func (h *hedgedFleet) warmUp(t *testing.T) {
	t.Helper()
	for n := range 60 {
		h.request(t, fmt.Sprint("/warm/", n))
	}
	// On a busy machine, answers of the warm-up may be late and hedged, too.
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.runs)
	clear(h.events)
}

// slowRequests sends up to n requests while the first replica is slow, until three hedges were faster, and returns the longest time.
func (h *hedgedFleet) slowRequests(t *testing.T, n int) (longest time.Duration) {
	t.Helper()
	for i := 0; i < n && h.count("hedge_faster") < 3; i++ {
		longest = max(longest, h.request(t, fmt.Sprint("/slow/", i)))
		// The connection on which the slower response comes is busy until then, as it is without a hedge.
		time.Sleep(time.Duration(h.pause.Load()))
	}
	return longest
}

func (h *hedgedFleet) count(event string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.events[event]
}

// ranTwice returns how many requests ran on two replicas.
func (h *hedgedFleet) ranTwice() (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, runs := range h.runs {
		if runs > 1 {
			n++
		}
	}
	return n
}

// A replica slows down under a request. Another one answers it, each caller gets the response to its own request although late ones follow on
// connections that are used again, and no connection is opened for it.
func TestRequestOnSlowedReplicaIsHedged(t *testing.T) {
	h := newHedgedFleet(t, "1,0,6,100")
	const pause = 300 * time.Millisecond
	h.route.Objective = 200 * time.Millisecond
	h.warmUp(t)
	opened := h.connections.Load()
	h.pause.Store(int64(pause))
	longest := h.slowRequests(t, 30)
	h.pause.Store(0)
	for n := range 60 {
		h.request(t, fmt.Sprint("/after/", n))
	}
	if h.count("request_hedged") == 0 || h.count("hedge_faster") == 0 {
		t.Fatalf("events %v, want hedged requests that were faster", h.events)
	}
	if longest >= pause {
		t.Errorf("a request took %v, want the answer of another replica before", longest)
	}
	if got := h.connections.Load(); got != opened {
		t.Errorf("%d connections were opened while requests were hedged, want none", got-opened)
	}
}

// The part of a hedge's response before a reset was taken for the whole response to a long upload.
func TestHedgeResetDuringUploadIsNotTheResponse(t *testing.T) {
	h := newHedgedFleet(t, "1,0,6,100")
	h.route.Objective = 200 * time.Millisecond
	h.warmUp(t)
	h.pause.Store(int64(300 * time.Millisecond))
	h.resetsHedges.Store(true)
	h.upload = make([]byte, 8<<20)
	for n := 0; n < 60 && h.ranTwice() == 0; n++ {
		h.request(t, fmt.Sprint("/upload/", n))
	}
	if h.ranTwice() == 0 {
		t.Errorf("events %v, want a hedge that arrives", h.events)
	}
}

// What may not run twice, is out of attempts or of budget, or goes to replicas that state no factor, runs once.
func TestRequestIsNotHedgedWhereThatIsNotAllowed(t *testing.T) {
	for _, c := range []struct {
		name, load string
		change     func(*hedgedFleet)
	}{
		{"payment", "1,0,6,100", func(h *hedgedFleet) { h.route.Idempotent = false }},
		{"one attempt", "1,0,6,100", func(h *hedgedFleet) { h.route.MaxAttempts = 1 }},
		{"no budget", "1,0,6,100", func(h *hedgedFleet) { h.RetryBudget = &countedBudget{} }},
		{"a failure", "1,0,6,100", func(h *hedgedFleet) { h.Tracker.RecordAnswer(h.Clock(), h.replicas[1].ID, 0, true) }},
		{"busy replicas", "6,2,6,100", func(*hedgedFleet) {}},
		{"three figures", "1,0,6", func(*hedgedFleet) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHedgedFleet(t, c.load)
			h.route.Objective = time.Second
			h.warmUp(t)
			c.change(h)
			h.pause.Store(int64(150 * time.Millisecond))
			h.slowRequests(t, 8)
			if n := h.ranTwice(); n != 0 || h.count("request_hedged") != 0 {
				t.Errorf("%d requests ran twice, events %v, want none", n, h.events)
			}
		})
	}
}
