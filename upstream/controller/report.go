package controller

import (
	"context"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// refreshState reads the engine's adapter slots and order count. It waits until maxReportAge has passed since the last order,
// since an earlier report may not include that order yet.
func (c *Controller) refreshState(ctx context.Context) bool {
	c.mu.Lock()
	tooEarly := c.lastOrderTime > 0 && c.Clock()-c.lastOrderTime < maxReportAge || c.Clock() < c.backoffUntil
	c.mu.Unlock()
	if tooEarly {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
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
	if c.lastOrderTime > 0 && report.Replica.OrderCount > c.orderCount+c.unconfirmedOrders && report.Replica.StartedAtMs == c.Replica.StartedAtMs {
		c.Log("another VM ordered the engine", "engine", c.Replica.ID, "orders", report.Replica.OrderCount, "expected", c.orderCount)
		go c.OnForeignOrder()
		return false
	}
	c.applyReport(report)
	return true
}

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
	c.Log("engine state read", "engine", c.Replica.ID, "orders", c.orderCount, "born", c.Replica.StartedAtMs, "model_held", c.modelLoaded)
}

// loadModel orders the base model for an engine that holds none, and repeats the order until the engine answers that the load is
// done. The next report then confirms that the model is held.
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
	if result == fuchsiaspoke.OrderDone {
		c.backoffUntil = 0
		c.stateKnown = false
	}
}
