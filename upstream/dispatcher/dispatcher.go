// Package dispatcher queues generations for one engine replica, loads their adapters and sends them, on the VM that holds
// the replica's lease.
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
	// inboxSize is the capacity of the message channel to Run; senders block while it is full.
	inboxSize = 256
	// tickInterval is how often the lease, deadlines and backoffs are checked while no message arrives.
	tickInterval = 10 * time.Millisecond
	// reportInterval is the time between two report requests to the engine.
	reportInterval = 250 * time.Millisecond
	// loadStepTimeout bounds one load call, or one unload call with the report request before it.
	loadStepTimeout = 10 * time.Second
	// cancelTimeout bounds one cancel call.
	cancelTimeout = time.Second
	// claimTimeout bounds one claim or report call.
	claimTimeout = 2 * time.Second
	// defaultMaxWait replaces a generation's MaxWait that is not positive.
	defaultMaxWait = 30 * time.Second
	// headroomDivisor sets the headroom, BatchSize/headroomDivisor places that the client account with the most running
	// requests may not take while other accounts send requests too.
	headroomDivisor = 5
	// defaultMaxQueued and defaultStallTimeout replace a zero MaxQueued and StallTimeout.
	defaultMaxQueued    = 20_000
	defaultStallTimeout = 20 * time.Second
	// retryAfter is the Retry-After of refusals with status 503.
	retryAfter = time.Second
)

// engine is the API of one engine replica.
type engine interface {
	Load(ctx context.Context, a fuchsiaspoke.Adapter, fence int64) error
	Unload(ctx context.Context, a fuchsiaspoke.Adapter, fence int64) error
	Claim(ctx context.Context, fence int64) (fuchsiaspoke.EngineReport, error)
	Report(ctx context.Context) (fuchsiaspoke.EngineReport, error)
	Generate(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error
	Cancel(ctx context.Context, requestID string) error
}

// permits limits the adapter loads of all VMs together; release must not block.
type permits interface {
	Acquire(ctx context.Context, account string) (release func(used bool), err error)
}

// recorder receives events for the timeline; it must not block.
type recorder interface {
	Record(fuchsiaspoke.Event)
}

// Dispatcher queues and sends the generations of one engine replica.
//
// One goroutine owns the queue and the adapter slots. It acts only while this VM holds the replica's lease, which is
// checked again as the last step before each send, load and unload. When the lease is lost, queued generations are
// refused at once and running streams continue to their end. Set the fields before the first call; only Upstream,
// Engine and Lease are required.
type Dispatcher struct {
	Upstream fuchsiaspoke.Upstream
	Engine   engine
	// Lease returns the replica's lease and whether this VM holds it at the given time since the process started. It
	// must not block; like Check, Recorder and Clock it is called from several goroutines.
	Lease func(now time.Duration) (fuchsiaspoke.Lease, bool)
	// Permits limits adapter loads; nil sets no limit.
	Permits permits
	// Check validates a generation right before it is sent: key, adapter version and token reservation; nil accepts all.
	Check func(g fuchsiaspoke.Generation) error
	// Recorder receives the timeline's events; nil drops them.
	Recorder recorder
	// Clock returns the time since the process started, including time suspended; nil uses the monotonic clock.
	Clock func() time.Duration
	// MaxQueued is the maximum number of queued requests; further ones are refused as not run. Zero means 20,000.
	MaxQueued int
	// StallTimeout is how long a stream may deliver no chunk before it is ended as failed; zero means 20 s.
	StallTimeout time.Duration
	// OnViolation is called for each invariant violation after it was recorded; it may be nil.
	OnViolation func(detail string)

	once     sync.Once
	inbox    chan message
	done     chan struct{}
	snapshot atomic.Pointer[snapshot]

	// The fields below belong to Run's goroutine.
	queue         queuer.Queuer
	slots         slotter.Slotter
	waiting       map[string]*task
	running       map[*task]struct{}
	activeWorkers int
	workerCtx     context.Context
	draining      bool
	term          leaseTerm
	loader        loaderState
	reporter      reporterState
	// pausedUntil is when sending resumes after the engine refused a request.
	pausedUntil       time.Duration
	consecutivePauses int
}

// snapshot is the state that Stats returns.
type snapshot struct {
	queuedTokens int64
	running      int
	resident     []fuchsiaspoke.Adapter
}

// Run dispatches until ctx ends. It then refuses queued generations; running streams end with their callers' contexts.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.init()
	defer close(d.done)
	workerCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.workerCtx = workerCtx
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case m := <-d.inbox:
			m.apply(d, d.Clock())
			d.applyPending()
		case <-tick.C:
		}
		d.advance(d.Clock())
	}
	cancel()
	d.shutdown()
	return errors.Wrapf(ctx.Err(), "dispatch to upstream %s", d.Upstream.ID)
}

