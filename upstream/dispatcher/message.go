package dispatcher

import (
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// message is something that happened; the duty applies it to its state.
type message interface {
	apply(d *Dispatcher, now time.Duration)
}

// result is the message of a worker that has ended.
type result struct {
	message
}

func (m result) apply(d *Dispatcher, now time.Duration) {
	d.spawned--
	m.message.apply(d, now)
}

// submitted brings a new task.
type submitted struct {
	task *task
}

func (m submitted) apply(d *Dispatcher, now time.Duration) {
	g := m.task.generation
	d.followLease(now)
	switch {
	case d.draining || d.workers.Err() != nil:
		d.answer(m.task, drainingRefusal())
		return
	case !d.tenure.held:
		d.answer(m.task, leaseRefusal())
		return
	case d.knows(g.RequestID):
		m.task.run = fuchsiaspoke.RunUnknown
		d.answer(m.task, duplicateRefusal())
		return
	case d.queue.Len() >= d.MaxQueued:
		d.answer(m.task, overloadedRefusal())
		return
	}
	m.task.deadline = now + g.Patience
	d.queue.Push(now, g)
	d.waiting[g.RequestID] = m.task
	d.record(fuchsiaspoke.Event{
		Kind:      fuchsiaspoke.EventQueued,
		RequestID: g.RequestID,
		Account:   g.Account,
		Tokens:    g.CostTokens(),
	})
}

func (d *Dispatcher) knows(requestID string) bool {
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

// canceled tells that a queued task's caller is gone.
type canceled struct {
	task *task
}

func (m canceled) apply(d *Dispatcher, _ time.Duration) {
	if d.waiting[m.task.generation.RequestID] != m.task {
		return
	}
	g, _ := d.queue.Remove(m.task.generation.RequestID)
	d.refuse(g, goneRefusal())
}

// finished tells that a granted task no longer runs, or asks to queue it again.
type finished struct {
	task    *task
	outcome outcome
}

func (m finished) apply(d *Dispatcher, now time.Duration) {
	t := m.task
	g := t.generation
	if _, ok := d.running[t]; !ok {
		d.violate("end of a request that does not run: " + g.RequestID)
		return
	}
	d.chargeTask(t)
	delete(d.running, t)
	d.slots.Done(g.Adapter)
	d.queue.Finish(g.Account)
	if m.outcome.mayRun {
		d.slots.Hold(now, g.Adapter)
	}
	if m.outcome.missing && t.tenure == d.tenure.number {
		d.slots.Missing(g.Adapter)
		d.reporter.next = now
	}
	d.pauseSends(now, m.outcome)
	if m.outcome.again {
		d.requeue(now, t)
	}
}

// requeue queues a task again for what is left of its patience.
func (d *Dispatcher) requeue(now time.Duration, t *task) {
	switch {
	case d.draining || d.workers.Err() != nil:
		d.answer(t, drainingRefusal())
		return
	case !d.tenure.held:
		d.answer(t, leaseRefusal())
		return
	case now >= t.deadline:
		d.answer(t, deadlineRefusal())
		return
	}
	g := t.generation
	g.Patience = t.deadline - now
	d.queue.Requeue(now, g)
	d.waiting[g.RequestID] = t
}

// withdrawn names a key that no longer counts.
type withdrawn struct {
	keyHash string
}

func (m withdrawn) apply(d *Dispatcher, now time.Duration) {
	for _, g := range d.queue.RemoveKey(m.keyHash) {
		d.refuse(g, withdrawnRefusal())
	}
	for t := range d.running {
		if m.keyHash != "" && t.generation.KeyHash == m.keyHash && t.cutAt == 0 {
			t.cutAt = now + withdrawGrace
		}
	}
}

// drained begins the end of the duty.
type drained struct{}

func (drained) apply(d *Dispatcher, _ time.Duration) {
	if d.draining {
		return
	}
	d.draining = true
	d.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventDraining})
	d.refuseQueued(drainingRefusal())
}

// resumed ends what drained began.
type resumed struct{}

func (resumed) apply(d *Dispatcher, _ time.Duration) { d.draining = false }

// claimed is the engine's answer to a claim.
type claimed struct {
	number int64
	at     time.Duration
	report fuchsiaspoke.EngineReport
	err    error
}

func (m claimed) apply(d *Dispatcher, now time.Duration) {
	if m.number != d.tenure.number {
		return
	}
	d.tenure.claiming = false
	if m.err != nil {
		d.tenure.claimAt = now + jittered(reportEvery)
		return
	}
	d.slots.TakeOver(m.at, m.report)
	d.tenure.active = true
	d.reporter.next = now + reportEvery
	d.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventLeaseTaken, Detail: claimDetail(d.tenure.fence, m.report)})
}

// reported is the engine's report, or the failure to get one.
type reported struct {
	number  int64
	started []*task
	report  fuchsiaspoke.EngineReport
	err     error
}

func (m reported) apply(d *Dispatcher, now time.Duration) {
	d.reporter.asking = false
	d.reporter.failed = m.err != nil
	if m.number != d.tenure.number || !d.tenure.active || m.err != nil {
		return
	}
	own := 0
	for _, t := range m.started {
		if _, ok := d.running[t]; ok {
			own++
		}
	}
	if !d.slots.Observe(now, m.report, own) {
		return
	}
	d.slots.Restarted(m.report)
	d.tenure.active = false
	d.tenure.claimAt = now
}

// reporterState tells when the engine is asked next.
type reporterState struct {
	asking bool
	// failed says that the last report could not be had.
	failed bool
	next   time.Duration
}
