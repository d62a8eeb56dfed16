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

// maxStaleness is how long after the publication of a newer adapter version a VM that was partitioned or suspended may still use
// the older one.
const maxStaleness = 8 * time.Second

// publishedVersions records when each version after the first was published, by the profile's index.
type publishedVersions struct {
	mu          sync.Mutex
	publishedAt map[int][]time.Time
}

// publishNext publishes the next adapter version of one profile.
func (v *publishedVersions) publishNext(f *fleet, index int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f.profiles[index].Adapter.Version++
	v.publishedAt[index] = append(v.publishedAt[index], time.Now())
	requireNoError(f.t, f.standIns.PublishProfiles(slices.Clone(f.profiles)))
}

// staleness returns how long before the start of the request the version that answered it had been replaced.
func (v *publishedVersions) staleness(index, version int, startedAt time.Time) time.Duration {
	if publications := v.publishedAt[index]; version <= len(publications) {
		return max(0, startedAt.Sub(publications[version-1]))
	}
	return 0
}

// TestAnswersUseTheRequestedAdapterAndNoAdapterIsEvictedInUse runs long streams of many adapters on engines with few slots, while
// new adapter versions are published, engines restart without adapters, and VMs are killed, partitioned, and suspended for
// longer than a lease.
func TestAnswersUseTheRequestedAdapterAndNoAdapterIsEvictedInUse(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 5, engines: 3, engine: func(i int) *engine.Engine {
		return &engine.Engine{Slots: 2, Batch: 12, StepBase: 100 * time.Millisecond, ChecksFence: i%2 == 0}
	}})
	published := &publishedVersions{publishedAt: map[int][]time.Time{}}
	callers := f.startGenerations(defaultClient, 36, 20, 8)
	stop := make(chan struct{})
	var publisher sync.WaitGroup
	random := rand.New(rand.NewSource(*seed))
	engineRandom := rand.New(rand.NewSource(random.Int63()))
	publisher.Go(func() { f.publishVersionsAndInjectEngineFaults(engineRandom, published, stop) })
	f.injectEngineHolderFaults(random, time.Duration(*seconds)*time.Second)
	close(stop)
	publisher.Wait()
	results := callers.stopAndWait()
	time.Sleep(3 * time.Second)
	f.checkAnswers(results)
	f.checkVersions(results, published)
	f.checkNotRun(results)
	f.checkNoEngineViolation()
	f.checkNoPlatformWriteAndNoLeakedKey()
}

// injectEngineHolderFaults repeatedly picks a VM that holds an engine's lease and kills it, or partitions it or suspends it for
// longer than a lease.
func (f *fleet) injectEngineHolderFaults(random *rand.Rand, duration time.Duration) {
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		proc := f.pickEngineHolder(random)
		rest := slices.DeleteFunc(slices.Clone(f.vms), func(other *vmProcess) bool { return other == proc })
		switch random.Intn(5) {
		case 0:
			f.killVM(proc)
			time.Sleep(randomMillis(random, 100, 900))
			f.startVM(proc)
		case 1:
			f.links.setPartitioned([]*vmProcess{proc}, rest, true)
			time.Sleep(randomMillis(random, 3500, 5000))
			f.links.setPartitioned([]*vmProcess{proc}, rest, false)
		default:
			f.signalVM(proc, syscall.SIGSTOP)
			time.Sleep(randomMillis(random, 3500, 5000))
			f.signalVM(proc, syscall.SIGCONT)
		}
		time.Sleep(randomMillis(random, 500, 1000))
	}
}

// pickEngineHolder returns a random VM that holds an engine's lease. It prefers one without a client account's lease, so that
// requests are still admitted while the VM is down, suspended or partitioned.
func (f *fleet) pickEngineHolder(random *rand.Rand) *vmProcess {
	accounts, engines := map[string]bool{}, map[string]bool{}
	for resource, id := range f.leaseHolders() {
		if strings.HasPrefix(resource, "engine/") {
			engines[id] = true
		} else {
			accounts[id] = true
		}
	}
	vms := slices.Clone(f.vms)
	random.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	best := vms[0]
	for _, proc := range vms {
		if engines[proc.vm.ID] && (!accounts[proc.vm.ID] || !engines[best.vm.ID]) {
			best = proc
		}
	}
	return best
}

// publishVersionsAndInjectEngineFaults publishes adapter versions, restarts engines without adapters, and makes engines accept
// old fencing tokens, until stopped.
func (f *fleet) publishVersionsAndInjectEngineFaults(random *rand.Rand, published *publishedVersions, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(randomMillis(random, 200, 800)):
		}
		e := f.standIns.Engines[random.Intn(len(f.standIns.Engines))]
		switch random.Intn(12) {
		case 0:
			e.SetFault(fault.Fault{Restart: true})
		case 1:
			e.SetFault(fault.Fault{IgnoreFence: true})
		default:
			published.publishNext(f, random.Intn(20))
		}
	}
}

func (f *fleet) checkVersions(results []generationResult, published *publishedVersions) {
	f.t.Helper()
	worstStaleness := time.Duration(0)
	answeredVersions := map[fuchsiaspoke.Adapter]bool{}
	for _, result := range results {
		text, _ := parseAnswer(result.got, result.stream)
		version, err := result.adapterVersionIn(text, true)
		if err != nil || text == "" {
			continue
		}
		answeredVersions[fuchsiaspoke.Adapter{Name: f.profiles[result.adapterIndex].Adapter.Name, Version: int64(version)}] = true
		if version > len(published.publishedAt[result.adapterIndex])+1 {
			f.t.Errorf("prompt %q was answered by adapter version %d, which was never published", result.text, version)
		}
		worstStaleness = max(worstStaleness, published.staleness(result.adapterIndex, version, result.startedAt))
	}
	loads, evictions, runsLostInRestarts := 0, 0, 0
	for _, e := range f.standIns.Engines {
		for _, r := range e.Records() {
			switch {
			case r.Kind == "load":
				loads++
			case r.Kind == "unload":
				evictions++
			case r.Kind == "run" && r.Detail == "restarted":
				runsLostInRestarts++
			case r.Kind == "run" && r.Detail == "evicted":
				f.t.Errorf("request %s: adapter %v was evicted during the run", r.RequestID, r.Adapter)
			}
		}
	}
	f.t.Logf("seed %d: %d adapter versions answered requests, at most %v after their replacement; %d loads, %d unloads, %d runs ended by engine restarts",
		*seed, len(answeredVersions), worstStaleness.Round(time.Millisecond), loads, evictions, runsLostInRestarts)
	if worstStaleness > maxStaleness {
		f.t.Errorf("a request was answered by an adapter version that had been replaced %v earlier, which exceeds maxStaleness", worstStaleness)
	}
}
