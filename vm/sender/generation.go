package sender

import (
	"context"
	"net/http"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/requester"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/transport"
	"github.com/pkg/errors"
)

const (
	// maxAdmissionRequests limits the engines at which admission is requested before one attempt.
	maxAdmissionRequests = 3
	// stallTimeout is how long an engine may send nothing, beyond the predicted wait for the first event, before another engine is
	// looked for. One decoding step at full batch size takes a quarter of it, and callers cancel
	// a stalled stream after about twice as long.
	stallTimeout = 1500 * time.Millisecond
	// maxResumeWait is how long a stream that was broken off waits for an engine; callers cancel it after two seconds.
	maxResumeWait = 1500 * time.Millisecond
	// maxAdmissionsPerRequest limits the attempts of one request, including those that an engine refuses.
	maxAdmissionsPerRequest = 4
)

// errReplicaNotReady is returned for an admission to an engine that stopped being ready, or asked for a pause, while the request
// waited.
var errReplicaNotReady = errors.New("engine stopped being ready before admission was granted")

// serveGeneration serves a request for a model: it obtains an admission to an engine and relays the stream, and repeats both at
// another engine where a failed attempt may be retried.
func (t *requestTask) serveGeneration(ctx context.Context) error {
	relay := newStreamRelay(t.out, t.resumed, t.request.Demand, t.recordOrigin, t.useMargin)
	relay.memory = eventLoan{loan: t.loan, refused: func() error { return t.memoryExhausted("sum of incomplete events held at once") }}
	var a *attempt
	for admissions := 0; ; {
		if a == nil {
			if admissions++; admissions > maxAdmissionsPerRequest {
				return t.interruptedIfStarted(relay, t.refuse(http.StatusServiceUnavailable, "maximum number of engine attempts reached"))
			}
			admission, replica, refusal := t.acquireOrWait(ctx, relay)
			if t.callerCtx.Err() != nil {
				return ErrCallerDisconnected
			}
			if refusal != nil {
				return t.interruptedIfStarted(relay, refusal)
			}
			if refusal := t.refuseIfQuarantined(); refusal != nil {
				admission.Release()
				return t.interruptedIfStarted(relay, refusal)
			}
			a = newAttempt(ctx, replica, admission)
		}
		outcome, next := t.runAttempt(ctx, a, relay)
		a.end(nil)
		t.markTried(a.replica.ID)
		t.outcomeUnknown = t.outcomeUnknown || outcome.mayHaveRun()
		if outcome.done || t.callerCtx.Err() != nil {
			t.discard(next)
			return outcome.err
		}
		if outcome.final {
			t.discard(next)
			return t.resultAfterLastAttempt(ctx, relay, outcome)
		}
		if next == nil && !t.mayTryAgain(relay, outcome) {
			return t.resultAfterLastAttempt(ctx, relay, outcome)
		}
		a = next
	}
}

// mayTryAgain reports whether another engine may be sent the request after an attempt, and takes a retry from the budget if so.
func (t *requestTask) mayTryAgain(relay *streamRelay, o outcome) bool {
	switch {
	case o.notSent:
		return true
	case !relay.mayGoOn(t.request.Route), !o.notRun && !relay.headSent.Load() && t.mayCrashNext():
		return false
	}
	return t.takeRetry(o.notRun)
}

// interruptedIfStarted replaces a refusal with ErrResponseInterrupted if the head of the stream was already sent.
func (t *requestTask) interruptedIfStarted(r *streamRelay, err error) error {
	if r.headSent.Load() {
		t.Count("stream_cut")
		t.logRequest("stream cut", "last_event", r.lastEvent(), "reason", err.Error(),
			"time_left_ms", (t.sendDeadline - t.Clock()).Milliseconds(), "sends", t.sendCount)
		return ErrResponseInterrupted
	}
	return err
}

