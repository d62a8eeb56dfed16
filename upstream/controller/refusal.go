package controller

import (
	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// refuseExpired refuses the admission requests that can no longer be served before their deadline.
func (c *Controller) refuseExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.sched.Expire(c.Clock()) {
		c.Log("place not granted in time", append([]any{
			"request", x.ID, "account", x.Account, "engine", c.Replica.ID, "synced", c.stateKnown, "model_held", c.modelLoaded,
		}, x.Refusal.Basis.LogFields()...)...)
		c.deliver(x.ID, decision{refusal: x.Refusal})
	}
}

// refusePending refuses all queued admission requests, so that they are retried at other engines. It leaves them in the
// scheduler's queue; Admit cancels them there when it returns. The caller holds mu.
func (c *Controller) refusePending() {
	for id := range c.pending {
		c.deliver(id, decision{refusal: c.unresponsiveRefusal()})
	}
}

func (c *Controller) unresponsiveRefusal() *fuchsiaspoke.Refusal {
	return c.refusalUntilResumed("the last state query to the engine failed")
}

// refusalUntilResumed returns a refusal until the engine's pause is over, or else for failureBackoff.
func (c *Controller) refusalUntilResumed(reason string) *fuchsiaspoke.Refusal {
	return fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeNoUpstream, Run: fuchsiaspoke.NotRun, Status: 503, Message: reason,
	}.WithRetryAfter(max(c.Pause(), failureBackoff))
}
