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
	betweenRequests = 200 * time.Millisecond
	// shiftEvery is the number of requests after which a tenth of the adapters change places.
	shiftEvery = 5000
)

// popularity draws adapters by Zipf's law with exponent one, whose ranks shift.
type popularity struct {
	r      *rand.Rand
	cum    []float64
	ranks  []int
	drawn  int
	shifts bool
}

func newPopularity(shifts bool) *popularity {
	p := &popularity{r: rand.New(rand.NewPCG(uint64(*seed), 6)), shifts: shifts}
	sum := 0.0
	for i := range replicaAdapters {
		sum += 1 / float64(i+1)
		p.cum = append(p.cum, sum)
	}
	p.ranks = p.r.Perm(replicaAdapters)
	return p
}

func (p *popularity) draw() fuchsiaspoke.Adapter {
	if p.drawn++; p.shifts && p.drawn%shiftEvery == 0 {
		for range replicaAdapters / 20 {
			i, j := p.r.IntN(replicaAdapters), p.r.IntN(replicaAdapters)
			p.ranks[i], p.ranks[j] = p.ranks[j], p.ranks[i]
		}
		top, other := p.r.IntN(replicaSlots), p.r.IntN(replicaAdapters)
		p.ranks[top], p.ranks[other] = p.ranks[other], p.ranks[top]
	}
	x := p.r.Float64() * p.cum[replicaAdapters-1]
	i := 0
	for p.cum[i] < x {
		i++
	}
	return adapter(p.ranks[i])
}

// loadsBySlotter counts the loads for each 1,000 requests that the Slotter's choice of victims needs.
func loadsBySlotter(t *testing.T, shifts bool) float64 {
	s := slotter.Slotter{Slots: replicaSlots, Violated: func(detail string) { t.Fatal(detail) }}
	p := newPopularity(shifts)
	loads := 0
	for i := range requests {
		now := time.Duration(i) * betweenRequests
		a := p.draw()
		if s.NeedLoad(a) {
			if s.Free() == 0 {
				victim, _ := s.PickVictim(now, none, nil)
				s.StartUnload(victim)
				s.EndUnload(now, victim, true)
			}
			s.StartLoad(a)
			s.EndLoad(a, time.Second/4, true)
			loads++
		}
		s.Use(now, a)
		s.Done(a)
	}
	return float64(loads) * 1000 / requests
}

// loadsByLRU is the baseline: the victim is the least recently used.
func loadsByLRU(shifts bool) float64 {
	p := newPopularity(shifts)
	last := make(map[fuchsiaspoke.Adapter]int)
	loads := 0
	for i := range requests {
		a := p.draw()
		if _, ok := last[a]; !ok {
			loads++
			if len(last) == replicaSlots {
				delete(last, oldest(last))
			}
		}
		last[a] = i
	}
	return float64(loads) * 1000 / requests
}

func oldest(last map[fuchsiaspoke.Adapter]int) fuchsiaspoke.Adapter {
	var victim fuchsiaspoke.Adapter
	at := math.MaxInt
	for a, i := range last {
		if i < at {
			victim, at = a, i
		}
	}
	return victim
}

// TestVictimsAgainstLRU measures the loads that the choice of victims needs under skewed and shifting popularity.
func TestVictimsAgainstLRU(t *testing.T) {
	for _, shifts := range []bool{false, true} {
		lru, ours := loadsByLRU(shifts), loadsBySlotter(t, shifts)
		t.Logf("seed %d, shifting %v: LRU %.0f loads for 1,000 requests, by score %.0f", *seed, shifts, lru, ours)
		if ours >= lru {
			t.Errorf("shifting %v: %.0f loads for 1,000 requests, LRU %.0f", shifts, ours, lru)
		}
	}
}
