package store_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/store"
)

// loadAll starts n loads at once and returns the time until the last one ended and the number that ended within limit.
func loadAll(t *testing.T, s *store.Store, n int, limit time.Duration) (time.Duration, int) {
	t.Helper()
	start := time.Now()
	var wg sync.WaitGroup
	elapsed := make([]time.Duration, n)
	for i := range elapsed {
		wg.Go(func() {
			if err := s.Load(context.Background(), fuchsiaspoke.Adapter{Name: "violin", Version: int64(i)}); err != nil {
				t.Error(err)
			}
			elapsed[i] = time.Since(start)
		})
	}
	wg.Wait()
	maxElapsed, belowLimit := time.Duration(0), 0
	for _, d := range elapsed {
		maxElapsed = max(maxElapsed, d)
		if d < limit {
			belowLimit++
		}
	}
	return maxElapsed, belowLimit
}

func TestLoadsBeyondBurstAreLimitedToRate(t *testing.T) {
	maxElapsed, _ := loadAll(t, &store.Store{LoadsPerSecond: 30, LoadTime: 25 * time.Millisecond}, 60, 0)
	// A burst of 30 loads starts at once and the other 30 within 1 s. The last ones take LoadTime only, as fewer than 8 are then
	// in flight.
	if maxElapsed < time.Second || maxElapsed > 1300*time.Millisecond {
		t.Errorf("sixty loads at 30 per second took %s, want 1 s to 1.3 s", maxElapsed)
	}
}

func TestLoadTimeGrowsBeyondEightInFlight(t *testing.T) {
	maxElapsed, fastLoads := loadAll(t, &store.Store{LoadsPerSecond: 1000, LoadTime: 25 * time.Millisecond}, 40, 28*time.Millisecond)
	if fastLoads > 8 || maxElapsed < 100*time.Millisecond {
		t.Errorf("of forty loads %d took less than 28 ms and the last ended after %s, want at most 8 and at least 100 ms", fastLoads, maxElapsed)
	}
}
