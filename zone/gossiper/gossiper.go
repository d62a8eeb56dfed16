// Package gossiper exchanges heartbeats between VMs.
package gossiper

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// Method names the heartbeat call on the link.
	Method = "heartbeat"
	// interval is the time between two heartbeats to one peer.
	interval = 500 * time.Millisecond
	// liveFor is how long a peer counts as live after it was last heard.
	liveFor = 1500 * time.Millisecond
	// forgetAfter is how long a peer that the platform does not list is remembered.
	forgetAfter = 10 * time.Second
	// maxPeers bounds the peers that one VM sends heartbeats to.
	maxPeers = 8
)

type caller interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
}

// Gossiper keeps what each peer last said of itself.
type Gossiper struct {
	// Self is this process's VM.
	Self fuchsiaspoke.VM
	// Caller reaches the peers.
	Caller caller
	// State returns what this VM says of itself.
	State func() fuchsiaspoke.PeerState
	// Listed returns the VMs that the platform lists.
	Listed func() []fuchsiaspoke.VM
	// Heard is told of every state that arrives; it must not block.
	Heard func(fuchsiaspoke.PeerState)
	// Answered is told of each answer to a heartbeat of this VM, and when the heartbeat was sent; it must not block.
	Answered func(state fuchsiaspoke.PeerState, sent time.Duration)
	// Clock returns the time since the process started; it goes on while the process is suspended.
	Clock func() time.Duration
	// Fault is told of failed heartbeats.
	Fault func(error)

	mu    sync.Mutex
	peers map[string]peer
	once  sync.Once
	wake  chan struct{}
}

type peer struct {
	state fuchsiaspoke.PeerState
	heard time.Duration
}

// Run sends heartbeats until the context ends.
func (g *Gossiper) Run(ctx context.Context) error {
	g.init()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		for _, vm := range g.targets() {
			wg.Go(func() { g.exchange(ctx, vm) })
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-g.wake:
		}
	}
}

// Wake sends a round of heartbeats at once.
func (g *Gossiper) Wake() {
	g.init()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Answer serves a peer's heartbeat.
func (g *Gossiper) Answer(_ context.Context, from string, request frame.Frame, send func(any) error) error {
	var state fuchsiaspoke.PeerState
	if err := request.Decode(&state); err != nil {
		return err
	}
	if state.VM.ID != from {
		return errors.Errorf("heartbeat of VM %s came from VM %s", state.VM.ID, from)
	}
	g.hear(state)
	return send(g.State())
}

// Live returns the states of the peers heard lately, and this VM's own, ordered by VM.
func (g *Gossiper) Live() []fuchsiaspoke.PeerState {
	now := g.Clock()
	g.mu.Lock()
	states := make([]fuchsiaspoke.PeerState, 0, len(g.peers)+1)
	for _, p := range g.peers {
		if now-p.heard < liveFor {
			states = append(states, p.state)
		}
	}
	g.mu.Unlock()
	states = append(states, g.State())
	slices.SortFunc(states, func(a, b fuchsiaspoke.PeerState) int {
		if a.VM.ID < b.VM.ID {
			return -1
		}
		return 1
	})
	return states
}

// Find returns the VM with the id, from the platform's list or from what peers said.
func (g *Gossiper) Find(id string) (fuchsiaspoke.VM, bool) {
	if id == g.Self.ID {
		return g.Self, true
	}
	for _, vm := range g.Listed() {
		if vm.ID == id {
			return vm, true
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[id]
	return p.state.VM, ok
}

func (g *Gossiper) init() {
	g.once.Do(func() { g.wake = make(chan struct{}, 1) })
}

// targets are all known peers while they are few, else the ones that follow this VM on a hash ring.
func (g *Gossiper) targets() []fuchsiaspoke.VM {
	known := make(map[string]fuchsiaspoke.VM)
	now := g.Clock()
	g.mu.Lock()
	for id, p := range g.peers {
		if now-p.heard > forgetAfter {
			delete(g.peers, id)
			continue
		}
		known[id] = p.state.VM
	}
	g.mu.Unlock()
	for _, vm := range g.Listed() {
		known[vm.ID] = vm
	}
	delete(known, g.Self.ID)
	vms := slices.Collect(maps.Values(known))
	if len(vms) <= maxPeers {
		return vms
	}
	base := xxhash.Sum64String(g.Self.ID)
	slices.SortFunc(vms, func(a, b fuchsiaspoke.VM) int {
		if xxhash.Sum64String(a.ID)-base < xxhash.Sum64String(b.ID)-base {
			return -1
		}
		return 1
	})
	return vms[:maxPeers]
}

func (g *Gossiper) exchange(ctx context.Context, vm fuchsiaspoke.VM) {
	ctx, cancel := context.WithTimeout(ctx, liveFor)
	defer cancel()
	sent := g.Clock()
	err := g.Caller.Call(ctx, vm, Method, g.State(), func(body cbor.RawMessage) error {
		var state fuchsiaspoke.PeerState
		if err := cbor.Unmarshal(body, &state); err != nil {
			return errors.Wrap(err, "decode heartbeat")
		}
		g.hear(state)
		if g.Answered != nil {
			g.Answered(state, sent)
		}
		return nil
	})
	if err != nil && g.Fault != nil {
		g.Fault(err)
	}
}

func (g *Gossiper) hear(state fuchsiaspoke.PeerState) {
	g.mu.Lock()
	if g.peers == nil {
		g.peers = make(map[string]peer)
	}
	g.peers[state.VM.ID] = peer{state: state, heard: g.Clock()}
	g.mu.Unlock()
	if g.Heard != nil {
		g.Heard(state)
	}
}
