package sender

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/requester"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/selector"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/transport"
	"github.com/pkg/errors"
)

const (
	// maxPlaceRequests limits the engines that are asked for a place before one attempt.
	maxPlaceRequests = 3
	// stallTimeout is how long an engine may send nothing before a stream that can continue at another engine is cancelled. A
	// step of a full engine takes a quarter of it, and callers wait for twice as long.
	stallTimeout = 1500 * time.Millisecond
	// maxPlacesPerRequest limits the attempts of one request, including those that an engine refuses.
	maxPlacesPerRequest = 4
)

// errReplicaNotReady is returned for a place at an engine that stopped taking work while the request waited.
var errReplicaNotReady = errors.New("engine stopped being ready before the place was granted")

// serveGeneration responds to a request for a model engine.
func (t *requestTask) serveGeneration(ctx context.Context) error {
	relay := &streamRelay{out: t.out, lastEventID: t.work.LastEvent, resumable: t.work.Route.Resumable}
	for range maxPlacesPerRequest {
		place, replica, refusal := t.acquirePlace(ctx)
		if t.callerCtx.Err() != nil {
			return ErrCallerDisconnected
		}
		if refusal != nil {
			return t.cutIfStarted(relay, refusal)
		}
		outcome := t.attempt(ctx, place, replica, relay)
		place.Release()
		if outcome.done || t.callerCtx.Err() != nil {
			return outcome.err
		}
		t.markTried(replica.ID)
		if !outcome.notSent && !t.takeRetry(outcome.notRun) {
			return t.cutIfStarted(relay, t.afterLastAttempt(ctx, outcome))
		}
	}
	return t.cutIfStarted(relay, t.refuse(http.StatusServiceUnavailable, "maximum number of engine attempts reached"))
}

// cutIfStarted replaces a refusal with ErrCut if the head of the stream was already sent.
func (t *requestTask) cutIfStarted(r *streamRelay, err error) error {
	if r.headSent {
		t.Log("stream cut", "request", t.work.ID, "last_event", r.lastEventID, "reason", err.Error())
		return ErrCut
	}
	return err
}

// afterLastAttempt returns the result of a request whose last attempt failed.
func (t *requestTask) afterLastAttempt(ctx context.Context, o outcome) error {
	if o.notRun {
		return t.refuse(o.status, "engine did not accept the request")
	}
	t.outcomeUnknown = true
	reason := "engine failed"
	if o.err != nil {
		reason = o.err.Error()
	}
	return t.finalResponse(ctx, o.reply, reason)
}

// acquirePlace acquires a place at the engine with the shortest predicted wait. Engines decline a place where another engine
// is predicted to be faster; if no engine grants one, the last that declined is asked again without that limit.
func (t *requestTask) acquirePlace(ctx context.Context) (*requester.Admission, fuchsiaspoke.Replica, error) {
	var earliest *fuchsiaspoke.Refusal
	var lastDeclined selector.Choice
	declinedWait := time.Duration(0)
	requested, anyHeld := 0, false
	choices := t.rankEngines()
	for at, choice := range choices {
		if requested >= maxPlaceRequests || ctx.Err() != nil {
			break
		}
		anyHeld = anyHeld || choice.Accepting
		if !choice.Accepting && !t.servableWithoutHolder(choice) || !t.isReady(choice.Replica) {
			continue
		}
		requested++
		place, err := t.acquireReadyPlace(ctx, choice, selector.MaxWait(choices, at, declinedWait))
		if place != nil {
			return place, choice.Replica, nil
		}
		var slower *requester.WaitLimitError
		if errors.As(err, &slower) {
			lastDeclined, declinedWait = choice, slower.Wait
		}
		earliest = earlierRetry(earliest, err)
	}
	if declinedWait > 0 && ctx.Err() == nil {
		place, err := t.acquireReadyPlace(ctx, lastDeclined, 0)
		if place != nil {
			return place, lastDeclined.Replica, nil
		}
		earliest = earlierRetry(earliest, err)
	}
	return nil, fuchsiaspoke.Replica{}, t.refuseWithoutPlace(earliest, anyHeld)
}

// refuseWithoutPlace returns the refusal for a request that no engine granted a place.
func (t *requestTask) refuseWithoutPlace(refusal *fuchsiaspoke.Refusal, anyHeld bool) error {
	switch {
	case refusal != nil && !t.outcomeUnknown && !t.executed:
		return refusal
	case !anyHeld:
		return t.refuseWithRetryAfter(t.EnginesHeldIn(), "engines have no holder yet")
	default:
		return t.refuse(http.StatusServiceUnavailable, "no engine granted a place")
	}
}

