// Package keeper gives the orders for one engine and hands out its places, as long as this VM holds it.
package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/scheduler"
	"github.com/pkg/errors"
)

const (
	// requestTimeout bounds an order; engines answer within milliseconds.
	requestTimeout = 700 * time.Millisecond
	// maxReportAge is how old an engine's report may be when it comes.
	maxReportAge = 450 * time.Millisecond
	// warmLoadPollInterval and coldPoll are the pauses between two looks at a load that is late.
	warmLoadPollInterval = 12 * time.Millisecond
	coldLoadPollInterval = 25 * time.Millisecond
	// maxReconcileInterval is the longest pause between two rounds.
	maxReconcileInterval = 100 * time.Millisecond
	// modelLoadPollInterval is the pause between two looks at the load of a base model.
	modelLoadPollInterval = 150 * time.Millisecond
	// failureBackoff is the wait after an order without an answer.
	failureBackoff = 300 * time.Millisecond
)

// ErrStopped is the cause of an ask that waited when this VM gave the engine up.
var ErrStopped = errors.New("this VM no longer orders for the engine")

type engineClient interface {
	Report(ctx context.Context, r fuchsiaspoke.Replica) (fuchsiaspoke.ReplicaReport, error)
	Order(ctx context.Context, r fuchsiaspoke.Replica, o fuchsiaspoke.EngineOrder) (fuchsiaspoke.OrderResult, error)
}

// Keeper orders for one engine; all fields are set before Run.
type Keeper struct {
	Replica fuchsiaspoke.Replica
	Model   string
	Limits  fuchsiaspoke.EngineLimits
	Control engineClient
	// Holder is this VM and Fence the number that it orders under.
	Holder string
	Fence  int64
	Clock  func() time.Duration
	// Holds reports whether this VM still holds the engine; it is asked right before each order.
	Holds func() bool
	// Ordered is told of each order that may have been accepted.
	Ordered func()
	// Foreign is told that another VM ordered the engine.
	Foreign func()
	Log     func(event string, keysAndValues ...any)
	// Versions returns the newest announced version of an adapter; 0 is none.
	Versions func(adapter string) int64

	mu      sync.Mutex
	sched    scheduler.Scheduler
	pending  map[string]chan decision
	reconcileRequested    chan struct{}
	stopped   chan struct{}
	initialized bool
	// stateKnown says that the engine's places and its count of orders are known.
	stateKnown     bool
	orderCount      int64
	unconfirmedOrders  int64
	lastOrderTime  time.Duration
	modelLoaded bool
	// unresponsive says that the engine did not answer when it was last asked for its state.
	unresponsive     bool
	backoffUntil time.Duration
}

// decision ends the wait of an ask: with a place, or with a refusal.
type decision struct {
	grant   scheduler.Granted
	refusal *fuchsiaspoke.Refusal
}

// Ask waits for a place: send is told that the ask waits, then that it is granted; the place is kept until ctx ends. An ask
// that would wait beyond its limit isn't taken on, and ends after send was told so.
func (k *Keeper) Ask(ctx context.Context, ask fuchsiaspoke.EngineAsk, send func(fuchsiaspoke.EngineGrant) error) error {
	decisions := make(chan decision, 1)
	wait, refusal := k.enqueue(ask, decisions)
	if refusal != nil {
		return refusal
	}
	if ask.Slower(wait) {
		return send(fuchsiaspoke.EngineGrant{Slower: true, Wait: wait})
	}
	defer k.cancel(ask.ID)
	if err := send(fuchsiaspoke.EngineGrant{Wait: wait}); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-k.stopped:
		return ErrStopped
	case d := <-decisions:
		if d.refusal != nil {
			return d.refusal
		}
		err := send(fuchsiaspoke.EngineGrant{
			Granted: true, Wait: d.grant.Wait, Incarnation: k.Replica.Incarnation(), Version: d.grant.Version,
		})
		if err != nil {
			return err
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

func (k *Keeper) enqueue(ask fuchsiaspoke.EngineAsk, decisions chan decision) (time.Duration, *fuchsiaspoke.Refusal) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.init()
	if k.unresponsive {
		return 0, unresponsiveRefusal()
	}
	wait, refusal := k.sched.Offer(k.Clock(), ask)
	if refusal == nil && !ask.Slower(wait) {
		k.pending[ask.ID] = decisions
		k.requestReconcile()
	}
	return wait, refusal
}

func (k *Keeper) cancel(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, id)
	k.sched.Cancel(k.Clock(), id)
	k.requestReconcile()
}

