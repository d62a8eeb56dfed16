// Package membership records the VMs of the fleet: those whose heartbeats this VM receives, and those that they report.
package membership

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// heartbeatInterval is the time between two heartbeats of a VM in a small fleet.
	heartbeatInterval = 150 * time.Millisecond
	// peerTimeout is the time without a heartbeat after which a VM of a small fleet counts as unreachable; six lost heartbeats.
	peerTimeout = 1000 * time.Millisecond
	// smallFleetSize is the largest number of VMs at which heartbeatInterval and peerTimeout apply. Both grow in proportion to the
	// fleet up to largeFleetSize VMs. Larger fleets have leaves, which hardly add heartbeats.
	smallFleetSize = 10
	largeFleetSize = 20
	// settleIntervals is the number of heartbeat intervals for which a started VM collects VMs and claims before it claims engines.
	settleIntervals = 8
	// relayCycles is how often heartbeats name each VM in turn until a report that it is alive is out of date. Hubs report at once
	// that a VM became silent, so this matters only if they vanish with it.
	relayCycles = 4
	// reportSkew bounds the error of a reported age.
	reportSkew = 200 * time.Millisecond
	// changeReportDuration is how long heartbeats name a VM before all others after it has changed.
	changeReportDuration = 2 * time.Second
	// reportAllDuration is how long heartbeats name all VMs that this one hears after a VM has joined.
	reportAllDuration = 10 * time.Second
	// maxReportedPeers is the largest number of VMs in one heartbeat, so that it fits a packet; the next heartbeats name the rest.
	// Heartbeats to leaves name formingFactor times as many while VMs join. Later only one in restInterval heartbeats of a large fleet
	// names VMs that did not change.
	maxReportedPeers = 12
	formingFactor    = 3
	restInterval     = 4
	// minContactDuration is how long a VM must have been heard without a gap for its silence to be reported. VMs that start exchange
	// heartbeats with many others until they know the hubs, and then go on with those alone.
	minContactDuration = 5 * time.Second
	// claimEndHeartbeats is the number of heartbeats without an engine after which its claim ends. One is not enough, as a
	// heartbeat with many engines consists of several datagrams, some of which may be lost.
	claimEndHeartbeats = 2
	// peerRetention is how long an unreachable VM is kept, as it may be running on another side of a network partition.
	peerRetention = 2 * time.Minute
)

// Membership records the other VMs; its zero value is ready, and several goroutines may use it.
type Membership struct {
	// Self is the id of this VM, whose reports by others are ignored.
	Self string
	// ContactLimit is the time without contact after which a VM is Failed, also if no VM is left that would report its silence; with 0,
	// exactly the unreachable VMs are Failed.
	ContactLimit time.Duration

	mu    sync.Mutex
	peers map[string]*peer
	// ids are the keys of peers, sorted; nil if that changed.
	ids      []string
	claims   map[string]claim
	lastJoin time.Duration
	// hub means that this VM is a hub, since hubSince.
	hub      bool
	hubSince time.Duration
}

// Peer is another VM as this one knows it.
type Peer struct {
	VM          fuchsiaspoke.VM
	Incarnation string
	Ready       bool
	Draining    bool
	Hub         bool
	// ReplicasUnreachable means that it is partitioned from all replicas.
	ReplicasUnreachable bool
	// LastHeartbeat is when its last heartbeat was received here, or by the VM that reported it if that was later.
	LastHeartbeat time.Duration
	// LastHeard is when its last heartbeat was received here; EverHeard means that there was one.
	LastHeard time.Duration
	EverHeard bool
	// Heard means that its heartbeats are received here, and Reachable that they are, or that VMs report which receive them.
	Heard     bool
	Reachable bool
	// Failed means that directory responses do not name it; nothing else depends on this. It is the opposite of Reachable unless
	// ContactLimit is set.
	Failed bool
	// WantsAnswer means that it takes this VM for a hub and waits for its heartbeats.
	WantsAnswer bool
}

type peer struct {
	Peer
	// heardIncarnation and heartbeatNumber are those of the last heartbeat received here; reports may name a later incarnation.
	heardIncarnation string
	// formerIncarnation is the one that was heard here before heardIncarnation.
	formerIncarnation string
	heartbeatNumber   uint64
	// heardSince is when the first of its heartbeats without a gap was received.
	heardSince time.Duration
	// lastWanted is when its last heartbeat was received that wants an answer.
	lastWanted time.Duration
	// silent means that a VM which hears this one reported that it no longer does.
	silent bool
	// changedAt is when the VM last joined, became silent or reachable again, or changed its state.
	changedAt time.Duration
	// hash is the number by which heartbeats name the VM if it has failed.
	hash uint32
	// witnesses are the VMs that last reported to hear this one, kept on hubs; hadWitness means that there was one.
	witnesses  []witness
	hadWitness bool
	// failedAt is when a hub last named the VM as failed, and everFailed means that one did; kept on leaves.
	failedAt   time.Duration
	everFailed bool
}

