package proof

import (
	"math/rand"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/standin/engine"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/fault"
)

// TestGenerationsRefusedAsNotRunNeverRun overloads slow engines while VMs are suspended, resumed and partitioned, and engines go down
// and restart. The callers wait up to 60 s for an answer, so that late answers are checked too.
func TestGenerationsRefusedAsNotRunNeverRun(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 5, engines: 3, engine: func(i int) *engine.Engine {
		return &engine.Engine{Slots: 4, Batch: 4, StepBase: 15 * time.Millisecond, ChecksFence: i == 0}
	}})
	callers := f.startGenerations(defaultClient, 80, 5, 40)
	random := rand.New(rand.NewSource(*seed))
	suspendRandom := rand.New(rand.NewSource(random.Int63()))
	stop := make(chan struct{})
	var suspensions sync.WaitGroup
	suspensions.Go(func() { f.suspendEngineHolders(suspendRandom, stop) })
	f.injectEngineAndLinkFaults(random, time.Duration(*seconds)*time.Second)
	close(stop)
	suspensions.Wait()
	results := callers.stopAndWait()
	time.Sleep(3 * time.Second)
	f.checkAnswers(results)
	if f.checkNotRun(results) == 0 {
		t.Error("no request was refused as not run; the test proves nothing")
	}
	f.checkNoEngineViolation()
	f.checkNoPlatformWriteAndNoLeakedKey()
}

// suspendEngineHolders suspends one engine lease holder after another for 0.3 to 4.5 s, which is shorter or longer than a lease,
// until stopped.
func (f *fleet) suspendEngineHolders(random *rand.Rand, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(randomMillis(random, 500, 1500)):
		}
		proc := f.pickEngineHolder(random)
		f.signalVM(proc, syscall.SIGSTOP)
		time.Sleep(randomMillis(random, 300, 4500))
		f.signalVM(proc, syscall.SIGCONT)
	}
}

// injectEngineAndLinkFaults partitions VMs, and makes engines answer 503, restart before they have sent a first token, or stall open
// connections and truncate streams.
func (f *fleet) injectEngineAndLinkFaults(random *rand.Rand, duration time.Duration) {
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		e := f.standIns.Engines[random.Intn(len(f.standIns.Engines))]
		switch random.Intn(4) {
		case 0:
			f.links.setPartitioned(f.vms[:2], f.vms[2:], true)
			time.Sleep(randomMillis(random, 300, 2500))
			f.links.setPartitioned(f.vms[:2], f.vms[2:], false)
		case 1:
			e.SetFault(fault.Fault{Down: true})
		case 2:
			// Delays first tokens, so that the restart ends runs of which no VM has received a token.
			e.SetFault(fault.Fault{DelayMillis: 300})
			time.Sleep(randomMillis(random, 300, 600))
			e.SetFault(fault.Fault{Restart: true})
		case 3:
			e.SetFault(fault.Fault{StallConnections: true, TruncateAfter: int64(random.Intn(6))})
		}
		time.Sleep(randomMillis(random, 100, 400))
		e.SetFault(fault.Fault{})
		time.Sleep(randomMillis(random, 300, 900))
	}
}

// killVM kills the VM's process and waits until it has exited.
func (f *fleet) killVM(proc *vmProcess) {
	f.signalVM(proc, syscall.SIGKILL)
	if err := <-proc.exited; err == nil {
		f.t.Errorf("%s exited without an error after SIGKILL", proc.vm.ID)
	}
}
