package proof

import (
	"fmt"
	"math/rand"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/fault"
)

const (
	// inForceWithin is how long an accepted profile may take to be in force on all VMs.
	inForceWithin = 3 * time.Second
	// observersOfAnswers is how many callers ask each VM for answers.
	observersOfAnswers = 3
)

// hastyClient gives up soon, so that observers go on where nothing answers.
var hastyClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// publishVersion publishes the profiles with guide_0 at the version; the platform's revision is returned.
func (f *fleet) publishVersion(version int64) int64 {
	profiles := append([]fuchsiaspoke.Profile(nil), f.profile...)
	profiles[0].Adapter.Version = version
	must(f.t, f.world.PublishProfiles(profiles))
	return f.world.Platform.Revision()
}

var adapterText = regexp.MustCompile(`adapter_0@(\d+)/`)

// version asks the VM for one token of guide_0 and returns the version that answered, or 0 where none did.
func (f *fleet) version(client *http.Client, m *machine) int64 {
	got := m.do(client, http.MethodPost, "/v1/completions", "newcomers", completion("guide_0", 1))
	found := adapterText.FindSubmatch(got.body)
	if got.status != http.StatusOK || found == nil {
		return 0
	}
	n, _ := strconv.ParseInt(string(found[1]), 10, 64)
	return n
}

func (f *fleet) revision(m *machine) int64 {
	status, err := f.status(m)
	if err != nil {
		return 0
	}
	return status.Documents[string(fuchsiaspoke.ProfilesDocument)]
}

func (f *fleet) awaitRevision(want int64, vms ...*machine) time.Duration {
	f.t.Helper()
	began := time.Now()
	for _, m := range vms {
		f.eventually(inForceWithin, fmt.Sprintf("revision %d is in force at %s", want, m.vm.ID), func() bool { return f.revision(m) == want })
	}
	return time.Since(began)
}

// TestAcceptedProfileNeverReverts goes through each fault of the platform, restarts, two operators, and a bad document.
func TestAcceptedProfileNeverReverts(t *testing.T) {
	f := newFleet(t, shape{vms: 3, engines: 1})
	version := int64(1)
	publish := func(within ...*machine) time.Duration {
		t.Helper()
		version++
		return f.awaitRevision(f.publishVersion(version), within...)
	}
	var worst time.Duration
	for range 3 {
		worst = max(worst, publish(f.vms...))
	}

	// A platform that goes backwards, and VMs that hear from it alone.
	f.world.Platform.SetFault(fault.Fault{Backwards: true})
	f.links.split(f.vms[:1], f.vms[1:], true)
	f.links.split(f.vms[1:2], f.vms[2:], true)
	for range 3 {
		worst = max(worst, publish(f.vms...))
	}
	f.links.split(f.vms[:1], f.vms[1:], false)
	f.links.split(f.vms[1:2], f.vms[2:], false)
	f.world.Platform.SetFault(fault.Fault{})

	// A platform that is stale and then down, with a VM that restarts and hears what is in force from peers alone.
	for _, bad := range []fault.Fault{{StaleAt: f.world.Platform.Revision(), ListLagMillis: 5000}, {Down: true}} {
		worst = max(worst, publish(f.vms...))
		newest := f.world.Platform.Revision()
		f.world.Platform.SetFault(bad)
		m := f.vms[2]
		f.signal(m, syscall.SIGKILL)
		f.t.Logf("ended %s: %v", m.vm.ID, <-m.exited)
		f.start(m)
		f.awaitReady(m)
		if got := f.revision(m); got != newest {
			t.Errorf("%s, ready after a restart, has revision %d in force; %d was in force everywhere", m.vm.ID, got, newest)
		}
		f.world.Platform.SetFault(fault.Fault{})
	}

	// Two operators publish at once: one winner everywhere.
	var operators sync.WaitGroup
	for operator := range 2 {
		operators.Go(func() {
			for n := range 10 {
				f.publishVersion(1000 + int64(operator)*100 + int64(n))
			}
		})
	}
	operators.Wait()
	worst = max(worst, f.awaitRevision(f.world.Platform.Revision(), f.vms...))
	seen := map[int64]bool{}
	for _, m := range f.vms {
		f.eventually(10*time.Second, m.vm.ID+" answers", func() bool {
			v := f.version(shortClient, m)
			seen[v] = seen[v] || v != 0
			return v != 0
		})
	}
	delete(seen, 0)
	if len(seen) != 1 {
		t.Errorf("two operators left several winners: %v", seen)
	}

	// A bad document changes nothing, shows with its reason, and the next good one is accepted.
	before := f.world.Platform.Revision()
	bad := f.world.Platform.Publish(string(fuchsiaspoke.ProfilesDocument), []byte(`{"kind":"profiles","items":[{"name":"guide_0"}]}`))
	for _, m := range f.vms {
		f.eventually(inForceWithin, m.vm.ID+" shows the refused document", func() bool {
			status, err := f.status(m)
			return err == nil && len(status.Refused) == 1 && status.Refused[0].Revision == bad && len(status.Refused[0].Faults) > 0 &&
				status.Refused[0].Faults[0].Reason != "" && status.Documents[string(fuchsiaspoke.ProfilesDocument)] == before
		})
	}
	worst = max(worst, publish(f.vms...))
	t.Logf("seed %d: a profile was in force on all VMs after at most %v", *seed, worst)
	f.checkNoWriteAndNoKey()
}

