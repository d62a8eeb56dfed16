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
	// between is the time between two requests; the replicas together serve them at about 0.7 of their rate.
	between     = 25 * time.Millisecond
	serveTokens = 1450.0 // tokens per second and replica
	advertise   = 500 * time.Millisecond
	shiftEvery  = 4000
	// worstBalance is the bound on the most loaded replica's tokens over the mean: beyond it one is overloaded for good.
	worstBalance = 1 / 0.7
	// worstQueue is the bound on the p99 of the queues that requests find, in seconds.
	worstQueue = 1.5
)

var seed = flag.Int64("seed", 1, "seed of the random runs")

func state(id string, zone fuchsiaspoke.Zone, queued int64) fuchsiaspoke.UpstreamState {
	return fuchsiaspoke.UpstreamState{
		Upstream: fuchsiaspoke.Upstream{
			ID: id, Kind: fuchsiaspoke.EngineUpstream, Zone: zone, BaseModel: "base", Slots: slots,
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
	states := []fuchsiaspoke.UpstreamState{state("engine-1", "a", 0), state("engine-2", "a", 0), state("engine-3", "a", 0)}
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

// TestNeverLeaving checks that no leaving replica, service, or other base model is picked.
func TestNeverLeaving(t *testing.T) {
	r := rand.New(rand.NewPCG(uint64(*seed), 7))
	for range 2000 {
		var p placer.Placer
		var states []fuchsiaspoke.UpstreamState
		usable := make(map[string]bool)
		for i := range r.IntN(6) {
			s := state(fmt.Sprint(i), "a", r.Int64N(10000))
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

// replica is a simulated engine: a queue that drains at a rate, and slots.
type replica struct {
	table  slotter.Slotter
	lru    []fuchsiaspoke.Adapter
	queued float64
	at     time.Duration
	total  float64
	loads  int
}

func (r *replica) serve(now time.Duration, g fuchsiaspoke.Generation) {
	r.queued = max(0, r.queued-serveTokens*(now-r.at).Seconds())
	r.at = now
	r.queued += float64(g.CostTokens())
	r.total += float64(g.CostTokens())
}

// useTable keeps adapters by the Slotter's choice.
func (r *replica) useTable(now time.Duration, a fuchsiaspoke.Adapter) {
	r.table.Slots = slots
	if r.table.NeedLoad(a) {
		r.loads++
		if r.table.Free() == 0 {
			victim, _ := r.table.PickVictim(now, func(fuchsiaspoke.Adapter) bool { return false }, nil)
			r.table.StartUnload(victim)
			r.table.EndUnload(now, victim, true)
		}
		r.table.StartLoad(a)
		r.table.EndLoad(a, time.Second/4, true)
	}
	r.table.Use(now, a)
	r.table.Done(a)
}

// useLRU keeps adapters by least recent use.
func (r *replica) useLRU(_ time.Duration, a fuchsiaspoke.Adapter) {
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

// result is what one policy cost.
type result struct {
	loads   float64
	balance float64
	waits   []float64
}

func (r result) String() string {
	return fmt.Sprintf("%.0f loads for 1,000 requests, max/mean load %.2f, p99 queue %.1f s", r.loads, r.balance, r.queue())
}

// queue is the p99 of the queues that requests found, in seconds.
func (r result) queue() float64 {
	sort.Float64s(r.waits)
	return r.waits[len(r.waits)*99/100]
}

// simulate sends one traffic to the replicas that pick names.
func simulate(pick func(now time.Duration, n int, g fuchsiaspoke.Generation, states []fuchsiaspoke.UpstreamState) int,
	use func(r *replica, now time.Duration, a fuchsiaspoke.Adapter),
) result {
	r := rand.New(rand.NewPCG(uint64(*seed), 8))
	cum := make([]float64, adapters)
	sum := 0.0
	for i := range cum {
		sum += 1 / float64(i+1)
		cum[i] = sum
	}
	ranks := r.Perm(adapters)
	all := make([]replica, replicas)
	var states []fuchsiaspoke.UpstreamState
	for i := range all {
		states = append(states, state(fmt.Sprint("replica-", i), fuchsiaspoke.Zone(fmt.Sprint(i%3)), 0))
	}
	var out result
	next := time.Duration(0)
	for n := range requests {
		now := time.Duration(n) * between
		if n%shiftEvery == 0 {
			top, other := r.IntN(20), r.IntN(adapters)
			ranks[top], ranks[other] = ranks[other], ranks[top]
		}
		if now >= next {
			next = now + advertise
			for i := range all {
				states[i].QueuedTokens = int64(max(0, all[i].queued-serveTokens*(now-all[i].at).Seconds()))
				states[i].Resident = all[i].table.Resident()
			}
		}
		g := generation(ranks[sort.SearchFloat64s(cum, r.Float64()*sum)])
		g.MaxOutputTokens = 50 + r.Int64N(100)
		to := &all[pick(now, n, g, states)]
		to.serve(now, g)
		use(to, now, g.Adapter)
		out.waits = append(out.waits, to.queued/serveTokens)
	}
	most, total := 0.0, 0.0
	for i := range all {
		out.loads += float64(all[i].loads) * 1000 / requests
		most = max(most, all[i].total)
		total += all[i].total
	}
	out.balance = most / (total / replicas)
	return out
}

// TestAgainstBaselines compares loads and balance with round robin and with a hash of the adapter.
func TestAgainstBaselines(t *testing.T) {
	type pick = func(now time.Duration, n int, g fuchsiaspoke.Generation, states []fuchsiaspoke.UpstreamState) int
	roundRobin := func(_ time.Duration, n int, _ fuchsiaspoke.Generation, _ []fuchsiaspoke.UpstreamState) int {
		return n % replicas
	}
	byHash := func(_ time.Duration, _ int, g fuchsiaspoke.Generation, _ []fuchsiaspoke.UpstreamState) int {
		return int(xxhash.Sum64String(g.Adapter.Name) % replicas)
	}
	byPlacers := func() pick {
		all := make([]placer.Placer, entryVMs)
		for i := range all {
			all[i].Zone = fuchsiaspoke.Zone(fmt.Sprint(i % 3))
		}
		return func(now time.Duration, n int, g fuchsiaspoke.Generation, states []fuchsiaspoke.UpstreamState) int {
			id, _ := all[n%entryVMs].Pick(now, g, states)
			return slices.IndexFunc(states, func(s fuchsiaspoke.UpstreamState) bool { return s.Upstream.ID == id })
		}
	}
	robin := simulate(roundRobin, (*replica).useLRU)
	hash := simulate(byHash, (*replica).useLRU)
	ours := simulate(byPlacers(), (*replica).useTable)
	t.Logf("round robin, LRU: %v", robin)
	t.Logf("hash, LRU: %v", hash)
	t.Logf("hash, by score: %v", simulate(byHash, (*replica).useTable))
	t.Logf("%d placers, by score: %v", entryVMs, ours)
	if ours.loads > hash.loads || ours.queue() > worstQueue || ours.balance > worstBalance || ours.balance > hash.balance {
		t.Errorf("placer: %v", ours)
	}
}
