package placer_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/placer"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/slotter"
)

const (
	replicas = 12
	slots    = 8
	adapters = 3000
	entryVMs = 7
	requests = 40000
	// requestInterval is the time between two requests; it loads the replicas to about 0.7 of their capacity.
	requestInterval   = 25 * time.Millisecond
	serviceRate       = 1450.0 // tokens per second of each replica
	advertiseInterval = 500 * time.Millisecond
	requestsPerShift  = 4000
	// maxImbalance bounds the most loaded replica's tokens divided by the mean; beyond it, at a load of 0.7, that
	// replica stays overloaded.
	maxImbalance = 1 / 0.7
	// maxQueueP99 bounds the p99 queue that requests join, in seconds.
	maxQueueP99 = 1.5
)

var seed = flag.Int64("seed", 1, "seed of the random runs")

func engineState(id string, zone fuchsiaspoke.Zone, queued int64) fuchsiaspoke.UpstreamState {
	return fuchsiaspoke.UpstreamState{
		Upstream: fuchsiaspoke.Upstream{
			ID: id, Kind: fuchsiaspoke.EngineUpstream, Zone: zone, BaseModel: "base", AdapterSlots: slots,
		},
		QueuedTokens: queued,
	}
}

func generation(adapter int) fuchsiaspoke.Generation {
	return fuchsiaspoke.Generation{
		BaseModel:       "base",
		Adapter:         fuchsiaspoke.Adapter{Name: fmt.Sprint("adapter-", adapter), Version: 1},
		PromptTokens:    200,
		MaxOutputTokens: 100,
	}
}

func ExamplePlacer() {
	var p placer.Placer
	states := []fuchsiaspoke.UpstreamState{engineState("engine-1", "a", 0), engineState("engine-2", "a", 0), engineState("engine-3", "a", 0)}
	states[2].Resident = []fuchsiaspoke.Adapter{generation(7).Adapter}
	id, _ := p.Pick(0, generation(7), states)
	fmt.Println(id)
	states[2].QueuedTokens = 50_000
	id, _ = p.Pick(time.Second, generation(7), states)
	fmt.Println(id == "engine-3")
	// Output:
	// engine-3
	// false
}

// TestPickSkipsUnusableReplicas checks that no replica that is leaving, is a service, or has another base model is picked.
func TestPickSkipsUnusableReplicas(t *testing.T) {
	r := rand.New(rand.NewPCG(uint64(*seed), 7))
	for range 2000 {
		var p placer.Placer
		var states []fuchsiaspoke.UpstreamState
		usable := make(map[string]bool)
		for i := range r.IntN(6) {
			s := engineState(fmt.Sprint(i), "a", r.Int64N(10000))
			s.Upstream.Leaving = r.IntN(2) == 0
			if r.IntN(4) == 0 {
				s.Upstream.BaseModel = "other"
			}
			if r.IntN(4) == 0 {
				s.Upstream.Kind = fuchsiaspoke.ServiceUpstream
			}
			usable[s.Upstream.ID] = !s.Upstream.Leaving && s.Upstream.BaseModel == "base" && s.Upstream.Kind == fuchsiaspoke.EngineUpstream
			states = append(states, s)
		}
		id, ok := p.Pick(0, generation(r.IntN(50)), states)
		if ok != slices.ContainsFunc(states, func(s fuchsiaspoke.UpstreamState) bool { return usable[s.Upstream.ID] }) || ok && !usable[id] {
			t.Fatalf("picked %q, %v of %+v", id, ok, states)
		}
	}
}

// simulatedReplica is a simulated engine with adapter slots and a queue that drains at serviceRate.
type simulatedReplica struct {
	slotTable   slotter.Slotter
	lru         []fuchsiaspoke.Adapter
	queued      float64
	updatedAt   time.Duration
	totalTokens float64
	loads       int
}

func (r *simulatedReplica) enqueue(now time.Duration, g fuchsiaspoke.Generation) {
	r.queued = max(0, r.queued-serviceRate*(now-r.updatedAt).Seconds())
	r.updatedAt = now
	r.queued += float64(g.CostTokens())
	r.totalTokens += float64(g.CostTokens())
}

// useSlotter uses the adapter with evictions picked by a Slotter.
func (r *simulatedReplica) useSlotter(now time.Duration, a fuchsiaspoke.Adapter) {
	r.slotTable.Slots = slots
	if r.slotTable.NeedLoad(a) {
		r.loads++
		if r.slotTable.Free() == 0 {
			victim, _ := r.slotTable.PickVictim(now, func(fuchsiaspoke.Adapter) bool { return false }, nil)
			r.slotTable.StartUnload(victim)
			r.slotTable.EndUnload(now, victim, true)
		}
		r.slotTable.StartLoad(a)
		r.slotTable.EndLoad(a, time.Second/4, true)
	}
	r.slotTable.Acquire(now, a)
	r.slotTable.Release(a)
}

// useLRU uses the adapter with evictions of the least recently used one.
func (r *simulatedReplica) useLRU(_ time.Duration, a fuchsiaspoke.Adapter) {
	if i := slices.Index(r.lru, a); i >= 0 {
		r.lru = append(slices.Delete(r.lru, i, i+1), a)
		return
	}
	r.loads++
	if len(r.lru) == slots {
		r.lru = r.lru[1:]
	}
	r.lru = append(r.lru, a)
}

