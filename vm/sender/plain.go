package sender

import (
	"context"
	"net/http"
	"slices"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

// servePlain responds to a request for a plain service, or one for an engine service whose demand names no model.
func (t *requestTask) servePlain(ctx context.Context) error {
	var last *reply
	for {
		replica, found := t.nextReplica(t.waits)
		if t.mayNotWait() && last == nil && !t.outcomeUnknown {
			return t.refuseAsDraining("waited for a replica")
		}
		if !found || t.Clock() > t.sendDeadline-minSendTime {
			return t.finalResponse(ctx, last, "no replica left to try before the deadline")
		}
		if refusal := t.refuseIfQuarantined(); refusal != nil {
			return refusal
		}
		r, err := t.attemptWhole(ctx, replica)
		t.markTried(replica.ID)
		if t.callerCtx.Err() != nil {
			return ErrCallerDisconnected
		}
		if err == nil && (!r.failed || !t.takeRetry(r.notRun)) {
			if r.notRun {
				return t.refuse(r.status, "replica did not accept the request")
			}
			return t.writeReply(r)
		}
		if err == nil {
			last = latestExecutedReply(last, r)
			continue
		}
		if notSent(err) {
			continue
		}
		t.outcomeUnknown = true
		if t.mayCrashNext() || !t.takeRetry(false) {
			return t.finalResponse(ctx, last, err.Error())
		}
	}
}

// nextReplica returns the best replica that was not tried yet and takes a request now, and whether there is one.
func (t *requestTask) nextReplica(ctx context.Context) (fuchsiaspoke.Replica, bool) {
	for _, r := range t.rankReplicas(t.untriedReplicas()) {
		if t.Permitter.Take(ctx, r) {
			return r, true
		}
	}
	return fuchsiaspoke.Replica{}, false
}

// latestExecutedReply returns r, or last if the replica of r did not run the request. The result is relayed to the caller if no
// further attempt succeeds.
func latestExecutedReply(last, r *reply) *reply {
	if r.notRun {
		return last
	}
	return r
}

// attemptWhole sends the request to one replica and returns the complete response. If that takes longer than an attempt that another one
// may follow, another replica is asked as well, and the first complete response is returned.
func (t *requestTask) attemptWhole(ctx context.Context, r fuchsiaspoke.Replica) (*reply, error) {
	a := newAttempt(ctx, r, nil)
	defer a.end(nil)
	watch := &stallWatch{}
	if t.request.Route.Idempotent {
		hedgeAfter := t.hedgeDelay(r)
		t.abandonable = hedgeAfter > 0
		watch = t.watchStall(ctx, a, attemptObjectives*t.request.Route.Objective, hedgeAfter, findReplica)
	}
	response, err := t.exchangeWhole(a.ctx, r)
	complete := err == nil && !response.failed
	next := watch.end(t, complete)
	defer next.end(nil)
	if !complete && next != nil {
		return next.reply, nil
	}
	return response, err
}

// exchangeWhole sends the request to one replica and reads the complete response. It returns an error if there is no complete
// response to this request; its caller then sets outcomeUnknown unless the request was not sent.
func (t *requestTask) exchangeWhole(ctx context.Context, r fuchsiaspoke.Replica) (*reply, error) {
	started := t.Clock()
	t.Tracker.RecordStart(started, r.ID)
	t.estimator.RecordStart(started, r.Incarnation())
	defer t.estimator.RecordEnd(r.Incarnation())
	response, err := t.send(ctx, fuchsiaspoke.SendOptions{Replica: r, TimeLeft: t.sendDeadline - started})
	if err != nil {
		t.recordSendFailure(ctx, r, started, err)
		t.recordCrash(ctx, r, err)
		t.observeRampFailure(ctx, r, started, err)
		return nil, err
	}
	defer response.Close()
	info := t.interpretHead(r, response, started)
	t.observeSpeed(r, info)
	body, err := t.readBody(response)
	t.recordBodyEnd(r, response.Framing(), bodyEnd(err))
	if err == nil && !info.Forwardable && !info.NotRun {
		err = errors.New("response lacks the request's attempt ID or the replica's seal")
	}
	if err != nil {
		t.sendCount++
		err = &fuchsiaspoke.SendError{Peer: r.Address, Step: "read response", Cause: err}
		t.recordSendFailure(ctx, r, started, err)
		t.recordCrash(ctx, r, err)
		t.observeRampFailure(ctx, r, started, err)
		return nil, err
	}
	t.observeRamp(r, response.Status, info, started)
	if !info.NotRun {
		t.Quarantiner.RecordBegin(t.traits)
	}
	if !info.Misdirected {
		t.sendCount++
	}
	failed := response.Status >= http.StatusInternalServerError || info.NotRun
	t.Tracker.RecordAnswer(t.Clock(), r.ID, t.Clock()-started, failed)
	if !failed {
		t.observeLatency(t.Clock()-started, info)
	}
	t.executed = t.executed || !info.NotRun
	t.logRequest("replica answered", slices.Concat([]any{
		"replica", r.ID, "address", r.Address, "status", response.Status, "not_run", info.NotRun,
		"took_ms", (t.Clock() - started).Milliseconds(), "framing", string(response.Framing()),
	}, response.Use().LogFields(), loadFields(info.Notice.Load))...)
	return &reply{
		status: response.Status, header: response.Header, body: body, notRun: info.NotRun, softwareVersion: r.SoftwareVersion, failed: failed,
	}, nil
}
