// Package holder runs the lease protocol of one VM: it requests the leases that the VM should hold and responds to the requests
// of other VMs.
package holder

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/leaser"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// Method is the link method for lease requests.
	Method = "lease"
	// roundInterval is the time between two rounds of requests.
	roundInterval = 400 * time.Millisecond
	// suspensionThreshold is the time between two rounds above which the process assumes that it was suspended.
	suspensionThreshold = 1500 * time.Millisecond
	// requestTimeout bounds one request to a grantor.
	requestTimeout = time.Second
)

type caller interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
}

// Holder requests, renews and releases the VM's leases, and responds to lease requests as a grantor.
type Holder struct {
	// Leaser is the protocol state; once Run has started, only the Holder may access it.
	Leaser *leaser.Leaser
	// Caller sends requests to the grantors.
	Caller caller
	// Find returns the VM with the id, and whether its address is known.
	Find func(id string) (fuchsiaspoke.VM, bool)
	// Wanted returns the resources that this VM should hold now.
	Wanted func(held func(resource string) bool) []string
	// OnLeaseChange is called, in order, for each lease that the VM acquired or lost. It must not call Release.
	OnLeaseChange func(lease fuchsiaspoke.Lease, held bool)
	// OnSuspension is called with the length of each detected suspension, after all leases were dropped.
	OnSuspension func(time.Duration)
	// Clock returns the time since the process started; it keeps running while the process is suspended.
	Clock func() time.Duration
	// OnCallError is called with the error of each failed request.
	OnCallError func(error)

	mu     sync.Mutex
	held   map[string]fuchsiaspoke.Lease
	wanted []string
	// notifyMu keeps the calls of OnLeaseChange in order; it is locked before mu.
	notifyMu sync.Mutex
}

// Run requests and renews leases until the context is cancelled. It does not release them.
func (h *Holder) Run(ctx context.Context) error {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	lastRound := h.Clock()
	for {
		now := h.Clock()
		if pause := now - lastRound; pause > suspensionThreshold {
			h.dropLeases(pause)
		}
		lastRound = now
		h.runRound(ctx, &wg)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Held returns the lease on the resource if this VM holds it now.
func (h *Holder) Held(resource string) (fuchsiaspoke.Lease, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Leaser.Held(h.Clock(), resource)
}

// HeldResources returns the resources whose leases OnLeaseChange last reported as held.
func (h *Holder) HeldResources() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := make([]string, 0, len(h.held))
	for name := range h.held {
		names = append(names, name)
	}
	return names
}

// Adopt passes a published list of VMs to the lease protocol, which ignores one that is not newer than the current one.
func (h *Holder) Adopt(list fuchsiaspoke.VMList) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Leaser.Adopt(h.Clock(), list)
}

// Ready reports whether this VM may grant leases to others.
func (h *Holder) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Leaser.Ready(h.Clock())
}

// HandleRequest responds to another VM's lease request.
func (h *Holder) HandleRequest(_ context.Context, from string, message frame.Frame, send func(any) error) error {
	var request fuchsiaspoke.LeaseRequest
	if err := message.Decode(&request); err != nil {
		return err
	}
	if request.From != from {
		return errors.Errorf("lease request of VM %s was sent by VM %s", request.From, from)
	}
	h.mu.Lock()
	response := h.Leaser.HandleRequest(h.Clock(), request)
	h.mu.Unlock()
	return send(response)
}

// Release releases leases at their grantors, which may then grant them to other VMs at once. It returns when all grantors have
// responded or their requests have failed.
func (h *Holder) Release(ctx context.Context, resources ...string) {
	var wg sync.WaitGroup
	h.mu.Lock()
	requests := h.Leaser.Release(h.Clock(), resources)
	h.mu.Unlock()
	h.notifyChanges()
	h.sendAll(ctx, &wg, requests)
	wg.Wait()
}

// runRound reports lease changes, then sends requests for the leases that this VM wants now. It does not wait for responses.
func (h *Holder) runRound(ctx context.Context, wg *sync.WaitGroup) {
	h.notifyChanges()
	wanted := h.Wanted(func(resource string) bool {
		_, ok := h.Held(resource)
		return ok
	})
	h.mu.Lock()
	h.wanted = wanted
	requests := h.Leaser.BuildRequests(h.Clock(), wanted)
	h.mu.Unlock()
	h.sendAll(ctx, wg, requests)
}

func (h *Holder) sendAll(ctx context.Context, wg *sync.WaitGroup, requests []fuchsiaspoke.LeaseRequest) {
	for _, request := range requests {
		if request.To == request.From {
			h.requestFromSelf(request)
			continue
		}
		wg.Go(func() {
			if err := h.request(ctx, request); err != nil && h.OnCallError != nil {
				h.OnCallError(err)
			}
		})
	}
}

// requestFromSelf passes a request to this VM as one of the grantors, without a call over the link.
func (h *Holder) requestFromSelf(request fuchsiaspoke.LeaseRequest) {
	h.mu.Lock()
	now := h.Clock()
	h.Leaser.HandleResponse(now, h.Leaser.HandleRequest(now, request))
	h.mu.Unlock()
	h.notifyChanges()
}

func (h *Holder) request(ctx context.Context, request fuchsiaspoke.LeaseRequest) error {
	vm, ok := h.Find(request.To)
	if !ok {
		return errors.Errorf("send lease request to VM %s: address is not known", request.To)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return h.Caller.Call(ctx, vm, Method, request, func(body cbor.RawMessage) error {
		var response fuchsiaspoke.LeaseResponse
		if err := cbor.Unmarshal(body, &response); err != nil {
			return errors.Wrap(err, "decode lease response")
		}
		h.mu.Lock()
		h.Leaser.HandleResponse(h.Clock(), response)
		h.mu.Unlock()
		h.notifyChanges()
		return nil
	})
}

// notifyChanges calls OnLeaseChange for each lease that was lost or acquired since its last run, the lost ones first.
func (h *Holder) notifyChanges() {
	h.notifyMu.Lock()
	defer h.notifyMu.Unlock()
	h.mu.Lock()
	acquired, lost := h.diffLeases()
	h.mu.Unlock()
	for _, lease := range lost {
		h.OnLeaseChange(lease, false)
	}
	for _, lease := range acquired {
		h.OnLeaseChange(lease, true)
	}
}

// diffLeases updates the known leases from the protocol state and returns the differences. A lease with a new fencing token
// counts as lost and, if it is still wanted, as acquired.
func (h *Holder) diffLeases() (acquired, lost []fuchsiaspoke.Lease) {
	now := h.Clock()
	if h.held == nil {
		h.held = make(map[string]fuchsiaspoke.Lease)
	}
	for name, previous := range h.held {
		lease, ok := h.Leaser.Held(now, name)
		if ok && lease.Fence == previous.Fence {
			continue
		}
		delete(h.held, name)
		lost = append(lost, previous)
	}
	for _, name := range h.wanted {
		lease, ok := h.Leaser.Held(now, name)
		if !ok {
			continue
		}
		if _, known := h.held[name]; !known {
			h.held[name] = lease
			acquired = append(acquired, lease)
		}
	}
	return acquired, lost
}

// dropLeases drops all leases after a suspension, in which they may have expired unnoticed.
func (h *Holder) dropLeases(pause time.Duration) {
	h.mu.Lock()
	h.Leaser.DropLeases()
	h.mu.Unlock()
	h.notifyChanges()
	if h.OnSuspension != nil {
		h.OnSuspension(pause)
	}
}