// Done returns a channel that is closed when Run has returned.
func (d *Dispatcher) Done() <-chan struct{} {
	d.init()
	return d.done
}

// Drain stops accepting generations, refuses the queued ones as not run, so that callers retry them on another replica,
// and lets running streams finish.
func (d *Dispatcher) Drain() {
	d.init()
	d.post(drainRequest{})
}

// Resume accepts generations again after Drain.
func (d *Dispatcher) Resume() {
	d.init()
	d.post(resumeRequest{})
}

// WithdrawKey refuses the queued generations of the key with this hash at once, and cancels its running streams after a
// grace period.
func (d *Dispatcher) WithdrawKey(keyHash string) {
	d.init()
	d.post(keyWithdrawal{keyHash})
}

// Stats returns an upper bound on the queued tokens, the number of running requests, and the resident adapters.
func (d *Dispatcher) Stats() (queuedTokens int64, running int, resident []fuchsiaspoke.Adapter) {
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
		d.loader.failures = make(map[fuchsiaspoke.Adapter]loadFailure)
		d.loader.permitPending = make(map[string]bool)
		d.slots.Slots = d.Upstream.AdapterSlots
		d.slots.OnViolation = d.recordViolation
		d.queue.OnViolation = d.recordViolation
		d.queue.Batch = d.Upstream.BatchSize
		d.queue.Headroom = d.Upstream.BatchSize / headroomDivisor
		if d.MaxQueued == 0 {
			d.MaxQueued = defaultMaxQueued
		}
		if d.StallTimeout == 0 {
			d.StallTimeout = defaultStallTimeout
		}
		if d.Clock == nil {
			started := time.Now()
			d.Clock = func() time.Duration { return time.Since(started) }
		}
	})
}

// advance performs every action that is due in the current state.
func (d *Dispatcher) advance(now time.Duration) {
	d.syncLease(now)
	d.expire(now)
	d.chargeRunning()
	d.admitToBatch(now)
	d.requestLoadPermit(now)
	d.cancelWithdrawn(now)
	d.requestReport(now)
	d.publishSnapshot()
}

// shutdown refuses the queued generations and waits for the spawned workers.
func (d *Dispatcher) shutdown() {
	d.refuseQueued(drainingRefusal())
	d.term = leaseTerm{number: d.term.number + 1}
	for d.activeWorkers > 0 {
		m := <-d.inbox
		m.apply(d, d.Clock())
	}
	d.applyPending()
	d.publishSnapshot()
}

// applyPending applies up to inboxSize pending messages, so that one advance serves many messages.
func (d *Dispatcher) applyPending() {
	for range inboxSize {
		select {
		case m := <-d.inbox:
			m.apply(d, d.Clock())
		default:
			return
		}
	}
}

// expire refuses queued generations whose deadline has passed.
func (d *Dispatcher) expire(now time.Duration) {
	for _, g := range d.queue.Expire(now) {
		d.refuseDequeued(g, deadlineRefusal())
	}
}

// chargeRunning charges client accounts for the tokens that their running streams generated since the last call.
func (d *Dispatcher) chargeRunning() {
	for t := range d.running {
		d.chargeTask(t)
	}
}

// chargeTask charges the task's client account for the tokens generated since the task's last charge.
func (d *Dispatcher) chargeTask(t *task) {
	generatedTokens := t.generatedTokens.Load()
	d.queue.Charge(t.generation.Account, generatedTokens-t.chargedTokens)
	t.chargedTokens = generatedTokens
}

