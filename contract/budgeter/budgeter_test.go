package budgeter_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/contract/budgeter"
)

var seed = flag.Int64("seed", 1, "seed of the randomised runs")

func ExampleBudgeter_Start() {
	var b budgeter.Budgeter
	b.Open(0, 1)
	fmt.Println(b.Start(time.Second, "a"))
	for _, id := range []string{"a", "b", "c", "d"} {
		fmt.Println(id, b.Start(2*time.Second, id))
	}
	// Output:
	// 1s
	// a 0s
	// b 0s
	// c 0s
	// d 1s
}

// TestBoundsOverTakeovers asserts three starts in any second and eight in flight, counted over all holders together.
func TestBoundsOverTakeovers(t *testing.T) {
	const perSecond, maxInFlight, maxLoadTime = 3, 8, 4 * time.Second
	for run := range uint64(100) {
		rng := rand.New(rand.NewPCG(uint64(*seed), run))
		b := &budgeter.Budgeter{MaxLoadTime: maxLoadTime}
		var starts, ends []time.Duration
		ending := map[string]time.Duration{}
		for now := time.Duration(0); now < time.Minute; now += time.Duration(rng.Int64N(int64(100 * time.Millisecond))) {
			if now == 0 || rng.IntN(300) == 0 {
				b = &budgeter.Budgeter{MaxLoadTime: maxLoadTime}
				b.Open(now, 1)
			}
			for id, end := range ending {
				if end <= now {
					b.Finish(id)
					delete(ending, id)
				}
			}
			id := fmt.Sprint(now)
			if b.Start(now, id) != 0 {
				continue
			}
			ending[id] = now + time.Duration(rng.Int64N(int64(maxLoadTime)))
			starts = append(starts, now)
			ends = append(ends, ending[id])
		}
		slices.Sort(ends)
		ended := 0
		for n, at := range starts {
			for ended < len(ends) && ends[ended] <= at {
				ended++
			}
			if n >= perSecond && at-starts[n-perSecond] < time.Second {
				t.Fatalf("run %d: %d starts within %v", run, perSecond+1, at-starts[n-perSecond])
			}
			if n+1-ended > maxInFlight {
				t.Fatalf("run %d: %d in flight at %v", run, n+1-ended, at)
			}
		}
		if len(starts) < 30 {
			t.Fatalf("run %d: only %d loads", run, len(starts))
		}
	}
}
