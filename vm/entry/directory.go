package entry

import (
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/delegator"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/membership"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

// minZoneVMs is the number of VMs in a caller's availability zone from which it is told of these alone, so that one of them may fail.
const minZoneVMs = 2

// addressesNear returns the addresses of the VMs that a caller should use: those in its availability zone if they are several, or else, where
// the contract allows some regions only, those in its region, those in the regions that routes of its host allow, or all.
func (e *Entry) addressesNear(q fuchsiaspoke.DirectoryQuery, vms []fuchsiaspoke.VM) []string {
	sameZone := addressesOf(vms, func(vm fuchsiaspoke.VM) bool { return vm.Zone == q.Zone })
	if len(sameZone) >= minZoneVMs {
		return sameZone
	}
	all := addressesOf(vms, func(fuchsiaspoke.VM) bool { return true })
	contract := e.watcher.Published().Contract
	if contract == nil || !contract.RestrictsRegions() {
		return all
	}
	region := q.Region
	if region == "" {
		region = e.Regions[q.Zone]
	}
	inRegions := func(list []fuchsiaspoke.Region) []string {
		return addressesOf(vms, func(vm fuchsiaspoke.VM) bool {
			r := e.Regions[vm.Zone]
			return r != "" && slices.Contains(list, r)
		})
	}
	if near := inRegions([]fuchsiaspoke.Region{region}); len(near) > 0 {
		return near
	}
	if allowed := inRegions(contract.HostRegions(q.Host)); len(allowed) > 0 {
		return allowed
	}
	return all
}

// addressesOf returns the caller addresses of the VMs that a condition selects.
func addressesOf(vms []fuchsiaspoke.VM, selected func(fuchsiaspoke.VM) bool) []string {
	var out []string
	for _, vm := range vms {
		if selected(vm) {
			out = append(out, vm.CallerAddress)
		}
	}
	return out
}

// CallerAddresses returns the caller addresses of the ready VMs that callers should use, and how long callers may cache them. VMs that reach
// no replica are named only where all are such.
func (e *Entry) CallerAddresses(q fuchsiaspoke.DirectoryQuery) ([]string, time.Duration) {
	var reaching, others []fuchsiaspoke.VM
	add := func(vm fuchsiaspoke.VM, replicasUnreachable bool) {
		if replicasUnreachable {
			others = append(others, vm)
			return
		}
		reaching = append(reaching, vm)
	}
	if e.Ready() {
		add(e.VM, e.partition.Partitioned())
	}
	for _, p := range e.callablePeers() {
		add(p.VM, p.ReplicasUnreachable)
	}
	if len(reaching) == 0 {
		reaching = others
	}
	return e.selectAddresses(e.addressesNear(q, reaching)), addressTTL
}

// callablePeers returns the other VMs that directory responses name: those that are ready and have not failed.
func (e *Entry) callablePeers() []membership.Peer {
	return slices.DeleteFunc(e.membership.Peers(e.timer.Now()), func(p membership.Peer) bool { return !p.Ready || p.Failed })
}

// delegationPeers returns the other VMs that are reachable, and whether they may serve requests that this VM can't.
func (e *Entry) delegationPeers() []delegator.Peer {
	var out []delegator.Peer
	for _, p := range e.membership.Reachable(e.timer.Now()) {
		out = append(out, delegator.Peer{VM: p.VM, ReachesReplicas: p.Ready && !p.Draining && !p.Failed && !p.ReplicasUnreachable})
	}
	return out
}

// readyReplicas returns the ready replicas of the contract's services.
func (e *Entry) readyReplicas() []fuchsiaspoke.Replica {
	p := e.watcher.Published()
	if p.Contract == nil {
		return nil
	}
	var out []fuchsiaspoke.Replica
	for _, r := range p.Replicas {
		if _, known := p.Contract.Services[r.Service]; known && r.State == fuchsiaspoke.ReplicaReady {
			out = append(out, r)
		}
	}
	return out
}

// selectAddresses returns at most maxCallerAddresses of the addresses; each VM selects others, so that all are used.
func (e *Entry) selectAddresses(all []string) []string {
	if len(all) <= maxCallerAddresses {
		return all
	}
	return ranker.RankBy(e.VM.ID, all, func(a string) string { return a })[:maxCallerAddresses]
}
