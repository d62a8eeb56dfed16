// Package dispatcher runs one engine replica for the VM that holds its lease: it queues, loads adapters and sends.
package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/queuer"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/slotter"
)

const (
	// inboxSize is the number of messages that wait for the duty; when it is full, senders wait.
	inboxSize = 256
	// tickEvery is how often the lease, deadlines and backoffs are looked at when nothing else happens.
	tickEvery = 10 * time.Millisecond
	// reportEvery is the time between two reports of the engine.
	reportEvery = 250 * time.Millisecond
	// orderTimeout bounds one load or unload order.
	orderTimeout = 10 * time.Second
	// cancelTimeout bounds one cancel order.
	cancelTimeout = time.Second
	// claimTimeout bounds one claim and one report.
	claimTimeout = 2 * time.Second
	// defaultPatience is the patience of a generation that names none.
	defaultPatience = 30 * time.Second
	// headroomPart is the part of the batch, one over it, that is kept from the account with the most running requests.
	headroomPart = 5
	// defaultMaxQueued and defaultStall stand for MaxQueued and Stall where those are zero.
	defaultMaxQueued = 20_000
	defaultStall     = 20 * time.Second
	// retryAfter is when a refused caller is told to come back.
	retryAfter = time.Second
)

// engine is the replica's adapter orders and generations.
type engine interface {
	Load(ctx context.Context, a fuchsiaspoke.Adapter, fence int64) error
	Unload(ctx context.Context, a fuchsiaspoke.Adapter, fence int64) error
	Claim(ctx context.Context, fence int64) (fuchsiaspoke.EngineReport, error)
	Report(ctx context.Context) (fuchsiaspoke.EngineReport, error)
	Generate(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error
	Cancel(ctx context.Context, requestID string) error
}

// permits is the fleet-wide budget of adapter loads; release must not block.
type permits interface {
	Acquire(ctx context.Context, account string) (release func(used bool), err error)
}

// recorder takes events for the time line; it must not block.
type recorder interface {
	Record(fuchsiaspoke.Event)
}

// Dispatcher is the running duty for one engine replica.
//
// One goroutine owns the queue and the slots. It acts only while Lease says that this VM holds the replica's lease;
// the lease is looked at again as the last step before each send, load and unload. A lost lease ends the queue at once
// and leaves running streams to their end. Set the fields before the first call; only Upstream, Engine and Lease are
// required.
type Dispatcher struct {
	Upstream fuchsiaspoke.Upstream
	Engine   engine
	// Lease returns the replica's lease and whether it is held at the given time since the process started; it must
	// not block and is called from several goroutines, as are Check, Recorder and Clock.
	Lease func(now time.Duration) (fuchsiaspoke.Lease, bool)
	// Permits is the budget of loads; nil sets no bound.
	Permits permits
	// Check is the last look at a generation before it is sent: key, adapter version, reservation; nil passes all.
	Check func(g fuchsiaspoke.Generation) error
	// Recorder takes the time line's events; nil drops them.
	Recorder recorder
	// Clock is the time since the process started and goes on while suspended; nil uses the monotonic clock.
	Clock func() time.Duration
	// MaxQueued is the most requests that wait; more are refused as not run. Zero is 20,000.
	MaxQueued int
	// Stall is how long a stream may give nothing before it counts as broken; zero is 20 s.
	Stall time.Duration
	// Violated is told of each broken invariant after it was recorded; nil does no more.
	Violated func(detail string)

	once     sync.Once
	inbox    chan message
	done     chan struct{}
	snapshot atomic.Pointer[snapshot]

	// The fields below belong to Run's goroutine.
	queue    queuer.Queuer
	slots    slotter.Slotter
	waiting  map[string]*task
	running  map[*task]struct{}
	spawned  int
	workers  context.Context
	draining bool
	tenure   tenure
	loader   loaderState
	reporter reporterState
	// pausedUntil keeps sends off an engine that refuses them.
	pausedUntil time.Duration
	pauses      int
}

// snapshot is what Load reports.
type snapshot struct {
	queuedTokens int64
	running      int
	resident     []fuchsiaspoke.Adapter
}

// Run does the duty until ctx ends; it refuses what is queued then, and leaves running streams to their callers.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.init()
	defer close(d.done)
	workers, cancel := context.WithCancel(ctx)
	defer cancel()
	d.workers = workers
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case m := <-d.inbox:
			m.apply(d, d.Clock())
			d.applyWaiting()
		case <-tick.C:
		}
		d.step(d.Clock())
	}
	cancel()
	d.stop()
	return errors.Wrapf(ctx.Err(), "dispatch to upstream %s", d.Upstream.ID)
}

