package controller_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/controller"
)

const (
	// heldLinkSlots is the number of adapters that a heldLinkEngine has room for, as startController states.
	heldLinkSlots = 2
	// heldLinkLoadTime and heldLinkModelLoadTime are the load times of an adapter and of the base model.
	heldLinkLoadTime      = 40 * time.Millisecond
	heldLinkModelLoadTime = 300 * time.Millisecond
)

var errHeld = errors.New("no response: the link is silent")

// heldLinkEngine is an engine behind a link that can hold orders: these are given up by their sender, and carried out when they are
// delivered.
type heldLinkEngine struct {
	mu sync.Mutex
	// isHeld tells which orders the link holds; nil holds none. It is called with mu held.
	isHeld func(fuchsiaspoke.EngineOrder) bool
	held   []fuchsiaspoke.EngineOrder
	// readyAt maps each adapter that occupies a slot to the time at which it is loaded.
	readyAt map[string]time.Time
	// modelReadyAt is the time at which the base model is loaded; zero if it was never ordered.
	modelReadyAt time.Time
	orderCount   int64
	reports      int
	orders       []fuchsiaspoke.EngineOrder
	violations   []string
}

func newHeldLinkEngine(resident ...string) *heldLinkEngine {
	e := &heldLinkEngine{readyAt: map[string]time.Time{}, modelReadyAt: time.Now()}
	for _, adapter := range resident {
		e.readyAt[adapter] = time.Now()
	}
	return e
}

func (e *heldLinkEngine) pause() time.Duration { return 0 }

func (e *heldLinkEngine) Report(context.Context, fuchsiaspoke.Replica) (fuchsiaspoke.ReplicaReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports++
	out := fuchsiaspoke.ReplicaReport{Replica: fuchsiaspoke.Replica{StartedAtMs: 1, OrderCount: e.orderCount}}
	if e.modelReadyAt.IsZero() || time.Now().Before(e.modelReadyAt) {
		out.Busy = !e.modelReadyAt.IsZero()
		return out, nil
	}
	model := fuchsiaspoke.ResidentModel{Name: "m", Version: 1}
	for name, readyAt := range e.readyAt {
		a := fuchsiaspoke.Adapter{Name: name, Version: 1}
		if time.Now().Before(readyAt) {
			model.Loading = append(model.Loading, a)
		} else {
			model.Adapters = append(model.Adapters, a)
		}
	}
	out.Replica.Models = []fuchsiaspoke.ResidentModel{model}
	return out, nil
}

func (e *heldLinkEngine) Order(_ context.Context, _ fuchsiaspoke.Replica, o fuchsiaspoke.EngineOrder) (fuchsiaspoke.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isHeld != nil && e.isHeld(o) {
		e.held = append(e.held, o)
		return fuchsiaspoke.OrderUnknown, errHeld
	}
	return e.carryOut(o), nil
}

// carryOut carries an order out as an engine does. The caller holds mu.
func (e *heldLinkEngine) carryOut(o fuchsiaspoke.EngineOrder) fuchsiaspoke.OrderResult {
	e.orders = append(e.orders, o)
	if o.Expected < 0 {
		e.violations = append(e.violations, fmt.Sprintf("an order expects no count: %+v", o))
	} else if o.Expected != e.orderCount {
		return fuchsiaspoke.OrderConflict
	}
	switch {
	case o.Adapter == "":
		return e.loadModel()
	case !o.Load:
		delete(e.readyAt, o.Adapter)
		e.orderCount++
		return fuchsiaspoke.OrderDone
	}
	if readyAt, known := e.readyAt[o.Adapter]; known {
		if time.Now().Before(readyAt) {
			return fuchsiaspoke.OrderAccepted
		}
		return fuchsiaspoke.OrderDone
	}
	if len(e.readyAt) >= heldLinkSlots {
		e.violations = append(e.violations, fmt.Sprintf("ordered over its room: %+v beside %v", o, slices.Collect(maps.Keys(e.readyAt))))
	}
	e.readyAt[o.Adapter] = time.Now().Add(heldLinkLoadTime)
	e.orderCount++
	return fuchsiaspoke.OrderAccepted
}

