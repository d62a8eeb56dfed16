package scorer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/scorer"
)

func ExampleScorer() {
	var s scorer.Scorer
	a, b := fuchsiaspoke.Adapter{Name: "a", Version: 1}, fuchsiaspoke.Adapter{Name: "a", Version: 2}
	s.Add(0, a, 4)
	s.Add(time.Minute, b, 3)
	fmt.Println(s.Score(time.Minute, a), s.Score(time.Minute, b), s.Total(2*time.Minute))
	// Output: 2 3 2.5
}

// Guards against losing the scores of adapters in use when the limit of scores is reached.
func TestDecayedScoresAreEvictedBeforeRecentScores(t *testing.T) {
	var s scorer.Scorer
	hot := fuchsiaspoke.Adapter{Name: "hot"}
	for i := range 30000 {
		now := time.Duration(i) * 100 * time.Millisecond
		s.Add(now, fuchsiaspoke.Adapter{Name: fmt.Sprint(i)}, 1)
		s.Add(now, hot, 1)
	}
	now := 3000 * time.Second
	if got := s.Score(now, hot); got < 800 {
		t.Errorf("score %v of an adapter in constant use, want at least 800", got)
	}
	if got := s.Score(now, fuchsiaspoke.Adapter{Name: "1"}); got != 0 {
		t.Errorf("score %v of an adapter last used 50 minutes ago, want 0", got)
	}
}
