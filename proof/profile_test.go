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
	// propagationLimit is how long a published profile may take until it is in force on a VM.
	propagationLimit     = 3 * time.Second
	answerObserversPerVM = 3
)

// observerClient has a short timeout, so that observers send the next request soon when a VM does not answer.
var observerClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// publishVersion publishes the profiles with guide_0 at the adapter version, and returns the platform's revision.
func (f *fleet) publishVersion(version int64) int64 {
	updated := append([]fuchsiaspoke.Profile(nil), f.profiles...)
	updated[0].Adapter.Version = version
	requireNoError(f.t, f.standIns.PublishProfiles(updated))
	return f.standIns.Platform.Revision()
}

var adapterVersionPattern = regexp.MustCompile(`adapter_0@(\d+)/`)

// version requests one token of guide_0 from the VM and returns the adapter version that answered, or 0 without an answer.
func (f *fleet) version(client *http.Client, proc *vmProcess) int64 {
	got := proc.do(client, http.MethodPost, "/v1/completions", "newcomers", completionBody("guide_0", 1))
	match := adapterVersionPattern.FindSubmatch(got.body)
	if got.status != http.StatusOK || match == nil {
		return 0
	}
	n, _ := strconv.ParseInt(string(match[1]), 10, 64)
	return n
}

// revision returns the revision of the profiles document in force at the VM, or 0 if the VM's status can't be read.
func (f *fleet) revision(proc *vmProcess) int64 {
	status, err := f.status(proc)
	if err != nil {
		return 0
	}
	return status.Documents[string(fuchsiaspoke.ProfilesDocument)]
}

func (f *fleet) awaitRevision(want int64, vms ...*vmProcess) time.Duration {
	f.t.Helper()
	startedAt := time.Now()
	for _, proc := range vms {
		f.eventually(propagationLimit, fmt.Sprintf("revision %d is in force at %s", want, proc.vm.ID), func() bool { return f.revision(proc) == want })
	}
	return time.Since(startedAt)
}

// TestAcceptedProfileNeverReverts checks that VMs keep the newest profiles while the platform returns old revisions, lags or is
// down, VMs restart, two operators publish concurrently, and an invalid document is published.
func TestAcceptedProfileNeverReverts(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 3, engines: 1})
	version := int64(1)
	publish := func(targets ...*vmProcess) time.Duration {
		t.Helper()
		version++
		return f.awaitRevision(f.publishVersion(version), targets...)
	}
	var worst time.Duration
	for range 3 {
		worst = max(worst, publish(f.vms...))
	}

	// The platform returns an older revision on every second read, and the partitioned VMs have no other source.
	f.standIns.Platform.SetFault(fault.Fault{AlternateOldRevisions: true})
	f.links.setPartitioned(f.vms[:1], f.vms[1:], true)
	f.links.setPartitioned(f.vms[1:2], f.vms[2:], true)
	for range 3 {
		worst = max(worst, publish(f.vms...))
	}
	f.links.setPartitioned(f.vms[:1], f.vms[1:], false)
	f.links.setPartitioned(f.vms[1:2], f.vms[2:], false)
	f.standIns.Platform.SetFault(fault.Fault{})

	// The platform is stale and then down, so a restarted VM can receive the revision in force only from its peers.
	for _, injected := range []fault.Fault{{MaxVisibleRevision: f.standIns.Platform.Revision(), ListLagMillis: 5000}, {Down: true}} {
		worst = max(worst, publish(f.vms...))
		newest := f.standIns.Platform.Revision()
		f.standIns.Platform.SetFault(injected)
		proc := f.vms[2]
		f.signalVM(proc, syscall.SIGKILL)
		f.t.Logf("killed %s: %v", proc.vm.ID, <-proc.exited)
		f.startVM(proc)
		f.awaitReady(proc)
		if got := f.revision(proc); got != newest {
			t.Errorf("%s is ready after a restart with revision %d; revision %d was in force on all VMs", proc.vm.ID, got, newest)
		}
		f.standIns.Platform.SetFault(fault.Fault{})
	}

	// Two operators publish concurrently: all VMs must end with the same version.
	var operators sync.WaitGroup
	for operator := range 2 {
		operators.Go(func() {
			for n := range 10 {
				f.publishVersion(1000 + int64(operator)*100 + int64(n))
			}
		})
	}
	operators.Wait()
	worst = max(worst, f.awaitRevision(f.standIns.Platform.Revision(), f.vms...))
	answeredVersions := map[int64]bool{}
	for _, proc := range f.vms {
		f.eventually(10*time.Second, proc.vm.ID+" answers with a version", func() bool {
			v := f.version(shortClient, proc)
			answeredVersions[v] = answeredVersions[v] || v != 0
			return v != 0
		})
	}
	delete(answeredVersions, 0)
	if len(answeredVersions) != 1 {
		t.Errorf("VMs answer with different versions after two operators published concurrently: %v", answeredVersions)
	}

	// An invalid document is refused and reported with its reason, the previous one stays in force, and the next valid one is accepted.
	acceptedRevision := f.standIns.Platform.Revision()
	refusedRevision := f.standIns.Platform.Publish(string(fuchsiaspoke.ProfilesDocument), []byte(`{"kind":"profiles","items":[{"name":"guide_0"}]}`))
	for _, proc := range f.vms {
		f.eventually(propagationLimit, proc.vm.ID+" reports the refused document and keeps the previous one", func() bool {
			status, err := f.status(proc)
			return err == nil && len(status.Refused) == 1 && status.Refused[0].Revision == refusedRevision && len(status.Refused[0].Faults) > 0 &&
				status.Refused[0].Faults[0].Reason != "" && status.Documents[string(fuchsiaspoke.ProfilesDocument)] == acceptedRevision
		})
	}
	worst = max(worst, publish(f.vms...))
	t.Logf("seed %d: published profiles were in force on all VMs after at most %v", *seed, worst)
	f.checkNoPlatformWriteAndNoLeakedKey()
}

