package controller

import (
	"context"
	"slices"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/scheduler"
)

// refreshState queries the engine's adapter slots and order count, and reports whether the query succeeded and its report was
// applied; the caller checks beforehand whether they are known already. It sends nothing and returns false during the backoff
// after a failure, and within maxReportAge of the last order, which a report might not include yet.
//
// If this VM has sent an order and the engine, without a restart, reports more orders than maxOrderCount, another VM is assumed to have
// sent them: refreshState then calls OnForeignOrder and leaves the state unknown.
func (c *Controller) refreshState(ctx context.Context) bool {
	c.mu.Lock()
	tooEarly := c.lastOrderTime > 0 && c.Clock()-c.lastOrderTime < maxReportAge || c.Clock() < c.backoffUntil
	c.mu.Unlock()
	if tooEarly {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	report, err := c.Engine.Report(ctx, c.Replica)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queried = true
	if err != nil {
		c.Log("engine report failed", "engine", c.Replica.ID, "waiting", len(c.pending), "error", err.Error())
		c.unresponsive = true
		c.refusePending()
		c.backoffUntil = c.Clock() + failureBackoff
		return false
	}
	if c.lastOrderTime > 0 && report.Replica.OrderCount > c.maxOrderCount() && report.Replica.StartedAtMs == c.Replica.StartedAtMs {
		c.Log("another VM ordered the engine", "engine", c.Replica.ID, "orders", report.Replica.OrderCount, "expected", c.orderCount)
		go c.OnForeignOrder()
		return false
	}
	c.applyReport(report)
	return true
}

// maxOrderCount returns the highest order count that this VM's own orders explain. The caller holds mu.
func (c *Controller) maxOrderCount() int64 {
	if c.unanswered != nil {
		return c.orderCount + 1
	}
	return c.orderCount
}

// applyReport replaces the known order count, start time and adapter slots of the engine with those of its report; if the base
// model is not loaded, all slots become empty. The caller holds mu.
func (c *Controller) applyReport(report fuchsiaspoke.ReplicaReport) {
	restarted := report.Replica.StartedAtMs != 0 && report.Replica.StartedAtMs != c.Replica.StartedAtMs
	c.orderCount, c.stateKnown, c.unresponsive = report.Replica.OrderCount, true, false
	if restarted {
		c.Replica.StartedAtMs = report.Replica.StartedAtMs
	}
	var held fuchsiaspoke.ResidentModel
	held, c.modelLoaded = findModel(report.Replica.Models, c.Model)
	c.busy = report.Busy
	c.sched.ApplyReport(c.Clock(), held)
	c.keepUnanswered(restarted, held)
	c.Log("engine state read", "engine", c.Replica.ID, "orders", c.orderCount, "born", c.Replica.StartedAtMs,
		"model_held", c.modelLoaded, "unanswered", c.unanswered != nil)
}

// keepUnanswered keeps the room that the order without an answer may take, unless the report shows that the order was carried out, or its
// count, or a restart, that it never will be. The caller holds mu.
func (c *Controller) keepUnanswered(restarted bool, held fuchsiaspoke.ResidentModel) {
	if c.unanswered == nil {
		return
	}
	if restarted || c.unanswered.Expected != c.orderCount || c.modelLoaded && carriedOut(*c.unanswered, held) {
		c.sched.RecordUnloadFailed(c.unanswered.Adapter)
		c.unanswered = nil
		return
	}
	if c.modelLoaded {
		c.sched.RecordOrder(c.Clock(), adapterOrder(*c.unanswered))
	}
}

// findModel returns the model with a name, and whether it is among those of a report.
func findModel(models []fuchsiaspoke.ResidentModel, name string) (fuchsiaspoke.ResidentModel, bool) {
	for _, m := range models {
		if m.Name == name {
			return m, true
		}
	}
	return fuchsiaspoke.ResidentModel{}, false
}

// carriedOut reports whether a report of the model, which is loaded, shows that the state that an order requested holds or is in progress.
func carriedOut(o fuchsiaspoke.EngineOrder, held fuchsiaspoke.ResidentModel) bool {
	if o.Adapter == "" {
		return true
	}
	isRequested := func(a fuchsiaspoke.Adapter) bool { return a.Name == o.Adapter && (!o.Load || a.Version >= o.Version) }
	found := slices.ContainsFunc(held.Adapters, isRequested) || slices.ContainsFunc(held.Loading, isRequested)
	return found == o.Load
}

// loadModel orders the load of the base model, unless the last report says that the engine is busy with one. It marks the engine's state
// unknown: the next report, read after modelLoadPollInterval, shows whether the model is loaded.
func (c *Controller) loadModel(ctx context.Context) {
	c.mu.Lock()
	c.stateKnown = false
	c.backoffUntil = c.Clock() + modelLoadPollInterval
	o, busy := c.engineOrder(scheduler.AdapterOrder{Load: true}), c.busy
	c.mu.Unlock()
	if busy {
		return
	}
	result := c.sendOrder(ctx, o)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logOrder(o, result)
	switch result {
	case fuchsiaspoke.OrderAccepted:
		c.orderCount++
		c.unanswered = nil
	case fuchsiaspoke.OrderUnknown:
		c.unanswered = &o
	case fuchsiaspoke.OrderDone, fuchsiaspoke.OrderConflict, fuchsiaspoke.OrderRefused, fuchsiaspoke.OrderMisdirected:
	}
}
