package controller_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/controller"
)

// fakeEngine completes loads immediately, and fails all calls while unresponsive is set.
type fakeEngine struct {
	mu           sync.Mutex
	resident     map[string]int64
	orders       int64
	unresponsive bool
	pausedUntil  time.Time
	calls        int
}

func (e *fakeEngine) pause() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(time.Until(e.pausedUntil), 0)
}

// setPaused starts a pause, which runs down like that of a real engine, and returns the number of calls so far.
func (e *fakeEngine) setPaused(d time.Duration) (calls int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pausedUntil = time.Now().Add(d)
	return e.calls
}

func (e *fakeEngine) callCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls
}

func (e *fakeEngine) Report(ctx context.Context, _ fuchsiaspoke.Replica) (fuchsiaspoke.ReplicaReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	if e.unresponsive {
		return fuchsiaspoke.ReplicaReport{}, errors.New("engine is unresponsive")
	}
	model := fuchsiaspoke.ResidentModel{Name: "m", Version: 1}
	for name, version := range e.resident {
		model.Adapters = append(model.Adapters, fuchsiaspoke.Adapter{Name: name, Version: version})
	}
	return fuchsiaspoke.ReplicaReport{Replica: fuchsiaspoke.Replica{
		StartedAtMs: 1, OrderCount: e.orders,
		Models: []fuchsiaspoke.ResidentModel{model},
	}}, nil
}

func (e *fakeEngine) Order(_ context.Context, _ fuchsiaspoke.Replica, o fuchsiaspoke.EngineOrder) (fuchsiaspoke.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	if e.unresponsive {
		return fuchsiaspoke.OrderUnknown, errors.New("engine is unresponsive")
	}
	if _, resident := e.resident[o.Adapter]; resident && o.Load {
		return fuchsiaspoke.OrderDone, nil
	}
	e.orders++
	if o.Load {
		e.resident[o.Adapter] = max(o.Version, 1)
		return fuchsiaspoke.OrderAccepted, nil
	}
	delete(e.resident, o.Adapter)
	return fuchsiaspoke.OrderDone, nil
}

func (e *fakeEngine) setUnresponsive(unresponsive bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unresponsive = unresponsive
}

// oldOwner is the VM whose controllers the tests start.
const oldOwner = "vm_1"

// engine is a stand-in of an engine that can ask for a pause.
type engine interface {
	Report(ctx context.Context, r fuchsiaspoke.Replica) (fuchsiaspoke.ReplicaReport, error)
	Order(ctx context.Context, r fuchsiaspoke.Replica, o fuchsiaspoke.EngineOrder) (fuchsiaspoke.OrderResult, error)
	pause() time.Duration
}

func newController(e engine) *controller.Controller {
	began := time.Now()
	return &controller.Controller{
		Replica: fuchsiaspoke.Replica{ID: "engine_1", StartedAtMs: 1}, Model: "m", Engine: e, Owner: oldOwner, Fence: 7,
		Limits: fuchsiaspoke.EngineLimits{
			BatchSize: 96, CacheTokens: 180_000, AdapterSlots: 2, WeightsMB: 16_500,
			Models: map[string]fuchsiaspoke.Model{"m": {WeightsMB: 16_000, AdapterMB: 14}},
		},
		Clock: func() time.Duration { return time.Since(began) },
		Owns:  func() bool { return true }, OnOrder: func() {}, OnForeignOrder: func() {},
		Pause: e.pause,
		Log:   func(string, ...any) {}, LatestVersion: func(string) int64 { return 1 },
	}
}

func startController(t *testing.T, e engine) *controller.Controller {
	t.Helper()
	c := newController(e)
	runController(t, c)
	return c
}