// inForceFloor is the newest version and revision that were in force on all VMs at the same time; it only increases.
type inForceFloor struct {
	version, revision atomic.Int64
}

// TestVersionsNeverDecreaseUnderFailure publishes a sequence of versions under faults while observers query every VM. A stale read or
// a restart must not bring back an older version.
func TestVersionsNeverDecreaseUnderFailure(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 5, engines: 3})
	inForce := &inForceFloor{}
	stop := make(chan struct{})
	var observers sync.WaitGroup
	var answerCount, statusCount atomic.Int64
	for _, proc := range f.vms {
		for range answerObserversPerVM {
			observers.Go(func() { f.observeAnswers(proc, inForce, &answerCount, stop) })
		}
		observers.Go(func() { f.observeRevisions(proc, inForce, &statusCount, stop) })
	}
	publisher := make(chan int64, 1)
	go func() { publisher <- f.publishVersionsUntilStopped(inForce, stop) }()
	f.injectPlatformAndVMFaults(rand.New(rand.NewSource(*seed)), time.Duration(*seconds)*time.Second)
	f.standIns.Platform.SetFault(fault.Fault{})
	time.Sleep(propagationLimit)
	close(stop)
	observers.Wait()
	lastVersion := <-publisher
	f.awaitRevision(f.standIns.Platform.Revision(), f.vms...)
	t.Logf("seed %d: last version published %d, newest version in force on all VMs %d; %d answers and %d status reports checked",
		*seed, lastVersion, inForce.version.Load(), answerCount.Load(), statusCount.Load())
	if answerCount.Load() == 0 || statusCount.Load() == 0 || inForce.version.Load() == 0 {
		t.Error("no answer or no status report was observed, or no version was in force on all VMs; the test proves nothing")
	}
	f.checkNoEngineViolation()
}

// observeAnswers sends generations to one VM. A request sent after a version was in force on all VMs must not be answered by an
// older one.
func (f *fleet) observeAnswers(proc *vmProcess, inForce *inForceFloor, answerCount *atomic.Int64, stop chan struct{}) {
	for waitUnlessStopped(stop) {
		floor := inForce.version.Load()
		got := f.version(observerClient, proc)
		if got == 0 {
			continue
		}
		answerCount.Add(1)
		if got < floor {
			f.t.Errorf("%s answered with version %d after version %d was in force on all VMs", proc.vm.ID, got, floor)
		}
	}
}

// observeRevisions polls the status of one VM. The revision must not decrease within one incarnation, and a ready VM must not be
// behind a revision that was in force on all VMs.
func (f *fleet) observeRevisions(proc *vmProcess, inForce *inForceFloor, statusCount *atomic.Int64, stop chan struct{}) {
	last, incarnation := int64(0), ""
	for waitUnlessStopped(stop) {
		floor := inForce.revision.Load()
		status, err := f.status(proc)
		if err != nil {
			continue
		}
		statusCount.Add(1)
		revision := status.Documents[string(fuchsiaspoke.ProfilesDocument)]
		if status.Self.Incarnation != incarnation {
			incarnation, last = status.Self.Incarnation, 0
		}
		if revision < last {
			f.t.Errorf("%s went from revision %d to the older revision %d", proc.vm.ID, last, revision)
		}
		if status.Self.Ready && revision < floor {
			f.t.Errorf("%s is ready with revision %d after revision %d was in force on all VMs", proc.vm.ID, revision, floor)
		}
		last = revision
	}
}

