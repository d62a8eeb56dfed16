package registrar_test

import (
	"fmt"
	"testing"
	"time"
)

// All VMs are down for a moment (as at 93 s of incident second1) while two versions serve. Under half of the streams that their callers take up
// again go on: LOST.
func TestStreamsGoOnAfterRestartOfAllVMsWhileVersionsAreMixed(t *testing.T) {
	f := newFleet(6, true)
	f.publish(time.Now().Add(-time.Hour), "v1", "v2")
	f.run(t)
	for i := range 40 {
		f.registrars[fmt.Sprint("vm_", i%6)].Record(fmt.Sprint("a", i), origin([]string{"v1", "v2"}[i%2]), 20*time.Second)
	}
	f.run(t)
	for _, vm := range f.vms {
		f.restart(vm.ID)
	}
	f.run(t)
	wentOn := 0
	for i := range 40 {
		if f.find(i%6, fmt.Sprint("a", i)) != "unknown" {
			wentOn++
		}
	}
	if wentOn < 20 {
		t.Errorf("%d of 40 streams go on, want half at least", wentOn)
	}
}
