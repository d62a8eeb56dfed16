package queuer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/queuer"
)

const (
	batchSize     = 16
	decodeStep    = 20 * time.Millisecond
	prefillRate   = 20000.0 // tokens per second
	simulatedTime = 10 * time.Minute
	heavyAccount  = "heavy"
	// headroom is the value that the dispatcher sets for this batch size.
	headroom = batchSize / 5
	// maxP99Wait is the bound on the worst-served account's p99 wait.
	maxP99Wait = 1500 * time.Millisecond
)

// scheduler is the queue that feeds the simulated engine.
type scheduler interface {
	Push(now time.Duration, g fuchsiaspoke.Generation) bool
	Pop(now time.Duration, readinessOf func(fuchsiaspoke.Generation) int) (fuchsiaspoke.Generation, bool)
	Charge(account string, tokens int64)
	Finish(account string)
}

// fifo is the baseline: first in, first out.
type fifo struct {
	waiting []fuchsiaspoke.Generation
}

func (f *fifo) Push(_ time.Duration, g fuchsiaspoke.Generation) bool {
	f.waiting = append(f.waiting, g)
	return true
}

func (f *fifo) Pop(time.Duration, func(fuchsiaspoke.Generation) int) (fuchsiaspoke.Generation, bool) {
	if len(f.waiting) == 0 {
		return fuchsiaspoke.Generation{}, false
	}
	g := f.waiting[0]
	f.waiting = f.waiting[1:]
	return g, true
}

func (*fifo) Charge(string, int64) {}
func (*fifo) Finish(string)        {}

// arrival is one request of the simulated traffic.
type arrival struct {
	at time.Duration
	g  fuchsiaspoke.Generation
}

// generateArrivals returns the accounts' requests in order of arrival. A fair share is a fifth of the engine's
// capacity: each small account sends half of its share in short prompts. The heavy account sends five times its share
// in long prompts, which delay the small accounts' requests in a FIFO queue.
func generateArrivals(r *rand.Rand, accounts []string) []arrival {
	var arrivals []arrival
	id := 0
	for _, name := range accounts {
		meanInterval, prompt, output := 1300*time.Millisecond, int64(150), int64(80)
		if name == heavyAccount {
			meanInterval, prompt, output = 480*time.Millisecond, 2000, 240
		}
		for at := time.Duration(0); at < simulatedTime; at += time.Duration(r.ExpFloat64() * float64(meanInterval)) {
			id++
			g := generation(id, name, 1, prompt/2+r.Int64N(prompt), output/2+r.Int64N(output))
			arrivals = append(arrivals, arrival{at, g})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals
}

// simulate runs an engine with continuous batching and returns each account's queueing delays and the batch
// utilization.
func simulate(q scheduler, arrivals []arrival) (waits map[string][]time.Duration, utilization float64) {
	type running struct {
		g               fuchsiaspoke.Generation
		remainingTokens int64
	}
	waits = make(map[string][]time.Duration)
	arrived := make(map[string]time.Duration)
	var active []running
	var now, busy time.Duration
	for now < simulatedTime {
		for len(arrivals) > 0 && arrivals[0].at <= now {
			q.Push(arrivals[0].at, arrivals[0].g)
			arrived[arrivals[0].g.RequestID] = arrivals[0].at
			arrivals = arrivals[1:]
		}
		for len(active) < batchSize {
			g, ok := q.Pop(now, runnable)
			if !ok {
				break
			}
			waits[g.Account] = append(waits[g.Account], now-arrived[g.RequestID])
			now += time.Duration(float64(g.PromptTokens) / prefillRate * float64(time.Second))
			active = append(active, running{g, g.MaxOutputTokens})
		}
		now += decodeStep
		busy += time.Duration(len(active)) * decodeStep
		unfinished := active[:0]
		for _, r := range active {
			q.Charge(r.g.Account, 1)
			if r.remainingTokens--; r.remainingTokens > 0 {
				unfinished = append(unfinished, r)
				continue
			}
			q.Finish(r.g.Account)
		}
		active = unfinished
	}
	return waits, busy.Seconds() / simulatedTime.Seconds() / batchSize
}

// worstP99 returns the largest p99 wait of the accounts that stay within their share.
func worstP99(waits map[string][]time.Duration) time.Duration {
	var worst time.Duration
	for name, accountWaits := range waits {
		if name == heavyAccount {
			continue
		}
		slices.Sort(accountWaits)
		worst = max(worst, accountWaits[len(accountWaits)*99/100])
	}
	return worst
}

// TestP99WaitOfWorstServedAccountStaysWithinBound measures the p99 wait of the worst-served account while another
// account sends five times its share.
func TestP99WaitOfWorstServedAccountStaysWithinBound(t *testing.T) {
	smallAccounts := []string{"a", "b", "c", "d"}
	newRand := func() *rand.Rand { return rand.New(rand.NewPCG(uint64(*seed), 4)) }
	alone, _ := simulate(&queuer.Queuer{}, generateArrivals(newRand(), smallAccounts[:1]))
	measureFair := func(headroomPlaces int) string {
		q := &queuer.Queuer{Batch: batchSize, Headroom: headroomPlaces, OnViolation: func(detail string) { t.Fatal(detail) }}
		waits, utilization := simulate(q, generateArrivals(newRand(), append([]string{heavyAccount}, smallAccounts...)))
		wait := worstP99(waits)
		if headroomPlaces == headroom && wait > maxP99Wait {
			t.Errorf("worst p99 wait %v, bound %v", wait, maxP99Wait)
		}
		return fmt.Sprintf("p99 %v, batch %.0f%% full, %d requests of the heavy account served", wait.Round(time.Millisecond), 100*utilization, len(waits[heavyAccount]))
	}
	waits, utilization := simulate(&fifo{}, generateArrivals(newRand(), append([]string{heavyAccount}, smallAccounts...)))
	t.Logf("alone: p99 %v", worstP99(alone).Round(time.Millisecond))
	t.Logf("FIFO: p99 %v, batch %.0f%% full, %d requests of the heavy account served", worstP99(waits).Round(time.Millisecond), 100*utilization, len(waits[heavyAccount]))
	for _, headroomPlaces := range []int{0, 2, headroom, 4} {
		t.Logf("fair, headroom %d of %d: %s", headroomPlaces, batchSize, measureFair(headroomPlaces))
	}
}
