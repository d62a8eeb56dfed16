package fuchsiaspoke

// EngineOrder requests that an engine load or unload a base model or an adapter.
type EngineOrder struct {
	Load  bool
	Model string
	// Adapter is empty if the order concerns the base model itself.
	Adapter string
	// Version is the adapter version to load; 0 is the newest.
	Version int64
	// Expected is the number of orders that the engine must have accepted since its start; with any other count it rejects the
	// order as a conflict.
	Expected int64
	// Owner is the VM that sends the order, and Fence its fencing token.
	Owner string
	Fence int64
}

// OrderResult is the outcome of an EngineOrder.
type OrderResult int

// The outcomes of orders.
const (
	// OrderUnknown means that no response was received; the engine may have accepted the order.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the engine is executing the order.
	OrderAccepted
	// OrderDone means that the requested state already holds or was reached at once.
	OrderDone
	// OrderConflict means that another order is being executed or that the engine's order count is not the expected one.
	OrderConflict
	// OrderMisdirected means that a different replica answers at the address.
	OrderMisdirected
	// OrderRefused means that the engine rejected the order for another reason, or that the order was not sent because the VM no
	// longer owns the engine.
	OrderRefused
)
