// Package ranker ranks VMs for a key by rendezvous hashing.
package ranker

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// Ranker ranks VMs by highest random weight (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998).
type Ranker struct{}

type weighted[T any] struct {
	item   T
	id     string
	weight uint64
}

// Rank returns the VMs by descending weight for the key; the result does not depend on the order of vms.
func (Ranker) Rank(key string, vms []fuchsiaspoke.VM) []fuchsiaspoke.VM {
	return RankBy(key, vms, func(vm fuchsiaspoke.VM) string { return vm.ID })
}

// RankBy returns the items by descending weight for the key, and by id where weights are equal. The result does not depend on the
// order of items if their ids differ.
func RankBy[T any](key string, items []T, id func(T) string) []T {
	all := make([]weighted[T], 0, len(items))
	for _, item := range items {
		all = append(all, weighted[T]{item, id(item), Weight(key, id(item))})
	}
	slices.SortStableFunc(all, func(a, b weighted[T]) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	ranked := make([]T, 0, len(all))
	for _, w := range all {
		ranked = append(ranked, w.item)
	}
	return ranked
}

// RankByWeight returns the items by descending score for the key, so that an item is first for a share of the keys that is proportional to its
// weight, and a change of one weight moves only keys to or from that item. Where all weights are equal it is RankBy.
//
// The method is weighted rendezvous hashing (Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", 2005). Weights are above 0.
func RankByWeight[T any](key string, items []T, id func(T) string, weight func(T) float64) []T {
	ranked := RankBy(key, items, id)
	if !slices.ContainsFunc(ranked, func(item T) bool { return weight(item) != weight(ranked[0]) }) {
		return ranked
	}
	type scoredItem struct {
		item  T
		score float64
	}
	all := make([]scoredItem, 0, len(ranked))
	for _, item := range ranked {
		uniform := (float64(Weight(key, id(item))>>11) + 0.5) / (1 << 53)
		all = append(all, scoredItem{item, -weight(item) / math.Log(uniform)})
	}
	slices.SortStableFunc(all, func(a, b scoredItem) int { return cmp.Compare(b.score, a.score) })
	for i, s := range all {
		ranked[i] = s.item
	}
	return ranked
}

// SelectAcrossZones returns the ids of size VMs, or of all if there are fewer. It takes them by rank for the key and spreads
// them evenly over availability zones.
func (r Ranker) SelectAcrossZones(key string, vms []fuchsiaspoke.VM, size int) []string {
	ranked := r.Rank(key, vms)
	selected := make(map[string]bool, size)
	perZone := map[fuchsiaspoke.Zone]int{}
	var ids []string
	for zoneLimit := 1; zoneLimit <= len(ranked); zoneLimit++ {
		for _, vm := range ranked {
			if len(ids) >= size {
				return ids
			}
			if selected[vm.ID] || perZone[vm.Zone] >= zoneLimit {
				continue
			}
			selected[vm.ID] = true
			perZone[vm.Zone]++
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

// Weight returns the hash of the key and the id by which RankBy ranks; the highest comes first.
func Weight(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}