// resultAfterLastAttempt returns the result of a request whose last attempt failed: ErrResponseInterrupted if its stream has started,
// that of refuse if the engine did not run the attempt, or else that of finalResponse, which writes the engine's response if there is
// one and otherwise returns a refusal with 502, or 504 after the deadline.
func (t *requestTask) resultAfterLastAttempt(ctx context.Context, relay *streamRelay, o outcome) error {
	reason := "engine failed"
	if o.err != nil {
		reason = o.err.Error()
	}
	if relay.headSent.Load() {
		return t.interruptedIfStarted(relay, errors.New(reason))
	}
	if o.notRun {
		return t.refuse(o.status, "engine did not accept the request")
	}
	t.outcomeUnknown = true
	return t.finalResponse(ctx, o.reply, reason)
}

// outcome is the result of one attempt at one engine.
type outcome struct {
	// done means that the response is complete or that the caller disconnected.
	done bool
	// notRun means that the engine responded that it did not run the request, notSent that it certainly received nothing.
	notRun  bool
	notSent bool
	// final means that no other engine can go on with the stream.
	final  bool
	status int
	reply  *reply
	err    error
}

// mayHaveRun reports whether the engine may have run an attempt that it did not answer.
func (o outcome) mayHaveRun() bool {
	return !o.done && !o.notRun && !o.notSent
}

// runAttempt sends the request to one engine, unless that was done, and relays the events of its stream to the caller. If the engine sends
// nothing for too long, another one is looked for; the attempt that has begun there is returned as next.
func (t *requestTask) runAttempt(ctx context.Context, a *attempt, relay *streamRelay) (result outcome, next *attempt) {
	first := stallTimeout
	if a.response == nil {
		first += a.admission.Wait
	}
	watch := t.watchStall(ctx, a, first, 0, findEngine(relay))
	if failure := t.open(a, relay.position.Load()); failure != nil {
		result = *failure
	} else {
		result = t.relayStream(a, relay, watch)
	}
	return result, watch.end(t, result.done)
}

// open sends the request to the attempt's engine, unless that was done, and reads the head of the response. It returns the outcome of an
// attempt that has failed by then.
func (t *requestTask) open(a *attempt, position *streamPosition) *outcome {
	if a.response != nil {
		return nil
	}
	a.started = t.Clock()
	lastEvent := ""
	if position != nil {
		lastEvent = position.lastEvent
	}
	t.Tracker.RecordStart(a.started, a.replica.ID)
	response, err := t.send(a.ctx, fuchsiaspoke.SendOptions{
		Replica: a.replica, TimeLeft: t.sendDeadline - a.started, Version: t.expectedVersion(a), LastEvent: lastEvent,
	})
	if err != nil {
		t.recordSendFailure(a.ctx, a.replica, a.started, err)
		t.recordCrash(a.ctx, a.replica, err)
		return &outcome{err: err, notSent: notSent(err), done: t.callerCtx.Err() != nil}
	}
	info := t.interpretHead(a.replica, response, a.started)
	if !info.NotRun && info.Forwardable && response.Status == http.StatusOK {
		t.sendCount++
		t.executed = true
		a.response, a.body, a.workFactor = response, response, workFactor(info)
		return nil
	}
	defer response.Close()
	if info.NotRun {
		return t.handleRefusal(a.admission, a.replica, info, response)
	}
	t.sendCount++
	return t.handleFailure(a.replica, a.started, info, response)
}

// expectedVersion returns the version of the adapter at which the attempt may begin: the one that the engine's owner has granted, or a newer one
// that this VM knows of. An owner that doesn't know of it yet, or none, must not have the request begin at an outdated one.
func (t *requestTask) expectedVersion(a *attempt) int64 {
	latest := t.Published().AdapterVersion(t.request.Demand.Model, t.request.Demand.Adapter)
	if latest > a.admission.Version {
		t.logRequest("newer adapter version expected", "engine", a.replica.ID, "adapter", t.request.Demand.Adapter, "version", latest,
			"granted_version", a.admission.Version)
	}
	return max(a.admission.Version, latest)
}

