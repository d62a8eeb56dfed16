// Package controller controls one engine while this VM holds it: it sends the load and unload orders and admits requests.
package controller

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/scheduler"
	"github.com/pkg/errors"
)

const (
	// requestTimeout bounds an order or a state report; engines answer within milliseconds.
	requestTimeout = 700 * time.Millisecond
	// maxReportAge is how old the state in an engine's report may be when the report is received.
	maxReportAge = 450 * time.Millisecond
	// warmLoadPollInterval and coldLoadPollInterval are the times between two polls of a load that takes longer than predicted:
	// warm for adapters that the engine held recently, cold for all others.
	warmLoadPollInterval = 12 * time.Millisecond
	coldLoadPollInterval = 25 * time.Millisecond
	// maxReconcileInterval is the longest time between two passes of the reconcile loop.
	maxReconcileInterval = 100 * time.Millisecond
	// modelLoadPollInterval is the time between two polls of the load of a base model.
	modelLoadPollInterval = 150 * time.Millisecond
	// failureBackoff is the wait after an order or a report that failed, and the retry time of requests refused for it.
	failureBackoff = 300 * time.Millisecond
)

// ErrStopped is the error of a queued ask whose keeper stopped because this VM no longer controls the engine.
var ErrStopped = errors.New("this VM no longer controls the engine")

type engineClient interface {
	Report(ctx context.Context, r fuchsiaspoke.Replica) (fuchsiaspoke.ReplicaReport, error)
	Order(ctx context.Context, r fuchsiaspoke.Replica, o fuchsiaspoke.EngineOrder) (fuchsiaspoke.OrderResult, error)
}

// Controller controls one engine: it sends its orders, queues asks and grants them. All fields are set before Run.
type Controller struct {
	Replica fuchsiaspoke.Replica
	Model   string
	Limits  fuchsiaspoke.EngineLimits
	Engine  engineClient
	// Owner is the id of this VM, and Fence the fencing token sent with each order.
	Owner string
	Fence int64
	Clock func() time.Duration
	// Owns reports whether this VM still holds the engine; it is called right before each order.
	Owns func() bool
	// OnOrder is called right before each order is sent, since an order without an answer may have been accepted.
	OnOrder func()
	// OnForeignOrder is called when the engine's order count shows that another VM sent it orders.
	OnForeignOrder func()
	Log            func(event string, keysAndValues ...any)
	// LatestVersion returns the newest announced version of an adapter, or 0 if none is announced.
	LatestVersion func(adapter string) int64

	mu                 sync.Mutex
	sched              scheduler.Scheduler
	pending            map[string]chan decision
	reconcileRequested chan struct{}
	stopped            chan struct{}
	initialized        bool
	// stateKnown reports that the engine's adapter slots and order count are known.
	stateKnown bool
	// orderCount is the number of orders that the engine is known to have accepted since its start.
	orderCount int64
	// unconfirmedOrders counts orders without an answer, which the engine may or may not have accepted.
	unconfirmedOrders int64
	lastOrderTime     time.Duration
	modelLoaded       bool
	// unresponsive reports that the last state query to the engine failed.
	unresponsive bool
	backoffUntil time.Duration
}

// decision ends the wait of an ask: either with a grant or with a refusal.
type decision struct {
	grant   scheduler.Grant
	refusal *fuchsiaspoke.Refusal
}

// Admit queues a request for admission. It calls send once when the ask is queued and again when it is granted; the grant is held
// until ctx ends. If the predicted wait exceeds the ask's limit, the ask is not queued: Admit sends a grant with Slower set and
// returns.
func (k *Controller) Admit(ctx context.Context, ask fuchsiaspoke.AdmissionRequest, send func(fuchsiaspoke.AdmissionReply) error) error {
	decisions := make(chan decision, 1)
	wait, refusal := k.enqueue(ask, decisions)
	if refusal != nil {
		return refusal
	}
	if ask.ExceedsMaxWait(wait) {
		return send(fuchsiaspoke.AdmissionReply{WaitLimitExceeded: true, Wait: wait})
	}
	defer k.cancel(ask.ID)
	if err := send(fuchsiaspoke.AdmissionReply{Wait: wait}); err != nil {
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
		err := send(fuchsiaspoke.AdmissionReply{
			Granted: true, Wait: d.grant.Wait, Incarnation: k.Replica.Incarnation(), Version: d.grant.Version,
		})
		if err != nil {
			return err
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

func (k *Controller) enqueue(ask fuchsiaspoke.AdmissionRequest, decisions chan decision) (time.Duration, *fuchsiaspoke.Refusal) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.init()
	if k.unresponsive {
		return 0, unresponsiveRefusal()
	}
	wait, refusal := k.sched.Enqueue(k.Clock(), ask)
	if refusal == nil && !ask.ExceedsMaxWait(wait) {
		k.pending[ask.ID] = decisions
		k.requestReconcile()
	}
	return wait, refusal
}

func (k *Controller) cancel(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, id)
	k.sched.Cancel(k.Clock(), id)
	k.requestReconcile()
}

// Progress records that a granted request received its first event or was refused by the engine.
func (k *Controller) Progress(p fuchsiaspoke.AdmissionProgress) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.init()
	if p.NotHeld {
		k.Log("engine refused a granted request; reading the engine's state again", "request", p.ID, "engine", k.Replica.ID)
		k.stateKnown = false
	} else {
		k.sched.RecordFirstEvent(k.Clock(), p.ID)
	}
	k.requestReconcile()
}

