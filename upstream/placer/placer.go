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
	// demandPerCopy is the demand for an adapter that adds one preferred replica, as a fraction of the mean demand per
	// replica.
	demandPerCopy = 0.25
	// loadCostTokens is the cost of loading an adapter, in queued tokens.
	loadCostTokens = 2000
	// spillThresholdTokens is how many more queued tokens the adapter's preferred replicas may have than another replica
	// before requests go to that one.
	spillThresholdTokens = 1000
	// demandHalfLife is the half-life of an adapter's demand.
	demandHalfLife = 30 * time.Second
	// placementHalfLife is the half-life of local placements, which the replicas' advertised queues include later.
	placementHalfLife = 500 * time.Millisecond
	// maxHalfLives is the number of half-lives after which a placement counts as zero.
	maxHalfLives = 16
)

// Placer picks replicas for adapters; its zero value is ready for use. It is not safe for concurrent use.
//
// Replicas are ordered for each adapter by rendezvous hashing (Thaler and Ravishankar, IEEE/ACM Transactions on
// Networking 6(1), 1998). An adapter prefers the first k of them, where k grows with its share of the recent demand,
// so that cold adapters take one slot and hot ones several. The replica with the lowest cost is picked: its queued
// tokens, plus loadCostTokens if the adapter is not resident, plus spillThresholdTokens if it is not among the first
// k. Ties go to the local availability zone, then to the higher hash.
type Placer struct {
	// Zone is the availability zone that is preferred among replicas of equal cost.
	Zone fuchsiaspoke.Zone

	demand     scorer.Scorer
	placements map[string]placement
	candidates []candidate
}

// placement is the decayed sum of the tokens that this Placer placed on a replica, as of updatedAt.
type placement struct {
	tokens    float64
	updatedAt time.Duration
}

// candidate is one replica with its rendezvous hash and cost for the adapter.
type candidate struct {
	state *fuchsiaspoke.UpstreamState
	hash  uint64
	cost  float64
}

// Pick returns the id of the replica to send the generation to and whether there is one. To retry after a refusal, pass
// states without the replica that refused.
func (p *Placer) Pick(now time.Duration, g fuchsiaspoke.Generation, states []fuchsiaspoke.UpstreamState) (string, bool) {
	p.init()
	p.demand.Add(now, g.Adapter, float64(g.CostTokens()))
	p.rankCandidates(g, states)
	if len(p.candidates) == 0 {
		return "", false
	}
	copyCount := p.copyCount(now, g.Adapter)
	for i := range p.candidates {
		p.candidates[i].cost = p.cost(now, g.Adapter, p.candidates[i].state, i < copyCount)
	}
	best := slices.MinFunc(p.candidates, p.compare)
	id := best.state.Upstream.ID
	p.placements[id] = placement{p.unadvertisedTokens(now, id) + float64(g.CostTokens()), now}
	return id, true
}

// rankCandidates lists the replicas that may serve the generation, highest rendezvous hash first.
func (p *Placer) rankCandidates(g fuchsiaspoke.Generation, states []fuchsiaspoke.UpstreamState) {
	p.candidates = p.candidates[:0]
	for i := range states {
		u := states[i].Upstream
		if u.Kind != fuchsiaspoke.EngineUpstream || u.Leaving || u.BaseModel != g.BaseModel {
			continue
		}
		p.candidates = append(p.candidates, candidate{state: &states[i], hash: rendezvousHash(g.Adapter, u.ID)})
	}
	slices.SortFunc(p.candidates, func(a, b candidate) int { return cmp.Compare(b.hash, a.hash) })
}

// copyCount returns the number of replicas that the adapter prefers.
func (p *Placer) copyCount(now time.Duration, a fuchsiaspoke.Adapter) int {
	share := p.demand.Score(now, a) / p.demand.Total(now)
	return min(len(p.candidates), 1+int(share*float64(len(p.candidates))/demandPerCopy))
}

// cost returns a replica's queued tokens, plus loadCostTokens if the adapter is not resident and spillThresholdTokens if the
// replica is not a preferred one.
func (p *Placer) cost(now time.Duration, a fuchsiaspoke.Adapter, s *fuchsiaspoke.UpstreamState, isPreferred bool) float64 {
	cost := float64(s.QueuedTokens) + p.unadvertisedTokens(now, s.Upstream.ID)
	if a != (fuchsiaspoke.Adapter{}) && !slices.Contains(s.Resident, a) {
		cost += loadCostTokens
	}
	if !isPreferred {
		cost += spillThresholdTokens
	}
	return cost
}

// compare orders by lower cost, then the local availability zone, then the higher hash.
func (p *Placer) compare(a, b candidate) int {
	if c := cmp.Compare(a.cost, b.cost); c != 0 {
		return c
	}
	if isLocal := a.state.Upstream.Zone == p.Zone; isLocal != (b.state.Upstream.Zone == p.Zone) {
		if isLocal {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.hash, a.hash)
}

// unadvertisedTokens estimates the tokens placed on the replica that its advertised queue does not include yet.
func (p *Placer) unadvertisedTokens(now time.Duration, id string) float64 {
	c := p.placements[id]
	halfLives := int((now - c.updatedAt) / placementHalfLife)
	if halfLives > maxHalfLives {
		return 0
	}
	return c.tokens / float64(int64(1)<<halfLives)
}

func (p *Placer) init() {
	if p.placements != nil {
		return
	}
	p.placements = make(map[string]placement)
	p.demand.HalfLife = demandHalfLife
}

// rendezvousHash returns the rendezvous hash of a replica for an adapter.
func rendezvousHash(a fuchsiaspoke.Adapter, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a.Name)
	_, _ = d.WriteString("@" + strconv.FormatInt(a.Version, 10) + "@")
	_, _ = d.WriteString(id)
	return d.Sum64()
}
