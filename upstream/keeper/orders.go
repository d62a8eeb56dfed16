package keeper

import (
	"context"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/scheduler"
)

// confirm asks again for the loads and unloads that should be complete; an engine answers that what holds is done.
func (k *Keeper) confirm(ctx context.Context) {
	k.mu.Lock()
	now := k.Clock()
	loads := k.plan.Coming(now)
	unloads := k.plan.Leaving()
	k.mu.Unlock()
	for _, adapter := range loads {
		version := k.Versions(adapter)
		result := k.order(ctx, fuchsiaspoke.EngineOrder{Load: true, Model: k.Model, Adapter: adapter, Version: version, Expected: -1})
		k.confirmed(adapter, version, result)
	}
	for _, adapter := range unloads {
		result := k.order(ctx, fuchsiaspoke.EngineOrder{Model: k.Model, Adapter: adapter, Expected: -1})
		if result == fuchsiaspoke.OrderDone {
			k.mu.Lock()
			k.plan.Dropped(k.Clock(), adapter)
			k.mu.Unlock()
		}
	}
}

func (k *Keeper) confirmed(adapter string, version int64, result fuchsiaspoke.OrderResult) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Clock()
	switch result {
	case fuchsiaspoke.OrderDone:
		k.plan.Loaded(now, adapter, version)
	case fuchsiaspoke.OrderAccepted:
		k.plan.Postpone(now, adapter, k.plan.Poll(adapter, warmPoll, coldPoll))
	case fuchsiaspoke.OrderConflict, fuchsiaspoke.OrderRefused, fuchsiaspoke.OrderMisdirected, fuchsiaspoke.OrderUnknown:
		k.plan.Postpone(now, adapter, failurePause)
		k.synced = false
	}
}

// change gives one order and reports whether another may follow at once.
func (k *Keeper) change(ctx context.Context, c scheduler.Change) bool {
	k.mu.Lock()
	expected := k.count
	if k.uncertain > 0 {
		k.synced = false
		k.mu.Unlock()
		return false
	}
	k.plan.Ordered(k.Clock(), c)
	k.mu.Unlock()
	result := k.order(ctx, fuchsiaspoke.EngineOrder{
		Load: c.Load, Model: k.Model, Adapter: c.Adapter, Version: c.Version, Expected: expected,
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Log("engine order", "engine", k.Replica.ID, "load", c.Load, "adapter", c.Adapter, "expected", expected, "result", int(result))
	return k.changed(c, result)
}

func (k *Keeper) changed(c scheduler.Change, result fuchsiaspoke.OrderResult) bool {
	now := k.Clock()
	switch result {
	case fuchsiaspoke.OrderAccepted:
		k.count++
		return true
	case fuchsiaspoke.OrderDone:
		if c.Load {
			k.plan.Loaded(now, c.Adapter, c.Version)
			k.synced = false
			return false
		}
		k.count++
		k.plan.Dropped(now, c.Adapter)
		return true
	case fuchsiaspoke.OrderUnknown:
		k.uncertain++
	case fuchsiaspoke.OrderConflict, fuchsiaspoke.OrderRefused, fuchsiaspoke.OrderMisdirected:
		if c.Load {
			k.plan.Dropped(now, c.Adapter)
		} else {
			k.plan.Kept(c.Adapter)
		}
	}
	k.synced = false
	k.pauseUntil = now + failurePause
	return false
}

// order gives one order, unless this VM no longer holds the engine.
func (k *Keeper) order(ctx context.Context, o fuchsiaspoke.EngineOrder) fuchsiaspoke.OrderResult {
	if !k.Holds() {
		return fuchsiaspoke.OrderRefused
	}
	k.Ordered()
	k.mu.Lock()
	k.lastOrder = k.Clock()
	k.mu.Unlock()
	o.Holder, o.Fence = k.Holder, k.Fence
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result, err := k.Control.Order(ctx, k.Replica, o)
	if err != nil {
		k.Log("engine order failed", "engine", k.Replica.ID, "adapter", o.Adapter, "error", err.Error())
	}
	return result
}
