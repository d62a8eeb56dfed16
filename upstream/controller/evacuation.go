package controller

import (
	"net/http"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

func (c *Controller) evacuated() bool { return c.Evacuated != nil && c.Evacuated() }

// reconcileEvacuated refuses what waits, so that it is sent to engines of other zones, and sends nothing to the engine. Loads may complete
// meanwhile, so that the engine's state is queried before the first order after the evacuation.
func (c *Controller) reconcileEvacuated() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stateKnown = false
	if len(c.pending) == 0 {
		return
	}
	c.Log("requests moved from evacuated zone", "engine", c.Replica.ID, "zone", string(c.Replica.Zone), "waiting", len(c.pending))
	for id := range c.pending {
		c.deliver(id, decision{refusal: c.evacuatedRefusal()})
	}
}

func (c *Controller) evacuatedRefusal() *fuchsiaspoke.Refusal {
	return fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeZoneEvacuated, Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable,
		Message: "the availability zone of the engine is evacuated",
	}.WithRetryAfter(failureBackoff)
}