// Progress notes what became of a granted request.
func (k *Keeper) Progress(p fuchsiaspoke.EngineProgress) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.init()
	if p.NotHeld {
		k.Log("engine refused for want of the adapter", "request", p.ID, "engine", k.Replica.ID)
		k.stateKnown = false
	} else {
		k.sched.First(k.Clock(), p.ID)
	}
	k.requestReconcile()
}

// View sums the engine up for other VMs.
func (k *Keeper) View() fuchsiaspoke.EngineView {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.sched.View()
	v.Engine, v.Fence = k.Replica.Incarnation(), k.Fence
	v.Open = k.modelLoaded && !k.unresponsive
	return v
}

// Run gives orders until the context ends, and reports its end on the channel.
func (k *Keeper) Run(ctx context.Context) <-chan error {
	k.mu.Lock()
	k.init()
	k.mu.Unlock()
	done := make(chan error, 1)
	go func() { done <- k.reconcileLoop(ctx) }()
	return done
}

func (k *Keeper) reconcileLoop(ctx context.Context) error {
	defer close(k.stopped)
	for ctx.Err() == nil {
		k.reconcile(ctx)
		t := time.NewTimer(k.reconcileDelay())
		select {
		case <-ctx.Done():
		case <-k.reconcileRequested:
		case <-t.C:
		}
		t.Stop()
	}
	return ctx.Err()
}

func (k *Keeper) init() {
	if k.initialized {
		return
	}
	k.initialized = true
	k.reconcileRequested = make(chan struct{}, 1)
	k.stopped = make(chan struct{})
	k.pending = make(map[string]chan decision)
	k.sched.Limits = k.Limits
	k.sched.Limits.AdapterSlots = k.Limits.AdapterPlaces(k.Model)
}

func (k *Keeper) requestReconcile() {
	select {
	case k.reconcileRequested <- struct{}{}:
	default:
	}
}

// reconcileDelay is how long nothing is due.
func (k *Keeper) reconcileDelay() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	wait := maxReconcileInterval
	if next, any := k.sched.NextReady(); any {
		wait = min(wait, max(next-k.Clock(), time.Millisecond))
	}
	return wait
}

func (k *Keeper) reconcile(ctx context.Context) {
	k.refuseExpired()
	if stateKnown, _ := k.readiness(); !stateKnown && !k.refreshState(ctx) {
		return
	}
	if _, modelLoaded := k.readiness(); !modelLoaded {
		k.loadModel(ctx)
		return
	}
	k.pollChanges(ctx)
	k.grantReady()
	for ctx.Err() == nil {
		change, due := k.nextChange()
		if !due || !k.sendChange(ctx, change) {
			return
		}
	}
}

// readiness reports whether the engine's places are known, and whether it holds the base model.
func (k *Keeper) readiness() (stateKnown, modelLoaded bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stateKnown, k.modelLoaded
}

func (k *Keeper) nextChange() (scheduler.Change, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Clock()
	if now < k.backoffUntil || !k.stateKnown {
		return scheduler.Change{}, false
	}
	for _, a := range k.sched.Held() {
		k.sched.Announce(now, a, k.Versions(a))
	}
	return k.sched.Next(now)
}

// grantReady hands out the places that are ready.
func (k *Keeper) grantReady() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, g := range k.sched.Start(k.Clock()) {
		k.deliver(g.ID, decision{grant: g})
	}
}

// refuseExpired refuses the asks that waited until they can't be served any more.
func (k *Keeper) refuseExpired() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, x := range k.sched.Expire(k.Clock()) {
		k.Log("place not granted in time", "request", x.ID, "engine", k.Replica.ID, "synced", k.stateKnown, "model_held", k.modelLoaded)
		k.deliver(x.ID, decision{refusal: x.Refusal})
	}
}

// refusePending refuses all that waits, so that it goes on to engines that answer.
func (k *Keeper) refusePending() {
	for id := range k.pending {
		k.deliver(id, decision{refusal: unresponsiveRefusal()})
	}
}

func unresponsiveRefusal() *fuchsiaspoke.Refusal {
	return fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeNoUpstream, Run: fuchsiaspoke.NotRun, Status: 503, Message: "the engine does not answer",
	}.WithRetryAfter(failureBackoff)
}

func (k *Keeper) deliver(id string, d decision) {
	if decisions := k.pending[id]; decisions != nil {
		decisions <- d
		delete(k.pending, id)
	}
}