// runController runs a controller until the test ends.
func runController(t *testing.T, c *controller.Controller) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := c.Run(ctx)
	t.Cleanup(func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

func newRequest(id, adapter string) fuchsiaspoke.AdmissionRequest {
	return fuchsiaspoke.AdmissionRequest{
		ID: id, Engine: "engine_1", DueIn: 2 * time.Second, DeadlineIn: 8 * time.Second,
		Demand: fuchsiaspoke.Demand{Model: "m", Adapter: adapter, PromptTokens: 900, OutputTokens: 50},
	}
}

func TestRequestIsGrantedOnceAdapterIsResident(t *testing.T) {
	e := &fakeEngine{resident: map[string]int64{}}
	c := startController(t, e)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var got fuchsiaspoke.AdmissionReply
	err := c.Admit(ctx, newRequest("r1", "a1"), func(reply fuchsiaspoke.AdmissionReply) error {
		if got = reply; reply.Granted {
			cancel()
		}
		return nil
	})
	if !errors.Is(err, context.Canceled) || !got.Granted || got.Version != 1 {
		t.Fatalf("got grant %+v and error %v, want granted version 1 and context.Canceled", got, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resident["a1"] != 1 {
		t.Errorf("engine holds adapters %v, want a1 at version 1", e.resident)
	}
}

// An engine stops answering while a request waits for its adapter. The request must be refused within 2 s, so that another engine
// can serve it.
func TestWaitingRequestIsRefusedWhenEngineStopsAnswering(t *testing.T) {
	const bound = 2 * time.Second
	e := &fakeEngine{resident: map[string]int64{}}
	c := startController(t, e)
	for !c.View().Accepting {
		time.Sleep(time.Millisecond)
	}
	e.setUnresponsive(true)
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 4*bound)
	defer cancel()
	err := c.Admit(ctx, newRequest("r1", "a1"), func(fuchsiaspoke.AdmissionReply) error { return nil })
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.NotRun {
		t.Fatalf("got error %v, want a refusal with run not_run", err)
	}
	if took := time.Since(began); took > bound {
		t.Errorf("refused after %v, want at most 2 s", took)
	}
	if c.View().Accepting {
		t.Error("view of an unresponsive engine is accepting")
	}
	e.setUnresponsive(false)
	for n := 0; !c.View().Accepting; n++ {
		if n > 300 {
			t.Fatal("view is still not accepting 3 s after the engine answers again")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A VM's view of an engine is up to one heartbeat old, so the predicted wait may have grown beyond the request's limit since.
func TestRequestIsNotQueuedWhenPredictedWaitExceedsLimit(t *testing.T) {
	e := &fakeEngine{resident: map[string]int64{}}
	c := startController(t, e)
	for !c.View().Accepting {
		time.Sleep(time.Millisecond)
	}
	req := newRequest("r1", "a1")
	req.MaxWait = 10 * time.Millisecond
	var got fuchsiaspoke.AdmissionReply
	err := c.Admit(context.Background(), req, func(reply fuchsiaspoke.AdmissionReply) error {
		got = reply
		return nil
	})
	if err != nil || !got.WaitLimitExceeded || got.Wait <= req.MaxWait {
		t.Fatalf("got reply %+v and error %v, want WaitLimitExceeded with a wait above 10 ms", got, err)
	}
	time.Sleep(50 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.resident) > 0 || c.View().Waiting > 0 {
		t.Errorf("the request was queued: engine holds adapters %v", e.resident)
	}
}

// While an engine wants a pause from its owner, the owner sends it nothing, but still grants requests for resident adapters, which other
// VMs send. What has to be loaded is loaded after the pause.
func TestPausedEngineReceivesNoOrders(t *testing.T) {
	e := &fakeEngine{resident: map[string]int64{"a1": 1}}
	c := startController(t, e)
	for !c.View().Accepting {
		time.Sleep(time.Millisecond)
	}
	calls := e.setPaused(1500 * time.Millisecond)
	admit := func(id, adapter string) (granted bool, err error) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		err = c.Admit(ctx, newRequest(id, adapter), func(reply fuchsiaspoke.AdmissionReply) error {
			if granted = reply.Granted; granted {
				cancel()
			}
			return nil
		})
		return granted, err
	}
	if granted, err := admit("r1", "a1"); !granted {
		t.Errorf("request for a resident adapter: %v, want a grant", err)
	}
	began := time.Now()
	granted, err := admit("r2", "a2")
	var refusal *fuchsiaspoke.Refusal
	if granted || !errors.As(err, &refusal) || refusal.RetryAfter < time.Second || time.Since(began) > 300*time.Millisecond {
		t.Errorf("request that needs an order: granted %v, error %v after %v, want a refusal at once", granted, err, time.Since(began))
	}
	time.Sleep(e.pause() - 50*time.Millisecond)
	if n := e.callCount() - calls; n > 1 {
		t.Errorf("the engine received %d calls during its pause, want at most the one under way", n)
	}
	time.Sleep(50 * time.Millisecond)
	if granted, err := admit("r3", "a2"); !granted {
		t.Errorf("after the pause: %v, want a grant", err)
	}
}
