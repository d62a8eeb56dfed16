package proof

import (
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/engine"
)

// use is what one run took at an engine, counted when it started.
type use struct {
	at     time.Time
	tokens float64
}

// overshoot is the most by which any window's use exceeds burst and rate, in tokens; it is zero or less where the promise holds.
func overshoot(uses []use, account fuchsiaspoke.ClientAccount) float64 {
	slices.SortFunc(uses, func(a, b use) int { return a.at.Compare(b.at) })
	worst, level := 0.0, 0.0
	for i, u := range uses {
		if i > 0 {
			level = max(level-account.RateTokensPerSecond*u.at.Sub(uses[i-1].at).Seconds(), 0)
		}
		level += u.tokens
		worst = max(worst, level-account.BurstTokens)
	}
	return worst
}

func (f *fleet) uses() []use {
	var uses []use
	for _, e := range f.world.Engines {
		for _, r := range e.Records() {
			if r.Kind == "run" {
				uses = append(uses, use{at: r.Arrived, tokens: float64(r.PromptTokens + r.OutputTokens)})
			}
		}
	}
	return uses
}

// flood sends requests of one client account at all VMs from the given number of callers until stopped.
func (f *fleet) flood(account string, callers int, tokens int, stop chan struct{}) (wait func() (answered, refused, failed int64)) {
	var wg sync.WaitGroup
	var answered, refused, failed atomic.Int64
	for caller := range callers {
		random := rand.New(rand.NewSource(*seed*1000 + int64(caller)))
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				m := f.vms[random.Intn(len(f.vms))]
				got := m.postBy(shortClient, "/v1/completions", account, completion(fmt.Sprintf("guide_%d", random.Intn(6)), tokens))
				switch got.status {
				case http.StatusOK:
					answered.Add(1)
				case http.StatusTooManyRequests:
					refused.Add(1)
					time.Sleep(50 * time.Millisecond)
				default:
					failed.Add(1)
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	return func() (int64, int64, int64) {
		wg.Wait()
		return answered.Load(), refused.Load(), failed.Load()
	}
}

// TestRateAndBurstHoldOverAllVMs sends several times an account's rate while VMs are killed, suspended and cut off.
func TestRateAndBurstHoldOverAllVMs(t *testing.T) {
	account := fuchsiaspoke.ClientAccount{Name: "newcomers", RateTokensPerSecond: 300, BurstTokens: 600}
	f := newFleet(t, shape{
		vms: 5, engines: 3, accounts: []fuchsiaspoke.ClientAccount{account},
		engine: func(int) *engine.Engine { return &engine.Engine{} },
	})
	stop := make(chan struct{})
	wait := f.flood(account.Name, 24, 20, stop)
	f.disturb(rand.New(rand.NewSource(*seed)), time.Duration(*seconds)*time.Second)
	close(stop)
	answered, refused, failed := wait()
	uses := f.uses()
	worst := overshoot(uses, account)
	t.Logf("seed %d: %d answered, %d refused for the rate, %d otherwise, %d runs, overshoot %.1f tokens", *seed, answered, refused, failed, len(uses), worst)
	if worst > 0 {
		t.Errorf("overshoot of %.1f tokens", worst)
	}
	f.checkEngines()
	f.checkNoWriteAndNoKey()
}