// waitUnlessStopped waits 10 ms and returns true, or returns false once stop is closed.
func waitUnlessStopped(stop chan struct{}) bool {
	select {
	case <-stop:
		return false
	case <-time.After(10 * time.Millisecond):
		return true
	}
}

// publishVersionsUntilStopped publishes increasing versions, records in inForce those that all VMs have in force, and returns the last
// one published.
func (f *fleet) publishVersionsUntilStopped(inForce *inForceFloor, stop chan struct{}) int64 {
	for version := int64(2); ; version++ {
		revision := f.publishVersion(version)
		for range 12 {
			if !waitUnlessStopped(stop) {
				return version
			}
			allInForce := true
			for _, proc := range f.vms {
				allInForce = allInForce && f.revision(proc) >= revision
			}
			if allInForce {
				inForce.revision.Store(revision)
				inForce.version.Store(version)
			}
			time.Sleep(40 * time.Millisecond)
		}
	}
}

// injectPlatformAndVMFaults repeatedly combines a random platform fault, or none, with a random fault of a VM, a link or a VM's
// connection to the platform.
func (f *fleet) injectPlatformAndVMFaults(random *rand.Rand, duration time.Duration) {
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		proc := f.vms[random.Intn(len(f.vms))]
		platformFaults := []fault.Fault{{}, {AlternateOldRevisions: true}, {MaxVisibleRevision: max(1, f.standIns.Platform.Revision()-3)}, {Down: true}, {ListLagMillis: 2000}}
		f.standIns.Platform.SetFault(platformFaults[random.Intn(len(platformFaults))])
		switch random.Intn(4) {
		case 0:
			f.signalVM(proc, syscall.SIGKILL)
			f.t.Logf("killed %s: %v", proc.vm.ID, <-proc.exited)
			f.startVM(proc)
			time.Sleep(randomMillis(random, 500, 3500))
		case 1:
			f.signalVM(proc, syscall.SIGSTOP)
			time.Sleep(randomMillis(random, 500, 3500))
			f.signalVM(proc, syscall.SIGCONT)
		case 2:
			splitIndex := 1 + random.Intn(len(f.vms)-1)
			f.links.setPartitioned(f.vms[:splitIndex], f.vms[splitIndex:], true)
			time.Sleep(randomMillis(random, 300, 2000))
			f.links.setPartitioned(f.vms[:splitIndex], f.vms[splitIndex:], false)
		case 3:
			proc.platformProxy.setClosed(true)
			time.Sleep(randomMillis(random, 300, 2000))
			proc.platformProxy.setClosed(false)
		}
	}
}

// TestRestartedVMIsNotReadyWithOnlyAStalePlatform restarts a VM that is partitioned from its peers while the platform is stale. The
// VM must not become ready with the old revision.
func TestRestartedVMIsNotReadyWithOnlyAStalePlatform(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 3, engines: 1})
	stale := f.standIns.Platform.Revision()
	newest := f.publishVersion(2)
	f.awaitRevision(newest, f.vms...)
	f.standIns.Platform.SetFault(fault.Fault{MaxVisibleRevision: stale})
	proc := f.vms[0]
	f.signalVM(proc, syscall.SIGKILL)
	f.t.Logf("killed %s: %v", proc.vm.ID, <-proc.exited)
	f.links.setPartitioned(f.vms[:1], f.vms[1:], true)
	f.startVM(proc)
	until := time.Now().Add(6 * time.Second)
	for time.Now().Before(until) {
		resp, err := http.Get("http://" + proc.adminAddress + "/readyz")
		if err == nil {
			resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK && f.revision(proc) < newest {
			t.Errorf("%s, partitioned from its peers, is ready with revision %d; revision %d was in force on all VMs", proc.vm.ID, f.revision(proc), newest)
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.links.setPartitioned(f.vms[:1], f.vms[1:], false)
	f.awaitReady(proc)
	if got := f.revision(proc); got != newest {
		t.Errorf("%s is ready after the partition with revision %d; revision %d was in force on all VMs", proc.vm.ID, got, newest)
	}
}
