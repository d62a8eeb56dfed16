package historian_test

import (
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/contract/historian"
)

// A process is suspended while v2 takes the place of v1, and wakes long after it saw v1 for the last time. v1 may have left just before.
func TestVersionsWhileNothingWasObservedAreNotKnown(t *testing.T) {
	var h historian.Historian
	for at := time.Second; at <= 60*time.Second; at += time.Second {
		h.Observe(at, published("v1"))
	}
	woken := 60*time.Second + historian.StreamLifetime + time.Second
	h.Observe(woken, published("v2"))
	if v, certain := h.Only(woken, "texts"); certain {
		t.Errorf("certain of %q, though nothing was observed for 31 s", v)
	}
}