// loadModel loads the base model. The caller holds mu.
func (e *heldLinkEngine) loadModel() fuchsiaspoke.OrderResult {
	switch {
	case e.modelReadyAt.IsZero():
		e.modelReadyAt = time.Now().Add(heldLinkModelLoadTime)
		e.orderCount++
		return fuchsiaspoke.OrderAccepted
	case time.Now().Before(e.modelReadyAt):
		return fuchsiaspoke.OrderConflict
	}
	return fuchsiaspoke.OrderDone
}

// holdOrders has the link keep those orders for which hold returns true; nil is none.
func (e *heldLinkEngine) holdOrders(hold func(fuchsiaspoke.EngineOrder) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isHeld = hold
}

// deliver delivers what was held.
func (e *heldLinkEngine) deliver() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range e.held {
		e.carryOut(o)
	}
	e.held = nil
}

func (e *heldLinkEngine) heldCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.held)
}

func (e *heldLinkEngine) holds(adapter string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, known := e.readyAt[adapter]
	return known
}

func (e *heldLinkEngine) expectNoViolations(t *testing.T) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, v := range e.violations {
		t.Error(v)
	}
}

// admit sends one request to the controller, and returns once it is granted, refused, or limit has passed.
func admit(t *testing.T, c *controller.Controller, id, adapter string, limit time.Duration) (granted bool, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err = c.Admit(ctx, newRequest(id, adapter), func(reply fuchsiaspoke.AdmissionReply) error {
		if granted = reply.Granted; granted {
			cancel()
		}
		return nil
	})
	return granted, err
}

// awaitGrant repeats a request until it is granted, as a caller does.
func awaitGrant(t *testing.T, c *controller.Controller, adapter string) {
	t.Helper()
	var lastErr error
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		granted, err := admit(t, c, "request for "+adapter, adapter, 3*time.Second)
		if granted {
			return
		}
		lastErr = err
	}
	t.Fatalf("no request for adapter %s is granted within 5 s: %v", adapter, lastErr)
}

func awaitHeldOrder(t *testing.T, e *heldLinkEngine) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); e.heldCount() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no order was held within 2 s")
		}
	}
}

// Issue 29: the link falls silent while a load is in progress. What was sent meanwhile arrives after the adapter has been unloaded for
// another one.
func TestOrderThatWasGivenUpDoesNotFillEngineOverItsRoom(t *testing.T) {
	e := newHeldLinkEngine()
	c := startController(t, e)
	e.holdOrders(func(fuchsiaspoke.EngineOrder) bool { return e.orderCount > 0 })
	if granted, err := admit(t, c, "r1", "a1", 700*time.Millisecond); granted {
		t.Log("the load was followed without an order")
	} else {
		t.Logf("the request for a1 ended with %v and %d orders held", err, e.heldCount())
	}
	e.holdOrders(nil)
	for _, adapter := range []string{"a2", "a3"} {
		awaitGrant(t, c, adapter)
	}
	e.deliver()
	e.expectNoViolations(t)
	for _, adapter := range []string{"a2", "a3"} {
		if !e.holds(adapter) {
			t.Errorf("the engine no longer holds %s", adapter)
		}
	}
}

// An unload without an answer may still be carried out. Until that is known nothing starts on the adapter.
func TestAdapterIsNotUsedWhileItsUnloadMayStillArrive(t *testing.T) {
	e := newHeldLinkEngine("a1", "a2")
	c := startController(t, e)
	e.holdOrders(func(o fuchsiaspoke.EngineOrder) bool { return !o.Load })
	if granted, err := admit(t, c, "r3", "a3", 300*time.Millisecond); granted {
		t.Fatalf("granted in an engine that is full: %v", err)
	}
	awaitHeldOrder(t, e)
	e.mu.Lock()
	victim := e.held[0].Adapter
	e.mu.Unlock()
	if granted, _ := admit(t, c, "r-victim", victim, 1500*time.Millisecond); granted {
		t.Errorf("a request was granted on %s while its unload may still arrive", victim)
	}
	e.holdOrders(nil)
	awaitGrant(t, c, victim)
	e.deliver()
	if !e.holds(victim) {
		t.Errorf("the late unload took %s away from the request that uses it", victim)
	}
	e.expectNoViolations(t)
}

