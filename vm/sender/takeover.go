package sender

import (
	"context"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// findEngine looks for another engine that goes on with the stream of r.
func findEngine(r *streamRelay) finder {
	return func(ctx context.Context, t *requestTask, lastTry <-chan struct{}) *attempt {
		for ctx.Err() == nil {
			if next := t.resumeAtOther(ctx, r); next != nil {
				return next
			}
			if !sleepUnless(ctx, lastTry) {
				return nil
			}
		}
		return nil
	}
}

// resumeAtOther sends the request to another engine, if one admits it and the retry budget allows it, and waits for the first data of the
// response: an engine that has sent its head alone may still turn out to be silent itself.
func (t *requestTask) resumeAtOther(ctx context.Context, r *streamRelay) *attempt {
	position := r.position.Load()
	if !r.mayGoOn(t.request.Route) || !r.headSent.Load() && t.mayCrashNext() || !t.takeRetry(false) {
		return nil
	}
	t.waits, t.goesOn = ctx, true
	admission, replica, refusal := t.acquireAdmission(ctx, position)
	if refusal != nil {
		t.RetryBudget.Return(t.request.Service)
		return nil
	}
	a := newAttempt(ctx, replica, admission)
	t.markTried(replica.ID)
	if failure := t.open(a, position); failure != nil {
		if failure.notSent {
			t.RetryBudget.Return(t.request.Service)
		}
		t.outcomeUnknown = t.outcomeUnknown || failure.mayHaveRun()
		a.end(nil)
		return nil
	}
	if r.headSent.Load() && !mayBeEventStream(a.response.Header) {
		t.recordSendFailure(ctx, replica, a.started, &fuchsiaspoke.SendError{Peer: replica.Address, Step: "read head", Cause: errNotAnEvent})
		t.outcomeUnknown = true
		a.end(nil)
		return nil
	}
	if err := a.awaitData(); err != nil {
		t.recordSendFailure(ctx, replica, a.started, &fuchsiaspoke.SendError{Peer: replica.Address, Step: "read first event", Cause: err})
		t.recordCrash(a.ctx, a.replica, err)
		a.end(nil)
		return nil
	}
	return a
}

// findReplica looks for another replica of a plain service that answers the request, until ctx ends.
func findReplica(ctx context.Context, t *requestTask, lastTry <-chan struct{}) *attempt {
	for ctx.Err() == nil {
		if next := t.askOther(ctx); next != nil {
			return next
		}
		if !sleepUnless(ctx, lastTry) {
			return nil
		}
	}
	return nil
}

// askOther sends the request to another replica, if there is one and the retry budget allows it, and reads its complete response.
func (t *requestTask) askOther(ctx context.Context) *attempt {
	if len(t.untriedReplicas()) == 0 || t.mayCrashNext() || !t.takeRetry(false) {
		return nil
	}
	replica, found := t.nextReplica(ctx)
	if !found {
		t.RetryBudget.Return(t.request.Service)
		return nil
	}
	a := newAttempt(ctx, replica, nil)
	a.started = t.Clock()
	if t.hedging {
		t.Count("request_hedged")
		t.Log("request hedged", "request", t.request.ID, "replica", replica.ID, "after_ms", (a.started - t.request.Arrived).Milliseconds(),
			"objective_ms", t.request.Route.Objective.Milliseconds())
	}
	t.markTried(a.replica.ID)
	response, err := t.exchangeWhole(a.ctx, a.replica)
	if err == nil && !response.failed {
		a.reply = response
		return a
	}
	if err != nil && notSent(err) {
		t.RetryBudget.Return(t.request.Service)
	}
	t.outcomeUnknown = t.outcomeUnknown || err != nil && !notSent(err)
	a.end(nil)
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
