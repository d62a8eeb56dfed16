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
	// shutdownInterval is the time between two SIGTERMs.
	shutdownInterval = 4 * time.Second
	// shutdownTimeout is how long a VM may take to exit after SIGTERM.
	shutdownTimeout = 30 * time.Second
)

// TestGracefulShutdownsInterruptNoRequest replaces every VM of a fleet while callers use cached entry addresses.
func TestGracefulShutdownsInterruptNoRequest(t *testing.T) {
	account := fuchsiaspoke.ClientAccount{Name: "newcomers", RateTokensPerSecond: 800, BurstTokens: 1600}
	f := newFleet(t, fleetConfig{
		vms: 3, engines: 3, services: 2, accounts: []fuchsiaspoke.ClientAccount{account},
		engine: func(int) *engine.Engine { return &engine.Engine{StepBase: 25 * time.Millisecond} },
	})
	stop := make(chan struct{})
	var callers sync.WaitGroup
	outcomes := &callerOutcomes{complete: map[string]int{}}
	for n := range 9 {
		c := newEntryCaller(*seed*1000+int64(n), []string{f.vms[n%3].vm.CallerAddress})
		callers.Go(func() { c.run(n, stop, outcomes) })
	}
	oldVMs := append([]*vmProcess(nil), f.vms...)
	f.replaceVMs(oldVMs)
	time.Sleep(2 * time.Second)
	close(stop)
	callers.Wait()
	f.checkShutdowns(outcomes)
	if worst := overshoot(f.tokenUses(), account); worst > 0 {
		t.Errorf("the client account exceeded its rate and burst by %.1f tokens", worst)
	}
}

// replaceVMs starts a replacement for each old VM, then sends SIGTERM to the old ones at intervals.
func (f *fleet) replaceVMs(oldVMs []*vmProcess) {
	f.t.Helper()
	var newVMs []*vmProcess
	for i, proc := range oldVMs {
		newVMs = append(newVMs, f.startReplacement(proc, fmt.Sprintf("vm_%d", len(oldVMs)+i)))
	}
	for _, proc := range newVMs {
		f.awaitReady(proc)
	}
	var mu sync.Mutex
	var shutdowns sync.WaitGroup
	for _, proc := range oldVMs {
		f.signalVM(proc, syscall.SIGTERM)
		signalledAt := time.Now()
		shutdowns.Go(func() {
			select {
			case err := <-proc.exited:
				proc.exited <- err
				f.t.Logf("%s exited %v after SIGTERM", proc.vm.ID, time.Since(signalledAt).Round(100*time.Millisecond))
				if err != nil {
					f.t.Errorf("%s exited with %v after SIGTERM; end of its log:\n%s", proc.vm.ID, err, lastBytes(proc.log.String(), 4000))
				}
			case <-time.After(shutdownTimeout):
				f.t.Errorf("%s did not exit within %v after SIGTERM", proc.vm.ID, shutdownTimeout)
			}
			mu.Lock()
			defer mu.Unlock()
			f.removeVM(proc)
		})
		time.Sleep(shutdownInterval)
	}
	shutdowns.Wait()
	for _, proc := range newVMs {
		f.awaitReady(proc)
	}
}

func (f *fleet) checkShutdowns(outcomes *callerOutcomes) {
	f.t.Helper()
	f.t.Logf("seed %d: complete responses %v, %d incomplete or refused", *seed, outcomes.complete, len(outcomes.failures))
	for i, failure := range outcomes.failures {
		if i < 10 {
			f.t.Error(failure)
		}
	}
	if len(outcomes.failures) > 10 {
		f.t.Errorf("and %d more incomplete or refused responses", len(outcomes.failures)-10)
	}
	runCounts := map[string]int{}
	for _, r := range f.runs() {
		runCounts[r.BodyHash]++
	}
	for _, body := range outcomes.paymentBodies {
		if n := runCounts[sha256Hex(body)]; n != 1 {
			f.t.Errorf("payment %s ran %d times, want 1", body, n)
		}
	}
	for _, kind := range []string{"stream", "answer", "payment"} {
		if outcomes.complete[kind] == 0 {
			f.t.Errorf("no response of kind %s was complete", kind)
		}
	}
	f.checkNoEngineViolation()
	f.checkNoPlatformWriteAndNoLeakedKey()
}
