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

// recoverWithin is how soon requests inside the rate are answered again after a VM died.
const recoverWithin = 5 * time.Second

// arrival is one request of an open load, with the time for which it was meant.
type arrival struct {
	meant time.Time
	took  time.Duration
	got   answer
}

// openLoad sends requests at the given mean rate a second, whether or not earlier ones were answered, until stopped.
func (f *fleet) openLoad(account string, perSecond float64, tokens int, up func() []*machine, stop chan struct{}) func() []arrival {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []arrival
	random := rand.New(rand.NewSource(*seed))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		meant := time.Now()
		for {
			meant = meant.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			select {
			case <-stop:
				return
			case <-time.After(time.Until(meant)):
			}
			vms := up()
			m := vms[random.Intn(len(vms))]
			sent := meant
			wg.Go(func() {
				got := m.postBy(client, "/v1/completions", account, completion("guide_1", tokens))
				mu.Lock()
				defer mu.Unlock()
				all = append(all, arrival{meant: sent, took: time.Since(sent), got: got})
			})
		}
	}()
	return func() []arrival {
		<-ended
		wg.Wait()
		return all
	}
}

// TestNoWrongfulRefusals keeps an account at six tenths of its rate and kills the VM that holds the account's lease.
func TestNoWrongfulRefusals(t *testing.T) {
	account := fuchsiaspoke.ClientAccount{Name: "newcomers", RateTokensPerSecond: 1000, BurstTokens: 3000}
	f := newFleet(t, shape{vms: 5, engines: 4, accounts: []fuchsiaspoke.ClientAccount{account}})
	var mu sync.Mutex
	up := append([]*machine(nil), f.vms...)
	stop := make(chan struct{})
	// Each request takes 5 prompt and 20 output tokens at the engine.
	wait := f.openLoad(account.Name, 0.6*account.RateTokensPerSecond/25, 20, func() []*machine {
		mu.Lock()
		defer mu.Unlock()
		return up
	}, stop)
	time.Sleep(5 * time.Second)
	holder := f.leases()["account/newcomers"]
	mu.Lock()
	up = nil
	for _, m := range f.vms {
		if m.vm.ID != holder {
			up = append(up, m)
		}
	}
	killed := time.Now()
	mu.Unlock()
	for _, m := range f.vms {
		if m.vm.ID == holder {
			f.signal(m, syscall.SIGKILL)
		}
	}
	time.Sleep(recoverWithin + 5*time.Second)
	close(stop)
	before, during, after, slowest := 0, 0, 0, time.Duration(0)
	all := wait()
	for _, a := range all {
		if a.got.status == http.StatusOK {
			if a.meant.Before(killed.Add(-time.Second)) {
				slowest = max(slowest, a.took)
			}
			continue
		}
		switch {
		case a.meant.Before(killed.Add(-time.Second)):
			before++
			t.Errorf("refused with all VMs up: %d %s %v", a.got.status, a.got.body, a.got.err)
		case a.meant.Before(killed.Add(recoverWithin)):
			during++
		default:
			after++
			t.Errorf("refused %v after the VM died: %d %s %v", a.meant.Sub(killed), a.got.status, a.got.body, a.got.err)
		}
	}
	t.Logf("seed %d: %d requests; refused with all VMs up %d, within %v of the death %d, later %d; slowest with all VMs up %v", *seed, len(all), before, recoverWithin, during, after, slowest)
	if worst := overshoot(f.uses(), account); worst > 0 {
		t.Errorf("overshoot of %.1f tokens", worst)
	}
}