// View returns the engine's state as it is published to other VMs.
func (k *Controller) View() fuchsiaspoke.EngineView {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.sched.View()
	v.Engine, v.Fence = k.Replica.Incarnation(), k.Fence
	v.Accepting = k.modelLoaded && !k.unresponsive
	return v
}

// Run starts the reconcile loop, which runs until ctx ends. The returned channel then receives the loop's error.
func (k *Controller) Run(ctx context.Context) <-chan error {
	k.mu.Lock()
	k.init()
	k.mu.Unlock()
	done := make(chan error, 1)
	go func() { done <- k.reconcileLoop(ctx) }()
	return done
}

func (k *Controller) reconcileLoop(ctx context.Context) error {
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

func (k *Controller) init() {
	if k.initialized {
		return
	}
	k.initialized = true
	k.reconcileRequested = make(chan struct{}, 1)
	k.stopped = make(chan struct{})
	k.pending = make(map[string]chan decision)
	k.sched.Limits = k.Limits
	k.sched.Limits.AdapterSlots = k.Limits.AdapterCapacity(k.Model)
}

func (k *Controller) requestReconcile() {
	select {
	case k.reconcileRequested <- struct{}{}:
	default:
	}
}

// reconcileDelay returns the time until the next load is predicted to complete, at most maxReconcileInterval.
func (k *Controller) reconcileDelay() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	wait := maxReconcileInterval
	if readyAt, found := k.sched.NextLoadCheck(); found {
		wait = min(wait, max(readyAt-k.Clock(), time.Millisecond))
	}
	return wait
}

func (k *Controller) reconcile(ctx context.Context) {
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

// readiness reports whether the engine's state is known, and whether the engine holds the base model.
func (k *Controller) readiness() (stateKnown, modelLoaded bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stateKnown, k.modelLoaded
}

func (k *Controller) nextChange() (scheduler.AdapterOrder, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Clock()
	if now < k.backoffUntil || !k.stateKnown {
		return scheduler.AdapterOrder{}, false
	}
	for _, a := range k.sched.OccupiedSlots() {
		k.sched.SetLatestVersion(now, a, k.LatestVersion(a))
	}
	return k.sched.Next(now)
}

// grantReady grants the asks whose requests the engine can start now.
func (k *Controller) grantReady() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, g := range k.sched.Start(k.Clock()) {
		k.deliver(g.ID, decision{grant: g})
	}
}

// refuseExpired refuses the asks that can no longer be served before their deadline.
func (k *Controller) refuseExpired() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, x := range k.sched.Expire(k.Clock()) {
		k.Log("place not granted in time", "request", x.ID, "engine", k.Replica.ID, "synced", k.stateKnown, "model_held", k.modelLoaded)
		k.deliver(x.ID, decision{refusal: x.Refusal})
	}
}

// refusePending refuses all queued asks, so that their requests are retried at other engines. The caller holds mu.
func (k *Controller) refusePending() {
	for id := range k.pending {
		k.deliver(id, decision{refusal: unresponsiveRefusal()})
	}
}

func unresponsiveRefusal() *fuchsiaspoke.Refusal {
	return fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeNoUpstream, Run: fuchsiaspoke.NotRun, Status: 503, Message: "the last state query to the engine failed",
	}.WithRetryAfter(failureBackoff)
}

func (k *Controller) deliver(id string, d decision) {
	if decisions := k.pending[id]; decisions != nil {
		decisions <- d
		delete(k.pending, id)
	}
}
