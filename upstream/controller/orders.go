package controller

import (
	"context"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/scheduler"
)

// pollChanges repeats the orders for loads that should be complete and for all unloads in progress. An engine answers OrderDone
// to an order whose result is already in place, so the repeated order reports completion.
func (k *Controller) pollChanges(ctx context.Context) {
	k.mu.Lock()
	now := k.Clock()
	loads := k.sched.LoadsToCheck(now)
	unloads := k.sched.PendingUnloads()
	k.mu.Unlock()
	for _, adapter := range loads {
		version := k.LatestVersion(adapter)
		result := k.sendOrder(ctx, fuchsiaspoke.EngineOrder{Load: true, Model: k.Model, Adapter: adapter, Version: version, Expected: -1})
		k.handleLoadStatus(adapter, version, result)
	}
	for _, adapter := range unloads {
		result := k.sendOrder(ctx, fuchsiaspoke.EngineOrder{Model: k.Model, Adapter: adapter, Expected: -1})
		if result == fuchsiaspoke.OrderDone {
			k.mu.Lock()
			k.sched.RecordRemoved(k.Clock(), adapter)
			k.mu.Unlock()
		}
	}
}

func (k *Controller) handleLoadStatus(adapter string, version int64, result fuchsiaspoke.OrderResult) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Clock()
	switch result {
	case fuchsiaspoke.OrderDone:
		k.sched.RecordLoaded(now, adapter, version)
	case fuchsiaspoke.OrderAccepted:
		k.sched.DelayCheck(now, adapter, k.sched.CheckInterval(adapter, warmLoadPollInterval, coldLoadPollInterval))
	case fuchsiaspoke.OrderConflict, fuchsiaspoke.OrderRefused, fuchsiaspoke.OrderMisdirected, fuchsiaspoke.OrderUnknown:
		k.sched.DelayCheck(now, adapter, failureBackoff)
		k.stateKnown = false
	}
}

// sendChange sends one order and reports whether another may follow immediately. While an earlier order is unconfirmed, the
// order count to expect is unknown, so it sends nothing and requests a new report.
func (k *Controller) sendChange(ctx context.Context, c scheduler.AdapterOrder) bool {
	k.mu.Lock()
	expected := k.orderCount
	if k.unconfirmedOrders > 0 {
		k.stateKnown = false
		k.mu.Unlock()
		return false
	}
	k.sched.RecordOrder(k.Clock(), c)
	k.mu.Unlock()
	result := k.sendOrder(ctx, fuchsiaspoke.EngineOrder{
		Load: c.Load, Model: k.Model, Adapter: c.Adapter, Version: c.Version, Expected: expected,
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Log("engine order", "engine", k.Replica.ID, "load", c.Load, "adapter", c.Adapter, "expected", expected, "result", int(result))
	return k.handleChangeResult(c, result)
}

func (k *Controller) handleChangeResult(c scheduler.AdapterOrder, result fuchsiaspoke.OrderResult) bool {
	now := k.Clock()
	switch result {
	case fuchsiaspoke.OrderAccepted:
		k.orderCount++
		return true
	case fuchsiaspoke.OrderDone:
		if c.Load {
			k.sched.RecordLoaded(now, c.Adapter, c.Version)
			k.stateKnown = false
			return false
		}
		k.orderCount++
		k.sched.RecordRemoved(now, c.Adapter)
		return true
	case fuchsiaspoke.OrderUnknown:
		k.unconfirmedOrders++
	case fuchsiaspoke.OrderConflict, fuchsiaspoke.OrderRefused, fuchsiaspoke.OrderMisdirected:
		if c.Load {
			k.sched.RecordRemoved(now, c.Adapter)
		} else {
			k.sched.RecordUnloadFailed(c.Adapter)
		}
	}
	k.stateKnown = false
	k.backoffUntil = now + failureBackoff
	return false
}

// sendOrder sends one order, unless this VM no longer holds the engine.
func (k *Controller) sendOrder(ctx context.Context, o fuchsiaspoke.EngineOrder) fuchsiaspoke.OrderResult {
	if !k.Owns() {
		return fuchsiaspoke.OrderRefused
	}
	k.OnOrder()
	k.mu.Lock()
	k.lastOrderTime = k.Clock()
	k.mu.Unlock()
	o.Owner, o.Fence = k.Owner, k.Fence
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	result, err := k.Engine.Order(ctx, k.Replica, o)
	if err != nil {
		k.Log("engine order failed", "engine", k.Replica.ID, "adapter", o.Adapter, "error", err.Error())
	}
	return result
}
