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
	// orderTimeout bounds an order; engines answer within milliseconds.
	orderTimeout = 700 * time.Millisecond
	// reportLag is how old an engine's report may be when it comes.
	reportLag = 450 * time.Millisecond
	// warmPoll and coldPoll are the pauses between two looks at a load that is late.
	warmPoll = 12 * time.Millisecond
	coldPoll = 25 * time.Millisecond
	// idleTick is the longest pause between two rounds.
	idleTick = 100 * time.Millisecond
	// modelPoll is the pause between two looks at the load of a base model.
	modelPoll = 150 * time.Millisecond
	// failurePause is the wait after an order without an answer.
	failurePause = 300 * time.Millisecond
)

// ErrEnded is the cause of an ask that waited when this VM gave the engine up.
var ErrEnded = errors.New("this VM no longer orders for the engine")

type control interface {
	Report(ctx context.Context, r fuchsiaspoke.Replica) (fuchsiaspoke.ReplicaReport, error)
	Order(ctx context.Context, r fuchsiaspoke.Replica, o fuchsiaspoke.EngineOrder) (fuchsiaspoke.OrderResult, error)
}

// Keeper orders for one engine; all fields are set before Run.
type Keeper struct {
	Replica fuchsiaspoke.Replica
	Model   string
	Limits  fuchsiaspoke.EngineLimits
	Control control
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
	plan    scheduler.Scheduler
	grants  map[string]chan verdict
	kick    chan struct{}
	ended   chan struct{}
	started bool
	// synced says that the engine's places and its count of orders are known.
	synced     bool
	count      int64
	uncertain  int64
	lastOrder  time.Duration
	modelReady bool
	// silent says that the engine did not answer when it was last asked for its state.
	silent     bool
	pauseUntil time.Duration
}

// verdict ends the wait of an ask: with a place, or with a refusal.
type verdict struct {
	grant   scheduler.Granted
	refusal *fuchsiaspoke.Refusal
}

// Ask waits for a place: send is told that the ask waits, then that it is granted; the place is kept until ctx ends. An ask
// that would wait beyond its limit isn't taken on, and ends after send was told so.
func (k *Keeper) Ask(ctx context.Context, ask fuchsiaspoke.EngineAsk, send func(fuchsiaspoke.EngineGrant) error) error {
	decided := make(chan verdict, 1)
	wait, refusal := k.offer(ask, decided)
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
	case <-k.ended:
		return ErrEnded
	case v := <-decided:
		if v.refusal != nil {
			return v.refusal
		}
		err := send(fuchsiaspoke.EngineGrant{
			Granted: true, Wait: v.grant.Wait, Incarnation: k.Replica.Incarnation(), Version: v.grant.Version,
		})
		if err != nil {
			return err
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

func (k *Keeper) offer(ask fuchsiaspoke.EngineAsk, decided chan verdict) (time.Duration, *fuchsiaspoke.Refusal) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.init()
	if k.silent {
		return 0, silentEngine()
	}
	wait, refusal := k.plan.Offer(k.Clock(), ask)
	if refusal == nil && !ask.Slower(wait) {
		k.grants[ask.ID] = decided
		k.wake()
	}
	return wait, refusal
}

func (k *Keeper) cancel(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.grants, id)
	k.plan.Cancel(k.Clock(), id)
	k.wake()
}

// Progress notes what became of a granted request.
func (k *Keeper) Progress(p fuchsiaspoke.EngineProgress) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.init()
	if p.NotHeld {
		k.Log("engine refused for want of the adapter", "request", p.ID, "engine", k.Replica.ID)
		k.synced = false
	} else {
		k.plan.First(k.Clock(), p.ID)
	}
	k.wake()
}

// View sums the engine up for other VMs.
func (k *Keeper) View() fuchsiaspoke.EngineView {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.plan.View()
	v.Engine, v.Fence = k.Replica.Incarnation(), k.Fence
	v.Open = k.modelReady && !k.silent
	return v
}

// Run gives orders until the context ends, and reports its end on the channel.
func (k *Keeper) Run(ctx context.Context) <-chan error {
	k.mu.Lock()
	k.init()
	k.mu.Unlock()
	done := make(chan error, 1)
	go func() { done <- k.run(ctx) }()
	return done
}

func (k *Keeper) run(ctx context.Context) error {
	defer close(k.ended)
	for ctx.Err() == nil {
		k.round(ctx)
		t := time.NewTimer(k.pause())
		select {
		case <-ctx.Done():
		case <-k.kick:
		case <-t.C:
		}
		t.Stop()
	}
	return ctx.Err()
}

func (k *Keeper) init() {
	if k.started {
		return
	}
	k.started = true
	k.kick = make(chan struct{}, 1)
	k.ended = make(chan struct{})
	k.grants = make(map[string]chan verdict)
	k.plan.Limits = k.Limits
	k.plan.Limits.AdapterSlots = k.Limits.AdapterPlaces(k.Model)
}

func (k *Keeper) wake() {
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// pause is how long nothing is due.
func (k *Keeper) pause() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	wait := idleTick
	if next, any := k.plan.NextReady(); any {
		wait = min(wait, max(next-k.Clock(), time.Millisecond))
	}
	return wait
}

func (k *Keeper) round(ctx context.Context) {
	k.expire()
	if synced, _ := k.state(); !synced && !k.sync(ctx) {
		return
	}
	if _, ready := k.state(); !ready {
		k.loadModel(ctx)
		return
	}
	k.confirm(ctx)
	k.start()
	for ctx.Err() == nil {
		change, due := k.next()
		if !due || !k.change(ctx, change) {
			return
		}
	}
}

// state reports whether the engine's places are known, and whether it holds the base model.
func (k *Keeper) state() (synced, modelReady bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.synced, k.modelReady
}

func (k *Keeper) next() (scheduler.Change, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Clock()
	if now < k.pauseUntil || !k.synced {
		return scheduler.Change{}, false
	}
	for _, a := range k.plan.Held() {
		k.plan.Announce(now, a, k.Versions(a))
	}
	return k.plan.Next(now)
}

// start hands out the places that are ready.
func (k *Keeper) start() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, g := range k.plan.Start(k.Clock()) {
		k.decide(g.ID, verdict{grant: g})
	}
}

// expire refuses the asks that waited until they can't be served any more.
func (k *Keeper) expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, x := range k.plan.Expire(k.Clock()) {
		k.Log("place not granted in time", "request", x.ID, "engine", k.Replica.ID, "synced", k.synced, "model_held", k.modelReady)
		k.decide(x.ID, verdict{refusal: x.Refusal})
	}
}

// giveUp refuses all that waits, so that it goes on to engines that answer.
func (k *Keeper) giveUp() {
	for id := range k.grants {
		k.decide(id, verdict{refusal: silentEngine()})
	}
}

func silentEngine() *fuchsiaspoke.Refusal {
	return fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeNoUpstream, Run: fuchsiaspoke.NotRun, Status: 503, Message: "the engine does not answer",
	}.WithRetryAfter(failurePause)
}

func (k *Keeper) decide(id string, v verdict) {
	if decided := k.grants[id]; decided != nil {
		decided <- v
		delete(k.grants, id)
	}
}
