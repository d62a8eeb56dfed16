package controller

import (
	"context"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// refreshState reads the engine's adapter slots and order count. It waits until maxReportAge has passed since the last order,
// since an earlier report may not include that order yet.
func (k *Controller) refreshState(ctx context.Context) bool {
	k.mu.Lock()
	tooEarly := k.lastOrderTime > 0 && k.Clock()-k.lastOrderTime < maxReportAge || k.Clock() < k.backoffUntil
	k.mu.Unlock()
	if tooEarly {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	report, err := k.Engine.Report(ctx, k.Replica)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.Log("engine report failed", "engine", k.Replica.ID, "waiting", len(k.pending), "error", err.Error())
		k.unresponsive = true
		k.refusePending()
		k.backoffUntil = k.Clock() + failureBackoff
		return false
	}
	if k.lastOrderTime > 0 && report.Replica.OrderCount > k.orderCount+k.unconfirmedOrders && report.Replica.StartedAtMs == k.Replica.StartedAtMs {
		k.Log("another VM ordered the engine", "engine", k.Replica.ID, "orders", report.Replica.OrderCount, "expected", k.orderCount)
		go k.OnForeignOrder()
		return false
	}
	k.applyReport(report)
	return true
}

func (k *Controller) applyReport(report fuchsiaspoke.ReplicaReport) {
	k.orderCount, k.unconfirmedOrders, k.stateKnown, k.unresponsive = report.Replica.OrderCount, 0, true, false
	if report.Replica.StartedAtMs != 0 {
		k.Replica.StartedAtMs = report.Replica.StartedAtMs
	}
	k.modelLoaded = false
	for _, held := range report.Replica.Models {
		if held.Name == k.Model {
			k.modelLoaded = true
			k.sched.ApplyReport(k.Clock(), held)
		}
	}
	if !k.modelLoaded {
		k.sched.ApplyReport(k.Clock(), fuchsiaspoke.ResidentModel{})
	}
	k.Log("engine state read", "engine", k.Replica.ID, "orders", k.orderCount, "born", k.Replica.StartedAtMs, "model_held", k.modelLoaded)
}

// loadModel orders the base model for an engine that holds none, and repeats the order until the engine answers that the load is
// done. The next report then confirms that the model is held.
func (k *Controller) loadModel(ctx context.Context) {
	k.mu.Lock()
	tooEarly := k.Clock() < k.backoffUntil
	k.mu.Unlock()
	if tooEarly {
		return
	}
	result := k.sendOrder(ctx, fuchsiaspoke.EngineOrder{Load: true, Model: k.Model, Expected: -1})
	k.mu.Lock()
	defer k.mu.Unlock()
	k.backoffUntil = k.Clock() + modelLoadPollInterval
	if result == fuchsiaspoke.OrderDone {
		k.backoffUntil = 0
		k.stateKnown = false
	}
}
