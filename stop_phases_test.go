package fuchsiaspoke_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// What a stop cuts must be excused: it was sent within three seconds of a signal that is handled half a second late, and a replica is at work on it
// in the last sixth of the grace period.
func TestStopPhasesCutNothingThatIsNotExcused(t *testing.T) {
	const known = 3300 * time.Millisecond
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second} {
		t.Run(fmt.Sprint(grace), func(t *testing.T) {
			p := fuchsiaspoke.NewStopPhases(grace, known)
			if p.Accepts > 2500*time.Millisecond || p.Accepts > p.Waits {
				t.Errorf("long requests are taken for %v", p.Accepts)
			}
			if p.Waits > known || p.Waits > grace/2 {
				t.Errorf("callers are served for %v", p.Waits)
			}
			if p.Runs < grace-grace/6 || p.Runs >= p.End || p.End >= p.Closes || p.Closes >= grace {
				t.Errorf("requests run for %v, the process ends after %v, and its links after %v", p.Runs, p.End, p.Closes)
			}
		})
	}
	if got := fuchsiaspoke.NewStopPhases(0, known); got != (fuchsiaspoke.StopPhases{}) {
		t.Errorf("without a grace period: %+v, want no phase", got)
	}
}
