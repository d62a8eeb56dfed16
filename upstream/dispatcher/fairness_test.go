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
	heavyAccount = "heavy"
	trafficTime  = time.Minute
	// worstWait is the bound on the worst-served account's p99 time to the first chunk.
	worstWait = 4 * time.Second
)

// ratedPermits is a budget of loads for each second.
type ratedPermits struct {
	mu    sync.Mutex
	next  time.Time
	every time.Duration
}

func (p *ratedPermits) Acquire(ctx context.Context, _ string) (func(bool), error) {
	p.mu.Lock()
	p.next = p.next.Add(max(p.every, time.Since(p.next)))
	wait := time.Until(p.next)
	p.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(wait):
		return func(bool) {}, nil
	}
}

// served is what one run of traffic measured.
type served struct {
	mu       sync.Mutex
	waits    map[string][]time.Duration
	loads    int
	generate int64
}

func (s *served) add(account string, wait time.Duration, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits[account] = append(s.waits[account], wait)
	s.generate += tokens
}

// worst is the largest p99 over the accounts that stay within their share.
func (s *served) worst() time.Duration {
	var out time.Duration
	for name, all := range s.waits {
		if name != heavyAccount {
			slices.Sort(all)
			out = max(out, all[len(all)*99/100])
		}
	}
	return out
}

// serve runs traffic through a dispatcher in virtual time; where merged is set, all accounts queue as one.
func serve(t *testing.T, accounts []string, merged bool) *served {
	out := &served{waits: make(map[string][]time.Duration)}
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(8, 16)
		e.tokenTime = 20 * time.Millisecond
		e.loadTime = 250 * time.Millisecond
		f := start(t, e, 1, func(f *fixture) { f.Permits = &ratedPermits{next: time.Now(), every: time.Second / 3} })
		var wg sync.WaitGroup
		for i, account := range accounts {
			r := rand.New(rand.NewPCG(uint64(*seed), uint64(i)))
			wg.Go(func() { sendTraffic(f, out, r, i, account, merged) })
		}
		wg.Wait()
		noFaults(t, e)
		_, out.loads, _ = e.seen()
		f.cancel()
		<-f.Done()
	})
	return out
}

// sendTraffic sends one account's requests at its rate and waits for their ends.
func sendTraffic(f *fixture, out *served, r *rand.Rand, number int, account string, merged bool) {
	every, tokens := 1500*time.Millisecond, int64(60)
	if account == heavyAccount {
		every, tokens = 300*time.Millisecond, 240
	}
	var wg sync.WaitGroup
	end := time.Now().Add(trafficTime)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(every)))
		g := request(fmt.Sprint(account, n), account, 10*number+min(9, int(r.ExpFloat64()*1.5)), tokens/2+r.Int64N(tokens))
		g.Patience = time.Hour
		if merged {
			g.Account = "all"
		}
		wg.Go(func() {
			asked, first := time.Now(), time.Duration(0)
			err := f.Submit(context.Background(), g, func(fuchsiaspoke.Chunk) error {
				if first == 0 {
					first = time.Since(asked)
				}
				return nil
			})
			if err == nil {
				out.add(account, first, g.MaxOutputTokens)
			}
		})
	}
	wg.Wait()
}

// TestWorstServedAccount measures the whole duty with adapters: one account at five times its share beside four small ones.
func TestWorstServedAccount(t *testing.T) {
	small := []string{"a", "b", "c", "d"}
	all := append(slices.Clone(small), heavyAccount)
	alone, fifo, fair := serve(t, small[:1], false), serve(t, all, true), serve(t, all, false)
	for _, run := range []struct {
		name string
		*served
	}{{"alone", alone}, {"one queue", fifo}, {"fair", fair}} {
		t.Logf("seed %d, %s: worst p99 %v, %d loads, %d tokens", *seed, run.name, run.worst().Round(time.Millisecond), run.loads, run.generate)
	}
	if fair.worst() > worstWait || fair.worst() > fifo.worst()/4 {
		t.Errorf("worst p99 %v", fair.worst())
	}
}
