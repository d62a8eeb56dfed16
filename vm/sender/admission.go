package sender

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/sleeper"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/requester"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/selector"
	"github.com/pkg/errors"
)

// acquireOrWait requests admission to engines. A stream that has begun can't be refused any more, so it waits up to maxResumeWait for an
// engine that grants it.
func (t *requestTask) acquireOrWait(ctx context.Context, relay *streamRelay) (*requester.Admission, fuchsiaspoke.Replica, error) {
	waitUntil := t.Clock() + maxResumeWait
	if relay.headSent.Load() {
		t.waits, t.goesOn = ctx, true
	}
	for {
		admission, replica, refusal := t.acquireAdmission(ctx, relay.position.Load())
		if refusal == nil || !relay.headSent.Load() || t.Clock() > waitUntil || !sleeper.Sleep(ctx, searchInterval) {
			return admission, replica, refusal
		}
	}
}

// acquireAdmission requests admission to engines by predicted wait, shortest first. Each request carries a limit, the wait up to
// which no other engine is predicted to be faster, and is declined where the wait is longer. If no request is granted, the one
// that was declined last is repeated without a limit. A stream that has begun goes on at engines of its software version alone.
func (t *requestTask) acquireAdmission(ctx context.Context, position *streamPosition) (*requester.Admission, fuchsiaspoke.Replica, error) {
	var earliest *fuchsiaspoke.Refusal
	var lastDeclined selector.Choice
	declinedWait := time.Duration(0)
	requested, anyOwned := 0, false
	choices := t.delayPaused(t.Finder.Find(
		ctx, t.request.Service, t.request.Account, t.request.Demand, t.excludedEngines(position), t.request.Regions,
	))
	for i, choice := range choices {
		if requested >= maxAdmissionRequests || t.waits.Err() != nil {
			break
		}
		anyOwned = anyOwned || choice.Accepting
		if !choice.Accepting && !t.servableWithoutOwner(choice) {
			continue
		}
		if i == 0 {
			t.waitForPause(t.waits, choice.Replica)
		}
		if !t.Permitter.MaySend(choice.Replica) || !t.isAllowed(choice.Replica) {
			continue
		}
		requested++
		admission, err := t.acquireFromReadyEngine(ctx, choice, selector.MaxWait(choices, i, declinedWait))
		if admission != nil {
			return admission, choice.Replica, nil
		}
		if isEvacuated(err) {
			// The owner has learned of the evacuation first. Other engines are requested in place of this one.
			requested--
		}
		var waitLimitErr *requester.WaitLimitError
		if errors.As(err, &waitLimitErr) {
			lastDeclined, declinedWait = choice, waitLimitErr.Wait
		}
		earliest = withEarlierRetry(earliest, err)
	}
	if declinedWait > 0 && t.waits.Err() == nil {
		admission, err := t.acquireFromReadyEngine(ctx, lastDeclined, 0)
		if admission != nil {
			return admission, lastDeclined.Replica, nil
		}
		earliest = withEarlierRetry(earliest, err)
	}
	return nil, fuchsiaspoke.Replica{}, t.refuseWithoutAdmission(earliest, anyOwned)
}

// excludedEngines returns the engines that may not be sent to: those that were tried, those whose limit is reached, and those of other
// software versions than that of a stream that has begun, or at which one is to begin.
func (t *requestTask) excludedEngines(position *streamPosition) map[string]bool {
	if position == nil {
		position = t.assignedPosition()
	}
	if position == nil && !t.Permitter.AnyLimitReached() {
		return t.triedReplicas
	}
	out := maps.Clone(t.triedReplicas)
	for _, r := range t.Published().ReadyReplicas(t.request.Service) {
		if position.mayGoOnAt(r) && t.Permitter.LimitWait(r) == 0 {
			continue
		}
		if out == nil {
			out = make(map[string]bool)
		}
		out[r.ID] = true
	}
	return out
}

