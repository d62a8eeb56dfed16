package slotter

import (
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
	return s.scores.Score(now, a) * cost.Seconds()
}
