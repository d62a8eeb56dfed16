package controller_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/controller"
)

// reportLag is how old the state in a report is; engines report it as of some hundred milliseconds ago.
const reportLag = 300 * time.Millisecond

// silentEngine answers nothing until the time silentUntil. An order that it receives meanwhile is carried out then, although nobody waits for
// its answer any more.
type silentEngine struct {
	mu          sync.Mutex
	silentUntil time.Time
	// orders are the times at which orders were accepted, and loaded those of the adapters.
	orders []time.Time
	loaded map[string]time.Time
}

func (e *silentEngine) silence(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUntil = time.Now().Add(d)
}

// awaitEnd waits until the engine goes on and has carried out what it received before; it fails if ctx ends first.
func (e *silentEngine) awaitEnd(ctx context.Context) error {
	const queued = 20 * time.Millisecond
	e.mu.Lock()
	rest := time.Until(e.silentUntil)
	e.mu.Unlock()
	if rest > 0 {
		rest += queued
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(rest):
		return nil
	}
}

func (e *silentEngine) Report(ctx context.Context, _ fuchsiaspoke.Replica) (fuchsiaspoke.ReplicaReport, error) {
	if err := e.awaitEnd(ctx); err != nil {
		return fuchsiaspoke.ReplicaReport{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	asOf := time.Now().Add(-reportLag)
	model := fuchsiaspoke.ResidentModel{Name: "m", Version: 1}
	for name, at := range e.loaded {
		if at.Before(asOf) {
			model.Adapters = append(model.Adapters, fuchsiaspoke.Adapter{Name: name, Version: 1})
		}
	}
	count := int64(0)
	for _, at := range e.orders {
		if at.Before(asOf) {
			count++
		}
	}
	return fuchsiaspoke.ReplicaReport{Replica: fuchsiaspoke.Replica{
		StartedAtMs: 1, OrderCount: count, Models: []fuchsiaspoke.ResidentModel{model},
	}}, nil
}

func (e *silentEngine) Order(ctx context.Context, _ fuchsiaspoke.Replica, o fuchsiaspoke.EngineOrder) (fuchsiaspoke.OrderResult, error) {
	if err := e.awaitEnd(ctx); err != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		time.AfterFunc(time.Until(e.silentUntil), func() { e.carryOut(o) })
		return fuchsiaspoke.OrderUnknown, err
	}
	return e.carryOut(o), nil
}

func (e *silentEngine) carryOut(o fuchsiaspoke.EngineOrder) fuchsiaspoke.OrderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Expected >= 0 && o.Expected != int64(len(e.orders)) {
		return fuchsiaspoke.OrderConflict
	}
	if _, known := e.loaded[o.Adapter]; known && o.Load {
		return fuchsiaspoke.OrderDone
	}
	e.orders = append(e.orders, time.Now())
	if !o.Load {
		delete(e.loaded, o.Adapter)
		return fuchsiaspoke.OrderDone
	}
	e.loaded[o.Adapter] = time.Now()
	return fuchsiaspoke.OrderAccepted
}

// An engine is silent while it is ordered to load an adapter. The order, whose answer nobody received, is its owner's own, also where the
// engine carries it out only after its silence, and its first report then doesn't count it yet.
func TestOwnOrderOfSilentEngineIsNotTakenForThatOfAnotherVM(t *testing.T) {
	e := &silentEngine{loaded: map[string]time.Time{}}
	began := time.Now()
	var foreign atomic.Int64
	c := &controller.Controller{
		Replica: fuchsiaspoke.Replica{ID: "engine_1", StartedAtMs: 1}, Model: "m", Engine: e, Owner: "vm_1", Fence: 7,
		Limits: fuchsiaspoke.EngineLimits{
			BatchSize: 96, CacheTokens: 180_000, AdapterSlots: 2, WeightsMB: 16_500,
			Models: map[string]fuchsiaspoke.Model{"m": {WeightsMB: 16_000, AdapterMB: 14}},
		},
		Clock: func() time.Duration { return time.Since(began) + time.Second },
		Owns:  func() bool { return true }, OnOrder: func() {}, OnForeignOrder: func() { foreign.Add(1) },
		Pause: func() time.Duration { return 0 }, LatestVersion: func(string) int64 { return 1 },
		Log: func(event string, keysAndValues ...any) {
			t.Log(append([]any{time.Since(began), event}, keysAndValues...)...)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := c.Run(ctx)
	defer func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}()
	for !c.View().Accepting {
		time.Sleep(time.Millisecond)
	}
	e.silence(1250 * time.Millisecond)
	waiting, stop := context.WithTimeout(ctx, 4*time.Second)
	defer stop()
	granted := false
	err := c.Admit(waiting, newRequest("r1", "a1"), func(reply fuchsiaspoke.AdmissionReply) error {
		if granted = reply.Granted; granted {
			stop()
		}
		return nil
	})
	if n := foreign.Load(); n > 0 || !granted {
		t.Errorf("orders of other VMs seen %d times, request granted %v, error %v", n, granted, err)
	}
}
