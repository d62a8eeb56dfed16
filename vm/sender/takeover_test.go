package sender_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/selector"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/tracker"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/transport"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/sender"
)

const (
	streamEvents = 6
	// silence is longer than an engine may send nothing before another one is looked for.
	silence = 2200 * time.Millisecond
	// requestTimeout is the time of a request; a stream of the tests needs less than half of it.
	requestTimeout = 6 * time.Second
)

// engine serves the events after the event from.
type engine func(w http.ResponseWriter, q *http.Request, from int)

// sendEvents sends the events after from to the event to, each on its own.
func sendEvents(w http.ResponseWriter, from, to int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= to; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// soundEngine sends all events.
func soundEngine(w http.ResponseWriter, _ *http.Request, from int) { sendEvents(w, from, streamEvents) }

// hangingAfter returns an engine that sends nothing after the event last.
func hangingAfter(last int) engine {
	return func(w http.ResponseWriter, q *http.Request, from int) {
		sendEvents(w, from, last)
		_ = http.NewResponseController(w).Flush()
		<-q.Context().Done()
	}
}

// silentAfter returns an engine that sends nothing for the time of silence after the event last, and goes on.
func silentAfter(last int) engine {
	return func(w http.ResponseWriter, q *http.Request, from int) {
		sendEvents(w, from, last)
		select {
		case <-q.Context().Done():
		case <-time.After(silence):
			sendEvents(w, last, streamEvents)
		}
	}
}

// refusingEngine says that it does not run the request.
func refusingEngine(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// takeover is a sender with engines that are asked in their order.
type takeover struct {
	*sender.Sender
	route    fuchsiaspoke.ServiceRoute
	replicas []fuchsiaspoke.Replica
	// admits reports whether an engine admits requests now; nil means that all do.
	admits func(id string) bool
}

// newTakeover returns a sender to the engines; one that is nil refuses connections.
func newTakeover(t *testing.T, maxAttempts int, engines ...engine) *takeover {
	t.Helper()
	began := time.Now()
	published := &fuchsiaspoke.PublishedState{
		Contract: &fuchsiaspoke.Contract{Services: map[string]fuchsiaspoke.Service{"texts": {Engine: &fuchsiaspoke.EngineLimits{AdapterSlots: 8}}}},
		Replicas: map[string]fuchsiaspoke.Replica{},
	}
	f := &takeover{route: fuchsiaspoke.ServiceRoute{
		Timeout: requestTimeout, Objective: 800 * time.Millisecond, MaxAttempts: maxAttempts, Streaming: true, Resumable: true,
	}}
	for i, e := range engines {
		r := fuchsiaspoke.Replica{
			ID: fmt.Sprint("engine_", i), Service: "texts", State: fuchsiaspoke.ReplicaReady, Address: startEngine(t, e),
		}
		published.Replicas[r.ID] = r
		f.replicas = append(f.replicas, r)
	}
	f.Sender = &sender.Sender{
		Published: func() *fuchsiaspoke.PublishedState { return published },
		Transport: &transport.Transport{}, Protocol: plainProtocol{}, Tracker: &tracker.Tracker{}, RetryBudget: unlimitedBudget{},
		Finder: f, Origins: noOrigins{}, Clock: func() time.Duration { return time.Since(began) + time.Second },
		Log: func(event string, keysAndValues ...any) {
			t.Log(append([]any{time.Since(began), event}, keysAndValues...)...)
		},
		Observe: func(_, _ time.Duration) {}, ObserveBodyEnd: func(fuchsiaspoke.Framing, fuchsiaspoke.BodyEnd) {},
		Count: func(string) {}, TimeUntilOwned: func() time.Duration { return 0 },
	}
	f.Permitter, f.Quarantiner = newPermitter(f.Sender), newQuarantiner(f.Sender)
	t.Cleanup(f.Transport.Close)
	return f
}

func startEngine(t *testing.T, e engine) string {
	t.Helper()
	if e == nil {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		return l.Addr().String()
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		e(w, q, from)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Find returns the engines that were not tried, in their order and without owners.
func (f *takeover) Find(
	_ context.Context, _, _ string, _ fuchsiaspoke.Demand, tried map[string]bool, _ []fuchsiaspoke.Region,
) []selector.Choice {
	var out []selector.Choice
	for _, r := range f.replicas {
		if !tried[r.ID] && (f.admits == nil || f.admits(r.ID)) {
			out = append(out, selector.Choice{Replica: r, Resident: true})
		}
	}
	return out
}

// serve serves one request whose stream is written to out.
func (f *takeover) serve(out *streamWriter) error {
	req := fuchsiaspoke.AdmittedRequest{
		ID: "r", Service: "texts", Arrived: f.Clock(), Deadline: f.Clock() + requestTimeout, Route: f.route,
		Demand: fuchsiaspoke.Demand{Model: "m", PromptTokens: 100, OutputTokens: 10},
	}
	m := fuchsiaspoke.Message{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}}
	return f.Serve(context.Background(), req, m, out)
}

// expectWhole fails the test unless the stream is complete and each event was written once.
func (f *takeover) expectWhole(t *testing.T, out *streamWriter) {
	t.Helper()
	err := f.serve(out)
	var want strings.Builder
	for n := range streamEvents {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", n+1, n+1)
	}
	if err != nil || out.body.String() != want.String() {
		t.Errorf("error %v, body %q, want the whole stream", err, out.body.String())
	}
}

// noOrigins keeps no records, and knows no stream.
type noOrigins struct{}

func (noOrigins) Record(string, fuchsiaspoke.StreamOrigin, time.Duration) {}
func (noOrigins) Find(context.Context, fuchsiaspoke.StreamQuestion) (fuchsiaspoke.StreamOrigin, bool) {
	return fuchsiaspoke.StreamOrigin{}, false
}

// plainProtocol names the last event, and recognizes refusals.
type plainProtocol struct{}

func (plainProtocol) PrepareMessage(m fuchsiaspoke.Message, _ fuchsiaspoke.AdmittedRequest, s fuchsiaspoke.SendOptions) fuchsiaspoke.Message {
	m.Header = m.Header.Clone()
	m.Header.Set("Last-Event-Id", s.LastEvent)
	return m
}

func (plainProtocol) MatchResponse(fuchsiaspoke.AdmittedRequest, http.Header) fuchsiaspoke.ResponseMatch {
	return fuchsiaspoke.ResponseOwn
}

func (plainProtocol) InterpretHead(_ fuchsiaspoke.AdmittedRequest, _ int, h http.Header) fuchsiaspoke.ResponseInfo {
	notRun := h.Get("X-Not-Executed") != ""
	return fuchsiaspoke.ResponseInfo{NotRun: notRun, Forwardable: !notRun}
}

// streamWriter collects a response, and takes the time of pause for the write that contains the text pauseAt.
type streamWriter struct {
	body    strings.Builder
	pauseAt string
	pause   time.Duration
}

func (*streamWriter) Head(int, http.Header, int) {}

func (w *streamWriter) Body(p []byte) error {
	if w.pauseAt != "" && strings.Contains(string(p), w.pauseAt) {
		time.Sleep(w.pause)
	}
	w.body.Write(p)
	return nil
}

// countedBudget allows a number of retries.
type countedBudget struct {
	mu   sync.Mutex
	left int
}

func (*countedBudget) Add(string) {}

func (b *countedBudget) Take(string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

func (b *countedBudget) Return(string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left++
}

// silentForJitter returns an engine that is silent for about the time after which another one is looked for, and goes on.
func silentForJitter() engine {
	jitter := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	return func(w http.ResponseWriter, _ *http.Request, from int) {
		sendEvents(w, from, 3)
		mu.Lock()
		pause := 1480*time.Millisecond + time.Duration(jitter.IntN(20_000))*time.Microsecond
		mu.Unlock()
		time.Sleep(pause)
		sendEvents(w, 3, streamEvents)
	}
}

// Engines go on while another one begins to answer.
func TestEngineThatGoesOnWhileReplacementOpensKeepsItsStream(t *testing.T) {
	f := newTakeover(t, 2, silentForJitter(), soundEngine)
	f.serveMany(t, func() { f.expectWhole(t, &streamWriter{}) })
}

// serveMany runs 200 requests at once, and logs how many went on or were cut while another engine was looked for.
func (f *takeover) serveMany(t *testing.T, serve func()) {
	t.Helper()
	const streams = 200
	var logged atomic.Int64
	f.Log = func(event string, _ ...any) {
		if event == "stalled attempt went on" || event == "stream cut" {
			logged.Add(1)
		}
	}
	var wg sync.WaitGroup
	for range streams {
		wg.Go(serve)
	}
	wg.Wait()
	t.Logf("%d of %d streams went on or were cut while another engine was looked for", logged.Load(), streams)
}

// All engines are sound, and the caller reads nothing for a while: the time of its pause is not one of the engine's.
func TestSlowCallerDoesNotEndAttemptOfSoundEngine(t *testing.T) {
	f := newTakeover(t, 2, soundEngine, soundEngine)
	f.expectWhole(t, &streamWriter{pauseAt: "id: 3\n", pause: silence})
}

// The first engine dies, the one that took over stalls as well, and a third one may be asked.
func TestStalledReplacementIsReplacedWithinMaxAttempts(t *testing.T) {
	f := newTakeover(t, 3, hangingAfter(2), hangingAfter(4), soundEngine)
	f.expectWhole(t, &streamWriter{})
}

// An engine that could not be connected to has received nothing, so the retry that was meant for it is still there.
func TestReplacementThatWasNotSentCostsNoRetry(t *testing.T) {
	f := newTakeover(t, 2, hangingAfter(3), nil, soundEngine)
	f.RetryBudget = &countedBudget{left: 1}
	f.expectWhole(t, &streamWriter{})
}

// An engine goes on after a silence. The one that was to take over has sent the head of its response and no event.
func TestSilentEngineIsNotEndedForReplacementWithoutEvent(t *testing.T) {
	f := newTakeover(t, 2, silentAfter(3), hangingAfter(0))
	f.expectWhole(t, &streamWriter{})
}

// The last attempt that a request may make stalls, and another engine has taken over already.
func TestReplacementOfLastAttemptIsNotDiscarded(t *testing.T) {
	f := newTakeover(t, 2, nil, nil, nil, silentAfter(3), soundEngine)
	f.expectWhole(t, &streamWriter{})
}

// An engine dies in mid-stream while the other one admits nothing, as its own silence lets it refuse what waits. It does again a moment
// later, with most of the request's time left.
func TestBrokenStreamWaitsForEngineThatAdmitsItAgain(t *testing.T) {
	breaking := func(w http.ResponseWriter, _ *http.Request, from int) {
		sendEvents(w, from, 3)
		panic(http.ErrAbortHandler)
	}
	f := newTakeover(t, 2, breaking, soundEngine)
	silentUntil := time.Now().Add(time.Second)
	f.admits = func(id string) bool { return id == "engine_0" || time.Now().After(silentUntil) }
	f.expectWhole(t, &streamWriter{})
}

// A replacement that was opened and is not needed is no request in flight any more.
func TestDiscardedReplacementIsNotInFlight(t *testing.T) {
	f := newTakeover(t, 3, silentForJitter(), soundEngine)
	f.serveMany(t, func() { _ = f.serve(&streamWriter{}) })
	unused := fuchsiaspoke.Replica{ID: "unused"}
	for range 40 {
		if f.Tracker.Rank(f.Clock()+time.Minute, []fuchsiaspoke.Replica{f.replicas[1], unused})[0].ID != unused.ID {
			return
		}
	}
	t.Error("the engine whose attempt was discarded always ranks behind one without requests")
}

// The first engine may have run the request, and only the second one says that it didn't.
func TestRequestOfUnknownOutcomeIsNotSaidNotToHaveRun(t *testing.T) {
	reset := func(http.ResponseWriter, *http.Request, int) { panic(http.ErrAbortHandler) }
	f := newTakeover(t, 2, reset, refusingEngine)
	err := f.serve(&streamWriter{})
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) || refusal.Run == fuchsiaspoke.NotRun || refusal.Status == http.StatusServiceUnavailable {
		t.Errorf("error %v, want a refusal that says that the outcome is unknown", err)
	}
}

// A response of an idempotent request has no event IDs, so nothing tells how much of it the caller has. A second run must not be appended to
// the part that was sent.
func TestResponseWithoutEventIDsIsNotJoinedFromTwoRuns(t *testing.T) {
	part := func(w http.ResponseWriter, text string) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(text))
		_ = http.NewResponseController(w).Flush()
	}
	hanging := func(w http.ResponseWriter, q *http.Request, _ int) {
		part(w, "{\n\n")
		<-q.Context().Done()
	}
	whole := func(w http.ResponseWriter, _ *http.Request, _ int) { part(w, "{\n\n}") }
	f := newTakeover(t, 2, hanging, whole)
	f.route.Idempotent, f.route.Streaming, f.route.Resumable = true, false, false
	out := &streamWriter{}
	if err := f.serve(out); err == nil && out.body.String() != "{\n\n}" {
		t.Errorf("body %q is not that of one run", out.body.String())
	}
}
