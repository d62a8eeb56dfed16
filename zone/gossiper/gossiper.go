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
	// Method is the link method for heartbeats.
	Method = "heartbeat"
	// heartbeatInterval is the time between two heartbeats to one peer.
	heartbeatInterval = 500 * time.Millisecond
	// liveTimeout is how long a peer counts as live after its last state was received. It also bounds one heartbeat call.
	liveTimeout = 1500 * time.Millisecond
	// unlistedRetention is how long the last state received from a peer is stored. After that, heartbeats are sent to the peer
	// only if the platform lists it.
	unlistedRetention = 10 * time.Second
	// maxPeers bounds the peers to which one VM sends heartbeats.
	maxPeers = 8
)

type caller interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
}

// Gossiper sends heartbeats with this VM's state to the peers and stores the last state received from each of them.
type Gossiper struct {
	// Self is the VM of this process.
	Self fuchsiaspoke.VM
	// Caller sends heartbeats to the peers.
	Caller caller
	// State returns the state of this VM that heartbeats and their responses carry.
	State func() fuchsiaspoke.PeerState
	// Listed returns the VMs in the platform's list.
	Listed func() []fuchsiaspoke.VM
	// OnState is called with each state received, in heartbeats and in their responses. It must not block.
	OnState func(fuchsiaspoke.PeerState)
	// OnResponse is called with each response to a heartbeat of this VM and the time at which the heartbeat was sent. It must not
	// block.
	OnResponse func(state fuchsiaspoke.PeerState, sent time.Duration)
	// Clock returns the time since the process started; it keeps running while the process is suspended.
	Clock func() time.Duration
	// OnCallError is called with the error of each failed heartbeat.
	OnCallError func(error)

	mu      sync.Mutex
	peers   map[string]peer
	once    sync.Once
	sendNow chan struct{}
}

type peer struct {
	state      fuchsiaspoke.PeerState
	receivedAt time.Duration
}

// Run sends heartbeats until the context is cancelled.
func (g *Gossiper) Run(ctx context.Context) error {
	g.init()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		for _, vm := range g.targets() {
			wg.Go(func() { g.sendHeartbeat(ctx, vm) })
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-g.sendNow:
		}
	}
}

// SendNow makes Run send a round of heartbeats at once.
func (g *Gossiper) SendNow() {
	g.init()
	select {
	case g.sendNow <- struct{}{}:
	default:
	}
}

// HandleHeartbeat stores a peer's heartbeat and responds with the state of this VM.
func (g *Gossiper) HandleHeartbeat(_ context.Context, from string, request frame.Frame, send func(any) error) error {
	var state fuchsiaspoke.PeerState
	if err := request.Decode(&state); err != nil {
		return err
	}
	if state.VM.ID != from {
		return errors.Errorf("heartbeat with the state of VM %s was sent by VM %s", state.VM.ID, from)
	}
	g.recordState(state)
	return send(g.State())
}

// Live returns the states received from peers within liveTimeout, and this VM's own, ordered by VM id.
func (g *Gossiper) Live() []fuchsiaspoke.PeerState {
	now := g.Clock()
	g.mu.Lock()
	states := make([]fuchsiaspoke.PeerState, 0, len(g.peers)+1)
	for _, p := range g.peers {
		if now-p.receivedAt < liveTimeout {
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

// Find returns the VM with the id, from the platform's list or else from the state received from it.
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
	g.once.Do(func() { g.sendNow = make(chan struct{}, 1) })
}

// targets deletes the states older than unlistedRetention and returns the VMs to send heartbeats to: all known peers, or the
// maxPeers successors of this VM on a hash ring if there are more.
func (g *Gossiper) targets() []fuchsiaspoke.VM {
	known := make(map[string]fuchsiaspoke.VM)
	now := g.Clock()
	g.mu.Lock()
	for id, p := range g.peers {
		if now-p.receivedAt > unlistedRetention {
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
	selfHash := xxhash.Sum64String(g.Self.ID)
	slices.SortFunc(vms, func(a, b fuchsiaspoke.VM) int {
		if xxhash.Sum64String(a.ID)-selfHash < xxhash.Sum64String(b.ID)-selfHash {
			return -1
		}
		return 1
	})
	return vms[:maxPeers]
}

func (g *Gossiper) sendHeartbeat(ctx context.Context, vm fuchsiaspoke.VM) {
	ctx, cancel := context.WithTimeout(ctx, liveTimeout)
	defer cancel()
	sent := g.Clock()
	err := g.Caller.Call(ctx, vm, Method, g.State(), func(body cbor.RawMessage) error {
		var state fuchsiaspoke.PeerState
		if err := cbor.Unmarshal(body, &state); err != nil {
			return errors.Wrap(err, "decode heartbeat response")
		}
		g.recordState(state)
		if g.OnResponse != nil {
			g.OnResponse(state, sent)
		}
		return nil
	})
	if err != nil && g.OnCallError != nil {
		g.OnCallError(err)
	}
}

// recordState stores a received state with the current time and passes it to OnState.
func (g *Gossiper) recordState(state fuchsiaspoke.PeerState) {
	g.mu.Lock()
	if g.peers == nil {
		g.peers = make(map[string]peer)
	}
	g.peers[state.VM.ID] = peer{state: state, receivedAt: g.Clock()}
	g.mu.Unlock()
	if g.OnState != nil {
		g.OnState(state)
	}
}
