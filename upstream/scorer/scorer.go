// Package scorer scores adapters by recent use.
package scorer

import (
	"math"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// defaultHalfLife is the half-life of a Scorer whose HalfLife is zero.
	defaultHalfLife = time.Minute
	// maxScores bounds the number of adapters whose scores are kept.
	maxScores = 8192
	// minScore is the score below which an adapter is evicted when maxScores is reached.
	minScore = 0.05
)

// Scorer keeps an exponentially decaying score for each adapter, which combines recency and frequency of use.
//
// The score is that of Lee et al., LRFU, IEEE Transactions on Computers 50(12), 2001. The zero value is ready to use, with a
// half-life of one minute. Memory is bounded. It is not safe for concurrent use.
type Scorer struct {
	// HalfLife is the time in which a score halves; zero means one minute.
	HalfLife time.Duration

	scores map[fuchsiaspoke.Adapter]score
	total  score
}

// score is a value at a point in time, from which it decays.
type score struct {
	value float64
	at    time.Duration
}

// Add adds an amount to the adapter's score.
func (s *Scorer) Add(now time.Duration, a fuchsiaspoke.Adapter, amount float64) {
	if s.scores == nil {
		s.scores = make(map[fuchsiaspoke.Adapter]score)
	}
	if len(s.scores) >= maxScores {
		s.evict(now)
	}
	s.scores[a] = score{s.decayed(now, s.scores[a]) + amount, now}
	s.total = score{s.decayed(now, s.total) + amount, now}
}

// Score returns the adapter's score at the given time.
func (s *Scorer) Score(now time.Duration, a fuchsiaspoke.Adapter) float64 {
	return s.decayed(now, s.scores[a])
}

// Total returns the sum of all scores at the given time, including those of evicted adapters.
func (s *Scorer) Total(now time.Duration) float64 {
	return s.decayed(now, s.total)
}

// evict deletes the scores below minScore, or all scores if none is below it. It does not change the total.
func (s *Scorer) evict(now time.Duration) {
	for a, sc := range s.scores {
		if s.decayed(now, sc) < minScore {
			delete(s.scores, a)
		}
	}
	if len(s.scores) >= maxScores {
		clear(s.scores)
	}
}

func (s *Scorer) decayed(now time.Duration, sc score) float64 {
	halfLife := s.HalfLife
	if halfLife == 0 {
		halfLife = defaultHalfLife
	}
	return sc.value * math.Exp2(-float64(now-sc.at)/float64(halfLife))
}
