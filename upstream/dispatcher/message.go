package dispatcher

import (
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// message is an event or request that Run's goroutine applies to the dispatcher's state.
type message interface {
	// apply updates the dispatcher's state; only Run's goroutine calls it.
	apply(d *Dispatcher, now time.Duration)
}

// workerResult is the message that a spawned worker returned.
type workerResult struct {
	message
}

func (m workerResult) apply(d *Dispatcher, now time.Duration) {
	d.activeWorkers--
	m.message.apply(d, now)
}

// submitRequest submits a new task.
type submitRequest struct {
	task *task
}

func (m submitRequest) apply(d *Dispatcher, now time.Duration) {
	g := m.task.generation
	d.syncLease(now)
	switch {
	case d.draining || d.workerCtx.Err() != nil:
		d.refuseTask(m.task, drainingRefusal())
		return
	case !d.term.held:
		d.refuseTask(m.task, leaseLostRefusal())
		return
	case d.isQueuedOrRunning(g.RequestID):
		m.task.run = fuchsiaspoke.RunUnknown
		d.refuseTask(m.task, duplicateRefusal())
		return
	case d.queue.Len() >= d.MaxQueued:
		d.refuseTask(m.task, overloadedRefusal())
		return
	}
	m.task.deadline = now + g.MaxWait
	d.queue.Push(now, g)
	d.waiting[g.RequestID] = m.task
	d.record(fuchsiaspoke.Event{
		Kind:      fuchsiaspoke.EventQueued,
		RequestID: g.RequestID,
		Account:   g.Account,
		Tokens:    g.CostTokens(),
	})
}

func (d *Dispatcher) isQueuedOrRunning(requestID string) bool {
	if d.waiting[requestID] != nil {
		return true
	}
	for t := range d.running {
		if t.generation.RequestID == requestID {
			return true
		}
	}
	return false
}

// callerCanceled says that the context of a task's caller ended; it has no effect if the task is no longer queued.
type callerCanceled struct {
	task *task
}

func (m callerCanceled) apply(d *Dispatcher, _ time.Duration) {
	if d.waiting[m.task.generation.RequestID] != m.task {
		return
	}
	g, _ := d.queue.Remove(m.task.generation.RequestID)
	d.refuseDequeued(g, callerCanceledRefusal())
}

// attemptEnded reports the end of one send attempt of a task, which may have to be queued again.
type attemptEnded struct {
	task    *task
	outcome outcome
}

func (m attemptEnded) apply(d *Dispatcher, now time.Duration) {
	t := m.task
	g := t.generation
	if _, ok := d.running[t]; !ok {
		d.recordViolation("attempt ended for a request that is not running: " + g.RequestID)
		return
	}
	d.chargeTask(t)
	delete(d.running, t)
	d.slots.Release(g.Adapter)
	d.queue.Finish(g.Account)
	if m.outcome.mayStillRun {
		d.slots.Pin(now, g.Adapter)
	}
	if m.outcome.adapterMissing && t.termNumber == d.term.number {
		d.slots.MarkNotResident(g.Adapter)
		d.reporter.nextAt = now
	}
	d.pauseSends(now, m.outcome)
	if m.outcome.shouldRequeue {
		d.requeue(now, t)
	}
}

// requeue queues a task again with the time that remains until its deadline.
func (d *Dispatcher) requeue(now time.Duration, t *task) {
	switch {
	case d.draining || d.workerCtx.Err() != nil:
		d.refuseTask(t, drainingRefusal())
		return
	case !d.term.held:
		d.refuseTask(t, leaseLostRefusal())
		return
	case now >= t.deadline:
		d.refuseTask(t, deadlineRefusal())
		return
	}
	g := t.generation
	g.MaxWait = t.deadline - now
	d.queue.Requeue(now, g)
	d.waiting[g.RequestID] = t
}

// keyWithdrawal says that the key with this hash was withdrawn.
type keyWithdrawal struct {
	keyHash string
}

func (m keyWithdrawal) apply(d *Dispatcher, now time.Duration) {
	for _, g := range d.queue.RemoveKey(m.keyHash) {
		d.refuseDequeued(g, keyWithdrawnRefusal())
	}
	for t := range d.running {
		if m.keyHash != "" && t.generation.KeyHash == m.keyHash && t.cancelAt == 0 {
			t.cancelAt = now + withdrawnKeyGrace
		}
	}
}

// drainRequest stops the acceptance of new tasks and refuses the queued ones.
type drainRequest struct{}

func (drainRequest) apply(d *Dispatcher, _ time.Duration) {
	if d.draining {
		return
	}
	d.draining = true
	d.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventDraining})
	d.refuseQueued(drainingRefusal())
}

// resumeRequest ends a drain.
type resumeRequest struct{}

func (resumeRequest) apply(d *Dispatcher, _ time.Duration) { d.draining = false }

// claimResult is the engine's report in response to a claim, or the error.
type claimResult struct {
	termNumber int64
	sentAt     time.Duration
	report     fuchsiaspoke.EngineReport
	err        error
}

func (m claimResult) apply(d *Dispatcher, now time.Duration) {
	if m.termNumber != d.term.number {
		return
	}
	d.term.claiming = false
	if m.err != nil {
		d.term.nextClaimAt = now + jittered(reportInterval)
		return
	}
	d.slots.TakeOver(m.sentAt, m.report)
	d.term.active = true
	d.reporter.nextAt = now + reportInterval
	d.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventLeaseTaken, Detail: claimDetail(d.term.fence, m.report)})
}

// reportResult is the engine's report, or the error.
type reportResult struct {
	termNumber   int64
	startedTasks []*task
	report       fuchsiaspoke.EngineReport
	err          error
}

func (m reportResult) apply(d *Dispatcher, now time.Duration) {
	d.reporter.inFlight = false
	d.reporter.lastFailed = m.err != nil
	if m.termNumber != d.term.number || !d.term.active || m.err != nil {
		return
	}
	// own counts the started tasks that still run, so that they also ran when the engine made the report.
	own := 0
	for _, t := range m.startedTasks {
		if _, ok := d.running[t]; ok {
			own++
		}
	}
	if !d.slots.Observe(now, m.report, own) {
		return
	}
	// The engine has restarted without adapters, so it must be claimed again.
	d.slots.Reset(m.report)
	d.term.active = false
	d.term.nextClaimAt = now
}

// reporterState is the schedule of report requests.
type reporterState struct {
	inFlight bool
	// lastFailed says that the last report request failed.
	lastFailed bool
	nextAt     time.Duration
}
