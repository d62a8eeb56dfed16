package slotter

import (
	"math"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// wantedRank puts adapters that waiting work wants after all others.
	wantedRank = 1e12
	// usualLoad is what a load is taken to cost before one was measured.
	usualLoad = 250 * time.Millisecond
)

// rank is how useful a slot is: its adapter's decayed use times the cost of loading it again.
func (s *Slotter) rank(now time.Duration, a fuchsiaspoke.Adapter, t *slot) float64 {
	cost := t.loadTaken
	if cost == 0 {
		cost = usualLoad
	}
	return s.scores[a].decayed(now) * cost.Seconds()
}

// remember adds one use to the adapter's score.
func (s *Slotter) remember(now time.Duration, a fuchsiaspoke.Adapter) {
	if len(s.scores) >= maxScores {
		s.forget(now)
	}
	s.scores[a] = score{value: s.scores[a].decayed(now) + 1, at: now}
}

// forget drops the scores that have decayed, and all of them where none has.
func (s *Slotter) forget(now time.Duration) {
	for a, c := range s.scores {
		if s.slots[a] == nil && c.decayed(now) < minScore {
			delete(s.scores, a)
		}
	}
	if len(s.scores) >= maxScores {
		clear(s.scores)
	}
}

func (c score) decayed(now time.Duration) float64 {
	return c.value * math.Exp2(-float64(now-c.at)/float64(scoreHalfLife))
}
