package registrar_test

import (
	"fmt"
	"testing"
	"time"
)

// A VM that takes a resumed stream for one of another version (as one that is stale does) records that, as vm/sender does, and tells the
// keepers. The version under which a stream was recorded first must not change.
func TestLaterRecordDoesNotChangeVersionOfStream(t *testing.T) {
	f := newFleet(6, true)
	f.publish(time.Now(), "v1", "v2")
	f.run(t)
	for i := range 50 {
		f.registrars["vm_0"].Record(fmt.Sprint("a", i), origin("v2"), 20*time.Second)
	}
	f.run(t)
	for i := range 50 {
		f.registrars["vm_5"].Record(fmt.Sprint("a", i), origin("v1"), 20*time.Second)
	}
	f.run(t)
	f.down["vm_0"] = true
	changed := 0
	for i := range 50 {
		if f.find(2, fmt.Sprint("a", i)) == "v1" {
			changed++
		}
	}
	if changed > 0 {
		t.Errorf("%d of 50 streams that began at v2 are now known as of v1", changed)
	}
}
