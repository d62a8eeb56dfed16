// Package membership records the state that other VMs report in heartbeats, and when each heartbeat was received.
package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// heartbeatInterval is the time between two heartbeats of a VM in a small fleet.
	heartbeatInterval = 150 * time.Millisecond
	// peerTimeout is the time without a heartbeat after which a VM of a small fleet counts as unreachable; six heartbeats.
	peerTimeout = 1000 * time.Millisecond
	// smallFleetSize is the largest number of VMs at which heartbeatInterval and peerTimeout apply. Beyond it both grow in
	// proportion to the fleet, so that the number of heartbeats that a VM sends and receives per second stays the same.
	smallFleetSize = 10
	// settleIntervals is the number of heartbeat intervals for which a started VM collects claims. In a large fleet that is about
	// as long as an engine's order count must be stable before another VM claims the engine.
	settleIntervals = 3
	// minSettleTime is the least time for which a started VM collects claims; eight heartbeats of a small fleet.
	minSettleTime = 1200 * time.Millisecond
	// maxReportedPeers is the largest number of peers in one heartbeat, so that it fits a packet; the next heartbeats name the
	// rest.
	maxReportedPeers = 12
	// reportAllDuration is how long heartbeats name all peers after a VM has joined.
	reportAllDuration = 5 * time.Second
	// claimEndHeartbeats is the number of heartbeats without an engine after which its claim ends. One is not enough, as a
	// heartbeat with many engines consists of several datagrams, some of which may be lost.
	claimEndHeartbeats = 2
	// peerRetention is how long an unreachable VM is kept, as it may be running on another side of a network partition.
	peerRetention = 2 * time.Minute
)

// Membership records the other VMs; its zero value is ready, and several goroutines may use it.
type Membership struct {
	mu       sync.Mutex
	peers    map[string]*peer
	indirect map[string]IndirectPeer
	engines  map[string]claim
	lastJoin time.Duration
}

// IndirectPeer is a VM that other VMs report in their heartbeats. LastHeartbeat is when one of them last received one of it.
type IndirectPeer struct {
	ID               string
	HeartbeatAddress string
	LastHeartbeat    time.Duration
}

type peer struct {
	state         fuchsiaspoke.VMState
	lastHeartbeat time.Duration
}

// claim is the last ownership claim on an engine.
type claim struct {
	fuchsiaspoke.EngineClaim
	view fuchsiaspoke.EngineView
	// lastNumber is the number of the last heartbeat that carried the claim.
	lastNumber uint64
}

// Observe records a received heartbeat. It reports whether the VM, or this incarnation of it, is new.
func (m *Membership) Observe(now time.Duration, s fuchsiaspoke.VMState) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		m.peers = make(map[string]*peer)
		m.engines = make(map[string]claim)
		m.indirect = make(map[string]IndirectPeer)
	}
	m.mergeIndirect(now, s.Peers)
	known := m.peers[s.VM.ID]
	sameIncarnation := known != nil && known.state.Incarnation == s.Incarnation
	if sameIncarnation && s.HeartbeatNumber < known.state.HeartbeatNumber {
		return false
	}
	for _, view := range s.Engines {
		m.engines[view.Engine.ID] = claim{
			EngineClaim: fuchsiaspoke.EngineClaim{Engine: view.Engine.ID, VM: s.VM.ID, Fence: view.Fence, ReceivedAt: now},
			view:        view,
			lastNumber:  s.HeartbeatNumber,
		}
	}
	m.endClaims(s, sameIncarnation)
	m.peers[s.VM.ID] = &peer{state: s, lastHeartbeat: now}
	if !sameIncarnation {
		m.lastJoin = now
	}
	return !sameIncarnation
}

// endClaims marks as ended the claims that the VM no longer makes, or that an earlier incarnation of it made.
func (m *Membership) endClaims(s fuchsiaspoke.VMState, sameIncarnation bool) {
	for id, c := range m.engines {
		if c.VM == s.VM.ID && (!sameIncarnation && c.lastNumber != s.HeartbeatNumber || s.HeartbeatNumber >= c.lastNumber+claimEndHeartbeats) {
			c.Ended = true
			m.engines[id] = c
		}
	}
}

