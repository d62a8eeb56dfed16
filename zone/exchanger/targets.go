package exchanger

import (
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/zone/membership"
)

// targets are the VMs that may be sent a heartbeat, by id.
type targets struct {
	address map[string]string
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
	t := targets{address: map[string]string{}, self: x.Address(x.Self)}
	heard := x.Membership.Heard(now)
	for _, p := range x.Membership.Peers(now) {
		t.address[p.VM.ID] = x.Address(p.VM)
	}
	for _, p := range heard {
		if p.Hub {
			t.hubs = append(t.hubs, p.VM.ID)
		}
		sentAnyway := role.Hub && role.Hubs[p.VM.ID] && p.Hub || slices.Contains(role.LeafOf, p.VM.ID)
		if p.WantsAnswer && !sentAnyway {
			t.leaves = append(t.leaves, p.VM.ID)
		}
	}
	for id := range role.Hubs {
		t.hubs = append(t.hubs, id)
	}
	reachable := make(map[string]bool)
	for _, p := range x.Membership.Reachable(now) {
		reachable[t.address[p.VM.ID]] = true
	}
	t.addUnreachable(x.Membership.Peers(now), reachable)
	if len(heard) == 0 || heartbeatNumber%seedProbeInterval == 0 {
		t.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a string) bool { return a == "" || a == t.self || reachable[a] })
	}
	return t
}

// addUnreachable adds the hubs that are not at reachable addresses but may still run, as the link to them may heal.
func (t *targets) addUnreachable(all []membership.Peer, reachable map[string]bool) {
	for _, p := range all {
		if p.Hub && !reachable[t.address[p.VM.ID]] {
			t.hubs = append(t.hubs, p.VM.ID)
		}
	}
}

// addressesOf returns the addresses of the VMs, each once and without this VM's own.
func (t *targets) addressesOf(ids []string) []string {
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		if a := t.address[id]; a != "" && a != t.self {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
