// Package holder runs the lease protocol of one VM: it asks for the leases the VM should hold and answers other VMs' asks.
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
	// Method names the call that asks for leases.
	Method = "lease"
	// interval is the time between two rounds of asks.
	interval = 400 * time.Millisecond
	// pauseLimit is the lateness of a round after which the process takes itself to have been suspended.
	pauseLimit = 1500 * time.Millisecond
	// askTimeout bounds one ask.
	askTimeout = time.Second
)

type caller interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
}

// Holder owns the VM's lease state.
type Holder struct {
	// Leaser is the protocol's state; only the holder touches it once Run began.
	Leaser *leaser.Leaser
	// Caller reaches the grantors.
	Caller caller
	// Find returns the address of a VM.
	Find func(id string) (fuchsiaspoke.VM, bool)
	// Wanted names the resources that this VM should hold now.
	Wanted func(held func(resource string) bool) []string
	// Changed is told of each resource that the VM took or lost, in order; it must not call Release.
	Changed func(lease fuchsiaspoke.Lease, held bool)
	// Paused is told of a suspension and its length.
	Paused func(time.Duration)
	// Clock returns the time since the process started; it goes on while the process is suspended.
	Clock func() time.Duration
	// Fault is told of failed asks.
	Fault func(error)

	mu     sync.Mutex
	held   map[string]fuchsiaspoke.Lease
	wanted []string
	// telling keeps the calls of Changed in order; it is taken before mu.
	telling sync.Mutex
}

// Run asks for leases until the context ends, then releases them.
func (h *Holder) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	last := h.Clock()
	for {
		now := h.Clock()
		if gap := now - last; gap > pauseLimit {
			h.forget(gap)
		}
		last = now
		h.round(ctx, &wg)
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

// Holds names the resources that this VM holds now.
func (h *Holder) Holds() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := make([]string, 0, len(h.held))
	for name := range h.held {
		names = append(names, name)
	}
	return names
}

// Adopt takes a newer list of VMs into use.
func (h *Holder) Adopt(list fuchsiaspoke.VMList) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Leaser.Adopt(h.Clock(), list)
}

// Ready reports whether this VM may promise leases to others.
func (h *Holder) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Leaser.Ready(h.Clock())
}

// Answer serves another VM's ask.
func (h *Holder) Answer(_ context.Context, from string, request frame.Frame, send func(any) error) error {
	var ask fuchsiaspoke.LeaseAsk
	if err := request.Decode(&ask); err != nil {
		return err
	}
	if ask.From != from {
		return errors.Errorf("ask of VM %s came from VM %s", ask.From, from)
	}
	h.mu.Lock()
	answer := h.Leaser.Answer(h.Clock(), ask)
	h.mu.Unlock()
	return send(answer)
}

// Release gives leases back to their grantors, who may then promise them to others at once.
func (h *Holder) Release(ctx context.Context, resources ...string) {
	var wg sync.WaitGroup
	h.mu.Lock()
	asks := h.Leaser.Release(h.Clock(), resources)
	h.mu.Unlock()
	h.settle()
	h.deliver(ctx, &wg, asks)
	wg.Wait()
}

func (h *Holder) round(ctx context.Context, wg *sync.WaitGroup) {
	h.settle()
	wanted := h.Wanted(func(resource string) bool {
		_, ok := h.Held(resource)
		return ok
	})
	h.mu.Lock()
	h.wanted = wanted
	asks := h.Leaser.Ask(h.Clock(), wanted)
	h.mu.Unlock()
	h.deliver(ctx, wg, asks)
}

func (h *Holder) deliver(ctx context.Context, wg *sync.WaitGroup, asks []fuchsiaspoke.LeaseAsk) {
	for _, ask := range asks {
		if ask.To == ask.From {
			h.askSelf(ask)
			continue
		}
		wg.Go(func() {
			if err := h.ask(ctx, ask); err != nil && h.Fault != nil {
				h.Fault(err)
			}
		})
	}
}

func (h *Holder) askSelf(ask fuchsiaspoke.LeaseAsk) {
	h.mu.Lock()
	now := h.Clock()
	h.Leaser.Hear(now, h.Leaser.Answer(now, ask))
	h.mu.Unlock()
	h.settle()
}

func (h *Holder) ask(ctx context.Context, ask fuchsiaspoke.LeaseAsk) error {
	vm, ok := h.Find(ask.To)
	if !ok {
		return errors.Errorf("ask VM %s for leases: its address is not known", ask.To)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return h.Caller.Call(ctx, vm, Method, ask, func(body cbor.RawMessage) error {
		var answer fuchsiaspoke.LeaseAnswer
		if err := cbor.Unmarshal(body, &answer); err != nil {
			return errors.Wrap(err, "decode lease answer")
		}
		h.mu.Lock()
		h.Leaser.Hear(h.Clock(), answer)
		h.mu.Unlock()
		h.settle()
		return nil
	})
}

// settle tells the owner which leases were taken and lost since it last ran.
func (h *Holder) settle() {
	h.telling.Lock()
	defer h.telling.Unlock()
	h.mu.Lock()
	taken, lost := h.compare()
	h.mu.Unlock()
	for _, lease := range lost {
		h.Changed(lease, false)
	}
	for _, lease := range taken {
		h.Changed(lease, true)
	}
}

func (h *Holder) compare() (taken, lost []fuchsiaspoke.Lease) {
	now := h.Clock()
	if h.held == nil {
		h.held = make(map[string]fuchsiaspoke.Lease)
	}
	for name, before := range h.held {
		lease, ok := h.Leaser.Held(now, name)
		if ok && lease.Fence == before.Fence {
			continue
		}
		delete(h.held, name)
		lost = append(lost, before)
	}
	for _, name := range h.wanted {
		lease, ok := h.Leaser.Held(now, name)
		if !ok {
			continue
		}
		if _, known := h.held[name]; !known {
			h.held[name] = lease
			taken = append(taken, lease)
		}
	}
	return taken, lost
}

func (h *Holder) forget(gap time.Duration) {
	h.mu.Lock()
	h.Leaser.Forget()
	h.mu.Unlock()
	h.settle()
	if h.Paused != nil {
		h.Paused(gap)
	}
}