// policyResult holds the measurements of one placement and eviction policy.
type policyResult struct {
	loads        float64
	imbalance    float64
	queueSeconds []float64
}

func (r policyResult) String() string {
	return fmt.Sprintf("%.0f loads per 1,000 requests, max/mean load %.2f, p99 queue %.1f s", r.loads, r.imbalance, r.queueP99())
}

// queueP99 returns the p99 queue that requests joined, in seconds.
func (r policyResult) queueP99() float64 {
	sort.Float64s(r.queueSeconds)
	return r.queueSeconds[len(r.queueSeconds)*99/100]
}

// simulate sends the same random traffic to the replicas that pick returns, which manage their adapters with use.
func simulate(pick func(now time.Duration, n int, g fuchsiaspoke.Generation, states []fuchsiaspoke.UpstreamState) int,
	use func(r *simulatedReplica, now time.Duration, a fuchsiaspoke.Adapter),
) policyResult {
	r := rand.New(rand.NewPCG(uint64(*seed), 8))
	cumulative := make([]float64, adapters)
	sum := 0.0
	for i := range cumulative {
		sum += 1 / float64(i+1)
		cumulative[i] = sum
	}
	adapterByRank := r.Perm(adapters)
	simulated := make([]simulatedReplica, replicas)
	var states []fuchsiaspoke.UpstreamState
	for i := range simulated {
		states = append(states, engineState(fmt.Sprint("replica-", i), fuchsiaspoke.Zone(fmt.Sprint(i%3)), 0))
	}
	var out policyResult
	nextAdvertise := time.Duration(0)
	for n := range requests {
		now := time.Duration(n) * requestInterval
		if n%requestsPerShift == 0 {
			top, other := r.IntN(20), r.IntN(adapters)
			adapterByRank[top], adapterByRank[other] = adapterByRank[other], adapterByRank[top]
		}
		if now >= nextAdvertise {
			nextAdvertise = now + advertiseInterval
			for i := range simulated {
				states[i].QueuedTokens = int64(max(0, simulated[i].queued-serviceRate*(now-simulated[i].updatedAt).Seconds()))
				states[i].Resident = simulated[i].slotTable.Resident()
			}
		}
		g := generation(adapterByRank[sort.SearchFloat64s(cumulative, r.Float64()*sum)])
		g.MaxOutputTokens = 50 + r.Int64N(100)
		to := &simulated[pick(now, n, g, states)]
		to.enqueue(now, g)
		use(to, now, g.Adapter)
		out.queueSeconds = append(out.queueSeconds, to.queued/serviceRate)
	}
	maxTokens, totalTokens := 0.0, 0.0
	for i := range simulated {
		out.loads += float64(simulated[i].loads) * 1000 / requests
		maxTokens = max(maxTokens, simulated[i].totalTokens)
		totalTokens += simulated[i].totalTokens
	}
	out.imbalance = maxTokens / (totalTokens / replicas)
	return out
}

// TestPlacerLoadsAndBalanceMatchOrBeatHashing checks that placers need no more loads and are no less balanced than hashing
// the adapter's name, and that their imbalance and queues stay within bounds; it logs round robin for comparison.
func TestPlacerLoadsAndBalanceMatchOrBeatHashing(t *testing.T) {
	type pick = func(now time.Duration, n int, g fuchsiaspoke.Generation, states []fuchsiaspoke.UpstreamState) int
	pickRoundRobin := func(_ time.Duration, n int, _ fuchsiaspoke.Generation, _ []fuchsiaspoke.UpstreamState) int {
		return n % replicas
	}
	pickByHash := func(_ time.Duration, _ int, g fuchsiaspoke.Generation, _ []fuchsiaspoke.UpstreamState) int {
		return int(xxhash.Sum64String(g.Adapter.Name) % replicas)
	}
	pickByPlacers := func() pick {
		all := make([]placer.Placer, entryVMs)
		for i := range all {
			all[i].Zone = fuchsiaspoke.Zone(fmt.Sprint(i % 3))
		}
		return func(now time.Duration, n int, g fuchsiaspoke.Generation, states []fuchsiaspoke.UpstreamState) int {
			id, _ := all[n%entryVMs].Pick(now, g, states)
			return slices.IndexFunc(states, func(s fuchsiaspoke.UpstreamState) bool { return s.Upstream.ID == id })
		}
	}
	roundRobinResult := simulate(pickRoundRobin, (*simulatedReplica).useLRU)
	hashResult := simulate(pickByHash, (*simulatedReplica).useLRU)
	placerResult := simulate(pickByPlacers(), (*simulatedReplica).useSlotter)
	t.Logf("round robin, LRU: %v", roundRobinResult)
	t.Logf("hash, LRU: %v", hashResult)
	t.Logf("hash, eviction by score: %v", simulate(pickByHash, (*simulatedReplica).useSlotter))
	t.Logf("%d placers, eviction by score: %v", entryVMs, placerResult)
	if placerResult.loads > hashResult.loads || placerResult.queueP99() > maxQueueP99 || placerResult.imbalance > maxImbalance || placerResult.imbalance > hashResult.imbalance {
		t.Errorf("placer: %v", placerResult)
	}
}
