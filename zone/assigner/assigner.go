// Package assigner decides which leases a VM should ask for and which it should hand over.
package assigner

import (
	"slices"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

// Assigner spreads resources over the live VMs: each goes to the VM that ranks first for it, and moves only for balance.
//
// Two VMs that see different peers may both want a resource; the lease decides between them.
type Assigner struct {
	// Self is this VM's id.
	Self string
	// Draining reports whether this VM hands over what it holds.
	Draining bool

	ranker ranker.Ranker
}

// Wanted names the resources that this VM should hold, given what the live VMs said.
func (a Assigner) Wanted(resources []string, live []fuchsiaspoke.PeerState, held func(string) bool) []string {
	able := takers(live)
	elsewhere := holders(live, a.Self)
	var wanted []string
	for _, resource := range resources {
		if held(resource) {
			wanted = append(wanted, resource)
			continue
		}
		if a.Draining || len(able) == 0 || elsewhere[resource] != "" {
			continue
		}
		if a.ranker.Rank(resource, able)[0].ID == a.Self {
			wanted = append(wanted, resource)
		}
	}
	return wanted
}

// Surplus names the held resources that another live VM should take over; a VM gives up what it holds above its even share.
func (a Assigner) Surplus(resources []string, live []fuchsiaspoke.PeerState, held func(string) bool) []string {
	able := takers(live)
	if len(able) == 0 {
		return nil
	}
	mine := 0
	for _, resource := range resources {
		if held(resource) {
			mine++
		}
	}
	share := (len(resources) + len(able) - 1) / len(able)
	var surplus []string
	for _, resource := range resources {
		if !held(resource) {
			continue
		}
		first := a.ranker.Rank(resource, able)[0].ID
		if a.Draining || mine > share && first != a.Self {
			surplus = append(surplus, resource)
			mine--
		}
	}
	return surplus
}

// takers are the live VMs that may take leases.
func takers(live []fuchsiaspoke.PeerState) []fuchsiaspoke.VM {
	var vms []fuchsiaspoke.VM
	for _, peer := range live {
		if peer.Ready && !peer.Draining {
			vms = append(vms, peer.VM)
		}
	}
	return vms
}

func holders(live []fuchsiaspoke.PeerState, self string) map[string]string {
	by := make(map[string]string)
	for _, peer := range live {
		if peer.VM.ID == self {
			continue
		}
		for _, resource := range peer.Holds {
			by[resource] = peer.VM.ID
		}
	}
	return by
}

// HolderOf returns the VM that says it holds the resource; this VM's own word goes first.
func (a Assigner) HolderOf(resource string, live []fuchsiaspoke.PeerState) (fuchsiaspoke.VM, bool) {
	var found fuchsiaspoke.VM
	ok := false
	for _, peer := range live {
		if !slices.Contains(peer.Holds, resource) {
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
