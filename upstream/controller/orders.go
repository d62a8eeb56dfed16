package controller

import (
	"context"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/scheduler"
)

// pollPendingOrders repeats the orders for loads that are expected to be complete and for unloads in progress. The engine answers
// OrderDone once the requested state holds. Each expects the present order count, so the engine refuses one that arrives after a later
// order. Nothing is repeated after one that failed, or while an order has no answer.
func (c *Controller) pollPendingOrders(ctx context.Context) {
	c.mu.Lock()
	orders := c.sched.OrdersToCheck(c.Clock())
	c.mu.Unlock()
	for _, order := range orders {
		o, permitted := c.repetition(order)
		if !permitted {
			return
		}
		result := c.sendOrder(ctx, o)
		c.handlePollResult(order, o, result)
	}
}

// repetition returns the order by which a load or an unload in progress is polled; false means that the order count is unknown.
func (c *Controller) repetition(order scheduler.AdapterOrder) (fuchsiaspoke.EngineOrder, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engineOrder(order), c.stateKnown && c.unanswered == nil
}

// engineOrder returns the order to the engine, which expects the present order count. The caller holds mu.
func (c *Controller) engineOrder(order scheduler.AdapterOrder) fuchsiaspoke.EngineOrder {
	return fuchsiaspoke.EngineOrder{
		Load: order.Load, Model: c.Model, Adapter: order.Adapter, Version: order.Version, Expected: c.orderCount,
		Owner: c.Owner, Fence: c.Fence,
	}
}

// handlePollResult handles the result of a repeated order: it is carried out, is still in progress and polled again later, or the
// engine's state is unknown.
func (c *Controller) handlePollResult(order scheduler.AdapterOrder, sent fuchsiaspoke.EngineOrder, result fuchsiaspoke.OrderResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock()
	switch result {
	case fuchsiaspoke.OrderDone:
		c.recordDone(order)
	case fuchsiaspoke.OrderAccepted:
		c.sched.DelayCheck(now, order.Adapter, c.sched.CheckInterval(order.Adapter, warmLoadPollInterval, coldLoadPollInterval))
	case fuchsiaspoke.OrderUnknown:
		c.unanswered = &sent
		c.stateKnown = false
		c.sched.DelayCheck(now, order.Adapter, failureBackoff)
	case fuchsiaspoke.OrderConflict, fuchsiaspoke.OrderRefused, fuchsiaspoke.OrderMisdirected:
		c.stateKnown = false
		c.sched.DelayCheck(now, order.Adapter, failureBackoff)
	}
}

// recordDone records the state that an order requested. The caller holds mu.
func (c *Controller) recordDone(order scheduler.AdapterOrder) {
	if order.Load {
		c.sched.RecordLoaded(c.Clock(), order.Adapter, order.Version)
		return
	}
	c.sched.RecordRemoved(c.Clock(), order.Adapter)
}

// sendNextOrder sends the next order and reports whether another may follow immediately.
func (c *Controller) sendNextOrder(ctx context.Context, order scheduler.AdapterOrder) bool {
	c.mu.Lock()
	if order.Load && order.Version == 0 {
		order.Version = c.LatestVersion(order.Adapter)
	}
	c.sched.RecordOrder(c.Clock(), order)
	o := c.engineOrder(order)
	c.mu.Unlock()
	result := c.sendOrder(ctx, o)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logOrder(o, result)
	return c.handleOrderResult(order, o, result)
}

func (c *Controller) logOrder(o fuchsiaspoke.EngineOrder, result fuchsiaspoke.OrderResult) {
	c.Log("engine order", "engine", c.Replica.ID, "load", o.Load, "adapter", o.Adapter, "expected", o.Expected, "result", int(result))
}

// handleOrderResult applies the result of a first, not repeated, order and reports whether another may follow immediately.
// OrderDone for a load means that the adapter was resident already, unlike in the known state, so that state is queried again.
// The caller holds mu.
func (c *Controller) handleOrderResult(order scheduler.AdapterOrder, sent fuchsiaspoke.EngineOrder, result fuchsiaspoke.OrderResult) bool {
	switch result {
	case fuchsiaspoke.OrderAccepted:
		c.orderCount++
		return true
	case fuchsiaspoke.OrderDone:
		c.recordDone(order)
		if order.Load {
			c.stateKnown = false
			return false
		}
		c.orderCount++
		return true
	case fuchsiaspoke.OrderUnknown:
		c.unanswered = &sent
	case fuchsiaspoke.OrderConflict, fuchsiaspoke.OrderRefused, fuchsiaspoke.OrderMisdirected:
		if order.Load {
			c.sched.RecordRemoved(c.Clock(), order.Adapter)
		} else {
			c.sched.RecordUnloadFailed(order.Adapter)
		}
	}
	c.stateKnown = false
	c.backoffUntil = c.Clock() + failureBackoff
	return false
}

// resolveUnanswered repeats the order whose answer is missing, with the order count that it expected, and reports whether it is answered
// now, or none was missing. If the engine accepts the repetition, the first one is void, and otherwise the first one was carried out.
func (c *Controller) resolveUnanswered(ctx context.Context) bool {
	c.mu.Lock()
	if c.unanswered == nil {
		c.mu.Unlock()
		return true
	}
	o, tooEarly := *c.unanswered, c.Clock() < c.backoffUntil
	c.mu.Unlock()
	if tooEarly {
		return false
	}
	result := c.sendOrder(ctx, o)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logOrder(o, result)
	switch result {
	case fuchsiaspoke.OrderAccepted, fuchsiaspoke.OrderDone:
		c.unanswered = nil
		return c.handleOrderResult(adapterOrder(o), o, result)
	case fuchsiaspoke.OrderUnknown, fuchsiaspoke.OrderConflict, fuchsiaspoke.OrderRefused, fuchsiaspoke.OrderMisdirected:
		c.stateKnown = false
		c.backoffUntil = c.Clock() + failureBackoff
	}
	return false
}

func adapterOrder(o fuchsiaspoke.EngineOrder) scheduler.AdapterOrder {
	return scheduler.AdapterOrder{Load: o.Load, Adapter: o.Adapter, Version: o.Version}
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
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	result, err := c.Engine.Order(ctx, c.Replica, o)
	if err != nil {
		c.Log("engine order failed", "engine", c.Replica.ID, "adapter", o.Adapter, "error", err.Error())
	}
	return result
}