// delayPaused adds to the estimated waits of engines that have asked this VM to pause the rest of their pauses, so that a request moves
// to another engine only where it is served sooner. If all have asked for one, it returns none: no request waits then.
func (t *requestTask) delayPaused(choices []selector.Choice) []selector.Choice {
	anyPermitted := slices.ContainsFunc(choices, func(c selector.Choice) bool { return t.Permitter.MaySend(c.Replica) })
	if !anyPermitted {
		return nil
	}
	for i, c := range choices {
		choices[i].EstimatedWait += t.Permitter.Pause(c.Replica)
	}
	slices.SortStableFunc(choices, func(a, b selector.Choice) int { return cmp.Compare(a.EstimatedWait, b.EstimatedWait) })
	return choices
}

// waitForPause waits until the engine's pause is over or ctx ends.
func (t *requestTask) waitForPause(ctx context.Context, r fuchsiaspoke.Replica) {
	if pause := t.Permitter.Pause(r); pause > 0 {
		sleeper.Sleep(ctx, pause)
	}
}

// refuseWithoutAdmission returns the refusal for a request that no engine admitted.
func (t *requestTask) refuseWithoutAdmission(refusal *fuchsiaspoke.Refusal, anyOwned bool) error {
	if t.mayNotWait() {
		return t.refuseAsDraining("waited for an engine")
	}
	if !t.outcomeUnknown && !t.executed {
		if unservable := t.refuseUnservable(); unservable != nil {
			return unservable
		}
	}
	switch {
	case t.resumesIn() > 0:
		return t.refuse(http.StatusServiceUnavailable, "all engines want a pause or have reached their limits")
	case refusal != nil && !t.outcomeUnknown && !t.executed:
		return refusal
	case !anyOwned:
		return t.refuseWithRetryAfter(t.TimeUntilOwned(), "engines have no owner yet")
	default:
		return t.refuse(http.StatusServiceUnavailable, "no engine granted admission")
	}
}

// acquireFromReadyEngine requests admission to one engine, and releases it if the engine takes no request any more after the wait.
func (t *requestTask) acquireFromReadyEngine(
	ctx context.Context, choice selector.Choice, maxWait time.Duration,
) (*requester.Admission, error) {
	admission, err := t.requestAdmission(ctx, choice, maxWait)
	if err != nil {
		return nil, err
	}
	if isSameProcess(admission, choice.Replica) && t.Permitter.Take(t.waits, choice.Replica) {
		return admission, nil
	}
	admission.Release()
	t.logRequest("admission released", "engine", choice.Replica.ID,
		"reason", "engine is no longer ready, wants a pause or has reached its limit")
	return nil, errReplicaNotReady
}

// isSameProcess reports whether the engine's owner knows no other process of the engine than the published one, whose software version
// may be another.
func isSameProcess(a *requester.Admission, r fuchsiaspoke.Replica) bool {
	return a.Incarnation.StartedAtMs == 0 || r.StartedAtMs == 0 || a.Incarnation.StartedAtMs == r.StartedAtMs
}

// requestAdmission requests admission from the engine's owner. If the engine has no owner, the request may still use a model or
// adapter that is already loaded.
func (t *requestTask) requestAdmission(
	ctx context.Context, choice selector.Choice, maxWait time.Duration,
) (*requester.Admission, error) {
	err := requester.ErrNoOwner
	if choice.Accepting {
		var admission *requester.Admission
		if admission, err = t.awaitAdmission(ctx, t.admissionRequest(choice, maxWait), choice.Owner); err == nil {
			t.logRequest("place granted", "engine", choice.Replica.ID, "adapter", t.request.Demand.Adapter,
				"software", choice.Replica.SoftwareVersion, "predicted_ms", choice.EstimatedWait.Milliseconds(), "wait_ms", admission.Wait.Milliseconds(),
				"tokens_per_s", int64(choice.PrefillTokensPerMs*1000), "backlog_tokens", choice.BacklogTokens,
				"view_age_ms", choice.ViewAge.Milliseconds(), "resident", choice.Resident)
			return admission, nil
		}
		err = withBasis(err, choice)
		t.logRequest("place refused", append([]any{
			"engine", choice.Replica.ID, "adapter", t.request.Demand.Adapter, "predicted_ms", choice.EstimatedWait.Milliseconds(),
			"limit_ms", maxWait.Milliseconds(), "error", err.Error(),
		}, basisOf(err).LogFields()...)...)
	}
	if errors.Is(err, requester.ErrNoOwner) && t.servableWithoutOwner(choice) && t.waits.Err() == nil {
		t.logRequest("place without a holder", "engine", choice.Replica.ID, "adapter", t.request.Demand.Adapter,
			"software", choice.Replica.SoftwareVersion)
		return admissionWithoutOwner(choice), nil
	}
	return nil, err
}