// admitToBatch moves queued generations into the running batch while it has free places.
func (d *Dispatcher) admitToBatch(now time.Duration) {
	if !d.term.active || now < d.pausedUntil {
		return
	}
	for len(d.running)+d.foreignRequests() < d.Upstream.BatchSize {
		g, ok := d.queue.Pop(now, d.adapterReadiness)
		if !ok {
			return
		}
		t := d.waiting[g.RequestID]
		delete(d.waiting, g.RequestID)
		d.slots.Acquire(now, g.Adapter)
		d.running[t] = struct{}{}
		t.termNumber, t.fence = d.term.number, d.term.fence
		t.decision <- nil
	}
}

// foreignRequests returns an upper bound on the requests that run on the engine and are not in d.running.
func (d *Dispatcher) foreignRequests() int {
	fromEarlierTerms := 0
	for t := range d.running {
		if t.termNumber != d.term.number {
			fromEarlierTerms++
		}
	}
	return max(0, d.slots.ForeignRequests()-fromEarlierTerms)
}

// adapterReadiness returns the Queuer's readiness level of the generation's adapter on the engine.
func (d *Dispatcher) adapterReadiness(g fuchsiaspoke.Generation) int {
	switch {
	case !d.slots.IsReady(g.Adapter):
		return queuer.Blocked
	case d.slots.Running(g.Adapter):
		return queuer.Preferred
	default:
		return queuer.Runnable
	}
}

// requestReport requests the engine's state when the next report is due.
func (d *Dispatcher) requestReport(now time.Duration) {
	if !d.term.active || d.reporter.inFlight || now < d.reporter.nextAt {
		return
	}
	d.reporter.inFlight = true
	d.reporter.nextAt = now + reportInterval
	termNumber, startedTasks := d.term.number, d.startedTasks()
	d.spawn(func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		report, err := d.Engine.Report(ctx)
		return reportResult{termNumber: termNumber, startedTasks: startedTasks, report: report, err: err}
	})
}

// startedTasks returns the running tasks of this lease term that have generated tokens, which proves that the engine started
// them.
func (d *Dispatcher) startedTasks() []*task {
	var out []*task
	for t := range d.running {
		if t.termNumber == d.term.number && t.generatedTokens.Load() > 0 {
			out = append(out, t)
		}
	}
	return out
}

func (d *Dispatcher) publishSnapshot() {
	d.snapshot.Store(&snapshot{
		queuedTokens: d.queue.Tokens(),
		running:      len(d.running),
		resident:     d.slots.Resident(),
	})
}

// refuseDequeued refuses a generation that the caller has removed from the queue, and ends its task's wait.
func (d *Dispatcher) refuseDequeued(g fuchsiaspoke.Generation, refusal fuchsiaspoke.Refusal) {
	t := d.waiting[g.RequestID]
	delete(d.waiting, g.RequestID)
	d.refuseTask(t, refusal)
}

// refuseTask records the refusal and delivers it to the task's caller, with the task's run status.
func (d *Dispatcher) refuseTask(t *task, refusal fuchsiaspoke.Refusal) {
	refusal.Run = t.run
	d.record(fuchsiaspoke.Event{
		Kind:      fuchsiaspoke.EventRefused,
		RequestID: t.generation.RequestID,
		Account:   t.generation.Account,
		Detail:    string(refusal.Code) + " " + string(refusal.Run),
	})
	t.decision <- &refusal
}

func (d *Dispatcher) refuseQueued(refusal fuchsiaspoke.Refusal) {
	for _, g := range d.queue.RemoveAll() {
		d.refuseDequeued(g, refusal)
	}
}

// spawn runs work in a goroutine that sends its result to the inbox; Run waits for it before it returns.
func (d *Dispatcher) spawn(work func(ctx context.Context) message) {
	d.activeWorkers++
	ctx := d.workerCtx
	go func() {
		d.inbox <- workerResult{work(ctx)}
	}()
}

// post sends a message to Run and reports whether it was sent before Run returned.
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

func (d *Dispatcher) recordViolation(detail string) {
	d.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventViolation, Detail: detail})
	if d.OnViolation != nil {
		d.OnViolation(detail)
	}
}

// jittered returns a random duration between half of wait and wait.
func jittered(wait time.Duration) time.Duration {
	return wait/2 + rand.N(wait/2+1)
}
