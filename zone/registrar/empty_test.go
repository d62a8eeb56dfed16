package registrar_test

import (
	"testing"
	"time"
)

// A request reaches a VM that has read the published state and not yet looked at it for its history.
func TestVMThatHasNotObservedAnythingKnowsNoVersion(t *testing.T) {
	f := newFleet(1, false)
	f.publish(time.Now().Add(-time.Hour), "v1", "v2")
	if got := f.find(0, "before"); got != "unknown" {
		t.Errorf("version %q is said to be known, want unknown: two versions are published", got)
	}
}
