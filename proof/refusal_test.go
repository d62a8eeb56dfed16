package proof

import (
	"math/rand"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// recoveryLimit is how long requests within the rate may fail after a VM is killed.
const recoveryLimit = 5 * time.Second

// openLoadResult is one request of an open load; its latency is measured from its scheduled time.
type openLoadResult struct {
	scheduledAt time.Time
	latency     time.Duration
	got         response
}

// startOpenLoad sends requests at the given mean rate, with exponentially distributed intervals and without waiting for earlier
// answers, until stopped.
func (f *fleet) startOpenLoad(account string, requestsPerSecond float64, maxTokens int, liveVMs func() []*vmProcess, stop chan struct{}) func() []openLoadResult {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var results []openLoadResult
	random := rand.New(rand.NewSource(*seed))
	sendingDone := make(chan struct{})
	go func() {
		defer close(sendingDone)
		scheduledAt := time.Now()
		for {
			scheduledAt = scheduledAt.Add(time.Duration(random.ExpFloat64() / requestsPerSecond * float64(time.Second)))
			select {
			case <-stop:
				return
			case <-time.After(time.Until(scheduledAt)):
			}
			vms := liveVMs()
			proc := vms[random.Intn(len(vms))]
			requestTime := scheduledAt
			wg.Go(func() {
				got := proc.postWith(defaultClient, "/v1/completions", account, completionBody("guide_1", maxTokens))
				mu.Lock()
				defer mu.Unlock()
				results = append(results, openLoadResult{scheduledAt: requestTime, latency: time.Since(requestTime), got: got})
			})
		}
	}()
	return func() []openLoadResult {
		<-sendingDone
		wg.Wait()
		return results
	}
}

// TestRequestsWithinRateAreAnsweredAfterTheLeaseHolderIsKilled keeps a client account at about 58% of its rate and kills the VM that
// holds the account's lease. Requests may fail only from 1 s before the kill until recoveryLimit after it.
func TestRequestsWithinRateAreAnsweredAfterTheLeaseHolderIsKilled(t *testing.T) {
	account := fuchsiaspoke.ClientAccount{Name: "newcomers", RateTokensPerSecond: 1000, BurstTokens: 3000}
	f := newFleet(t, fleetConfig{vms: 5, engines: 4, accounts: []fuchsiaspoke.ClientAccount{account}})
	var mu sync.Mutex
	liveVMs := append([]*vmProcess(nil), f.vms...)
	stop := make(chan struct{})
	// The load is calculated with 25 tokens for each request: at the engine it has 4 prompt and 20 output tokens.
	wait := f.startOpenLoad(account.Name, 0.6*account.RateTokensPerSecond/25, 20, func() []*vmProcess {
		mu.Lock()
		defer mu.Unlock()
		return liveVMs
	}, stop)
	time.Sleep(5 * time.Second)
	holder := f.leaseHolders()["account/newcomers"]
	mu.Lock()
	liveVMs = nil
	for _, proc := range f.vms {
		if proc.vm.ID != holder {
			liveVMs = append(liveVMs, proc)
		}
	}
	killedAt := time.Now()
	mu.Unlock()
	for _, proc := range f.vms {
		if proc.vm.ID == holder {
			f.signalVM(proc, syscall.SIGKILL)
		}
	}
	time.Sleep(recoveryLimit + 5*time.Second)
	close(stop)
	before, during, after, slowest := 0, 0, 0, time.Duration(0)
	results := wait()
	for _, result := range results {
		if result.got.status == http.StatusOK {
			if result.scheduledAt.Before(killedAt.Add(-time.Second)) {
				slowest = max(slowest, result.latency)
			}
			continue
		}
		switch {
		case result.scheduledAt.Before(killedAt.Add(-time.Second)):
			before++
			t.Errorf("request failed with all VMs running: status %d, body %s, error %v", result.got.status, result.got.body, result.got.err)
		case result.scheduledAt.Before(killedAt.Add(recoveryLimit)):
			during++
		default:
			after++
			t.Errorf("request failed %v after the VM was killed: status %d, body %s, error %v", result.scheduledAt.Sub(killedAt), result.got.status, result.got.body, result.got.err)
		}
	}
	t.Logf("seed %d: %d requests; failed with all VMs running: %d, within %v of the kill: %d, later: %d; slowest with all VMs running: %v", *seed, len(results), before, recoveryLimit, during, after, slowest)
	if worst := overshoot(f.tokenUses(), account); worst > 0 {
		t.Errorf("the client account exceeded its rate and burst by %.1f tokens", worst)
	}
}
