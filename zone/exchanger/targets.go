package exchanger

import (
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/membership"
)

// targets are the VMs that may be sent a heartbeat, by id.
type targets struct {
	vms     map[string]fuchsiaspoke.VM
	address func(vm fuchsiaspoke.VM) string
	self    string
	// hubs are all hubs, those that this VM computed and those that call themselves so.
	hubs []string
	// leaves are the VMs that take this one for a hub and to which it would not send otherwise. Some may still call themselves hubs,
	// as they know few other VMs yet.
	leaves []string
	// seeds are the addresses of seeds to send to: those that are no reachable VM.
	seeds []string
}

func (x *Exchanger) newTargets(now time.Duration, role Role, seeds []string, heartbeatNumber uint64) targets {
	t := targets{vms: make(map[string]fuchsiaspoke.VM), address: x.Address, self: x.Address(x.Self)}
	peers := x.Membership.Peers(now)
	anyHeard := false
	for _, p := range peers {
		t.vms[p.VM.ID] = p.VM
		anyHeard = anyHeard || p.Heard
		t.add(p, role)
	}
	for id := range role.Hubs {
		t.hubs = append(t.hubs, id)
	}
	if !anyHeard || heartbeatNumber%seedProbeInterval == 0 {
		t.chooseSeeds(seeds, peers)
	}
	return t
}

// add adds a VM that calls itself a hub to the hubs, also one that is no longer reachable, as the link to it may heal, and a VM that
// wants an answer to the leaves.
func (t *targets) add(p membership.Peer, role Role) {
	if p.Hub && (p.Heard || !p.Reachable) {
		t.hubs = append(t.hubs, p.VM.ID)
	}
	sentAnyway := role.Hub && role.Hubs[p.VM.ID] && p.Hub || slices.Contains(role.LeafOf, p.VM.ID)
	if p.Heard && p.WantsAnswer && !sentAnyway {
		t.leaves = append(t.leaves, p.VM.ID)
	}
}

// chooseSeeds keeps the seeds that are no reachable VM.
func (t *targets) chooseSeeds(seeds []string, peers []membership.Peer) {
	reachable := make(map[string]bool)
	for _, p := range peers {
		if p.Reachable {
			reachable[t.address(p.VM)] = true
		}
	}
	t.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a string) bool { return a == "" || a == t.self || reachable[a] })
}

// addressesOf returns the addresses of the VMs, each once and without this VM's own.
func (t *targets) addressesOf(ids []string) []string {
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		vm, known := t.vms[id]
		if a := t.address(vm); known && a != "" && a != t.self {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
