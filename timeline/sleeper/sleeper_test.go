package sleeper_test

import (
	"context"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/sleeper"
)

func TestSleepEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	if !sleeper.Sleep(ctx, time.Millisecond) || !sleeper.Sleep(ctx, -time.Second) {
		t.Error("want true while the context is active")
	}
	time.AfterFunc(5*time.Millisecond, cancel)
	began := time.Now()
	if sleeper.Sleep(ctx, time.Minute) || time.Since(began) > 5*time.Second || sleeper.Sleep(ctx, 0) {
		t.Errorf("slept for %v after its context had ended, want false at once", time.Since(began))
	}
}
