// Package controller controls one engine while this VM owns it: it sends the load and unload orders and admits requests.
package controller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/scheduler"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/sharer"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/speedmeter"
	"github.com/pkg/errors"
)

const (
	// engineCallTimeout bounds one call to the engine, an order or a state query; engines answer within milliseconds.
	engineCallTimeout = 700 * time.Millisecond
	// maxReportAge is how old the state in an engine's report may be when the report is received.
	maxReportAge = 450 * time.Millisecond
	// warmLoadPollInterval and coldLoadPollInterval are the times between two polls of a load that takes longer than predicted:
	// warm for adapters that were recently resident on the engine, cold for all others.
	warmLoadPollInterval = 12 * time.Millisecond
	coldLoadPollInterval = 25 * time.Millisecond
	// maxReconcileInterval bounds the time from the end of one pass of the reconcile loop to the start of the next.
	maxReconcileInterval = 100 * time.Millisecond
	// modelLoadPollInterval is the time between two reports on the load of a base model.
	modelLoadPollInterval = 150 * time.Millisecond
	// failureBackoff is the wait after an adapter order or a state query that failed, and the retry delay of the requests refused
	// because the engine does not respond.
	failureBackoff = 300 * time.Millisecond
	// moveCost is the time that a request loses at another engine, which has to load its adapter.
	moveCost = 300 * time.Millisecond
)

// ErrStopped is the error of a queued admission request whose controller stopped because this VM no longer owns the engine.
var ErrStopped = errors.New("this VM no longer owns the engine")

type engineClient interface {
	Report(ctx context.Context, r fuchsiaspoke.Replica) (fuchsiaspoke.ReplicaReport, error)
	Order(ctx context.Context, r fuchsiaspoke.Replica, o fuchsiaspoke.EngineOrder) (fuchsiaspoke.OrderResult, error)
}

// Controller controls one engine: it sends its orders, and queues and grants admission requests. All fields are set before Run.
type Controller struct {
	Replica fuchsiaspoke.Replica
	Model   string
	Limits  fuchsiaspoke.EngineLimits
	Engine  engineClient
	// Owner is the id of this VM, and Fence the fencing token sent with each order.
	Owner string
	Fence int64
	Clock func() time.Duration
	// Owns reports whether this VM still owns the engine; it is called right before each order.
	Owns func() bool
	// Former is the view of the engine's former owner, if it is of the same process. Its adapters are published until the engine's state has
	// been read, so that they are used meanwhile.
	Former fuchsiaspoke.EngineView
	// Pause returns how much longer the engine wants no orders and state queries from this VM.
	Pause func() time.Duration
	// Evacuated reports whether the engine's availability zone is evacuated; nil means that it never is.
	Evacuated func() bool
	// OnOrder is called right before each order is sent, since an order without an answer may have been accepted.
	OnOrder func()
	// OnForeignOrder is called when the engine's order count shows that another VM sent it orders.
	OnForeignOrder func()
	Log            func(event string, keysAndValues ...any)
	// Shares are the shares of the client accounts in the service's engines; nil if there is no fair queueing.
	Shares *sharer.Shares
	// LatestVersion returns the newest announced version of an adapter, or 0 if none is announced.
	LatestVersion func(adapter string) int64

	// Speed measures how long work takes at the engine.
	Speed speedmeter.SpeedMeter

	mu    sync.Mutex
	sched scheduler.Scheduler
	// pending holds the admission requests that wait for a decision, and latest the last admission request of each id until it ends.
	pending            map[string]chan decision
	latest             map[string]chan decision
	reconcileRequested chan struct{}
	stopped            chan struct{}
	initialized        bool
	// stateKnown reports that the engine's adapter slots and order count are known; otherwise the next pass queries the engine.
	stateKnown bool
	// queried reports that the engine has answered a state query of this VM, or that one has failed.
	queried bool
	// orderCount is the engine's last reported order count, plus the orders of this VM that it accepted since; repeated adapter
	// orders are not added. Each order expects it.
	orderCount int64
	// unanswered is the order whose answer is missing; nil if there is none. The engine may have carried it out or may do so later, up
	// to the acceptance of another order. No other order is sent meanwhile.
	unanswered *fuchsiaspoke.EngineOrder
	// lastOrderTime is the time of the last order sent, also a repeated one; 0 if none was.
	lastOrderTime time.Duration
	// modelLoaded reports that the engine's last report contains the base model.
	modelLoaded bool
	// busy reports that the engine was loading or unloading a base model when it made its last report.
	busy bool
	// unresponsive reports that the last state query to the engine failed.
	unresponsive bool
	backoffUntil time.Duration
}