// acquireReadyPlace acquires a place at one engine, and releases it if the engine stopped being ready during the wait.
func (t *requestTask) acquireReadyPlace(ctx context.Context, choice selector.Choice, limit time.Duration) (*requester.Admission, error) {
	place, err := t.requestPlace(ctx, choice, limit)
	if err != nil || t.isReady(choice.Replica) {
		return place, err
	}
	place.Release()
	t.Log("place released", "request", t.work.ID, "engine", choice.Replica.ID, "reason", "engine is no longer ready")
	return nil, errReplicaNotReady
}

// requestPlace asks the engine's holder for a place. If the engine has no holder, the request may still use a model or
// adapter that is already loaded.
func (t *requestTask) requestPlace(ctx context.Context, choice selector.Choice, limit time.Duration) (*requester.Admission, error) {
	err := requester.ErrNoOwner
	if choice.Accepting {
		var place *requester.Admission
		if place, err = t.Broker.Request(ctx, t.placeRequest(choice, limit)); err == nil {
			t.Log("place granted", "request", t.work.ID, "engine", choice.Replica.ID, "adapter", t.work.Demand.Adapter,
				"predicted_ms", choice.EstimatedWait.Milliseconds(), "resident", choice.Resident)
			return place, nil
		}
		t.Log("place refused", "request", t.work.ID, "engine", choice.Replica.ID, "adapter", t.work.Demand.Adapter,
			"predicted_ms", choice.EstimatedWait.Milliseconds(), "limit_ms", limit.Milliseconds(), "error", err.Error())
	}
	if errors.Is(err, requester.ErrNoOwner) && t.servableWithoutHolder(choice) && ctx.Err() == nil {
		t.Log("place without a holder", "request", t.work.ID, "engine", choice.Replica.ID, "adapter", t.work.Demand.Adapter)
		return placeWithoutHolder(choice), nil
	}
	return nil, err
}

// servableWithoutHolder reports whether the engine can serve the request without a holder: an engine that receives no orders
// keeps the adapters that it has loaded or is loading.
func (t *requestTask) servableWithoutHolder(choice selector.Choice) bool {
	return t.work.Demand.Adapter == "" || choice.Resident || choice.Loading
}

// earlierRetry returns the refusal with the shorter Retry-After.
func earlierRetry(known *fuchsiaspoke.Refusal, err error) *fuchsiaspoke.Refusal {
	var r *fuchsiaspoke.Refusal
	if !errors.As(err, &r) || known != nil && known.RetryAfter <= r.RetryAfter {
		return known
	}
	return r
}

// placeWithoutHolder returns a place at an engine that has no holder, where no VM needs to be notified of its use.
func placeWithoutHolder(c selector.Choice) *requester.Admission {
	return &requester.Admission{
		AdmissionReply: fuchsiaspoke.AdmissionReply{Granted: true, Incarnation: c.Replica.Incarnation()},
		Progress:       func(bool) {},
		Release:        func() {},
	}
}

func (t *requestTask) placeRequest(c selector.Choice, limit time.Duration) fuchsiaspoke.AdmissionRequest {
	now := t.Clock()
	return fuchsiaspoke.AdmissionRequest{
		ID: t.work.ID, Engine: c.Replica.ID, Demand: t.work.Demand, Priority: t.work.Priority,
		DueIn: max(t.work.Due-now, 0), DeadlineIn: max(t.sendDeadline-now, 0), MaxWait: limit,
	}
}

func (t *requestTask) rankEngines() []selector.Choice {
	contract := t.Published().Contract
	limits := contract.Services[t.work.Service].Engine
	now := t.Clock()
	var candidates []selector.Candidate
	for _, r := range t.readyReplicas(t.work.Service, t.triedReplicas) {
		c := selector.Candidate{Replica: r, Failing: t.Assessor.Failing(now, r.ID)}
		if view, _, known := t.Broker.View(r.ID); known && (view.Engine.StartedAtMs == r.StartedAtMs || r.StartedAtMs == 0) {
			c.View = &view
		}
		candidates = append(candidates, c)
	}
	return selector.Selector{Slots: limits.AdapterSlots}.Select(t.work.Demand, candidates)
}

// outcome is the result of one attempt at one engine.
type outcome struct {
	// done means that the response is complete or that the caller disconnected.
	done    bool
	notRun  bool
	notSent bool
	status  int
	reply   *reply
	err     error
}

