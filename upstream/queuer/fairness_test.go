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
	batch       = 16
	decodeStep  = 20 * time.Millisecond
	prefillRate = 20000.0 // tokens per second
	simulated   = 10 * time.Minute
	heavy       = "heavy"
	// headroom is what the dispatcher sets for such a batch.
	headroom = batch / 5
	// worstWait is the bound on the worst-served account's p99 wait.
	worstWait = 1500 * time.Millisecond
)

// queue is what the simulated engine is fed from.
type queue interface {
	Push(now time.Duration, g fuchsiaspoke.Generation) bool
	Pop(now time.Duration, fits func(fuchsiaspoke.Generation) int) (fuchsiaspoke.Generation, bool)
	Charge(account string, tokens int64)
	Finish(account string)
}

// fifo is the baseline: first come, first served.
type fifo struct {
	all []fuchsiaspoke.Generation
}

func (f *fifo) Push(_ time.Duration, g fuchsiaspoke.Generation) bool {
	f.all = append(f.all, g)
	return true
}

func (f *fifo) Pop(time.Duration, func(fuchsiaspoke.Generation) int) (fuchsiaspoke.Generation, bool) {
	if len(f.all) == 0 {
		return fuchsiaspoke.Generation{}, false
	}
	g := f.all[0]
	f.all = f.all[1:]
	return g, true
}

func (*fifo) Charge(string, int64) {}
func (*fifo) Finish(string)        {}

// arrival is one request of the simulated traffic.
type arrival struct {
	at time.Duration
	g  fuchsiaspoke.Generation
}

// traffic is the accounts' requests: half a fifth of the engine for each but the heavy one, which sends five times a
// fifth in long prompts that come before the others' short ones.
func traffic(r *rand.Rand, accounts []string) []arrival {
	var all []arrival
	id := 0
	for _, name := range accounts {
		every, prompt, output := 1300*time.Millisecond, int64(150), int64(80)
		if name == heavy {
			every, prompt, output = 480*time.Millisecond, 2000, 240
		}
		for at := time.Duration(0); at < simulated; at += time.Duration(r.ExpFloat64() * float64(every)) {
			id++
			g := generation(id, name, 1, prompt/2+r.Int64N(prompt), output/2+r.Int64N(output))
			all = append(all, arrival{at, g})
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// simulate runs a continuously batching engine and returns each account's waits before sending and its busy share.
func simulate(q queue, all []arrival) (waits map[string][]time.Duration, utilisation float64) {
	type running struct {
		g    fuchsiaspoke.Generation
		left int64
	}
	waits = make(map[string][]time.Duration)
	arrived := make(map[string]time.Duration)
	var active []running
	var now, busy time.Duration
	for now < simulated {
		for len(all) > 0 && all[0].at <= now {
			q.Push(all[0].at, all[0].g)
			arrived[all[0].g.RequestID] = all[0].at
			all = all[1:]
		}
		for len(active) < batch {
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
		kept := active[:0]
		for _, r := range active {
			q.Charge(r.g.Account, 1)
			if r.left--; r.left > 0 {
				kept = append(kept, r)
				continue
			}
			q.Finish(r.g.Account)
		}
		active = kept
	}
	return waits, busy.Seconds() / simulated.Seconds() / batch
}

// worst returns the largest p99 wait over the accounts that stay within their share.
func worst(waits map[string][]time.Duration) time.Duration {
	var out time.Duration
	for name, all := range waits {
		if name == heavy {
			continue
		}
		slices.Sort(all)
		out = max(out, all[len(all)*99/100])
	}
	return out
}

// TestWorstServedAccount measures the p99 wait of the worst-served account beside one at five times its share.
func TestWorstServedAccount(t *testing.T) {
	small := []string{"a", "b", "c", "d"}
	r := func() *rand.Rand { return rand.New(rand.NewPCG(uint64(*seed), 4)) }
	alone, _ := simulate(&queuer.Queuer{}, traffic(r(), small[:1]))
	fair := func(places int) string {
		q := &queuer.Queuer{Batch: batch, Headroom: places, Violated: func(detail string) { t.Fatal(detail) }}
		waits, busy := simulate(q, traffic(r(), append([]string{heavy}, small...)))
		wait := worst(waits)
		if places == headroom && wait > worstWait {
			t.Errorf("worst p99 wait %v, bound %v", wait, worstWait)
		}
		return fmt.Sprintf("p99 %v, batch %.0f%% full, heavy served %d", wait.Round(time.Millisecond), 100*busy, len(waits[heavy]))
	}
	waits, busy := simulate(&fifo{}, traffic(r(), append([]string{heavy}, small...)))
	t.Logf("alone: p99 %v", worst(alone).Round(time.Millisecond))
	t.Logf("FIFO: p99 %v, batch %.0f%% full, heavy served %d", worst(waits).Round(time.Millisecond), 100*busy, len(waits[heavy]))
	for _, places := range []int{0, 2, headroom, 4} {
		t.Logf("fair, headroom %d of %d: %s", places, batch, fair(places))
	}
}
