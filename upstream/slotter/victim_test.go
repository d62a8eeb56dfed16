package slotter_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/slotter"
)

const (
	replicaSlots    = 8
	replicaAdapters = 250
	requests        = 50000
	requestInterval = 200 * time.Millisecond
	// requestsPerShift is the number of requests after which a tenth of the adapters swap popularity ranks.
	requestsPerShift = 5000
)

// popularity draws adapters from a Zipf distribution with exponent one, whose ranks may shift over time.
type popularity struct {
	r                 *rand.Rand
	cumulativeWeights []float64
	ranks             []int
	drawCount         int
	shifts            bool
}

func newPopularity(shifts bool) *popularity {
	p := &popularity{r: rand.New(rand.NewPCG(uint64(*seed), 6)), shifts: shifts}
	sum := 0.0
	for i := range replicaAdapters {
		sum += 1 / float64(i+1)
		p.cumulativeWeights = append(p.cumulativeWeights, sum)
	}
	p.ranks = p.r.Perm(replicaAdapters)
	return p
}

func (p *popularity) draw() fuchsiaspoke.Adapter {
	if p.drawCount++; p.shifts && p.drawCount%requestsPerShift == 0 {
		for range replicaAdapters / 20 {
			i, j := p.r.IntN(replicaAdapters), p.r.IntN(replicaAdapters)
			p.ranks[i], p.ranks[j] = p.ranks[j], p.ranks[i]
		}
		top, other := p.r.IntN(replicaSlots), p.r.IntN(replicaAdapters)
		p.ranks[top], p.ranks[other] = p.ranks[other], p.ranks[top]
	}
	x := p.r.Float64() * p.cumulativeWeights[replicaAdapters-1]
	i := 0
	for p.cumulativeWeights[i] < x {
		i++
	}
	return adapter(p.ranks[i])
}

// loadsBySlotter returns the number of loads per 1,000 requests with victims chosen by the Slotter.
func loadsBySlotter(t *testing.T, shifts bool) float64 {
	s := slotter.Slotter{Slots: replicaSlots, OnViolation: func(detail string) { t.Fatal(detail) }}
	p := newPopularity(shifts)
	loads := 0
	for i := range requests {
		now := time.Duration(i) * requestInterval
		a := p.draw()
		if s.NeedLoad(a) {
			if s.Free() == 0 {
				victim, _ := s.PickVictim(now, noAdapter, nil)
				s.StartUnload(victim)
				s.EndUnload(now, victim, true)
			}
			s.StartLoad(a)
			s.EndLoad(a, time.Second/4, true)
			loads++
		}
		s.Acquire(now, a)
		s.Release(a)
	}
	return float64(loads) * 1000 / requests
}

// loadsByLRU returns the number of loads per 1,000 requests with the least recently used adapter as the victim, which
// is the baseline.
func loadsByLRU(shifts bool) float64 {
	p := newPopularity(shifts)
	lastUsed := make(map[fuchsiaspoke.Adapter]int)
	loads := 0
	for i := range requests {
		a := p.draw()
		if _, ok := lastUsed[a]; !ok {
			loads++
			if len(lastUsed) == replicaSlots {
				delete(lastUsed, leastRecentlyUsed(lastUsed))
			}
		}
		lastUsed[a] = i
	}
	return float64(loads) * 1000 / requests
}

func leastRecentlyUsed(lastUsed map[fuchsiaspoke.Adapter]int) fuchsiaspoke.Adapter {
	var victim fuchsiaspoke.Adapter
	at := math.MaxInt
	for a, i := range lastUsed {
		if i < at {
			victim, at = a, i
		}
	}
	return victim
}

// TestVictimChoiceNeedsFewerLoadsThanLRU compares the loads under skewed popularity, both constant and shifting.
func TestVictimChoiceNeedsFewerLoadsThanLRU(t *testing.T) {
	for _, shifts := range []bool{false, true} {
		lru, scored := loadsByLRU(shifts), loadsBySlotter(t, shifts)
		t.Logf("seed %d, shifting %v: LRU %.0f loads per 1,000 requests, by score %.0f", *seed, shifts, lru, scored)
		if scored >= lru {
			t.Errorf("shifting %v: %.0f loads per 1,000 requests, LRU %.0f", shifts, scored, lru)
		}
	}
}
