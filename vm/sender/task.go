package sender

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/drainer"
	"github.com/pkg/errors"
)

// untriedReplicas returns the replicas of the request's service that may be sent to now and were not tried yet.
func (t *requestTask) untriedReplicas() []fuchsiaspoke.Replica {
	return slices.DeleteFunc(t.Permitter.Ready(t.request.Service), func(r fuchsiaspoke.Replica) bool {
		return t.triedReplicas[r.ID] || !t.resumed.mayGoOnAt(r) || !t.isAllowed(r) || t.hedging && !t.takesHedge(r)
	})
}

// requestTask is one request with the state of its attempts.
type requestTask struct {
	*Sender
	request      fuchsiaspoke.AdmittedRequest
	message      fuchsiaspoke.Message
	out          responseWriter
	sendDeadline time.Duration
	// expires ends the request at sendDeadline, or later once its stream has begun.
	expires   *time.Timer
	callerCtx context.Context
	// waits is the context of what happens before a send. It ends earlier than that of the request if the VM stops.
	waits context.Context
	// goesOn means that the request was sent before and goes on at another engine, so that it may wait for as long as it may run.
	goesOn bool
	// traits are what the request has in common with others, the last of them all that it is.
	traits        []fuchsiaspoke.Trait
	triedReplicas map[string]bool
	// sendCount counts the sends that may have reached a replica.
	sendCount int
	// outcomeUnknown is set by servePlain after a send without a complete response that may have run the request, and by
	// resultAfterLastAttempt if the engine may have run the last attempt.
	outcomeUnknown bool
	// executed is set once a replica has responded without saying that it did not run the request.
	executed bool
	// resumed is where the stream stands that the caller resumes; nil if it begins.
	resumed *streamPosition
	// abandonable means that an attempt may be hedged, so that its response may turn out not to be needed; hedging that the attempt that is
	// being made is the hedge.
	abandonable, hedging bool
	// loan is what the whole responses to the request and its incomplete events hold.
	loan *loan
	// trial means that the request is sent although one of its traits is in quarantine.
	trial bool
}

// waitLeft returns how much longer the request may wait to be sent.
func (t *requestTask) waitLeft() time.Duration {
	left := max(t.sendDeadline-t.Clock(), 0)
	if t.goesOn {
		return t.Drainer.RunLeft(left)
	}
	return t.Drainer.WaitLeft(left)
}

// useMargin gives a stream that has begun the time that was reserved for a final response.
func (t *requestTask) useMargin() {
	if t.expires.Stop() {
		t.expires.Reset(max(t.sendDeadline+responseMargin-t.Clock(), 0))
	}
}

// retryable reports whether the request may be sent again after a replica may have run it.
func (t *requestTask) retryable() bool {
	return t.request.Route.Idempotent || t.request.Route.Streaming && t.request.Route.Resumable
}

// takeRetry reports whether the request may be sent to another replica, and deducts a retry from the budget if so.
func (t *requestTask) takeRetry(notRun bool) bool {
	if !notRun && !t.retryable() || t.sendCount >= t.request.Route.MaxAttempts {
		return false
	}
	if t.Clock() > t.sendDeadline-minSendTime || t.callerCtx.Err() != nil {
		return false
	}
	return t.RetryBudget.Take(t.request.Service)
}

func (t *requestTask) markTried(id string) {
	if t.triedReplicas == nil {
		t.triedReplicas = make(map[string]bool)
	}
	t.triedReplicas[id] = true
}

// finalResponse ends a plain request or a generation without a successful attempt: with ErrCallerDisconnected if the caller has
// disconnected, with the last failed response if there is one, or else with a refusal. The refusal's status is 502, or 504 if ctx
// has ended, when a replica may have run the request, and 503 otherwise.
func (t *requestTask) finalResponse(ctx context.Context, last *reply, reason string) error {
	if t.callerCtx.Err() != nil {
		return ErrCallerDisconnected
	}
	if last != nil {
		return t.writeReply(last)
	}
	if t.outcomeUnknown || t.executed {
		status, code := http.StatusBadGateway, fuchsiaspoke.CodeUpstreamFailed
		switch {
		case errors.Is(context.Cause(ctx), drainer.ErrDraining):
			code = fuchsiaspoke.CodeDraining
		case ctx.Err() != nil:
			status, code = http.StatusGatewayTimeout, fuchsiaspoke.CodeDeadline
		}
		return &fuchsiaspoke.Refusal{Code: code, Message: reason, Run: fuchsiaspoke.RunUnknown, Status: status}
	}
	return t.refuse(http.StatusServiceUnavailable, reason)
}

// refuse returns a refusal with the given status, where statuses other than 429 become 503, and a Retry-After. If a replica may
// have run the request, it returns one with status 502 that says that the outcome is unknown, also after the deadline.
func (t *requestTask) refuse(status int, reason string) error {
	if t.outcomeUnknown || t.executed {
		return &fuchsiaspoke.Refusal{
			Code: fuchsiaspoke.CodeUpstreamFailed, Message: reason, Run: fuchsiaspoke.RunUnknown, Status: http.StatusBadGateway,
		}
	}
	if refusal := t.refuseUnservable(); refusal != nil {
		return refusal
	}
	if status != http.StatusTooManyRequests {
		status = http.StatusServiceUnavailable
	}
	return fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeNoUpstream, Message: reason, Run: fuchsiaspoke.NotRun, Status: status,
	}.WithRetryAfter(spreadRetryAfter(t.resumesIn()))
}

// spreadRetryAfter adds a random part of up to half the wait, so that callers do not retry all at once. The result is at least
// defaultRetryAfter.
func spreadRetryAfter(wait time.Duration) time.Duration {
	return max(wait+time.Duration(rand.Float64()*float64(wait)/2), defaultRetryAfter)
}

// refuseWithRetryAfter returns the refusal for a request that no VM can serve before wait is over. If an earlier attempt may have run
// the request, the result is the 502 of refuse without a Retry-After.
func (t *requestTask) refuseWithRetryAfter(wait time.Duration, reason string) error {
	err := t.refuse(http.StatusServiceUnavailable, reason)
	var r *fuchsiaspoke.Refusal
	if !errors.As(err, &r) || r.Run != fuchsiaspoke.NotRun {
		return err
	}
	return r.WithRetryAfter(max(spreadRetryAfter(wait), r.RetryAfter))
}

func (t *requestTask) writeReply(r *reply) error {
	if t.resumed == nil && isEventStream(r.header) {
		t.recordOrigin(r.softwareVersion)
	}
	t.out.Head(r.status, r.header, int(r.body.bytes))
	if err := r.body.writeTo(t.out); err != nil {
		return ErrCallerDisconnected
	}
	return nil
}
