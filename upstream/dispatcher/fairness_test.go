package dispatcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	overloadingAccount = "heavy"
	trafficDuration    = time.Minute
	// maxFirstChunkP99 bounds the p99 time to the first chunk of every client account except the overloading one.
	maxFirstChunkP99 = 4 * time.Second
)

// rateLimitedPermits grants one permit per interval.
type rateLimitedPermits struct {
	mu       sync.Mutex
	next     time.Time
	interval time.Duration
}

func (p *rateLimitedPermits) Acquire(ctx context.Context, _ string) (func(bool), error) {
	p.mu.Lock()
	p.next = p.next.Add(max(p.interval, time.Since(p.next)))
	wait := time.Until(p.next)
	p.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(wait):
		return func(bool) {}, nil
	}
}

// trafficResult holds the measurements of one traffic run.
type trafficResult struct {
	mu              sync.Mutex
	firstChunkWaits map[string][]time.Duration
	loads           int
	outputTokens    int64
}

func (s *trafficResult) add(account string, wait time.Duration, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstChunkWaits[account] = append(s.firstChunkWaits[account], wait)
	s.outputTokens += tokens
}

// worstP99 returns the largest p99 of the client accounts that stay within their share.
func (s *trafficResult) worstP99() time.Duration {
	var out time.Duration
	for name, waits := range s.firstChunkWaits {
		if name != overloadingAccount {
			slices.Sort(waits)
			out = max(out, waits[len(waits)*99/100])
		}
	}
	return out
}

// runTraffic runs traffic through a dispatcher in virtual time; singleQueue submits all requests under one client account.
func runTraffic(t *testing.T, accounts []string, singleQueue bool) *trafficResult {
	out := &trafficResult{firstChunkWaits: make(map[string][]time.Duration)}
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(8, 16)
		e.tokenTime = 20 * time.Millisecond
		e.loadTime = 250 * time.Millisecond
		f := startDispatcher(t, e, 1, func(f *fixture) { f.Permits = &rateLimitedPermits{next: time.Now(), interval: time.Second / 3} })
		var wg sync.WaitGroup
		for i, account := range accounts {
			r := rand.New(rand.NewPCG(uint64(*seed), uint64(i)))
			wg.Go(func() { sendTraffic(f, out, r, i, account, singleQueue) })
		}
		wg.Wait()
		expectNoViolations(t, e)
		_, out.loads, _ = e.observed()
		f.cancel()
		<-f.Done()
	})
	return out
}

// sendTraffic submits one client account's requests at its rate and waits until all have ended.
func sendTraffic(f *fixture, out *trafficResult, r *rand.Rand, number int, account string, singleQueue bool) {
	meanInterval, tokens := 1500*time.Millisecond, int64(60)
	if account == overloadingAccount {
		meanInterval, tokens = 300*time.Millisecond, 240
	}
	var wg sync.WaitGroup
	end := time.Now().Add(trafficDuration)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(meanInterval)))
		g := request(fmt.Sprint(account, n), account, 10*number+min(9, int(r.ExpFloat64()*1.5)), tokens/2+r.Int64N(tokens))
		g.MaxWait = time.Hour
		if singleQueue {
			g.Account = "all"
		}
		wg.Go(func() {
			submittedAt, untilFirstChunk := time.Now(), time.Duration(0)
			err := f.Submit(context.Background(), g, func(fuchsiaspoke.Chunk) error {
				if untilFirstChunk == 0 {
					untilFirstChunk = time.Since(submittedAt)
				}
				return nil
			})
			if err == nil {
				out.add(account, untilFirstChunk, g.MaxOutputTokens)
			}
		})
	}
	wg.Wait()
}

// TestFairQueueBoundsWaitBesideOverloadingAccount runs a whole dispatcher with adapters, one client account at five times its
// share and four small ones, and bounds the p99 time to the first chunk of the small ones.
func TestFairQueueBoundsWaitBesideOverloadingAccount(t *testing.T) {
	small := []string{"a", "b", "c", "d"}
	all := append(slices.Clone(small), overloadingAccount)
	alone, fifo, fair := runTraffic(t, small[:1], false), runTraffic(t, all, true), runTraffic(t, all, false)
	for _, run := range []struct {
		name string
		*trafficResult
	}{{"alone", alone}, {"one queue", fifo}, {"fair", fair}} {
		t.Logf("seed %d, %s: worst p99 %v, %d loads, %d tokens", *seed, run.name, run.worstP99().Round(time.Millisecond), run.loads, run.outputTokens)
	}
	if fair.worstP99() > maxFirstChunkP99 || fair.worstP99() > fifo.worstP99()/4 {
		t.Errorf("worst p99 time to the first chunk %v", fair.worstP99())
	}
}
