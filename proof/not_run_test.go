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

// TestNotRunIsTrueOfGenerations overloads slow engines while VMs are suspended, wake up late and are cut off, and engines go
// down and restart; callers wait for their answers as long as it takes.
func TestNotRunIsTrueOfGenerations(t *testing.T) {
	f := newFleet(t, shape{vms: 5, engines: 3, engine: func(i int) *engine.Engine {
		return &engine.Engine{Slots: 4, Batch: 4, StepBase: 15 * time.Millisecond, ChecksFence: i == 0}
	}})
	callers := f.generate(client, 80, 5, 40)
	random := rand.New(rand.NewSource(*seed))
	own := rand.New(rand.NewSource(random.Int63()))
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() { f.suspend(own, stop) })
	f.stumble(random, time.Duration(*seconds)*time.Second)
	close(stop)
	others.Wait()
	all := callers.wait()
	time.Sleep(3 * time.Second)
	f.checkAnswers(all)
	if f.checkNotRun(all) == 0 {
		t.Error("nothing was refused as not run")
	}
	f.checkEngines()
	f.checkNoWriteAndNoKey()
}

// suspend stops one VM after another for about the length of a lease or of a request's patience.
func (f *fleet) suspend(random *rand.Rand, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(between(random, 500, 1500)):
		}
		m := f.engineHolder(random)
		f.signal(m, syscall.SIGSTOP)
		time.Sleep(between(random, 300, 4500))
		f.signal(m, syscall.SIGCONT)
	}
}

// stumble cuts VMs off, and has engines go down, restart before their first tokens are out, and cut their streams.
func (f *fleet) stumble(random *rand.Rand, length time.Duration) {
	until := time.Now().Add(length)
	for time.Now().Before(until) {
		e := f.world.Engines[random.Intn(len(f.world.Engines))]
		switch random.Intn(4) {
		case 0:
			f.links.split(f.vms[:2], f.vms[2:], true)
			time.Sleep(between(random, 300, 2500))
			f.links.split(f.vms[:2], f.vms[2:], false)
		case 1:
			e.SetFault(fault.Fault{Down: true})
		case 2:
			// Late first tokens, so that the restart finds runs of which nobody has heard.
			e.SetFault(fault.Fault{LateMillis: 300})
			time.Sleep(between(random, 300, 600))
			e.SetFault(fault.Fault{Restart: true})
		case 3:
			e.SetFault(fault.Fault{Silence: true, TruncateAfter: int64(random.Intn(6))})
		}
		time.Sleep(between(random, 100, 400))
		e.SetFault(fault.Fault{})
		time.Sleep(between(random, 300, 900))
	}
}

// kill ends the VM's process and waits for its end.
func (f *fleet) kill(m *machine) {
	f.signal(m, syscall.SIGKILL)
	if err := <-m.exited; err == nil {
		f.t.Errorf("%s was killed and ended well", m.vm.ID)
	}
}