// Done is closed when Run has ended.
func (d *Dispatcher) Done() <-chan struct{} {
	d.init()
	return d.done
}

// Drain takes no new work, refuses what is queued as not run, so that it goes elsewhere, and lets running streams end.
func (d *Dispatcher) Drain() {
	d.init()
	d.post(drained{})
}

// Resume takes new work again after Drain.
func (d *Dispatcher) Resume() {
	d.init()
	d.post(resumed{})
}

// Withdraw refuses the queued work of the key with this hash at once, and ends its running streams after a grace period.
func (d *Dispatcher) Withdraw(keyHash string) {
	d.init()
	d.post(withdrawn{keyHash})
}

// Load returns the bound on queued tokens, the number of running requests, and the adapters ready for use.
func (d *Dispatcher) Load() (queuedTokens int64, running int, resident []fuchsiaspoke.Adapter) {
	s := d.snapshot.Load()
	if s == nil {
		return 0, 0, nil
	}
	return s.queuedTokens, s.running, s.resident
}

func (d *Dispatcher) init() {
	d.once.Do(func() {
		d.inbox = make(chan message, inboxSize)
		d.done = make(chan struct{})
		d.waiting = make(map[string]*task)
		d.running = make(map[*task]struct{})
		d.loader.failures = make(map[fuchsiaspoke.Adapter]failure)
		d.loader.acquiring = make(map[string]bool)
		d.slots.Slots = d.Upstream.Slots
		d.slots.Violated = d.violate
		d.queue.Violated = d.violate
		d.queue.Batch = d.Upstream.Batch
		d.queue.Headroom = d.Upstream.Batch / headroomPart
		if d.MaxQueued == 0 {
			d.MaxQueued = defaultMaxQueued
		}
		if d.Stall == 0 {
			d.Stall = defaultStall
		}
		if d.Clock == nil {
			started := time.Now()
			d.Clock = func() time.Duration { return time.Since(started) }
		}
	})
}

// step does all that the state allows.
func (d *Dispatcher) step(now time.Duration) {
	d.followLease(now)
	d.expire(now)
	d.charge()
	d.send(now)
	d.load(now)
	d.cutWithdrawn(now)
	d.report(now)
	d.publish()
}

// stop refuses the queue and waits for the workers that it started.
func (d *Dispatcher) stop() {
	d.refuseQueued(drainingRefusal())
	d.tenure = tenure{number: d.tenure.number + 1}
	for d.spawned > 0 {
		m := <-d.inbox
		m.apply(d, d.Clock())
	}
	d.applyWaiting()
	d.publish()
}

// applyWaiting takes in what waits in the inbox now, so that one step serves many messages.
func (d *Dispatcher) applyWaiting() {
	for range inboxSize {
		select {
		case m := <-d.inbox:
			m.apply(d, d.Clock())
		default:
			return
		}
	}
}

// expire refuses work whose patience has run out.
func (d *Dispatcher) expire(now time.Duration) {
	for _, g := range d.queue.Expire(now) {
		d.refuse(g, deadlineRefusal())
	}
}

// charge adds what the running streams generated since the last time to their accounts.
func (d *Dispatcher) charge() {
	for t := range d.running {
		d.chargeTask(t)
	}
}

func (d *Dispatcher) chargeTask(t *task) {
	generated := t.generated.Load()
	d.queue.Charge(t.generation.Account, generated-t.charged)
	t.charged = generated
}