// decision ends the wait of an admission request: either with a grant or with a refusal.
type decision struct {
	grant   scheduler.Grant
	refusal *fuchsiaspoke.Refusal
}

// Admit queues an admission request. It calls send once when the request is queued and again when it is granted; the admission
// lasts until ctx ends. If the predicted wait exceeds the request's limit, the request is not queued: Admit sends a reply with
// WaitLimitExceeded set and returns.
func (c *Controller) Admit(ctx context.Context, req fuchsiaspoke.AdmissionRequest, send func(fuchsiaspoke.AdmissionReply) error) error {
	decisions := make(chan decision, 1)
	wait, refusal := c.enqueue(req, decisions)
	if refusal != nil {
		return refusal
	}
	if req.ExceedsMaxWait(wait) {
		return send(fuchsiaspoke.AdmissionReply{WaitLimitExceeded: true, Wait: wait})
	}
	defer c.cancel(req.ID, decisions)
	if err := send(fuchsiaspoke.AdmissionReply{Wait: wait}); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.stopped:
		return ErrStopped
	case d := <-decisions:
		if d.refusal != nil {
			return d.refusal
		}
		err := send(fuchsiaspoke.AdmissionReply{
			Granted: true, Wait: d.grant.Wait, Incarnation: c.Replica.Incarnation(), Version: d.grant.Version,
		})
		if err != nil {
			return err
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

func (c *Controller) enqueue(req fuchsiaspoke.AdmissionRequest, decisions chan decision) (time.Duration, *fuchsiaspoke.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if c.evacuated() {
		return 0, c.evacuatedRefusal()
	}
	if c.unresponsive {
		return 0, c.unresponsiveRefusal()
	}
	if c.latest[req.ID] != nil {
		c.release(req.ID)
	}
	wait, refusal := c.sched.Enqueue(c.Clock(), req)
	if refusal == nil && !req.ExceedsMaxWait(wait) {
		c.pending[req.ID], c.latest[req.ID] = decisions, decisions
		c.requestReconcile()
	}
	return wait, refusal
}

// cancel ends the admission request that waits for decisions, unless a later one of the same id has taken its place: a request may be
// placed anew at the same engine before the end of its first admission arrives.
func (c *Controller) cancel(id string, decisions chan decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest[id] != decisions {
		return
	}
	c.release(id)
	c.requestReconcile()
}

// release removes a queued admission request, or releases the admission of a granted one. The caller holds mu.
func (c *Controller) release(id string) {
	delete(c.pending, id)
	delete(c.latest, id)
	c.sched.Cancel(c.Clock(), id)
}

// Progress records that a granted request received its first event or was refused by the engine.
func (c *Controller) Progress(p fuchsiaspoke.AdmissionProgress) {
	c.ObserveWork(p.WorkFactor)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if p.NotHeld {
		c.Log("engine refused a granted request; reading the engine's state again", "request", p.ID, "engine", c.Replica.ID)
		c.stateKnown = false
	} else {
		c.sched.RecordFirstEvent(c.Clock(), p.ID)
	}
	c.requestReconcile()
}

// View returns the engine's state as it is published to other VMs.
func (c *Controller) View() fuchsiaspoke.EngineView {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.sched.View()
	v.Engine, v.Fence = c.Replica.Incarnation(), c.Fence
	v.Accepting = c.modelLoaded && !c.unresponsive
	if !c.queried {
		v.Resident, v.Loading = c.Former.Resident, c.Former.Loading
	}
	v.WorkStep = c.Speed.Step()
	return v
}

// ObserveWork records how many times the usual time work takes at the engine, as a response states; 0 is not stated.
func (c *Controller) ObserveWork(factor float64) {
	if step, changed := c.Speed.Observe(factor); changed {
		c.Log("engine speed changed", "engine", c.Replica.ID, "work_step", int(step), "work_factor", step.Factor(), "stated", factor)
	}
}

// Run starts the reconcile loop, which runs until ctx ends. The returned channel then receives the loop's error.
func (c *Controller) Run(ctx context.Context) <-chan error {
	c.mu.Lock()
	c.init()
	c.mu.Unlock()
	done := make(chan error, 1)
	go func() { done <- c.reconcileLoop(ctx) }()
	return done
}

func (c *Controller) reconcileLoop(ctx context.Context) error {
	defer c.stop()
	for ctx.Err() == nil {
		c.reconcile(ctx)
		t := time.NewTimer(c.reconcileDelay())
		select {
		case <-ctx.Done():
		case <-c.reconcileRequested:
		case <-t.C:
		}
		t.Stop()
	}
	return ctx.Err()
}

// stop refuses what waits and ends its wait in the shares of the client accounts.
func (c *Controller) stop() {
	c.mu.Lock()
	c.sched.Close()
	c.mu.Unlock()
	close(c.stopped)
}

func (c *Controller) init() {
	if c.initialized {
		return
	}
	c.initialized = true
	c.reconcileRequested = make(chan struct{}, 1)
	c.stopped = make(chan struct{})
	c.pending = make(map[string]chan decision)
	c.latest = make(map[string]chan decision)
	if c.Shares != nil {
		c.sched.Shares = c.Shares
	}
	c.sched.Limits = c.Limits
	c.sched.Limits.AdapterSlots = c.Limits.AdapterCapacity(c.Model)
}

func (c *Controller) requestReconcile() {
	select {
	case c.reconcileRequested <- struct{}{}:
	default:
	}
}

// reconcileDelay returns the time until the next load is predicted to complete, at most maxReconcileInterval.
func (c *Controller) reconcileDelay() time.Duration {
	wait := maxReconcileInterval
	if c.Pause() > 0 || c.evacuated() {
		return wait
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if readyAt, found := c.sched.NextLoadCheck(); found {
		wait = min(wait, max(readyAt-c.Clock(), time.Millisecond))
	}
	return wait
}

// reconcile is one pass of the reconcile loop: it refuses expired requests, queries the engine if its state is unknown, loads the
// base model if it is missing, resolves the order without an answer, polls pending orders, grants the requests that can start, and
// sends the orders that are due. While the engine wants a pause from this VM, it only refuses and grants: other VMs may still send the
// requests. While the engine's zone is evacuated, it only refuses.
func (c *Controller) reconcile(ctx context.Context) {
	c.refuseExpired()
	if c.evacuated() {
		c.reconcileEvacuated()
		return
	}
	if pause := c.Pause(); pause > 0 {
		c.reconcilePaused(pause)
		return
	}
	if stateKnown, _ := c.readiness(); !stateKnown && !c.refreshState(ctx) {
		return
	}
	if _, modelLoaded := c.readiness(); !modelLoaded {
		c.loadModel(ctx)
		return
	}
	if !c.resolveUnanswered(ctx) {
		c.grantReady()
		return
	}
	c.pollPendingOrders(ctx)
	c.grantReady()
	for ctx.Err() == nil {
		order, due := c.nextOrder()
		if !due || !c.sendNextOrder(ctx, order) {
			return
		}
	}
}

// reconcilePaused grants what needs no order. If the pause is longer than it takes to move a request to another engine, what waits for
// an order is refused.
func (c *Controller) reconcilePaused(pause time.Duration) {
	stateKnown, modelLoaded := c.readiness()
	if stateKnown && modelLoaded {
		c.grantReady()
	}
	if pause <= moveCost {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.sched.AwaitingLoad()
	if !stateKnown || !modelLoaded {
		waiting = slices.Collect(maps.Keys(c.pending))
	}
	for _, id := range waiting {
		c.deliver(id, decision{refusal: c.refusalUntilResumed("the engine wants a pause from its owner")})
	}
}

// readiness reports whether the engine's state is known, and whether the base model is loaded.
func (c *Controller) readiness() (stateKnown, modelLoaded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateKnown, c.modelLoaded
}

// nextOrder returns the next order that is due; none is due during the backoff after a failure, while the engine's state is unknown, or
// while an order has no answer.
func (c *Controller) nextOrder() (scheduler.AdapterOrder, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock()
	if now < c.backoffUntil || !c.stateKnown || c.unanswered != nil {
		return scheduler.AdapterOrder{}, false
	}
	for _, a := range c.sched.OccupiedSlots() {
		c.sched.SetLatestVersion(now, a, c.LatestVersion(a))
	}
	return c.sched.Next(now)
}

// grantReady grants the admission requests that the engine can start now.
func (c *Controller) grantReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range c.sched.Start(c.Clock()) {
		c.deliver(g.ID, decision{grant: g})
	}
}

// deliver sends the decision to the Admit call that waits for it, if there still is one. The caller holds mu.
func (c *Controller) deliver(id string, d decision) {
	if decisions := c.pending[id]; decisions != nil {
		decisions <- d
		delete(c.pending, id)
	}
}
