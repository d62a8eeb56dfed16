package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// All VMs are down for a moment (as at 93 s of incident second1) while two versions serve. Under half of the streams that their callers take up
// again go on: LOST.
func TestStreamsGoOnAfterRestartOfAllVMsWhileVersionsAreMixed(t *testing.T) {
	f := newFleet(6, true)
	f.publish(time.Now().Add(-time.Hour), "v1", "v2")
	f.run(t)
	for i := range 40 {
		begunBy := fmt.Sprint("a", i)
		f.registrars[fmt.Sprint("vm_", i%6)].Record(begunBy, origin(f.assigned(begunBy)), 20*time.Second)
	}
	f.run(t)
	for _, vm := range f.vms {
		f.restart(vm.ID)
	}
	f.run(t)
	f.pass(2 * time.Second)
	f.publish(time.Now().Add(-time.Hour), "v1", "v2")
	wentOn := 0
	for i := range 40 {
		begunBy := fmt.Sprint("a", i)
		switch got := f.find(i%6, begunBy); got {
		case "unknown":
		case f.assigned(begunBy):
			wentOn++
		default:
			t.Errorf("stream %s began at %s and goes on at %s", begunBy, f.assigned(begunBy), got)
		}
	}
	if wentOn < 20 {
		t.Errorf("%d of 40 streams go on, want half at least", wentOn)
	}
}

// As above, where which engines there were when the streams began isn't certain: one that would take them is new, or one has left that the
// history doesn't describe.
func TestStreamIsRefusedAfterRestartOfAllVMsIfItsEnginesAreNotCertain(t *testing.T) {
	for name, prepare := range map[string]func(f *fleet){
		"new engine": func(f *fleet) {
			v2 := f.published.Replicas["v2"]
			v2.StartedAtMs = time.Now().UnixMilli()
			f.published.Replicas["v2"] = v2
		},
		"engine left": func(f *fleet) { f.changes = []fuchsiaspoke.Publication{{Name: "servers/other", Withdrawn: true}} },
		"records":     func(f *fleet) { f.registrars["vm_5"].FirstStart = true },
	} {
		f := newFleet(6, false)
		f.publish(time.Now().Add(-time.Hour), "v1", "v2")
		prepare(f)
		f.run(t)
		f.pass(2 * time.Second)
		f.published.ReadAt += 2 * time.Second
		for i := range 20 {
			begunBy := fmt.Sprint("a", i)
			got := f.find(i%5, begunBy)
			if got != "unknown" && (name != "new engine" || got != "v1" || f.assigned(begunBy) != "v1") {
				t.Errorf("%s: stream goes on at %s, want unknown", name, got)
			}
		}
	}
}