// forced is what was in force on all VMs at one time; it only rises.
type forced struct {
	version, revision atomic.Int64
}

// TestVersionsNeverGoBackUnderFailure publishes a stream of versions under faults while observers ask every VM.
func TestVersionsNeverGoBackUnderFailure(t *testing.T) {
	f := newFleet(t, shape{vms: 5, engines: 3})
	everywhere := &forced{}
	stop := make(chan struct{})
	var observers sync.WaitGroup
	var answers, states atomic.Int64
	for _, m := range f.vms {
		for range observersOfAnswers {
			observers.Go(func() { f.observeAnswers(m, everywhere, &answers, stop) })
		}
		observers.Go(func() { f.observeStates(m, everywhere, &states, stop) })
	}
	publisher := make(chan int64, 1)
	go func() { publisher <- f.publishStream(everywhere, stop) }()
	f.disturbPlatform(rand.New(rand.NewSource(*seed)), time.Duration(*seconds)*time.Second)
	f.world.Platform.SetFault(fault.Fault{})
	time.Sleep(inForceWithin)
	close(stop)
	observers.Wait()
	versions := <-publisher
	f.awaitRevision(f.world.Platform.Revision(), f.vms...)
	t.Logf("seed %d: %d versions published, up to %d seen in force everywhere, %d answers and %d states compared",
		*seed, versions, everywhere.version.Load(), answers.Load(), states.Load())
	if answers.Load() == 0 || states.Load() == 0 || everywhere.version.Load() == 0 {
		t.Error("nothing was observed")
	}
	f.checkEngines()
}

// observeAnswers asks one VM for answers; one whose request began after a version was in force everywhere must not be older.
func (f *fleet) observeAnswers(m *machine, everywhere *forced, answers *atomic.Int64, stop chan struct{}) {
	for open(stop) {
		floor := everywhere.version.Load()
		got := f.version(hastyClient, m)
		if got == 0 {
			continue
		}
		answers.Add(1)
		if got < floor {
			f.t.Errorf("%s answered with version %d after %d was in force everywhere", m.vm.ID, got, floor)
		}
	}
}

