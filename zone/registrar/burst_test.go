package registrar_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/membership"
)

// A second version appears in a fleet of 195 VMs with 24 hubs, while 4,096 records wait. No stream may begin late for it: a stream's first event
// waits for Record.
func TestSecondVersionDoesNotHoldUpStreamsThatBegin(t *testing.T) {
	f := newFleet(24, true)
	m := &membership.Membership{Self: "vm_0"}
	for i := 1; i < 195; i++ {
		m.Observe(time.Second, fuchsiaspoke.VMState{
			VM:          fuchsiaspoke.VM{ID: fmt.Sprint("vm_", i), Zone: fuchsiaspoke.Zone(fmt.Sprint("zone_", i%3))},
			Incarnation: "a", HeartbeatNumber: 1, Ready: true, WantsAnswer: true,
		})
	}
	r := f.registrars["vm_0"]
	hubs := make(map[string]bool)
	for _, vm := range f.vms {
		hubs[vm.ID] = true
	}
	r.VMs = func() []fuchsiaspoke.VM {
		out := []fuchsiaspoke.VM{r.Self}
		for _, p := range m.Reachable(time.Second) {
			if hubs[p.VM.ID] {
				out = append(out, p.VM)
			}
		}
		return out
	}
	var current atomic.Pointer[fuchsiaspoke.PublishedState]
	r.Published = current.Load
	f.publish(time.Now(), "v1")
	current.Store(f.published)
	ctx, cancel := context.WithCancel(context.Background())
	ended := r.Run(ctx)
	defer func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}()
	time.Sleep(200 * time.Millisecond)
	for i := range 4096 {
		r.Record(fmt.Sprint("a", i), origin("v1"), 20*time.Second)
	}
	f.publish(time.Now(), "v1", "v2")
	current.Store(f.published)
	longest := time.Duration(0)
	for until := time.Now().Add(500 * time.Millisecond); time.Now().Before(until); time.Sleep(time.Millisecond) {
		began := time.Now()
		r.Record("new", origin("v2"), 20*time.Second)
		longest = max(longest, time.Since(began))
	}
	t.Logf("longest wait of a stream that begins: %v", longest)
	if longest > 20*time.Millisecond {
		t.Errorf("a stream that begins waits %v", longest)
	}
}
