package store_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/store"
)

// loadAll starts n loads at once and returns how long the longest took and how many took less than limit.
func loadAll(t *testing.T, s *store.Store, n int, limit time.Duration) (time.Duration, int) {
	t.Helper()
	began := time.Now()
	var wg sync.WaitGroup
	took := make([]time.Duration, n)
	for i := range took {
		wg.Go(func() {
			if err := s.Load(context.Background(), fuchsiaspoke.Adapter{Name: "violin", Version: int64(i)}); err != nil {
				t.Error(err)
			}
			took[i] = time.Since(began)
		})
	}
	wg.Wait()
	longest, below := time.Duration(0), 0
	for _, d := range took {
		longest = max(longest, d)
		if d < limit {
			below++
		}
	}
	return longest, below
}

func TestLoadsKeepTheRate(t *testing.T) {
	longest, _ := loadAll(t, &store.Store{LoadsPerSecond: 30, LoadTime: 25 * time.Millisecond}, 60, 0)
	// One second's burst of 30, and 30 more at 30 a second; the last few load fast again.
	if longest < time.Second || longest > 1300*time.Millisecond {
		t.Errorf("sixty loads at thirty a second took %s", longest)
	}
}

func TestLoadsGrowLongBeyondEightInFlight(t *testing.T) {
	longest, fast := loadAll(t, &store.Store{LoadsPerSecond: 1000, LoadTime: 25 * time.Millisecond}, 40, 28*time.Millisecond)
	if fast > 8 || longest < 100*time.Millisecond {
		t.Errorf("of forty loads %d were fast and the longest took %s", fast, longest)
	}
}
