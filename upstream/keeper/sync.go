package keeper

import (
	"context"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// sync reads the engine's places and its count of orders, once its report can't lag behind the last order.
func (k *Keeper) sync(ctx context.Context) bool {
	k.mu.Lock()
	early := k.lastOrder > 0 && k.Clock()-k.lastOrder < reportLag || k.Clock() < k.pauseUntil
	k.mu.Unlock()
	if early {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := k.Control.Report(ctx, k.Replica)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.Log("engine report failed", "engine", k.Replica.ID, "waiting", len(k.grants), "error", err.Error())
		k.silent = true
		k.giveUp()
		k.pauseUntil = k.Clock() + failurePause
		return false
	}
	if k.lastOrder > 0 && report.Replica.Orders > k.count+k.uncertain && report.Replica.Born == k.Replica.Born {
		k.Log("another VM ordered the engine", "engine", k.Replica.ID, "orders", report.Replica.Orders, "expected", k.count)
		go k.Foreign()
		return false
	}
	k.adopt(report)
	return true
}

func (k *Keeper) adopt(report fuchsiaspoke.ReplicaReport) {
	k.count, k.uncertain, k.synced, k.silent = report.Replica.Orders, 0, true, false
	if report.Replica.Born != 0 {
		k.Replica.Born = report.Replica.Born
	}
	k.modelReady = false
	for _, held := range report.Replica.Held {
		if held.Name == k.Model {
			k.modelReady = true
			k.plan.Adopt(k.Clock(), held)
		}
	}
	if !k.modelReady {
		k.plan.Adopt(k.Clock(), fuchsiaspoke.HeldModel{})
	}
	k.Log("engine state read", "engine", k.Replica.ID, "orders", k.count, "born", k.Replica.Born, "model_held", k.modelReady)
}

// loadModel orders the base model for an engine that started empty; the next report tells that it is held.
func (k *Keeper) loadModel(ctx context.Context) {
	k.mu.Lock()
	early := k.Clock() < k.pauseUntil
	k.mu.Unlock()
	if early {
		return
	}
	result := k.order(ctx, fuchsiaspoke.EngineOrder{Load: true, Model: k.Model, Expected: -1})
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pauseUntil = k.Clock() + modelPoll
	if result == fuchsiaspoke.OrderDone {
		k.pauseUntil = 0
		k.synced = false
	}
}
