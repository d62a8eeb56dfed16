package ranker_test

import (
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

var seed = flag.Int64("seed", 1, "seed of the property tests")

func fleet(n int) []fuchsiaspoke.VM {
	vms := make([]fuchsiaspoke.VM, n)
	for i := range vms {
		vms[i] = fuchsiaspoke.VM{ID: fmt.Sprint("vm", i), Zone: fuchsiaspoke.Zone(fmt.Sprint("zone", i%3))}
	}
	return vms
}

func TestRanker(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(*seed)
	properties := gopter.NewProperties(params)
	var r ranker.Ranker
	properties.Property("the order of the input does not matter and the input is not changed", prop.ForAll(func(key string, n int, shuffle int64) bool {
		vms := fleet(n)
		shuffled := slices.Clone(vms)
		rand.New(rand.NewSource(shuffle)).Shuffle(n, func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		before := slices.Clone(shuffled)
		return slices.Equal(r.Rank(key, vms), r.Rank(key, shuffled)) && slices.Equal(before, shuffled)
	}, gen.AnyString(), gen.IntRange(0, 20), gen.Int64()))
	properties.Property("removing a VM does not change the order of the others", prop.ForAll(func(key string, n int) bool {
		vms := fleet(n)
		others := slices.DeleteFunc(r.Rank(key, vms), func(vm fuchsiaspoke.VM) bool { return vm.ID == "vm0" })
		return slices.Equal(others, r.Rank(key, vms[1:]))
	}, gen.AnyString(), gen.IntRange(1, 20)))
	name := "a selection has the requested size, no VM twice, and counts per availability zone that differ by at most one"
	properties.Property(name, prop.ForAll(func(key string, n, size int) bool {
		vms := fleet(3 * n)
		ids := r.SelectAcrossZones(key, append(vms, vms...), size)
		perZone := map[fuchsiaspoke.Zone]int{"zone0": 0, "zone1": 0, "zone2": 0}
		for _, vm := range vms {
			if slices.Contains(ids, vm.ID) {
				perZone[vm.Zone]++
			}
		}
		counts := []int{perZone["zone0"], perZone["zone1"], perZone["zone2"]}
		return len(ids) == min(size, 3*n) && slices.Max(counts)-slices.Min(counts) <= 1 &&
			counts[0]+counts[1]+counts[2] == len(ids)
	}, gen.AnyString(), gen.IntRange(0, 7), gen.IntRange(0, 9)))
	properties.TestingRun(t)
}
