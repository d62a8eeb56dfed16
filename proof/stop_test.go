package proof

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/engine"
)

const (
	// stopStagger is the time between two planned stops.
	stopStagger = 4 * time.Second
	// stopWithin is the grace time of a planned stop.
	stopWithin = 30 * time.Second
)

// TestPlannedStopsCutNoRequest replaces every VM of a fleet while callers keep the addresses they were told.
func TestPlannedStopsCutNoRequest(t *testing.T) {
	account := fuchsiaspoke.ClientAccount{Name: "newcomers", RateTokensPerSecond: 800, BurstTokens: 1600}
	f := newFleet(t, shape{
		vms: 3, engines: 3, services: 2, accounts: []fuchsiaspoke.ClientAccount{account},
		engine: func(int) *engine.Engine { return &engine.Engine{StepBase: 25 * time.Millisecond} },
	})
	stop := make(chan struct{})
	var callers sync.WaitGroup
	told := &tally{whole: map[string]int{}}
	for n := range 9 {
		c := newEntryCaller(*seed*1000+int64(n), []string{f.vms[n%3].vm.CallerAddress})
		callers.Go(func() { c.run(n, stop, told) })
	}
	old := append([]*machine(nil), f.vms...)
	f.replaceAll(old)
	time.Sleep(2 * time.Second)
	close(stop)
	callers.Wait()
	f.checkStops(told)
	if worst := overshoot(f.uses(), account); worst > 0 {
		t.Errorf("overshoot of %.1f tokens", worst)
	}
}

// replaceAll starts a VM for each old one, then stops the old ones one after another.
func (f *fleet) replaceAll(old []*machine) {
	f.t.Helper()
	var fresh []*machine
	for i, m := range old {
		fresh = append(fresh, f.replace(m, fmt.Sprintf("vm_%d", len(old)+i)))
	}
	for _, m := range fresh {
		f.awaitReady(m)
	}
	var mu sync.Mutex
	var stops sync.WaitGroup
	for _, m := range old {
		f.signal(m, syscall.SIGTERM)
		asked := time.Now()
		stops.Go(func() {
			select {
			case err := <-m.exited:
				m.exited <- err
				f.t.Logf("%s ended in %v", m.vm.ID, time.Since(asked).Round(100*time.Millisecond))
				if err != nil {
					f.t.Errorf("%s: %v\n%s", m.vm.ID, err, tail(m.log.String(), 4000))
				}
			case <-time.After(stopWithin):
				f.t.Errorf("%s did not end within %v", m.vm.ID, stopWithin)
			}
			mu.Lock()
			defer mu.Unlock()
			f.drop(m)
		})
		time.Sleep(stopStagger)
	}
	stops.Wait()
	for _, m := range fresh {
		f.awaitReady(m)
	}
}

func (f *fleet) checkStops(told *tally) {
	f.t.Helper()
	f.t.Logf("seed %d: whole answers %v, %d cut or refused", *seed, told.whole, len(told.failures))
	for i, failure := range told.failures {
		if i < 10 {
			f.t.Error(failure)
		}
	}
	if len(told.failures) > 10 {
		f.t.Errorf("and %d more", len(told.failures)-10)
	}
	ran := map[string]int{}
	for _, r := range f.runs() {
		ran[r.BodyHash]++
	}
	for _, body := range told.bodies {
		if n := ran[hash(body)]; n != 1 {
			f.t.Errorf("%s ran %d times", body, n)
		}
	}
	for _, kind := range []string{"stream", "answer", "payment"} {
		if told.whole[kind] == 0 {
			f.t.Errorf("no %s was whole", kind)
		}
	}
	f.checkEngines()
	f.checkNoWriteAndNoKey()
}