// claim is the last ownership claim on an engine.
type claim struct {
	fuchsiaspoke.EngineClaim
	view fuchsiaspoke.EngineView
	// lastHeartbeatNumber is the number of the last heartbeat that carried the claim.
	lastHeartbeatNumber uint64
}

// IsLate reports whether a heartbeat arrives after a later one of its VM, or after one of the VM's next incarnation.
func (m *Membership) IsLate(s fuchsiaspoke.VMState) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[s.VM.ID]
	return p != nil && p.isLate(s)
}

func (p *peer) isLate(s fuchsiaspoke.VMState) bool {
	switch {
	case !p.EverHeard:
		return false
	case s.Incarnation == p.heardIncarnation:
		return s.HeartbeatNumber < p.heartbeatNumber
	}
	return s.Incarnation == p.formerIncarnation
}

// Observe records a received heartbeat, except one that IsLate. It reports whether the VM, or this incarnation of it, is new.
func (m *Membership) Observe(now time.Duration, s fuchsiaspoke.VMState) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.initialize()
	p, _ := m.peer(now, s.VM.ID)
	if p.isLate(s) {
		return false
	}
	for _, r := range s.Peers {
		m.mergeReport(now, r)
	}
	isNew := !p.EverHeard || p.heardIncarnation != s.Incarnation
	if isNew {
		p.formerIncarnation = p.heardIncarnation
	}
	m.recordClaims(now, s)
	m.endClaims(s, !isNew)
	p.update(now, fuchsiaspoke.ReportedPeer{
		VM: s.VM, Incarnation: s.Incarnation, Ready: s.Ready, Draining: s.Draining, Hub: s.Hub,
		ReplicasUnreachable: s.ReplicasUnreachable,
	})
	if isNew || !m.heard(now, p) {
		p.heardSince = now
	}
	p.heardIncarnation, p.heartbeatNumber, p.LastHeard, p.EverHeard = s.Incarnation, s.HeartbeatNumber, now, true
	if s.WantsAnswer {
		p.lastWanted = now
	}
	p.WantsAnswer = s.WantsAnswer || now-p.lastWanted <= m.timeout()
	m.observeFailures(now, s, isNew)
	if isNew {
		m.lastJoin = now
	}
	return isNew
}

func (m *Membership) initialize() {
	if m.peers == nil {
		m.peers = make(map[string]*peer)
		m.claims = make(map[string]claim)
	}
}

// peer returns the record of a VM, which it adds if there is none.
func (m *Membership) peer(now time.Duration, id string) (p *peer, added bool) {
	if p = m.peers[id]; p != nil {
		return p, false
	}
	p = &peer{changedAt: now, hash: vmHash(id)}
	m.peers[id], m.ids = p, nil
	return p, true
}

// mergeReport takes over a report that is newer than what is known, and a report of silence that nothing newer contradicts. A high
// age alone is no silence, as a VM is not named in every heartbeat.
func (m *Membership) mergeReport(now time.Duration, r fuchsiaspoke.ReportedPeer) {
	if r.VM.ID == m.Self {
		return
	}
	lastHeartbeat := now - r.Age
	p, added := m.peer(now, r.VM.ID)
	if added || lastHeartbeat > p.LastHeartbeat {
		if added || p.Incarnation != "" && r.Incarnation != p.Incarnation {
			m.lastJoin = now
		}
		p.update(lastHeartbeat, r)
	}
	if r.Silent && lastHeartbeat+reportSkew >= p.LastHeartbeat && !p.silent {
		p.silent, p.changedAt = true, now
	}
}

// update takes over the VM's state as of the time at.
func (p *peer) update(at time.Duration, r fuchsiaspoke.ReportedPeer) {
	if p.silent || p.Incarnation != r.Incarnation || p.Ready != r.Ready || p.Draining != r.Draining || p.Hub != r.Hub ||
		p.ReplicasUnreachable != r.ReplicasUnreachable {
		p.changedAt = max(p.changedAt, at)
	}
	p.VM, p.Incarnation, p.Ready, p.Draining, p.Hub = r.VM, r.Incarnation, r.Ready, r.Draining, r.Hub
	p.ReplicasUnreachable, p.LastHeartbeat, p.silent = r.ReplicasUnreachable, at, false
}

