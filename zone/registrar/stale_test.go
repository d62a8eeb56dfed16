package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// A VM that is cut off from the platform goes on publishing v1 alone to itself, and is certain of it, while the others begin streams at v2.
func TestStaleVMTakesStreamOfVersionItHasNotHeardOfForItsOwn(t *testing.T) {
	f := newFleet(6, true)
	f.publish(time.Now(), "v1")
	stale := f.published
	f.run(t)
	f.registrars["vm_5"].Published = func() *fuchsiaspoke.PublishedState { return stale }
	f.publish(time.Now(), "v1", "v2")
	f.run(t)
	for i := range 50 {
		f.registrars["vm_0"].Record(fmt.Sprint("a", i), origin("v2"), 20*time.Second)
	}
	f.run(t)
	mixed := 0
	for i := range 50 {
		if f.find(5, fmt.Sprint("a", i)) == "v1" {
			mixed++
		}
	}
	if mixed > 0 {
		t.Errorf("%d of 50 streams of v2 would go on at v1, while five VMs that know better answer", mixed)
	}
}