// awaitAdmission requests admission from an engine's owner. The wait ends with that of the request; an admission that was granted lasts as
// long as ctx.
func (t *requestTask) awaitAdmission(ctx context.Context, req fuchsiaspoke.AdmissionRequest, owner fuchsiaspoke.VM) (*requester.Admission, error) {
	ctx, cancel := context.WithCancel(ctx)
	endsWait := context.AfterFunc(t.waits, cancel)
	admission, err := t.Requester.Request(ctx, req, owner)
	if err != nil {
		cancel()
		return nil, err
	}
	if !endsWait() {
		admission.Release()
		cancel()
		return nil, context.Cause(t.waits)
	}
	release := admission.Release
	admission.Release = func() {
		release()
		cancel()
	}
	return admission, nil
}

// withBasis adds to an owner's refusal that names no figures those by which this VM estimated the wait.
func withBasis(err error, c selector.Choice) error {
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) || refusal.Basis != nil || refusal.Code != fuchsiaspoke.CodeOverloaded {
		return err
	}
	explained := *refusal
	explained.Basis = &fuchsiaspoke.RefusalBasis{
		Rule: fuchsiaspoke.RulePredictedWait, PredictedWait: c.EstimatedWait, TokensPerMs: c.PrefillTokensPerMs,
		BacklogTokens: c.BacklogTokens, Age: c.ViewAge,
	}
	return &explained
}

// basisOf returns the figures of the refusal that err contains; nil if there are none.
func basisOf(err error) *fuchsiaspoke.RefusalBasis {
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) {
		return refusal.Basis
	}
	return nil
}

// servableWithoutOwner reports whether the engine can serve the request without an owner: an engine that receives no orders
// keeps the adapters that it has loaded or is loading, in the version that they have.
func (t *requestTask) servableWithoutOwner(choice selector.Choice) bool {
	return t.request.Demand.Adapter == "" || choice.Resident || choice.Loading
}

// isEvacuated reports whether the owner of an engine refused a request because the engine's zone is evacuated.
func isEvacuated(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	return errors.As(err, &refusal) && refusal.Code == fuchsiaspoke.CodeZoneEvacuated
}

// withEarlierRetry returns err if it is a refusal with a shorter Retry-After than known, or else known. That an engine's zone is evacuated
// says nothing of the engines that may take the request, so that any other refusal takes precedence.
func withEarlierRetry(known *fuchsiaspoke.Refusal, err error) *fuchsiaspoke.Refusal {
	var refusal *fuchsiaspoke.Refusal
	switch {
	case !errors.As(err, &refusal):
		return known
	case known == nil:
		return refusal
	case known.Code != refusal.Code && known.Code == fuchsiaspoke.CodeZoneEvacuated:
		return refusal
	case known.Code != refusal.Code && refusal.Code == fuchsiaspoke.CodeZoneEvacuated, known.RetryAfter <= refusal.RetryAfter:
		return known
	}
	return refusal
}

// admissionWithoutOwner returns an admission to an engine that has no owner, where no VM needs to be notified of its use.
func admissionWithoutOwner(c selector.Choice) *requester.Admission {
	return &requester.Admission{
		AdmissionReply: fuchsiaspoke.AdmissionReply{Granted: true, Incarnation: c.Replica.Incarnation()},
		Progress:       func(bool, float64) {},
		Release:        func() {},
	}
}

func (t *requestTask) admissionRequest(c selector.Choice, maxWait time.Duration) fuchsiaspoke.AdmissionRequest {
	now := t.Clock()
	account := ""
	if c.FairQueueing {
		account = t.request.Account
	}
	return fuchsiaspoke.AdmissionRequest{
		ID: t.request.ID, Account: account, Engine: c.Replica.ID, Demand: t.request.Demand, Priority: t.request.Priority,
		DueIn: max(t.request.Due-now, 0), DeadlineIn: t.waitLeft(), MaxWait: maxWait,
	}
}