// attempt sends the request to one engine and relays the events of its stream to the caller.
func (t *requestTask) attempt(ctx context.Context, place *requester.Admission, r fuchsiaspoke.Replica, relay *streamRelay) outcome {
	started := t.Clock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stallTimer := t.startStallTimer(place, cancel)
	defer stallTimer.Stop()
	t.Assessor.RecordStart(started, r.ID)
	response, err := t.send(ctx, fuchsiaspoke.SendOptions{
		Replica: r, TimeLeft: t.sendDeadline - started, Version: place.Version, LastEvent: relay.lastEventID,
	})
	if err != nil {
		t.recordSendFailure(r, started, err)
		return outcome{err: err, notSent: notSent(err), done: t.callerCtx.Err() != nil}
	}
	defer response.Close()
	class := t.Protocol.InterpretHead(t.work, response.Status, response.Header)
	if class.NotRun {
		return t.handleRefusal(place, r, class, response)
	}
	t.sendCount++
	if !class.Forwardable || response.Status != http.StatusOK {
		return t.handleFailure(r, started, class, response)
	}
	t.executed = true
	return t.relayStream(response, place, r, relay, started, stallTimer)
}

// startStallTimer cancels the attempt if the engine sends nothing in time and the request may be sent to another engine.
func (t *requestTask) startStallTimer(place *requester.Admission, cancel func()) *time.Timer {
	if !t.retryable() || t.sendCount+1 >= t.work.Route.MaxAttempts {
		cancel = func() {}
	}
	return time.AfterFunc(place.Wait+stallTimeout, cancel)
}

// handleRefusal handles a response that says that the engine did not run the request.
func (t *requestTask) handleRefusal(place *requester.Admission, r fuchsiaspoke.Replica, class fuchsiaspoke.ResponseInfo, response *transport.Response) outcome {
	t.discardBody(response)
	t.Assessor.RecordAnswer(t.Clock(), r.ID, 0, !class.Misdirected)
	if class.Misdirected || response.Status == http.StatusServiceUnavailable {
		place.Progress(true)
	}
	t.Log("engine refused", "request", t.work.ID, "engine", r.ID, "adapter", t.work.Demand.Adapter, "status", response.Status)
	if !class.Misdirected {
		t.sendCount++
	}
	return outcome{notRun: true, status: response.Status}
}

// handleFailure handles a response that is neither a stream nor a refusal.
func (t *requestTask) handleFailure(r fuchsiaspoke.Replica, started time.Duration, class fuchsiaspoke.ResponseInfo, response *transport.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(response, maxResponseBytes))
	t.Assessor.RecordAnswer(t.Clock(), r.ID, t.Clock()-started, true)
	t.Log("engine failed", "request", t.work.ID, "engine", r.ID, "status", response.Status, "usable", class.Forwardable)
	t.executed = true
	if err != nil || !class.Forwardable {
		return outcome{err: errors.New("engine response could not be read or verified"), status: response.Status}
	}
	return outcome{reply: &reply{status: response.Status, header: response.Header, body: body, failed: true}, status: response.Status}
}

func (t *requestTask) discardBody(response *transport.Response) {
	if _, err := io.Copy(io.Discard, io.LimitReader(response, maxResponseBytes)); err != nil {
		t.Log("reading the body of a refusal failed", "request", t.work.ID, "error", err.Error())
	}
}

// relayStream relays events to the caller until the stream ends or fails.
func (t *requestTask) relayStream(
	response *transport.Response, place *requester.Admission, r fuchsiaspoke.Replica, relay *streamRelay, started time.Duration, stallTimer *time.Timer,
) outcome {
	first := true
	firstEventTime := time.Duration(0)
	err := relay.relayEvents(response, func() {
		stallTimer.Reset(stallTimeout)
		if !first {
			return
		}
		first = false
		place.Progress(false)
		firstEventTime = t.Clock() - started
		t.Observe(place.Wait, firstEventTime)
		t.Assessor.RecordAnswer(t.Clock(), r.ID, firstEventTime, false)
		t.Assessor.RecordStart(t.Clock(), r.ID)
	})
	switch {
	case err == nil:
		t.Assessor.RecordEnd(r.ID)
		t.Log("stream complete", "request", t.work.ID, "engine", r.ID, "last_event", relay.lastEventID,
			"took_ms", (t.Clock() - started).Milliseconds(), "wait_ms", (started - t.work.Arrived).Milliseconds(),
			"first_ms", firstEventTime.Milliseconds(), "predicted_ms", place.Wait.Milliseconds(), "longest_pause_ms", relay.longestPause.Milliseconds(),
			"objective_ms", t.work.Route.Objective.Milliseconds(), "prompt_tokens", t.work.Demand.PromptTokens)
		return outcome{done: true}
	case errors.Is(err, ErrCallerDisconnected) || t.callerCtx.Err() != nil:
		t.Assessor.RecordEnd(r.ID)
		return outcome{done: true, err: ErrCallerDisconnected}
	}
	t.recordSendFailure(r, started, &fuchsiaspoke.SendError{Peer: r.Address, Step: "read stream", Cause: err})
	return outcome{err: err}
}
