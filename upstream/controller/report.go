package controller

import (
	"context"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// refreshState queries the engine's adapter slots and order count, and reports whether the query succeeded and its report was
// applied; the caller checks beforehand whether they are known already. It sends nothing and returns false during the backoff
// after a failure, and within maxReportAge of the last order, which a report might not include yet.
//
// If this VM has sent an order and the engine, without a restart, reports more orders than orderCount and unconfirmedOrders allow,
// another VM is assumed to have sent them: refreshState then calls OnForeignOrder and leaves the state unknown.
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
	if err != nil {
		c.Log("engine report failed", "engine", c.Replica.ID, "waiting", len(c.pending), "error", err.Error())
		c.unresponsive = true
		c.refusePending()
		c.backoffUntil = c.Clock() + failureBackoff
		return false
	}
	if c.lastOrderTime > 0 && report.Replica.OrderCount > c.orderCount+c.unconfirmedOrders &&
		report.Replica.StartedAtMs == c.Replica.StartedAtMs {
		c.Log("another VM ordered the engine", "engine", c.Replica.ID, "orders", report.Replica.OrderCount, "expected", c.orderCount)
		go c.OnForeignOrder()
		return false
	}
	c.applyReport(report)
	return true
}

// applyReport replaces the known order count, start time and adapter slots of the engine with those of its report; if the base
// model is not loaded, all slots become empty. The caller holds mu.
func (c *Controller) applyReport(report fuchsiaspoke.ReplicaReport) {
	c.orderCount, c.unconfirmedOrders, c.stateKnown, c.unresponsive = report.Replica.OrderCount, 0, true, false
	if report.Replica.StartedAtMs != 0 {
		c.Replica.StartedAtMs = report.Replica.StartedAtMs
	}
	c.modelLoaded = false
	for _, model := range report.Replica.Models {
		if model.Name == c.Model {
			c.modelLoaded = true
			c.sched.ApplyReport(c.Clock(), model)
		}
	}
	if !c.modelLoaded {
		c.sched.ApplyReport(c.Clock(), fuchsiaspoke.ResidentModel{})
	}
	c.Log("engine state read", "engine", c.Replica.ID, "orders", c.orderCount, "born", c.Replica.StartedAtMs,
		"model_held", c.modelLoaded)
}

// loadModel orders the load of the base model, unless a backoff is running. The reconcile loop repeats it every
// modelLoadPollInterval, also after a failure, until the engine answers OrderDone; the next report then confirms that the model is
// loaded.
func (c *Controller) loadModel(ctx context.Context) {
	c.mu.Lock()
	tooEarly := c.Clock() < c.backoffUntil
	c.mu.Unlock()
	if tooEarly {
		return
	}
	result := c.sendOrder(ctx, fuchsiaspoke.EngineOrder{Load: true, Model: c.Model, Expected: -1})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffUntil = c.Clock() + modelLoadPollInterval
	switch result {
	case fuchsiaspoke.OrderDone:
		c.backoffUntil = 0
		c.stateKnown = false
	case fuchsiaspoke.OrderAccepted:
		c.orderCount++
	case fuchsiaspoke.OrderUnknown:
		c.unconfirmedOrders++
	case fuchsiaspoke.OrderConflict, fuchsiaspoke.OrderRefused, fuchsiaspoke.OrderMisdirected:
	}
}
