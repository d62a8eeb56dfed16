package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// adapterLoadTime is how long an engine takes to load an adapter.
	adapterLoadTime = 250 * time.Millisecond
	operationLoad   = "load"
	operationUnload = "unload"
)

// order is the body of an order to an engine.
type order struct {
	Operation, Model, Adapter, Holder string
	Expected                          *int64
	FencingToken                      int64
}

// receivedOrder is an order as it arrived, and the status of its answer.
type receivedOrder struct {
	order
	at     time.Duration
	status int
}

// adapterSet is the adapters of one engine by name, with the times at which they are loaded, and all orders that it received.
type adapterSet struct {
	mu       sync.Mutex
	readyAt  map[string]time.Time
	received []receivedOrder
}

func (a *adapterSet) clear() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readyAt = map[string]time.Time{}
}

// has reports whether the engine holds or loads an adapter, and whether it is loaded.
func (a *adapterSet) has(name string) (known, ready bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, known := a.readyAt[name]
	return known, known && !time.Now().Before(at)
}

// list returns the adapters as a report names them.
func (a *adapterSet) list() (loaded, coming []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	loaded, coming = []string{}, []string{}
	for name, at := range a.readyAt {
		if time.Now().Before(at) {
			coming = append(coming, modelName+"/"+name+"@1")
		} else {
			loaded = append(loaded, name+"@1")
		}
	}
	return loaded, coming
}

// carryOut carries out an order, which count counts, and returns the status of its answer.
func (a *adapterSet) carryOut(o order, count *atomic.Int64, now time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	status := a.statusOf(o, count.Load())
	a.received = append(a.received, receivedOrder{o, now, status})
	at, known := a.readyAt[o.Adapter]
	switch {
	case status == http.StatusConflict || o.Adapter == "":
	case o.Operation == operationUnload:
		delete(a.readyAt, o.Adapter)
		count.Add(1)
	case !known:
		a.readyAt[o.Adapter] = time.Now().Add(adapterLoadTime)
		count.Add(1)
	case time.Now().Before(at):
		return http.StatusAccepted
	}
	return status
}

// statusOf returns the status with which an order is answered at a count of orders. The caller holds mu.
func (a *adapterSet) statusOf(o order, count int64) int {
	switch at, known := a.readyAt[o.Adapter]; {
	case o.Expected != nil && *o.Expected != count:
		return http.StatusConflict
	case o.Operation != operationLoad && o.Operation != operationUnload:
		return http.StatusBadRequest
	case o.Operation == operationLoad && o.Adapter != "" && (!known || time.Now().Before(at)):
		return http.StatusAccepted
	}
	return http.StatusOK
}

// orders returns all orders that the engine received.
func (a *adapterSet) orders() []receivedOrder {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]receivedOrder(nil), a.received...)
}
