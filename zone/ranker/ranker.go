// Package ranker orders VMs for a key by rendezvous hashing.
package ranker

import (
	"cmp"
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

// Rank returns the VMs in the order of their weight for the key, whatever order they came in.
func (Ranker) Rank(key string, vms []fuchsiaspoke.VM) []fuchsiaspoke.VM {
	return Sort(key, vms, func(vm fuchsiaspoke.VM) string { return vm.ID })
}

// Sort returns the items in the order of their weight for the key, whatever order they came in.
func Sort[T any](key string, items []T, id func(T) string) []T {
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

// Council returns the ids of the first size VMs for the key, spread evenly over availability zones, or of all if they are fewer.
func (r Ranker) Council(key string, vms []fuchsiaspoke.VM, size int) []string {
	ranked := r.Rank(key, vms)
	taken := make(map[string]bool, size)
	inZone := map[fuchsiaspoke.Zone]int{}
	var council []string
	for limit := 1; limit <= len(ranked); limit++ {
		for _, vm := range ranked {
			if len(council) >= size {
				return council
			}
			if taken[vm.ID] || inZone[vm.Zone] >= limit {
				continue
			}
			taken[vm.ID] = true
			inZone[vm.Zone]++
			council = append(council, vm.ID)
		}
	}
	return council
}

// Weight is the weight of one thing for a key by highest random weight; the highest goes first.
func Weight(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}
