package sender

import (
	"context"
	"maps"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/requester"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/transport"
)

// searchInterval is the time between two searches for a replica that takes over a stalled attempt.
const searchInterval = 300 * time.Millisecond

// attempt is one send of a request to one replica.
type attempt struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	replica fuchsiaspoke.Replica
	// admission is nil for plain services.
	admission *requester.Admission
	// response is nil until its head was read. It goes on after the event lastEvent.
	response  *transport.Response
	lastEvent string
	started   time.Duration
	// stopSearch ends the context of the search that found the attempt; nil if there was none.
	stopSearch context.CancelCauseFunc
}

func newAttempt(ctx context.Context, r fuchsiaspoke.Replica, admission *requester.Admission) *attempt {
	ctx, cancel := context.WithCancelCause(ctx)
	return &attempt{ctx: ctx, cancel: cancel, replica: r, admission: admission}
}

// end ends the attempt and releases its admission.
func (a *attempt) end(cause error) {
	if a == nil {
		return
	}
	if a.response != nil {
		a.response.Close()
	}
	a.cancel(cause)
	if a.admission != nil {
		a.admission.Release()
	}
	if a.stopSearch != nil {
		a.stopSearch(cause)
	}
}

// discard ends an attempt that is not needed. If nothing was sent, its retry goes back to the budget.
func (t *requestTask) discard(a *attempt) {
	if a != nil && a.started == 0 {
		t.RetryBudget.Return(t.request.Service)
	}
	a.end(errNotNeeded)
}

// finder returns the attempt that takes over a stalled one, or nil if there is none. It looks until ctx ends, and after lastTry is closed
// only to the end of the search that is running.
type finder func(ctx context.Context, t *requestTask, lastTry <-chan struct{}) *attempt

// stallWatch looks for another replica while an attempt receives nothing, and ends the attempt only once another one goes on: a replica may
// fall silent for a moment, and if no other takes the request, waiting is all that can be done for it. The zero value watches nothing.
type stallWatch struct {
	// task is a copy of the request's state, in which the attempt has been made.
	task *requestTask
	// sendCount is the task's number of sends when the watch began.
	sendCount int
	find      finder
	stalled   *attempt
	// progress receives that the attempt went on, and ended whether the attempt is complete.
	progress chan struct{}
	ended    chan bool
	// next receives the attempt that takes over, or nil.
	next chan *attempt
}

// watchStall starts the watch of an attempt, which is stalled once it has made no progress for the time first. It ends with the call of
// end; ctx is that of the request.
func (t *requestTask) watchStall(ctx context.Context, a *attempt, first time.Duration, find finder) *stallWatch {
	if !t.retryable() || t.sendCount+1 >= t.request.Route.MaxAttempts {
		return &stallWatch{}
	}
	task := *t
	task.sendCount++
	task.triedReplicas = maps.Clone(t.triedReplicas)
	task.markTried(a.replica.ID)
	w := &stallWatch{
		task: &task, sendCount: task.sendCount, find: find, stalled: a, progress: make(chan struct{}, 1), ended: make(chan bool, 1), next: make(chan *attempt, 1),
	}
	go func() { w.next <- w.run(ctx, first) }()
	return w
}

// run watches until the attempt ends or another one takes over.
func (w *stallWatch) run(ctx context.Context, first time.Duration) *attempt {
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case <-w.ended:
			return nil
		case <-w.progress:
		case <-timer.C:
			w.task.Tracker.RecordStall(w.task.Clock(), w.stalled.replica.ID)
			w.task.Log("attempt stalled", "request", w.task.request.ID, "replica", w.stalled.replica.ID)
			next, wentOn := w.search(ctx)
			if !wentOn {
				return next
			}
			w.task.Log("stalled attempt went on", "request", w.task.request.ID, "replica", w.stalled.replica.ID)
		}
		timer.Reset(stallTimeout)
	}
}

// search looks for an attempt that takes over, and ends the stalled one if there is. It reports whether the stalled one went on instead.
func (w *stallWatch) search(ctx context.Context) (next *attempt, wentOn bool) {
	ctx, stop := context.WithCancelCause(ctx)
	lastTry := make(chan struct{})
	found := make(chan *attempt, 1)
	go func() { found <- w.find(ctx, w.task, lastTry) }()
	select {
	case next = <-found:
	case <-w.progress:
		stop(errNotNeeded)
		w.task.discard(<-found)
		return nil, true
	case complete := <-w.ended:
		if complete {
			stop(errNotNeeded)
		}
		close(lastTry)
		next = <-found
	}
	if next == nil {
		stop(nil)
		return nil, false
	}
	next.stopSearch = stop
	w.stalled.cancel(errStalled)
	return next, false
}

// onProgress tells the watch that the attempt goes on.
func (w *stallWatch) onProgress() {
	select {
	case w.progress <- struct{}{}:
	default:
	}
}

// end ends the watch after the attempt, whose response is complete or not, and returns the attempt that takes over. The state of that
// attempt is added to the task.
func (w *stallWatch) end(t *requestTask, complete bool) *attempt {
	if w.next == nil {
		return nil
	}
	w.ended <- complete
	next := <-w.next
	t.sendCount += w.task.sendCount - w.sendCount
	t.executed = t.executed || w.task.executed
	t.outcomeUnknown = t.outcomeUnknown || w.task.outcomeUnknown
	for id := range w.task.triedReplicas {
		t.markTried(id)
	}
	return next
}

// findEngine looks for another engine that goes on with the stream of r.
func findEngine(r *streamRelay) finder {
	return func(ctx context.Context, t *requestTask, lastTry <-chan struct{}) *attempt {
		for ctx.Err() == nil {
			if next := t.resumeAtOther(ctx, r.lastEvent()); next != nil {
				return next
			}
			if !sleepUnless(ctx, lastTry) {
				return nil
			}
		}
		return nil
	}
}

// resumeAtOther sends the request to another engine, if one admits it and the retry budget allows it, and reads the head of the response.
func (t *requestTask) resumeAtOther(ctx context.Context, lastEvent string) *attempt {
	if !t.takeRetry(false) {
		return nil
	}
	admission, replica, refusal := t.acquireAdmission(ctx)
	if refusal != nil {
		t.RetryBudget.Return(t.request.Service)
		return nil
	}
	a := newAttempt(ctx, replica, admission)
	t.markTried(replica.ID)
	if failure := t.open(a, lastEvent); failure != nil {
		a.end(nil)
		return nil
	}
	return a
}

// findReplica looks for another replica of a plain service to which the request may be sent. The attempt is not opened.
func findReplica(ctx context.Context, t *requestTask, lastTry <-chan struct{}) *attempt {
	for ctx.Err() == nil {
		ranked := t.Tracker.Rank(t.Clock(), t.untriedReplicas())
		if len(ranked) > 0 && t.takeRetry(false) {
			return newAttempt(ctx, ranked[0], nil)
		}
		if !sleepUnless(ctx, lastTry) {
			return nil
		}
	}
	return nil
}

// sleepUnless waits for searchInterval, and returns false at once if ctx has ended or lastTry is closed.
func sleepUnless(ctx context.Context, lastTry <-chan struct{}) bool {
	t := time.NewTimer(searchInterval)
	defer t.Stop()
	select {
	case <-lastTry:
		return false
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
