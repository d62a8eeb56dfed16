package proof

import (
	"math/rand"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/engine"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/fault"
)

// staleFor bounds how long a VM that was cut off or suspended may go on with a version that is no longer published.
const staleFor = 8 * time.Second

// versions is when each version of each profile was published.
type versions struct {
	mu sync.Mutex
	at map[int][]time.Time
}

// change publishes a new version of one profile.
func (v *versions) change(f *fleet, adapter int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f.profile[adapter].Adapter.Version++
	v.at[adapter] = append(v.at[adapter], time.Now())
	must(f.t, f.world.PublishProfiles(slices.Clone(f.profile)))
}

// stale is how long a version had been replaced when the request that it answered began.
func (v *versions) stale(adapter, version int, began time.Time) time.Duration {
	if later := v.at[adapter]; version <= len(later) {
		return max(0, began.Sub(later[version-1]))
	}
	return 0
}

// TestAdaptersAreRightAndNeverEvictedInUse has few slots, many adapters and long streams, while profiles change their
// versions, engines start cold, and VMs are killed, cut off, and suspended for longer than a lease.
func TestAdaptersAreRightAndNeverEvictedInUse(t *testing.T) {
	f := newFleet(t, shape{vms: 5, engines: 3, engine: func(i int) *engine.Engine {
		return &engine.Engine{Slots: 2, Batch: 12, StepBase: 100 * time.Millisecond, ChecksFence: i%2 == 0}
	}})
	published := &versions{at: map[int][]time.Time{}}
	callers := f.generate(client, 36, 20, 8)
	stop := make(chan struct{})
	var changes sync.WaitGroup
	random := rand.New(rand.NewSource(*seed))
	own := rand.New(rand.NewSource(random.Int63()))
	changes.Go(func() { f.changeAndRestart(own, published, stop) })
	f.disturbHolders(random, time.Duration(*seconds)*time.Second)
	close(stop)
	changes.Wait()
	all := callers.wait()
	time.Sleep(3 * time.Second)
	f.checkAnswers(all)
	f.checkVersions(all, published)
	f.checkNotRun(all)
	f.checkEngines()
	f.checkNoWriteAndNoKey()
}

// disturbHolders suspends the VMs that hold engines' leases for longer than a lease, kills them, and cuts them off.
func (f *fleet) disturbHolders(random *rand.Rand, length time.Duration) {
	until := time.Now().Add(length)
	for time.Now().Before(until) {
		m := f.engineHolder(random)
		rest := slices.DeleteFunc(slices.Clone(f.vms), func(other *machine) bool { return other == m })
		switch random.Intn(5) {
		case 0:
			f.kill(m)
			time.Sleep(between(random, 100, 900))
			f.start(m)
		case 1:
			f.links.split([]*machine{m}, rest, true)
			time.Sleep(between(random, 3500, 5000))
			f.links.split([]*machine{m}, rest, false)
		default:
			f.signal(m, syscall.SIGSTOP)
			time.Sleep(between(random, 3500, 5000))
			f.signal(m, syscall.SIGCONT)
		}
		time.Sleep(between(random, 500, 1000))
	}
}

// engineHolder is a VM that holds an engine's lease, and no client account's where there is one such, so that work goes on.
func (f *fleet) engineHolder(random *rand.Rand) *machine {
	accounts, engines := map[string]bool{}, map[string]bool{}
	for resource, id := range f.leases() {
		if strings.HasPrefix(resource, "engine/") {
			engines[id] = true
		} else {
			accounts[id] = true
		}
	}
	vms := slices.Clone(f.vms)
	random.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	best := vms[0]
	for _, m := range vms {
		if engines[m.vm.ID] && (!accounts[m.vm.ID] || !engines[best.vm.ID]) {
			best = m
		}
	}
	return best
}

// changeAndRestart changes versions, restarts engines cold, and has the engines that check fencing numbers ignore them at times.
func (f *fleet) changeAndRestart(random *rand.Rand, published *versions, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(between(random, 200, 800)):
		}
		e := f.world.Engines[random.Intn(len(f.world.Engines))]
		switch random.Intn(12) {
		case 0:
			e.SetFault(fault.Fault{Restart: true})
		case 1:
			e.SetFault(fault.Fault{IgnoreFence: true})
		default:
			published.change(f, random.Intn(20))
		}
	}
}

func (f *fleet) checkVersions(all []told, published *versions) {
	f.t.Helper()
	worst := time.Duration(0)
	seen := map[fuchsiaspoke.Adapter]bool{}
	for _, a := range all {
		text, _ := textOf(a.got, a.stream)
		version, err := a.versionOf(text, true)
		if err != nil || text == "" {
			continue
		}
		seen[fuchsiaspoke.Adapter{Name: f.profile[a.adapter].Adapter.Name, Version: int64(version)}] = true
		if version > len(published.at[a.adapter])+1 {
			f.t.Errorf("%q was answered by version %d, which was never published", a.text, version)
		}
		worst = max(worst, published.stale(a.adapter, version, a.began))
	}
	loads, evictions, restarts := 0, 0, 0
	for _, e := range f.world.Engines {
		for _, r := range e.Records() {
			switch {
			case r.Kind == "load":
				loads++
			case r.Kind == "unload":
				evictions++
			case r.Kind == "run" && r.Detail == "restarted":
				restarts++
			case r.Kind == "run" && r.Detail == "evicted":
				f.t.Errorf("%s lost its adapter %v", r.RequestID, r.Adapter)
			}
		}
	}
	f.t.Logf("seed %d: %d adapter versions answered, at most %v after their end; %d loads, %d evictions, %d runs lost in restarts",
		*seed, len(seen), worst.Round(time.Millisecond), loads, evictions, restarts)
	if worst > staleFor {
		f.t.Errorf("a request was answered by a version that had been replaced for %v", worst)
	}
}