// send grants queued work its place in the running batch.
func (d *Dispatcher) send(now time.Duration) {
	if !d.tenure.active || now < d.pausedUntil {
		return
	}
	for len(d.running)+d.foreign() < d.Upstream.Batch {
		g, ok := d.queue.Pop(now, d.fits)
		if !ok {
			return
		}
		t := d.waiting[g.RequestID]
		delete(d.waiting, g.RequestID)
		d.slots.Use(now, g.Adapter)
		d.running[t] = struct{}{}
		t.tenure, t.fence = d.tenure.number, d.tenure.fence
		t.verdict <- nil
	}
}

// foreign is the bound on the engine's requests that are not in the running table.
func (d *Dispatcher) foreign() int {
	earlier := 0
	for t := range d.running {
		if t.tenure != d.tenure.number {
			earlier++
		}
	}
	return max(0, d.slots.Foreign()-earlier)
}

func (d *Dispatcher) fits(g fuchsiaspoke.Generation) int {
	switch {
	case !d.slots.Fits(g.Adapter):
		return queuer.Blocked
	case d.slots.Running(g.Adapter):
		return queuer.Preferred
	default:
		return queuer.Runnable
	}
}

// report asks the engine for its state now and then.
func (d *Dispatcher) report(now time.Duration) {
	if !d.tenure.active || d.reporter.asking || now < d.reporter.next {
		return
	}
	d.reporter.asking = true
	d.reporter.next = now + reportEvery
	number, started := d.tenure.number, d.started()
	d.spawn(func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		report, err := d.Engine.Report(ctx)
		return reported{number: number, started: started, report: report, err: err}
	})
}

// started lists this tenure's streams that the engine surely runs.
func (d *Dispatcher) started() []*task {
	var out []*task
	for t := range d.running {
		if t.tenure == d.tenure.number && t.generated.Load() > 0 {
			out = append(out, t)
		}
	}
	return out
}

func (d *Dispatcher) publish() {
	d.snapshot.Store(&snapshot{
		queuedTokens: d.queue.Tokens(),
		running:      len(d.running),
		resident:     d.slots.Resident(),
	})
}

// refuse answers one queued generation that the queue no longer holds.
func (d *Dispatcher) refuse(g fuchsiaspoke.Generation, refusal fuchsiaspoke.Refusal) {
	t := d.waiting[g.RequestID]
	delete(d.waiting, g.RequestID)
	d.answer(t, refusal)
}

// answer gives a task its refusal, with what is known of its run.
func (d *Dispatcher) answer(t *task, refusal fuchsiaspoke.Refusal) {
	refusal.Run = t.run
	d.record(fuchsiaspoke.Event{
		Kind:      fuchsiaspoke.EventRefused,
		RequestID: t.generation.RequestID,
		Account:   t.generation.Account,
		Detail:    string(refusal.Code) + " " + string(refusal.Run),
	})
	t.verdict <- &refusal
}

func (d *Dispatcher) refuseQueued(refusal fuchsiaspoke.Refusal) {
	for _, g := range d.queue.RemoveAll() {
		d.refuse(g, refusal)
	}
}

// spawn runs a worker whose result comes back as a message; Run waits for it.
func (d *Dispatcher) spawn(work func(ctx context.Context) message) {
	d.spawned++
	ctx := d.workers
	go func() {
		d.inbox <- result{work(ctx)}
	}()
}

// post hands a message to the duty and reports whether it may still be read.
func (d *Dispatcher) post(m message) bool {
	select {
	case d.inbox <- m:
		return true
	case <-d.done:
		return false
	}
}

func (d *Dispatcher) record(e fuchsiaspoke.Event) {
	if d.Recorder == nil {
		return
	}
	e.Upstream = d.Upstream.ID
	d.Recorder.Record(e)
}

func (d *Dispatcher) violate(detail string) {
	d.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventViolation, Detail: detail})
	if d.Violated != nil {
		d.Violated(detail)
	}
}

// jittered spreads a wait over half of it to the whole.
func jittered(wait time.Duration) time.Duration {
	return wait/2 + rand.N(wait/2+1)
}
