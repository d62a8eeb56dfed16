// Package scorer keeps how much each adapter was used lately.
package scorer

import (
	"math"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// defaultHalfLife is the half-life of a Scorer that names none.
	defaultHalfLife = time.Minute
	// maxScores is how many adapters are remembered.
	maxScores = 8192
	// minScore is the score below which an adapter is forgotten when there are too many.
	minScore = 0.05
)

// Scorer is the use of adapters with exponential decay, recency and frequency in one number.
//
// The score is that of Lee et al., LRFU, IEEE Transactions on Computers 50(12), 2001. The zero value is empty and
// halves each score in a minute; memory is bounded. It is not safe for concurrent use.
type Scorer struct {
	// HalfLife is the time in which a score halves; zero is a minute.
	HalfLife time.Duration

	scores map[fuchsiaspoke.Adapter]score
	total  score
}

// score is a value as of a time.
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
		s.forget(now)
	}
	s.scores[a] = score{s.decayed(now, s.scores[a]) + amount, now}
	s.total = score{s.decayed(now, s.total) + amount, now}
}

// Score is the adapter's score at this time.
func (s *Scorer) Score(now time.Duration, a fuchsiaspoke.Adapter) float64 {
	return s.decayed(now, s.scores[a])
}

// Total is the sum of all scores at this time, also of adapters that were forgotten.
func (s *Scorer) Total(now time.Duration) float64 {
	return s.decayed(now, s.total)
}

// forget drops the scores that have decayed, and all of them where none has.
func (s *Scorer) forget(now time.Duration) {
	for a, c := range s.scores {
		if s.decayed(now, c) < minScore {
			delete(s.scores, a)
		}
	}
	if len(s.scores) >= maxScores {
		clear(s.scores)
	}
}

func (s *Scorer) decayed(now time.Duration, c score) float64 {
	halfLife := s.HalfLife
	if halfLife == 0 {
		halfLife = defaultHalfLife
	}
	return c.value * math.Exp2(-float64(now-c.at)/float64(halfLife))
}
