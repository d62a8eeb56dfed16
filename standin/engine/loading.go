package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/store"
	"github.com/labstack/echo/v4"
)

func (e *Engine) load(c echo.Context) error {
	var req controlRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&req); err != nil || req.Name == "" {
		return respondNotRun(c, http.StatusBadRequest, "invalid_request", "load request is not valid JSON or has no lora_name")
	}
	adapter := fuchsiaspoke.Adapter{Name: req.Name, Version: req.Version}
	slot, code := e.startLoad(adapter, req.Fence)
	if code != "" {
		return respondNotRun(c, http.StatusConflict, code, "cannot load adapter "+req.Name)
	}
	select {
	case <-slot.loadEnded:
	case <-c.Request().Context().Done():
		return nil
	}
	if slot.err != nil {
		return respondNotRun(c, http.StatusInternalServerError, "load_failed", slot.err.Error())
	}
	return c.NoContent(http.StatusOK)
}

// startLoad reserves a slot and starts the load, or returns the slot that the adapter already has. If neither is possible
// it returns the error code.
func (e *Engine) startLoad(adapter fuchsiaspoke.Adapter, fence int64) (*adapterSlot, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.acceptFence(fence) {
		return nil, codeOldFence
	}
	if slot, ok := e.adapterSlots[adapter]; ok {
		return slot, ""
	}
	if len(e.adapterSlots) >= e.SlotCount() {
		return nil, codeNoSlot
	}
	slot := &adapterSlot{loadEnded: make(chan struct{})}
	e.adapterSlots[adapter] = slot
	injectFailure := e.fault.FailLoads > 0
	if injectFailure {
		e.fault.FailLoads--
	}
	if e.Store == nil {
		e.Store = &store.Store{}
	}
	// The load continues after its caller disconnects, as in a real engine, and is cancelled when Serve ends.
	go e.runLoad(e.ctx, adapter, slot, injectFailure, fence)
	return slot, ""
}

// runLoad loads the weights and records the result; on failure it frees the slot.
func (e *Engine) runLoad(ctx context.Context, adapter fuchsiaspoke.Adapter, slot *adapterSlot, injectFailure bool, fence int64) {
	start := time.Now()
	err := e.Store.Load(ctx, adapter)
	if err == nil && injectFailure {
		err = fmt.Errorf("load of adapter %s failed: fault \"fail_loads\" is injected", adapter.Name)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	defer close(slot.loadEnded)
	if err == nil && e.adapterSlots[adapter] != slot {
		err = fmt.Errorf("engine restarted or unloaded adapter %s during its load", adapter.Name)
	}
	rec := record.Record{
		Kind: "load", Start: start, End: time.Now(), Adapter: adapter, Incarnation: e.incarnation, Fence: fence,
	}
	if err != nil {
		slot.err = err
		rec.Kind = "load_failed"
		rec.Detail = err.Error()
		if e.adapterSlots[adapter] == slot {
			delete(e.adapterSlots, adapter)
		}
	}
	slot.loaded = err == nil
	e.records = append(e.records, rec)
	e.recordSnapshot()
}

func (e *Engine) unload(c echo.Context) error {
	var req controlRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&req); err != nil {
		return respondNotRun(c, http.StatusBadRequest, "invalid_request", err.Error())
	}
	adapter := fuchsiaspoke.Adapter{Name: req.Name, Version: req.Version}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.acceptFence(req.Fence) {
		return respondNotRun(c, http.StatusConflict, codeOldFence, "fencing token is lower than the highest one received")
	}
	if _, ok := e.adapterSlots[adapter]; !ok {
		return respondNotRun(c, http.StatusNotFound, codeNotResident, "adapter is not resident")
	}
	now := time.Now()
	rec := record.Record{
		Kind: "unload", Start: now, End: now, Adapter: adapter, Incarnation: e.incarnation, Fence: req.Fence,
	}
	e.records = append(e.records, rec)
	if n := e.countRequests(adapter); n > 0 {
		rec.Kind = "violation"
		rec.Detail = fmt.Sprintf("adapter unloaded while in use by %d requests", n)
		e.records = append(e.records, rec)
	}
	delete(e.adapterSlots, adapter)
	for _, r := range slices.Concat(e.running, e.waiting) {
		if r.adapter == adapter {
			e.endRun(r, "evicted")
		}
	}
	e.recordSnapshot()
	return c.NoContent(http.StatusOK)
}
