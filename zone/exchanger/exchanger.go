// Package exchanger decides what a VM sends to which other VMs in its next heartbeat.
package exchanger

import (
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/membership"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/planner"
)

// seedProbeInterval is the number of heartbeats from one to a seed that is not known to be a reachable VM to the next. It is how a
// large fleet whose parts lost each other finds together again.
const seedProbeInterval = 8

// Batch is one heartbeat and the addresses to send it to.
type Batch struct {
	State   fuchsiaspoke.VMState
	Targets []string
}

// Role is this VM's part in the exchange of heartbeats.
type Role struct {
	// Hub means that this VM is a hub, since HubSince: one of Hubs, or a former one that still owns engines.
	Hub      bool
	HubSince time.Duration
	// Hubs are the ids of the fleet's hubs. Only they may claim engines.
	Hubs map[string]bool
	// LeafOf are, on a leaf, the ids of its hubs, the one first to which it reports the tokens that it admits; empty on a hub.
	LeafOf []string
	// CountEpoch increases with each change of Hub or of the first of LeafOf.
	CountEpoch uint64
}

// Exchanger composes heartbeats. Its exported fields must be set before the first call.
type Exchanger struct {
	Self       fuchsiaspoke.VM
	Membership *membership.Membership
	// Address returns where a VM receives heartbeats.
	Address func(vm fuchsiaspoke.VM) string

	mu      sync.Mutex
	role    Role
	planner planner.Planner
}

// ReportsTo returns the id of the hub to which this VM reports the tokens that it admits; empty on a hub.
func (r Role) ReportsTo() string {
	if len(r.LeafOf) == 0 {
		return ""
	}
	return r.LeafOf[0]
}

// Role returns this VM's role as of the last call of UpdateRole. The caller must not modify its map.
func (x *Exchanger) Role() Role {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.role
}

// UpdateRole computes this VM's role from the VMs that are reachable now. The caller must not modify its map.
func (x *Exchanger) UpdateRole(now time.Duration, ready, ownsEngines bool) Role {
	candidates := []planner.Candidate{{VM: x.Self, Ready: ready}}
	peers := x.Membership.Peers(now)
	for _, p := range peers {
		if p.Reachable && !p.Draining {
			candidates = append(candidates, planner.Candidate{VM: p.VM, Ready: p.Ready})
		}
	}
	hubs := x.planner.Hubs(candidates)
	next := Role{Hub: hubs[x.Self.ID] || ownsEngines, Hubs: hubs}
	if !next.Hub {
		next.LeafOf = heardFirst(peers, x.planner.HubsOf(x.Self, candidates, hubs))
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	next.HubSince, next.CountEpoch = x.role.HubSince, x.role.CountEpoch
	if next.Hub && !x.role.Hub {
		next.HubSince = now
	}
	if next.Hub != x.role.Hub || next.ReportsTo() != x.role.ReportsTo() {
		next.CountEpoch++
	}
	x.role = next
	x.Membership.SetHub(now, next.Hub)
	return next
}

// IsReader reports whether this VM is one of the hubs that read the platform on behalf of all.
func (x *Exchanger) IsReader(now time.Duration) bool {
	role := x.Role()
	if !role.Hub {
		return false
	}
	var others []string
	for _, p := range x.Membership.Reachable(now) {
		if p.Ready && role.Hubs[p.VM.ID] {
			others = append(others, p.VM.ID)
		}
	}
	return x.planner.IsReader(x.Self.ID, others)
}

// heardFirst moves the hubs that answer before those that don't.
func heardFirst(peers []membership.Peer, hubs []string) []string {
	heard := make(map[string]bool)
	for _, p := range peers {
		heard[p.VM.ID] = p.Heard
	}
	slices.SortStableFunc(hubs, func(a, b string) int {
		switch {
		case heard[a] == heard[b]:
			return 0
		case heard[a]:
			return -1
		default:
			return 1
		}
	})
	return hubs
}

// Compose returns the heartbeats to send now. The state is this VM's whole state but for the fields that depend on the receiver;
// seeds are heartbeat addresses of VMs that may be running.
func (x *Exchanger) Compose(now time.Duration, s fuchsiaspoke.VMState, seeds []string) []Batch {
	role := x.Role()
	t := x.newTargets(now, role, seeds, s.HeartbeatNumber)
	s.Hub, s.CountEpoch = role.Hub, role.CountEpoch
	if role.Hub {
		return x.composeAsHub(now, s, t)
	}
	return x.composeAsLeaf(now, s, t, role.LeafOf)
}

// composeAsHub returns this VM's state with its engines for hubs, and with the VMs of the fleet for the leaves that it hears.
func (x *Exchanger) composeAsHub(now time.Duration, s fuchsiaspoke.VMState, t targets) []Batch {
	toHubs := s
	toHubs.Peers = x.Membership.ReportToHubs(now, s.HeartbeatNumber)
	toHubs.FailedVMs = x.Membership.ReportFailed(now, s.HeartbeatNumber, true)
	toHubs.Acks, toHubs.RateShare, toHubs.WantsAnswer = nil, 0, true
	batches := []Batch{{toHubs, append(t.addressesOf(t.hubs), t.seeds...)}}
	if len(t.leaves) > 0 {
		batches = append(batches, Batch{x.forLeaves(now, s), t.addressesOf(t.leaves)})
	}
	return batches
}

// composeAsLeaf returns this VM's state for its hubs; only the first of them is told of admitted tokens. Other VMs that sent
// heartbeats here are answered, as they take this VM for a hub. Of readings only this VM's own is named, as hubs tell each other the
// rest.
func (x *Exchanger) composeAsLeaf(now time.Duration, s fuchsiaspoke.VMState, t targets, leafOf []string) []Batch {
	s.Engines, s.BucketLevels, s.Acks, s.RateShare, s.Served, s.WantsAnswer = nil, nil, nil, 0, nil, true
	if s.Reading != nil && s.Reading.Reader != fuchsiaspoke.ReaderID(s.Incarnation) {
		s.Reading = nil
	}
	other := s
	other.AdmittedTokens = nil
	first := min(1, len(leafOf))
	batches := []Batch{
		{s, t.addressesOf(leafOf[:first])},
		{other, append(t.addressesOf(leafOf[first:]), t.seeds...)},
		{x.forLeaves(now, other), t.addressesOf(t.leaves)},
	}
	return slices.DeleteFunc(batches, func(b Batch) bool { return len(b.Targets) == 0 })
}

// forLeaves returns the state as leaves need it.
func (x *Exchanger) forLeaves(now time.Duration, s fuchsiaspoke.VMState) fuchsiaspoke.VMState {
	s.Engines, s.AdmittedTokens, s.Served, s.WantsAnswer = nil, nil, nil, false
	s.Peers = x.Membership.ReportToLeaves(now, s.HeartbeatNumber)
	if s.Hub {
		s.FailedVMs = x.Membership.ReportFailed(now, s.HeartbeatNumber, false)
	}
	return s
}
