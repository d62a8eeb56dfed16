package sender

import (
	"context"
	"net/http"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// admitTraits returns the refusal of a request on which replicas crash, and nil if it may be sent.
func (t *requestTask) admitTraits() *fuchsiaspoke.Refusal {
	verdict := t.Quarantiner.Admit(t.traits)
	t.trial = verdict.Trial
	if !verdict.Held {
		return nil
	}
	return quarantineRefusal(verdict)
}

// quarantineRefusal returns the refusal of a request that has not run. Its Retry-After is the time for which such requests are not sent: an
// earlier retry meets the same refusal at any VM.
func quarantineRefusal(v fuchsiaspoke.QuarantineVerdict) *fuchsiaspoke.Refusal {
	code := fuchsiaspoke.CodePartQuarantined
	if v.Trait.IsRequest() {
		code = fuchsiaspoke.CodeRequestQuarantined
	}
	return fuchsiaspoke.Refusal{
		Code: code, Message: quarantineReason(v.Trait), Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable,
	}.WithRetryAfter(v.Left)
}

func quarantineReason(trait fuchsiaspoke.Trait) string {
	if trait.IsRequest() {
		return "replicas crash on this request, content " + trait.String()
	}
	return "engines crash on part " + trait.PartID + " of the prompt"
}

// refuseIfQuarantined returns the refusal of a request that was put in quarantine while it waited.
func (t *requestTask) refuseIfQuarantined() error {
	verdict := t.Quarantiner.Blocked(t.traits)
	if !verdict.Held || t.trial {
		return nil
	}
	if t.outcomeUnknown || t.executed {
		return t.refuse(http.StatusServiceUnavailable, quarantineReason(verdict.Trait))
	}
	return quarantineRefusal(verdict)
}

// recordCrash tells the quarantiner of an attempt that ended with its replica's process before it was answered; ctx is that of the attempt.
// Where no other replica is reached either, it was this VM's links that ended.
func (t *requestTask) recordCrash(ctx context.Context, r fuchsiaspoke.Replica, err error) {
	if notSent(err) || ctx.Err() != nil || !t.Transport.IsRefused(ctx, r.Address) {
		return
	}
	if t.Partition != nil && !t.Partition.ReachesOther(ctx, r.Address) {
		t.Log("connection ended with all others, so that no crash is recorded", "request", t.request.ID, "replica", r.ID)
		return
	}
	t.Log("replica crashed under request", "request", t.request.ID, "replica", r.ID, "content", t.content().String(), "parts", partIDs(t.request.Demand))
	t.Quarantiner.RecordCrash(r.Incarnation(), t.traits)
}

// content returns the trait that the request has in common with those of the same content.
func (t *requestTask) content() fuchsiaspoke.Trait { return t.traits[len(t.traits)-1] }

// mayCrashNext reports whether a request that no replica has begun to answer may be the cause of crashes, so that no other one should get it.
func (t *requestTask) mayCrashNext() bool { return t.Quarantiner.Suspected(t.traits) }
