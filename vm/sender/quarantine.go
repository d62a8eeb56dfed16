package sender

import (
	"net/http"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// admitPrompt returns the refusal of a request whose prompt has a part on which engines crash, and nil if it may be sent.
func (t *requestTask) admitPrompt() *fuchsiaspoke.Refusal {
	verdict := t.Quarantiner.Admit(t.request.Demand)
	t.trial = verdict.Trial
	if verdict.Part == "" {
		return nil
	}
	return quarantineRefusal(verdict.Part, verdict.Left)
}

// quarantineRefusal returns the refusal of a request that has not run. Its Retry-After is the time for which the part is not sent: an earlier
// retry meets the same refusal at any VM.
func quarantineRefusal(part string, left time.Duration) *fuchsiaspoke.Refusal {
	return fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeQuarantined, Message: "engines crash on part " + part + " of the prompt", Run: fuchsiaspoke.NotRun,
		Status: http.StatusServiceUnavailable,
	}.WithRetryAfter(left)
}

// refuseIfQuarantined returns the refusal of a request whose prompt was put in quarantine while it waited.
func (t *requestTask) refuseIfQuarantined() error {
	part, left := t.Quarantiner.Blocked(t.request.Demand)
	if part == "" || t.trial {
		return nil
	}
	if t.outcomeUnknown || t.executed {
		return t.refuse(http.StatusServiceUnavailable, "engines crash on part "+part+" of the prompt")
	}
	return quarantineRefusal(part, left)
}

// recordCrash tells the quarantiner of an attempt that ended with its engine's process before the first event.
func (t *requestTask) recordCrash(a *attempt, err error) {
	if notSent(err) || a.ctx.Err() != nil || !t.Transport.IsRefused(a.ctx, a.replica.Address) {
		return
	}
	t.Log("engine crashed before the first event", "request", t.request.ID, "engine", a.replica.ID, "parts", partIDs(t.request.Demand))
	t.Quarantiner.RecordCrash(a.replica.Incarnation(), t.request.Demand)
}

// mayCrashNext reports whether a request that has not begun may be the cause of crashes, so that no other engine should get it.
func (t *requestTask) mayCrashNext(relay *streamRelay) bool {
	return !relay.headSent.Load() && t.Quarantiner.Suspected(t.request.Demand)
}