// mergeIndirect keeps the latest heartbeat time that other VMs report for each VM.
func (m *Membership) mergeIndirect(now time.Duration, peers []fuchsiaspoke.ReportedPeer) {
	for _, p := range peers {
		lastHeartbeat := now - p.Age
		if known, found := m.indirect[p.ID]; found && known.LastHeartbeat >= lastHeartbeat {
			continue
		}
		m.indirect[p.ID] = IndirectPeer{ID: p.ID, HeartbeatAddress: p.HeartbeatAddress, LastHeartbeat: lastHeartbeat}
	}
}

// IndirectPeers returns the VMs that other VMs report but that sent no heartbeat to this one, sorted by id.
func (m *Membership) IndirectPeers(now time.Duration) []IndirectPeer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []IndirectPeer
	for id, t := range m.indirect {
		if now-t.LastHeartbeat > peerRetention {
			delete(m.indirect, id)
			continue
		}
		if m.peers[id] == nil {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b IndirectPeer) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Peer is another VM with its last state; LastHeartbeat is when its last heartbeat was received.
type Peer struct {
	State         fuchsiaspoke.VMState
	LastHeartbeat time.Duration
}

// LastJoin returns when the first heartbeat of the newest VM or incarnation was received.
func (m *Membership) LastJoin() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastJoin
}

// HeartbeatInterval returns the time between two heartbeats at the present fleet size.
func (m *Membership) HeartbeatInterval() time.Duration {
	return time.Duration(float64(heartbeatInterval) * m.fleetScale())
}

// PeerTimeout returns the time without a heartbeat after which a VM counts as unreachable at the present fleet size.
func (m *Membership) PeerTimeout() time.Duration {
	return time.Duration(float64(peerTimeout) * m.fleetScale())
}

// SettleTime returns how long a started VM collects claims before it claims engines itself.
func (m *Membership) SettleTime() time.Duration {
	return max(minSettleTime, settleIntervals*m.HeartbeatInterval())
}

func (m *Membership) fleetScale() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(float64(len(m.peers)+1)/smallFleetSize, 1)
}

// Peers returns the VMs whose last heartbeat was received within peerRetention, sorted by id.
func (m *Membership) Peers(now time.Duration) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Peer
	for id, p := range m.peers {
		if now-p.lastHeartbeat > peerRetention {
			delete(m.peers, id)
			continue
		}
		out = append(out, Peer{State: p.state, LastHeartbeat: p.lastHeartbeat})
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.State.VM.ID, b.State.VM.ID) })
	return out
}

// PeersToReport returns the VMs that a heartbeat should name: all of them after a VM has joined, else those without a
// heartbeat for half of PeerTimeout. Where they do not fit one heartbeat, its number selects a part of them.
func (m *Membership) PeersToReport(now time.Duration, heartbeatNumber uint64) []Peer {
	timeout, reportAll := m.PeerTimeout(), now-m.LastJoin() < reportAllDuration
	reported := slices.DeleteFunc(m.Peers(now), func(p Peer) bool { return !reportAll && now-p.LastHeartbeat <= timeout/2 })
	if len(reported) <= maxReportedPeers {
		return reported
	}
	pages := uint64(len(reported)+maxReportedPeers-1) / maxReportedPeers
	start := int(heartbeatNumber%pages) * maxReportedPeers
	return reported[start:min(start+maxReportedPeers, len(reported))]
}

// Reachable returns the reachable VMs, sorted by id.
func (m *Membership) Reachable(now time.Duration) []Peer {
	timeout := m.PeerTimeout()
	return slices.DeleteFunc(m.Peers(now), func(p Peer) bool { return now-p.LastHeartbeat > timeout })
}

// Claims returns the last received claim of another VM by engine id.
func (m *Membership) Claims() map[string]fuchsiaspoke.EngineClaim {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]fuchsiaspoke.EngineClaim, len(m.engines))
	for id, c := range m.engines {
		out[id] = c.EngineClaim
	}
	return out
}

// View returns the last reported view of an engine with the claim that came with it, and whether there is one.
func (m *Membership) View(engine string) (fuchsiaspoke.EngineView, fuchsiaspoke.EngineClaim, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, known := m.engines[engine]
	return c.view, c.EngineClaim, known
}

// VM returns another VM as its last heartbeat described it, and whether it is known.
func (m *Membership) VM(id string) (fuchsiaspoke.VM, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[id]
	if p == nil {
		return fuchsiaspoke.VM{}, false
	}
	return p.state.VM, true
}
