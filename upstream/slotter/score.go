package slotter

import (
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// wantedPenalty is added to the score of adapters that waiting requests need, so that all other adapters are
	// evicted before them.
	wantedPenalty = 1e12
	// defaultLoadDuration is the assumed load duration of an adapter whose load has not been measured.
	defaultLoadDuration = 250 * time.Millisecond
)

// score returns the value of keeping the adapter resident: its decayed use times the duration of loading it again.
func (s *Slotter) score(now time.Duration, a fuchsiaspoke.Adapter, sl *slot) float64 {
	loadDuration := sl.measuredLoadDuration
	if loadDuration == 0 {
		loadDuration = defaultLoadDuration
	}
	return s.scores.Score(now, a) * loadDuration.Seconds()
}
