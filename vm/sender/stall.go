package sender

import (
	"context"
	"maps"
	"sync"
	"time"
)

// searchInterval is the time between two searches for a replica that takes over a stalled attempt.
const searchInterval = 300 * time.Millisecond

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
	// timeout is how long the attempt may receive nothing before it is stalled, and hedgeAfter how long before it is sent to another replica
	// as well; 0 is never.
	timeout    time.Duration
	hedgeAfter time.Duration
	// progress receives a value after the attempt went on, and ended whether the attempt is complete.
	progress chan struct{}
	ended    chan bool
	// next receives the attempt that takes over, or nil.
	next chan *attempt

	mu sync.Mutex
	// received counts the reads of the attempt that continued it, up to the time at which another attempt has takenOver.
	received  int
	takenOver bool
	// relaying means that data that were read are being sent to the caller; idleSince is when that ended last.
	relaying  bool
	idleSince time.Time
}

// watchStall starts the watch of an attempt, which is stalled once it has made no progress for the time first, and hedged after the time
// hedgeAfter, unless that is 0. It ends with the call of end; ctx is that of the request.
func (t *requestTask) watchStall(ctx context.Context, a *attempt, first, hedgeAfter time.Duration, find finder) *stallWatch {
	task := *t
	if a.response == nil {
		task.sendCount++
	}
	if !t.retryable() || task.sendCount >= t.request.Route.MaxAttempts {
		return &stallWatch{}
	}
	task.triedReplicas = maps.Clone(t.triedReplicas)
	task.markTried(a.replica.ID)
	w := &stallWatch{
		timeout: first, hedgeAfter: hedgeAfter, idleSince: time.Now(),
		task: &task, sendCount: task.sendCount, find: find, stalled: a, progress: make(chan struct{}, 1), ended: make(chan bool, 1), next: make(chan *attempt, 1),
	}
	go func() { w.next <- w.run(ctx) }()
	return w
}

// run watches until the attempt ends or another one takes over.
func (w *stallWatch) run(ctx context.Context) *attempt {
	first := w.timeout
	if w.hedgeAfter > 0 && w.hedgeAfter < w.timeout {
		if next, over := w.hedge(ctx); over {
			return next
		}
		idle, _ := w.idle()
		first = max(w.timeout-idle, 0)
	}
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case <-w.ended:
			return nil
		case <-w.progress:
			w.timeout = stallTimeout
		case <-timer.C:
			idle, received := w.idle()
			if idle < w.timeout {
				timer.Reset(w.timeout - idle)
				continue
			}
			w.recordStall()
			next, result := w.search(ctx, received, search{find: w.find, takenOver: errStalled, notNeeded: errNotNeeded})
			if result != attemptWentOn {
				return next
			}
			w.task.Tracker.RecordStallEnd(w.stalled.replica.ID)
			w.task.Log("stalled attempt went on", "request", w.task.request.ID, "replica", w.stalled.replica.ID)
			w.timeout = stallTimeout
		}
		timer.Reset(w.timeout)
	}
}

// hedge sends the request to another replica once the attempt has lasted for hedgeAfter. It reports whether the watch is over, as the
// attempt has ended or the other one takes over.
func (w *stallWatch) hedge(ctx context.Context) (next *attempt, over bool) {
	timer := time.NewTimer(w.hedgeAfter)
	defer timer.Stop()
	select {
	case <-w.ended:
		return nil, true
	case <-timer.C:
	}
	stalls := time.NewTimer(w.timeout - w.hedgeAfter)
	defer stalls.Stop()
	_, received := w.idle()
	next, result := w.search(ctx, received, search{
		find: hedgeReplica, takenOver: errOtherAnswered, notNeeded: errOtherAnswered, stalls: stalls.C,
	})
	if next != nil {
		w.task.Count("hedge_faster")
	}
	return next, next != nil || result == attemptEnded
}

// search is how another attempt is looked for.
type search struct {
	find finder
	// takenOver is the cause with which the attempt ends if another one takes over, and notNeeded that of the other one if it does not.
	takenOver, notNeeded error
	// stalls receives a value when the attempt counts as stalled; nil if it does already.
	stalls <-chan time.Time
}

// searchResult is what became of the attempt during a search.
type searchResult int

const (
	// attemptSilent means that the attempt has received nothing, and has been ended if another one takes over.
	attemptSilent searchResult = iota
	attemptWentOn
	attemptEnded
)

// search looks for an attempt that takes over, and ends the stalled one if there is. The stalled one went on instead if more than the given
// number of reads have continued it.
func (w *stallWatch) search(ctx context.Context, received int, s search) (next *attempt, result searchResult) {
	ctx, stop := context.WithCancelCause(ctx)
	lastTry := make(chan struct{})
	found := make(chan *attempt, 1)
	go func() { found <- s.find(ctx, w.task, lastTry) }()
	wentOn := w.wentOnAfter(ctx, received)
	for waiting := true; waiting; {
		waiting = false
		select {
		case next = <-found:
			if !w.takeOver(received) {
				result = attemptWentOn
			}
		case <-wentOn:
			stop(s.notNeeded)
			next, result = <-found, attemptWentOn
		case <-s.stalls:
			w.recordStall()
			waiting = true
		case complete := <-w.ended:
			if complete {
				stop(s.notNeeded)
			}
			close(lastTry)
			next, result = <-found, attemptEnded
			if w.readsReceived() != received || complete {
				// The attempt went on before it ended, so that the other one begins behind where the caller stands, or it is complete.
				stop(s.notNeeded)
				w.task.discard(next)
				return nil, attemptEnded
			}
		}
	}
	if result == attemptWentOn {
		stop(s.notNeeded)
		w.task.discard(next)
		return nil, attemptWentOn
	}
	if next == nil {
		stop(nil)
		return nil, result
	}
	next.stopSearch = stop
	w.stalled.cancel(s.takenOver)
	return next, result
}

// recordStall records that the attempt is stalled.
func (w *stallWatch) recordStall() {
	w.task.Tracker.RecordStall(w.task.Clock(), w.stalled.replica.ID)
	w.task.Log("attempt stalled", "request", w.task.request.ID, "replica", w.stalled.replica.ID)
}

// wentOnAfter returns a channel that is closed once more reads than the given number have continued the attempt, or ctx has ended.
func (w *stallWatch) wentOnAfter(ctx context.Context, received int) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for w.readsReceived() == received {
			select {
			case <-w.progress:
			case <-ctx.Done():
				return
			}
		}
	}()
	return done
}

func (w *stallWatch) readsReceived() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.received
}

// takeOver lets another attempt take over, unless the stalled one has gone on.
func (w *stallWatch) takeOver(received int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.takenOver = w.received == received
	return w.takenOver
}

// receive tells the watch that a read has returned data, and whether they continue the attempt. It reports whether the attempt may relay
// them: another one may have taken over.
func (w *stallWatch) receive(progress bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.takenOver || !progress {
		return !w.takenOver
	}
	w.received++
	w.relaying = true
	select {
	case w.progress <- struct{}{}:
	default:
	}
	return true
}

// relayed tells the watch that the data of the last read were sent to the caller. The time that the caller takes is not one of the replica.
func (w *stallWatch) relayed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.relaying {
		w.relaying, w.idleSince = false, time.Now()
	}
}

// idle returns for how long the attempt has received nothing while its caller had everything, which is 0 while data are being relayed, and
// the number of reads by then.
func (w *stallWatch) idle() (idle time.Duration, received int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.relaying {
		return 0, w.received
	}
	return time.Since(w.idleSince), w.received
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