// observeStates asks one VM what is in force: it never goes back in one process, and one that is ready is never behind.
func (f *fleet) observeStates(m *machine, everywhere *forced, states *atomic.Int64, stop chan struct{}) {
	last, incarnation := int64(0), ""
	for open(stop) {
		floor := everywhere.revision.Load()
		status, err := f.status(m)
		if err != nil {
			continue
		}
		states.Add(1)
		revision := status.Documents[string(fuchsiaspoke.ProfilesDocument)]
		if status.Self.Incarnation != incarnation {
			incarnation, last = status.Self.Incarnation, 0
		}
		if revision < last {
			f.t.Errorf("%s went back from revision %d to %d", m.vm.ID, last, revision)
		}
		if status.Self.Ready && revision < floor {
			f.t.Errorf("%s is ready with revision %d after %d was in force everywhere", m.vm.ID, revision, floor)
		}
		last = revision
	}
}

// open waits a little and reports whether the observation goes on.
func open(stop chan struct{}) bool {
	select {
	case <-stop:
		return false
	case <-time.After(10 * time.Millisecond):
		return true
	}
}

// publishStream publishes rising versions and notes the ones that every VM had in force at one time.
func (f *fleet) publishStream(everywhere *forced, stop chan struct{}) int64 {
	for version := int64(2); ; version++ {
		revision := f.publishVersion(version)
		for range 12 {
			if !open(stop) {
				return version
			}
			all := true
			for _, m := range f.vms {
				all = all && f.revision(m) >= revision
			}
			if all {
				everywhere.revision.Store(revision)
				everywhere.version.Store(version)
			}
			time.Sleep(40 * time.Millisecond)
		}
	}
}

// disturbPlatform brings failures of the platform, the paths and the VMs about, several at a time.
func (f *fleet) disturbPlatform(random *rand.Rand, length time.Duration) {
	until := time.Now().Add(length)
	for time.Now().Before(until) {
		m := f.vms[random.Intn(len(f.vms))]
		bad := []fault.Fault{{}, {Backwards: true}, {StaleAt: max(1, f.world.Platform.Revision()-3)}, {Down: true}, {ListLagMillis: 2000}}
		f.world.Platform.SetFault(bad[random.Intn(len(bad))])
		switch random.Intn(4) {
		case 0:
			f.signal(m, syscall.SIGKILL)
			f.t.Logf("ended %s: %v", m.vm.ID, <-m.exited)
			f.start(m)
			time.Sleep(between(random, 500, 3500))
		case 1:
			f.signal(m, syscall.SIGSTOP)
			time.Sleep(between(random, 500, 3500))
			f.signal(m, syscall.SIGCONT)
		case 2:
			cut := 1 + random.Intn(len(f.vms)-1)
			f.links.split(f.vms[:cut], f.vms[cut:], true)
			time.Sleep(between(random, 300, 2000))
			f.links.split(f.vms[:cut], f.vms[cut:], false)
		case 3:
			m.platform.set(true)
			time.Sleep(between(random, 300, 2000))
			m.platform.set(false)
		}
	}
}

// TestRestartedVMIsNotReadyOnAStalePlatformAlone restarts a VM that its peers can't reach, while the platform is stale.
func TestRestartedVMIsNotReadyOnAStalePlatformAlone(t *testing.T) {
	f := newFleet(t, shape{vms: 3, engines: 1})
	stale := f.world.Platform.Revision()
	newest := f.publishVersion(2)
	f.awaitRevision(newest, f.vms...)
	f.world.Platform.SetFault(fault.Fault{StaleAt: stale})
	m := f.vms[0]
	f.signal(m, syscall.SIGKILL)
	f.t.Logf("ended %s: %v", m.vm.ID, <-m.exited)
	f.links.split(f.vms[:1], f.vms[1:], true)
	f.start(m)
	until := time.Now().Add(6 * time.Second)
	for time.Now().Before(until) {
		resp, err := http.Get("http://" + m.admin + "/readyz")
		if err == nil {
			resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK && f.revision(m) < newest {
			t.Errorf("%s says that it is ready with revision %d; %d was in force everywhere", m.vm.ID, f.revision(m), newest)
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.links.split(f.vms[:1], f.vms[1:], false)
	f.awaitReady(m)
	if got := f.revision(m); got != newest {
		t.Errorf("%s, ready once it heard its peers, has revision %d; %d was in force everywhere", m.vm.ID, got, newest)
	}
}
