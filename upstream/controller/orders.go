package controller

import (
	"context"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/scheduler"
)

// pollPendingOrders repeats the orders for loads that are expected to be complete and for all unloads in progress. The engine
// answers OrderDone once the requested state holds.
func (c *Controller) pollPendingOrders(ctx context.Context) {
	c.mu.Lock()
	now := c.Clock()
	loads := c.sched.LoadsToCheck(now)
	unloads := c.sched.PendingUnloads()
	c.mu.Unlock()
	for _, adapter := range loads {
		version := c.LatestVersion(adapter)
		result := c.sendOrder(ctx, fuchsiaspoke.EngineOrder{
			Load: true, Model: c.Model, Adapter: adapter,
			Version: version, Expected: -1,
		})
		c.handleLoadStatus(adapter, version, result)
	}
	for _, adapter := range unloads {
		result := c.sendOrder(ctx, fuchsiaspoke.EngineOrder{Model: c.Model, Adapter: adapter, Expected: -1})
		if result == fuchsiaspoke.OrderDone {
			c.mu.Lock()
			c.sched.RecordRemoved(c.Clock(), adapter)
			c.mu.Unlock()
		}
	}
}

// handleLoadStatus handles the result of a repeated load order: the adapter is resident, is still loading and polled again later,
// or the engine's state is unknown.
func (c *Controller) handleLoadStatus(adapter string, version int64, result fuchsiaspoke.OrderResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock()
	switch result {
	case fuchsiaspoke.OrderDone:
		c.sched.RecordLoaded(now, adapter, version)
	case fuchsiaspoke.OrderAccepted:
		c.sched.DelayCheck(now, adapter, c.sched.CheckInterval(adapter, warmLoadPollInterval, coldLoadPollInterval))
	case fuchsiaspoke.OrderConflict, fuchsiaspoke.OrderRefused, fuchsiaspoke.OrderMisdirected, fuchsiaspoke.OrderUnknown:
		c.sched.DelayCheck(now, adapter, failureBackoff)
		c.stateKnown = false
	}
}

// sendNextOrder sends the next order and reports whether another may follow immediately. While it is unknown whether the engine
// accepted an earlier order, the order count to expect is unknown too: it then sends nothing and marks the engine's state unknown.
func (c *Controller) sendNextOrder(ctx context.Context, order scheduler.AdapterOrder) bool {
	c.mu.Lock()
	expected := c.orderCount
	if c.unconfirmedOrders > 0 {
		c.stateKnown = false
		c.mu.Unlock()
		return false
	}
	c.sched.RecordOrder(c.Clock(), order)
	c.mu.Unlock()
	result := c.sendOrder(ctx, fuchsiaspoke.EngineOrder{
		Load: order.Load, Model: c.Model, Adapter: order.Adapter, Version: order.Version, Expected: expected,
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Log("engine order", "engine", c.Replica.ID, "load", order.Load, "adapter", order.Adapter, "expected", expected,
		"result", int(result))
	return c.handleOrderResult(order, result)
}

// handleOrderResult applies the result of a first, not repeated, order and reports whether another may follow immediately.
// OrderDone for a load means that the adapter was resident already, unlike in the known state, so that state is queried again.
// The caller holds mu.
func (c *Controller) handleOrderResult(order scheduler.AdapterOrder, result fuchsiaspoke.OrderResult) bool {
	now := c.Clock()
	switch result {
	case fuchsiaspoke.OrderAccepted:
		c.orderCount++
		return true
	case fuchsiaspoke.OrderDone:
		if order.Load {
			c.sched.RecordLoaded(now, order.Adapter, order.Version)
			c.stateKnown = false
			return false
		}
		c.orderCount++
		c.sched.RecordRemoved(now, order.Adapter)
		return true
	case fuchsiaspoke.OrderUnknown:
		c.unconfirmedOrders++
	case fuchsiaspoke.OrderConflict, fuchsiaspoke.OrderRefused, fuchsiaspoke.OrderMisdirected:
		if order.Load {
			c.sched.RecordRemoved(now, order.Adapter)
		} else {
			c.sched.RecordUnloadFailed(order.Adapter)
		}
	}
	c.stateKnown = false
	c.backoffUntil = now + failureBackoff
	return false
}

// sendOrder sends one order. If this VM no longer owns the engine, or the engine wants a pause, it sends nothing and returns
// OrderRefused.
func (c *Controller) sendOrder(ctx context.Context, o fuchsiaspoke.EngineOrder) fuchsiaspoke.OrderResult {
	if !c.Owns() || c.Pause() > 0 {
		return fuchsiaspoke.OrderRefused
	}
	c.OnOrder()
	c.mu.Lock()
	c.lastOrderTime = c.Clock()
	c.mu.Unlock()
	o.Owner, o.Fence = c.Owner, c.Fence
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	result, err := c.Engine.Order(ctx, c.Replica, o)
	if err != nil {
		c.Log("engine order failed", "engine", c.Replica.ID, "adapter", o.Adapter, "error", err.Error())
	}
	return result
}