// handleRefusal handles a response that says that the engine did not run the request. A misdirected request does not count
// towards the route's maximum number of attempts.
func (t *requestTask) handleRefusal(admission *requester.Admission, r fuchsiaspoke.Replica, info fuchsiaspoke.ResponseInfo, response *transport.Response) *outcome {
	t.discardBody(r, response)
	t.Tracker.RecordAnswer(t.Clock(), r.ID, 0, !info.Misdirected)
	if info.Misdirected || response.Status == http.StatusServiceUnavailable {
		admission.Progress(true, workFactor(info))
	}
	t.logRequest("engine refused", append([]any{
		"engine", r.ID, "address", r.Address, "adapter", t.request.Demand.Adapter, "status", response.Status,
	}, response.Use().LogFields()...)...)
	if !info.Misdirected {
		t.sendCount++
	}
	return &outcome{notRun: true, status: response.Status}
}

// handleFailure handles a response that is neither a stream nor a refusal.
func (t *requestTask) handleFailure(
	r fuchsiaspoke.Replica, started time.Duration, info fuchsiaspoke.ResponseInfo, response *transport.Response,
) *outcome {
	body, err := t.readBody(response)
	t.recordBodyEnd(r, response.Framing(), bodyEnd(err))
	t.Tracker.RecordAnswer(t.Clock(), r.ID, t.Clock()-started, true)
	t.logRequest("engine failed", "engine", r.ID, "status", response.Status, "usable", info.Forwardable)
	t.executed = true
	if err != nil || !info.Forwardable {
		return &outcome{err: errors.New("engine response could not be read or verified"), status: response.Status}
	}
	return &outcome{reply: &reply{status: response.Status, header: response.Header, body: body, failed: true}, status: response.Status}
}

// discardBody discards the body of a refusal, and logs a failed read. It leaves the response open.
func (t *requestTask) discardBody(r fuchsiaspoke.Replica, response *transport.Response) {
	if err := response.Discard(); err != nil {
		t.Log("reading the body of a refusal failed", "request", t.request.ID, "replica", r.ID, "address", r.Address, "error", err.Error())
	}
}

// relayStream relays events to the caller until the stream ends or fails, or another attempt takes over.
func (t *requestTask) relayStream(a *attempt, relay *streamRelay, watch *stallWatch) outcome {
	first := true
	firstEventTime := time.Duration(0)
	err := relay.relayEvents(a.response, a.body, a.replica.SoftwareVersion, func(progress bool) bool {
		if !watch.receive(progress) {
			return false
		}
		if !progress {
			return true
		}
		if !first {
			return true
		}
		first = false
		t.Quarantiner.RecordBegin(t.traits)
		a.admission.Progress(false, a.workFactor)
		firstEventTime = t.Clock() - a.started
		t.Observe(a.admission.Wait, firstEventTime)
		t.Tracker.RecordAnswer(t.Clock(), a.replica.ID, firstEventTime, false)
		t.Tracker.RecordStart(t.Clock(), a.replica.ID)
		return true
	}, watch.relayed)
	switch {
	case err == nil:
		t.Tracker.RecordEnd(a.replica.ID)
		t.recordBodyEnd(a.replica, a.response.Framing(), bodyEnd(err))
		t.logRequest("stream complete", "engine", a.replica.ID, "last_event", relay.lastEvent(),
			"took_ms", (t.Clock() - a.started).Milliseconds(), "wait_ms", (a.started - t.request.Arrived).Milliseconds(),
			"first_ms", firstEventTime.Milliseconds(), "predicted_ms", a.admission.Wait.Milliseconds(),
			"longest_pause_ms", relay.longestPause.Milliseconds(),
			"objective_ms", t.request.Route.Objective.Milliseconds(), "prompt_tokens", t.request.Demand.PromptTokens,
			"framing", string(a.response.Framing()))
		return outcome{done: true}
	case errors.Is(err, ErrCallerDisconnected) || t.callerCtx.Err() != nil:
		t.Tracker.RecordEnd(a.replica.ID)
		return outcome{done: true, err: ErrCallerDisconnected}
	}
	t.recordBodyEnd(a.replica, a.response.Framing(), bodyEnd(err))
	t.recordSendFailure(a.ctx, a.replica, a.started, &fuchsiaspoke.SendError{Peer: a.replica.Address, Step: "read stream", Cause: err})
	if first {
		t.recordCrash(a.ctx, a.replica, err)
	}
	return outcome{err: err, final: errors.Is(err, errTooManyEvents)}
}
