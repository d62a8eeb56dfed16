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

// tokenUse is the prompt and output tokens of one run, counted at the request's arrival at the engine.
type tokenUse struct {
	arrivedAt time.Time
	tokens    float64
}

// overshoot returns the largest number of tokens by which use in any time window exceeds the account's burst plus its rate over the
// window, or 0 if the limit holds.
func overshoot(uses []tokenUse, account fuchsiaspoke.ClientAccount) float64 {
	slices.SortFunc(uses, func(a, b tokenUse) int { return a.arrivedAt.Compare(b.arrivedAt) })
	maxExcess, bucketLevel := 0.0, 0.0
	for i, use := range uses {
		if i > 0 {
			bucketLevel = max(bucketLevel-account.RateTokensPerSecond*use.arrivedAt.Sub(uses[i-1].arrivedAt).Seconds(), 0)
		}
		bucketLevel += use.tokens
		maxExcess = max(maxExcess, bucketLevel-account.BurstTokens)
	}
	return maxExcess
}

func (f *fleet) tokenUses() []tokenUse {
	var tokenUses []tokenUse
	for _, e := range f.standIns.Engines {
		for _, r := range e.Records() {
			if r.Kind == "run" {
				tokenUses = append(tokenUses, tokenUse{arrivedAt: r.Arrived, tokens: float64(r.PromptTokens + r.OutputTokens)})
			}
		}
	}
	return tokenUses
}

// startFlood starts callers that send requests of one client account to random VMs until stopped.
func (f *fleet) startFlood(account string, callers int, maxTokens int, stop chan struct{}) (wait func() (answered, refused, failed int64)) {
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
				proc := f.vms[random.Intn(len(f.vms))]
				got := proc.postWith(shortClient, "/v1/completions", account, completionBody(fmt.Sprintf("guide_%d", random.Intn(6)), maxTokens))
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

// TestRateAndBurstHoldAcrossAllVMsUnderFailure sends several times the rate of a client account while VMs are killed, suspended and
// partitioned.
func TestRateAndBurstHoldAcrossAllVMsUnderFailure(t *testing.T) {
	account := fuchsiaspoke.ClientAccount{Name: "newcomers", RateTokensPerSecond: 300, BurstTokens: 600}
	f := newFleet(t, fleetConfig{
		vms: 5, engines: 3, accounts: []fuchsiaspoke.ClientAccount{account},
		engine: func(int) *engine.Engine { return &engine.Engine{} },
	})
	stop := make(chan struct{})
	wait := f.startFlood(account.Name, 24, 20, stop)
	f.injectFaults(rand.New(rand.NewSource(*seed)), time.Duration(*seconds)*time.Second)
	close(stop)
	answered, refused, failed := wait()
	tokenUses := f.tokenUses()
	worst := overshoot(tokenUses, account)
	t.Logf("seed %d: %d requests answered, %d refused with status 429, %d failed otherwise, %d runs, overshoot %.1f tokens", *seed, answered, refused, failed, len(tokenUses), worst)
	if worst > 0 {
		t.Errorf("the client account exceeded its rate and burst by %.1f tokens", worst)
	}
	f.checkNoEngineViolation()
	f.checkNoPlatformWriteAndNoLeakedKey()
}
