package watcher_test

import (
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/watcher"
)

// Two VMs confirm each other's state while no VM can read the platform. Each heartbeat arrives some time after its age was taken, and
// that time must not make the state look younger: both VMs have to read the platform themselves within changeLimit.
func TestStateConfirmedInCirclesBecomesStale(t *testing.T) {
	const interval, delay = 300 * time.Millisecond, 200 * time.Millisecond
	now := time.Second
	var vms [2]*watcher.Watcher
	for n := range vms {
		vms[n] = &watcher.Watcher{
			Platform: &fakePlatform{}, PropagationLimit: changeLimit, Clock: func() time.Duration { return now }, Log: func(string, ...any) {},
		}
		vms[n].ApplyRelay(&fuchsiaspoke.Contract{Version: 1}, fuchsiaspoke.PublicationRelay{Revision: revision(7), Whole: true}, "reader")
	}
	for end := now + changeLimit; now < end; now += interval - delay {
		var ages [2]time.Duration
		for n, vm := range vms {
			ages[n] = now - vm.Published().ReadAt
		}
		now += delay
		for n, vm := range vms {
			vm.ConfirmRevision(revision(7), ages[1-n])
		}
	}
	for n, vm := range vms {
		if !vm.Stale() {
			t.Errorf("VM %d takes its state for %v old after %v without a read", n, now-vm.Published().ReadAt, changeLimit)
		}
	}
}
