// Package assigner decides which leases a VM should request and which it should hand over.
package assigner

import (
	"slices"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

// Assigner distributes resources over the live VMs. A resource without a holder goes to the VM that ranks first for it; a held
// one changes VM only if its holder drains or holds more than an even share.
//
// Two VMs that see different peers may both want a resource; the lease protocol grants it to at most one of them.
type Assigner struct {
	// Self is the id of this VM.
	Self string
	// Draining is set if this VM hands over all resources that it holds.
	Draining bool

	ranker ranker.Ranker
}

// Wanted returns the resources that this VM should hold: those it holds, and those that no live peer reports as held and for
// which it ranks first.
func (a Assigner) Wanted(resources []string, live []fuchsiaspoke.PeerState, held func(string) bool) []string {
	eligible := eligibleVMs(live)
	heldElsewhere := holdersByResource(live, a.Self)
	var wanted []string
	for _, resource := range resources {
		if held(resource) {
			wanted = append(wanted, resource)
			continue
		}
		if a.Draining || len(eligible) == 0 || heldElsewhere[resource] != "" {
			continue
		}
		if a.ranker.Rank(resource, eligible)[0].ID == a.Self {
			wanted = append(wanted, resource)
		}
	}
	return wanted
}

// Surplus returns the held resources that another live VM should take over: all if this VM is draining, otherwise those above
// its even share for which it does not rank first.
func (a Assigner) Surplus(resources []string, live []fuchsiaspoke.PeerState, held func(string) bool) []string {
	eligible := eligibleVMs(live)
	if len(eligible) == 0 {
		return nil
	}
	heldCount := 0
	for _, resource := range resources {
		if held(resource) {
			heldCount++
		}
	}
	share := (len(resources) + len(eligible) - 1) / len(eligible)
	var surplus []string
	for _, resource := range resources {
		if !held(resource) {
			continue
		}
		first := a.ranker.Rank(resource, eligible)[0].ID
		if a.Draining || heldCount > share && first != a.Self {
			surplus = append(surplus, resource)
			heldCount--
		}
	}
	return surplus
}

// eligibleVMs returns the live VMs that are ready and not draining; only these are ranked for leases.
func eligibleVMs(live []fuchsiaspoke.PeerState) []fuchsiaspoke.VM {
	var vms []fuchsiaspoke.VM
	for _, peer := range live {
		if peer.Ready && !peer.Draining {
			vms = append(vms, peer.VM)
		}
	}
	return vms
}

// holdersByResource maps each resource that another live VM reports as held to the id of that VM.
func holdersByResource(live []fuchsiaspoke.PeerState, self string) map[string]string {
	holders := make(map[string]string)
	for _, peer := range live {
		if peer.VM.ID == self {
			continue
		}
		for _, resource := range peer.HeldLeases {
			holders[resource] = peer.VM.ID
		}
	}
	return holders
}

// HolderOf returns a live VM that reports the resource as held, this VM if it is among them.
func (a Assigner) HolderOf(resource string, live []fuchsiaspoke.PeerState) (fuchsiaspoke.VM, bool) {
	var found fuchsiaspoke.VM
	ok := false
	for _, peer := range live {
		if !slices.Contains(peer.HeldLeases, resource) {
			continue
		}
		if peer.VM.ID == a.Self {
			return peer.VM, true
		}
		found = peer.VM
		ok = true
	}
	return found, ok
}