// A load without an answer keeps its slot, and the engine is neither over its room nor given up when it arrives late.
func TestLoadWithoutAnswerKeepsItsSlot(t *testing.T) {
	e := newHeldLinkEngine("a1")
	c := startController(t, e)
	e.holdOrders(func(o fuchsiaspoke.EngineOrder) bool { return o.Adapter == "a2" })
	if granted, _ := admit(t, c, "r2", "a2", 300*time.Millisecond); granted {
		t.Fatal("granted although its load is held")
	}
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if v := c.View(); len(v.Loading)+len(v.Resident) > 0 && !slices.ContainsFunc(v.Loading, isAdapter("a2")) {
			t.Fatalf("view %+v: the slot of a2 is free while its load may still arrive", v)
		}
	}
	e.deliver()
	e.holdOrders(nil)
	awaitGrant(t, c, "a3")
	e.expectNoViolations(t)
}

func isAdapter(name string) func(fuchsiaspoke.Adapter) bool {
	return func(a fuchsiaspoke.Adapter) bool { return a.Name == name }
}

// What an owner has under way when it loses the engine is void once its successor has ordered.
func TestFirstOrderOfNewOwnerVoidsWhatOldOneGaveUp(t *testing.T) {
	e := newHeldLinkEngine("a1")
	old := startController(t, e)
	awaitGrant(t, old, "a1")
	e.holdOrders(func(o fuchsiaspoke.EngineOrder) bool { return o.Owner == oldOwner })
	if granted, _ := admit(t, old, "r2", "a2", 300*time.Millisecond); granted {
		t.Fatal("granted although its load is held")
	}
	awaitHeldOrder(t, e)
	successor := newController(e)
	successor.Owner, successor.Fence = "vm_2", 8
	runController(t, successor)
	awaitGrant(t, successor, "a3")
	e.deliver()
	e.expectNoViolations(t)
	if e.holds("a2") || !e.holds("a3") {
		t.Errorf("the engine holds a2 %v and a3 %v, want a3 alone", e.holds("a2"), e.holds("a3"))
	}
}

// If what the old owner gave up arrives before its successor's first order, the successor takes it for an order of another VM.
func TestNewOwnerGivesUpEngineThatOldOneOrderedLate(t *testing.T) {
	e := newHeldLinkEngine("a1")
	old := startController(t, e)
	e.holdOrders(func(o fuchsiaspoke.EngineOrder) bool { return o.Owner == oldOwner })
	if granted, _ := admit(t, old, "r2", "a2", 300*time.Millisecond); granted {
		t.Fatal("granted although its load is held")
	}
	awaitHeldOrder(t, e)
	successor := newController(e)
	successor.Owner, successor.Fence = "vm_2", 8
	gaveUp := make(chan struct{}, 1)
	successor.OnForeignOrder = func() {
		select {
		case gaveUp <- struct{}{}:
		default:
		}
	}
	runController(t, successor)
	for !successor.View().Accepting {
		time.Sleep(time.Millisecond)
	}
	e.deliver()
	if granted, _ := admit(t, successor, "r3", "a3", 1500*time.Millisecond); granted {
		t.Error("the successor loaded an adapter beside one that it doesn't know")
	}
	select {
	case <-gaveUp:
	case <-time.After(time.Second):
		t.Error("the successor did not give the engine up")
	}
	e.expectNoViolations(t)
}

// The load of a base model is followed by reports; it is ordered once, with the count that it expects.
func TestBaseModelIsOrderedOnce(t *testing.T) {
	e := newHeldLinkEngine()
	e.modelReadyAt = time.Time{}
	c := startController(t, e)
	began := time.Now()
	awaitGrant(t, c, "a1")
	e.expectNoViolations(t)
	e.mu.Lock()
	defer e.mu.Unlock()
	ordered := 0
	for _, o := range e.orders {
		if o.Adapter == "" {
			ordered++
		}
	}
	if ordered != 1 {
		t.Errorf("the base model was ordered %d times, want once", ordered)
	}
	t.Logf("an adapter is used %v after the start, %d reports", time.Since(began), e.reports)
}