func (m *Membership) recordClaims(now time.Duration, s fuchsiaspoke.VMState) {
	for _, view := range s.Engines {
		m.claims[view.Engine.ID] = claim{
			EngineClaim:         fuchsiaspoke.EngineClaim{Engine: view.Engine.ID, VM: s.VM.ID, Fence: view.Fence, ReceivedAt: now},
			view:                view,
			lastHeartbeatNumber: s.HeartbeatNumber,
		}
	}
}

// endClaims marks as ended the claims that the VM no longer makes, or that an earlier incarnation of it made.
func (m *Membership) endClaims(s fuchsiaspoke.VMState, sameIncarnation bool) {
	for id, c := range m.claims {
		if c.VM == s.VM.ID && (!sameIncarnation && c.lastHeartbeatNumber != s.HeartbeatNumber || s.HeartbeatNumber >= c.lastHeartbeatNumber+claimEndHeartbeats) {
			c.Ended = true
			m.claims[id] = c
		}
	}
}

// HeartbeatInterval returns the time between two heartbeats at the present fleet size.
func (m *Membership) HeartbeatInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.interval()
}

// PeerTimeout returns the time without a heartbeat after which a VM counts as unreachable at the present fleet size.
func (m *Membership) PeerTimeout() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.timeout()
}

// SettleTime returns how long a started VM collects claims before it claims engines itself.
func (m *Membership) SettleTime() time.Duration { return settleIntervals * m.HeartbeatInterval() }

func (m *Membership) interval() time.Duration {
	return time.Duration(float64(heartbeatInterval) * m.fleetScale())
}

func (m *Membership) timeout() time.Duration {
	return time.Duration(float64(peerTimeout) * m.fleetScale())
}

// fleetScale returns the factor by which heartbeatInterval and peerTimeout are multiplied at the present fleet size.
func (m *Membership) fleetScale() float64 {
	return float64(min(max(len(m.peers)+1, smallFleetSize), largeFleetSize)) / smallFleetSize
}

// Peers returns the VMs whose last heartbeat was received within peerRetention, sorted by id, and forgets the others.
func (m *Membership) Peers(now time.Duration) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Peer, 0, len(m.peers))
	for _, id := range m.sortedIDs() {
		p := m.peers[id]
		if now-p.LastHeartbeat > peerRetention {
			delete(m.peers, id)
			m.ids = nil
			continue
		}
		view := p.Peer
		view.Heard, view.Reachable, view.Failed = m.heard(now, p), m.reachable(now, p), m.failed(now, p)
		out = append(out, view)
	}
	return out
}

// Reachable returns those of Peers that are reachable.
func (m *Membership) Reachable(now time.Duration) []Peer {
	return slices.DeleteFunc(m.Peers(now), func(p Peer) bool { return !p.Reachable })
}

func (m *Membership) sortedIDs() []string {
	if m.ids == nil {
		m.ids = slices.Sorted(maps.Keys(m.peers))
	}
	return m.ids
}

func (m *Membership) heard(now time.Duration, p *peer) bool {
	return p.EverHeard && now-p.LastHeard <= m.timeout()
}

func (m *Membership) reachable(now time.Duration, p *peer) bool {
	reportIsNewer := !p.EverHeard || p.LastHeartbeat > p.LastHeard
	return m.heard(now, p) || !p.silent && reportIsNewer && now-p.LastHeartbeat <= m.relayTimeout()
}

// relayTimeout returns the age beyond which a report that a VM is alive is out of date.
func (m *Membership) relayTimeout() time.Duration {
	pages := len(m.peers)/maxReportedPeers + 1
	return m.timeout() + relayCycles*restInterval*time.Duration(pages)*m.interval()
}

// Claims returns the last received claim of another VM by engine id.
func (m *Membership) Claims() map[string]fuchsiaspoke.EngineClaim {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]fuchsiaspoke.EngineClaim, len(m.claims))
	for id, c := range m.claims {
		out[id] = c.EngineClaim
	}
	return out
}

// View returns the last reported view of an engine with the claim that came with it, and whether there is one.
func (m *Membership) View(engine string) (fuchsiaspoke.EngineView, fuchsiaspoke.EngineClaim, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, known := m.claims[engine]
	return c.view, c.EngineClaim, known
}

// VM returns another VM as it was last described, and whether it is known.
func (m *Membership) VM(id string) (fuchsiaspoke.VM, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[id]
	if p == nil {
		return fuchsiaspoke.VM{}, false
	}
	return p.VM, true
}
