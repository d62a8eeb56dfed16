// Package placer picks the engine replica that a generation goes to.
package placer

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/scorer"
)

const (
	// copyShare is the part of a replica's mean load that one copy of an adapter carries before it gets another.
	copyShare = 0.25
	// loadTokens is what the wait for an adapter's load counts as, in queued tokens.
	loadTokens = 2000
	// spillTokens is how many queued tokens the adapter's own replicas may hold more than another one before work
	// spills to that one.
	spillTokens = 1000
	// demandHalfLife is the half-life of an adapter's demand.
	demandHalfLife = 30 * time.Second
	// placedHalfLife is the half-life of what was placed here and is not yet in what the replicas advertise.
	placedHalfLife = 500 * time.Millisecond
	// maxHalves is the number of half-lives after which a placement is forgotten.
	maxHalves = 16
)

// Placer picks replicas for adapters; its zero value is ready, and it is not safe for concurrent use.
//
// Each adapter orders the replicas by rendezvous hashing (Thaler and Ravishankar, IEEE/ACM Transactions on Networking
// 6(1), 1998) and keeps to the first k of them, where k grows with its share of the recent demand, so that cold
// adapters take one slot and hot ones several. Among these the shortest queue wins, with the wait for a load counted
// in; work spills to the others when the queues differ by more than a bound. Equal ones are taken in the order of the
// availability zone and then of the hash.
type Placer struct {
	// Zone is the availability zone that is preferred among equals.
	Zone fuchsiaspoke.Zone

	demand scorer.Scorer
	placed map[string]placement
	order  []candidate
}

// placement is what was lately sent to a replica from here.
type placement struct {
	tokens float64
	at     time.Duration
}

// candidate is one replica with its place in the adapter's order.
type candidate struct {
	state *fuchsiaspoke.UpstreamState
	hash  uint64
	cost  float64
}

// Pick returns the id of the replica to send the generation to and whether there is one; a caller that was refused by a
// replica leaves it out of states.
func (p *Placer) Pick(now time.Duration, g fuchsiaspoke.Generation, states []fuchsiaspoke.UpstreamState) (string, bool) {
	p.init()
	p.demand.Add(now, g.Adapter, float64(g.CostTokens()))
	p.rank(g, states)
	if len(p.order) == 0 {
		return "", false
	}
	copies := p.copies(now, g.Adapter)
	for i := range p.order {
		p.order[i].cost = p.cost(now, g.Adapter, p.order[i].state, i < copies)
	}
	best := slices.MinFunc(p.order, p.compare)
	id := best.state.Upstream.ID
	p.placed[id] = placement{p.lately(now, id) + float64(g.CostTokens()), now}
	return id, true
}

// rank puts the replicas that may serve the generation in its adapter's order.
func (p *Placer) rank(g fuchsiaspoke.Generation, states []fuchsiaspoke.UpstreamState) {
	p.order = p.order[:0]
	for i := range states {
		u := states[i].Upstream
		if u.Kind != fuchsiaspoke.EngineUpstream || u.Leaving || u.BaseModel != g.BaseModel {
			continue
		}
		p.order = append(p.order, candidate{state: &states[i], hash: weight(g.Adapter, u.ID)})
	}
	slices.SortFunc(p.order, func(a, b candidate) int { return cmp.Compare(b.hash, a.hash) })
}

// copies is the number of replicas that the adapter keeps to.
func (p *Placer) copies(now time.Duration, a fuchsiaspoke.Adapter) int {
	share := p.demand.Score(now, a) / p.demand.Total(now)
	return min(len(p.order), 1+int(share*float64(len(p.order))/copyShare))
}

// cost is the wait on a replica in queued tokens, with what keeps work off it.
func (p *Placer) cost(now time.Duration, a fuchsiaspoke.Adapter, s *fuchsiaspoke.UpstreamState, own bool) float64 {
	cost := float64(s.QueuedTokens) + p.lately(now, s.Upstream.ID)
	if a != (fuchsiaspoke.Adapter{}) && !slices.Contains(s.Resident, a) {
		cost += loadTokens
	}
	if !own {
		cost += spillTokens
	}
	return cost
}

// compare orders by cost, then by availability zone, then by hash.
func (p *Placer) compare(a, b candidate) int {
	if c := cmp.Compare(a.cost, b.cost); c != 0 {
		return c
	}
	if near := a.state.Upstream.Zone == p.Zone; near != (b.state.Upstream.Zone == p.Zone) {
		if near {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.hash, a.hash)
}

// lately is what was placed on the replica and is not yet in its advertised queue.
func (p *Placer) lately(now time.Duration, id string) float64 {
	c := p.placed[id]
	halves := int((now - c.at) / placedHalfLife)
	if halves > maxHalves {
		return 0
	}
	return c.tokens / float64(int64(1)<<halves)
}

func (p *Placer) init() {
	if p.placed != nil {
		return
	}
	p.placed = make(map[string]placement)
	p.demand.HalfLife = demandHalfLife
}

// weight is the rendezvous weight of a replica for an adapter.
func weight(a fuchsiaspoke.Adapter, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a.Name)
	_, _ = d.WriteString("@" + strconv.FormatInt(a.Version, 10) + "@")
	_, _ = d.WriteString(id)
	return d.Sum64()
}
