package drainer_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/drainer"
)

func TestPhasesEndInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d drainer.Drainer
		waits, stopWaits := d.WithWaits(t.Context())
		defer stopWaits()
		runs, stopRuns := d.WithRuns(t.Context())
		defer stopRuns()
		time.Sleep(time.Minute)
		if d.Draining() || !d.Takes(time.Hour, time.Hour) || waits.Err() != nil || d.WaitLeft(time.Hour) != time.Hour {
			t.Fatal("a VM that does not stop ends a phase")
		}
		d.Begin(fuchsiaspoke.StopPhases{Accepts: 3 * time.Second, Waits: 4 * time.Second, Runs: 7 * time.Second})
		time.Sleep(time.Second)
		if !d.Takes(time.Hour, 0) || !d.Takes(time.Hour, 6*time.Second) || d.Takes(time.Hour, 6001*time.Millisecond) {
			t.Error("in the first phase those requests alone are refused that mostly don't end in time")
		}
		time.Sleep(2500 * time.Millisecond)
		if d.Takes(4*time.Second, 0) || !d.Takes(3*time.Second, 0) || waits.Err() != nil || d.WaitLeft(time.Hour) != 500*time.Millisecond {
			t.Error("after the first phase those requests alone are refused that may not end in time")
		}
		time.Sleep(time.Second)
		if d.Takes(time.Millisecond, 0) || !errors.Is(context.Cause(waits), drainer.ErrDraining) || runs.Err() != nil {
			t.Error("after the second phase nothing waits, and what runs goes on")
		}
		if left := d.RunLeft(time.Hour); left != 2500*time.Millisecond {
			t.Errorf("%v left to run, want 2.5 s", left)
		}
		time.Sleep(3 * time.Second)
		if !errors.Is(context.Cause(runs), drainer.ErrDraining) {
			t.Error("what runs goes on after the last phase")
		}
	})
}
