// Package planner decides which VMs of a fleet exchange heartbeats directly.
//
// In a small fleet all VMs do. In a large one a few VMs of each availability zone are hubs: hubs exchange heartbeats with all other
// hubs, and every other VM, a leaf, exchanges them with two hubs of its zone. What a VM sends and receives then hardly depends on
// the size of the fleet. No agreement is needed: each VM computes the hubs from the VMs that it knows, and a VM that receives a
// heartbeat answers it, hub or not.
package planner

import (
	"cmp"
	"math"
	"slices"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

const (
	// meshSize is the largest fleet in which all VMs are hubs.
	meshSize = 12
	// vmsPerHub is the number of VMs of a zone for each hub.
	vmsPerHub = 4
	// minHubsPerZone leaves a zone a hub after one has failed.
	minHubsPerZone = 2
	// maxHubs bounds the hubs of a fleet, as each sends to all others; small zones may exceed it by their least number.
	maxHubs = 24
	// hubsPerLeaf is the number of hubs with which a leaf exchanges heartbeats.
	hubsPerLeaf = 2
	// hubRankingKey is the key by which VMs are ranked as hubs; it must be the same on all VMs.
	hubRankingKey = "hub"
	// minReaders is how many VMs of a small fleet read the platform on behalf of all; one of them may fail or be refused.
	minReaders = 2
	// hubsPerReader is the number of ready hubs for each further reader.
	hubsPerReader = 20
	// readerRankingKey is the key by which hubs are ranked as readers; it must be the same on all VMs.
	readerRankingKey = "read the platform"
)

// Candidate is a reachable VM.
type Candidate struct {
	VM fuchsiaspoke.VM
	// Ready VMs are preferred as hubs: others cannot read the platform, or have only just started.
	Ready bool
}

// Planner computes hubs; its zero value is ready to use.
type Planner struct{}

// Hubs returns the ids of the fleet's hubs.
func (Planner) Hubs(all []Candidate) map[string]bool {
	hubs := make(map[string]bool)
	if len(all) <= meshSize {
		for _, c := range all {
			hubs[c.VM.ID] = true
		}
		return hubs
	}
	byZone := make(map[fuchsiaspoke.Zone][]Candidate)
	for _, c := range all {
		byZone[c.VM.Zone] = append(byZone[c.VM.Zone], c)
	}
	for _, zone := range byZone {
		for _, c := range rankByCapacity(zone)[:hubCount(len(zone), len(byZone))] {
			hubs[c.VM.ID] = true
		}
	}
	return hubs
}

// hubCount returns the number of hubs of a zone with the given number of VMs.
func hubCount(vms, zones int) int {
	wanted := (vms + vmsPerHub - 1) / vmsPerHub
	most := (maxHubs + zones - 1) / zones
	return min(max(min(wanted, most), minHubsPerZone), vms)
}

// HubsOf returns the ids of the hubs with which a leaf exchanges heartbeats, the one that it prefers first: hubs of its own zone, or
// of any zone if its own has none.
func (Planner) HubsOf(leaf fuchsiaspoke.VM, all []Candidate, hubs map[string]bool) []string {
	var own, other []string
	for _, c := range all {
		switch {
		case !hubs[c.VM.ID] || c.VM.ID == leaf.ID:
		case c.VM.Zone == leaf.Zone:
			own = append(own, c.VM.ID)
		default:
			other = append(other, c.VM.ID)
		}
	}
	byWeight := func(id string) string { return id }
	ranked := append(ranker.RankBy(leaf.ID, own, byWeight), ranker.RankBy(leaf.ID, other, byWeight)...)
	return ranked[:min(hubsPerLeaf, len(ranked))]
}

// IsReader reports whether a hub is one of those that read the platform on behalf of all; others are the ids of the other ready hubs.
func (Planner) IsReader(hub string, others []string) bool {
	weight, rankedHigher := ranker.Weight(readerRankingKey, hub), 0
	for _, id := range others {
		if ranker.Weight(readerRankingKey, id) > weight {
			rankedHigher++
		}
	}
	return rankedHigher < minReaders+(len(others)+1)/hubsPerReader
}

// rankByCapacity ranks VMs by weighted rendezvous hashing, so that a VM is a hub in proportion to its capacity (Schindelhauer and
// Schomaker, "Weighted Distributed Hash Tables", 2005). Ready VMs go before all others.
func rankByCapacity(all []Candidate) []Candidate {
	scores := make(map[string]float64, len(all))
	for _, c := range all {
		scores[c.VM.ID] = score(c.VM)
	}
	ranked := slices.Clone(all)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		if a.Ready != b.Ready {
			if a.Ready {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(scores[b.VM.ID], scores[a.VM.ID]), cmp.Compare(a.VM.ID, b.VM.ID))
	})
	return ranked
}

func score(vm fuchsiaspoke.VM) float64 {
	uniform := (float64(ranker.Weight(hubRankingKey, vm.ID)>>11) + 0.5) / (1 << 53)
	return float64(cmp.Or(vm.Capacity, 1)) / -math.Log(uniform)
}
