package controller_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/controller"
)

// rebornEngine restarts under its id, and its entry in the store says so only later.
type rebornEngine struct {
	*fakeEngine
	startedAtMs atomic.Int64
}

func (e *rebornEngine) Report(ctx context.Context, r fuchsiaspoke.Replica) (fuchsiaspoke.ReplicaReport, error) {
	report, err := e.fakeEngine.Report(ctx, r)
	report.Replica.StartedAtMs = e.startedAtMs.Load()
	return report, err
}

// docs/PLATFORM.md takes a replica whose entry is older than its process as known to its owner. Its software version may be another.
func TestOwnerKnowsThatEngineRestartedUnderItsID(t *testing.T) {
	e := &rebornEngine{fakeEngine: &fakeEngine{resident: map[string]int64{}}}
	e.startedAtMs.Store(1)
	began := time.Now()
	c := &controller.Controller{
		Replica: fuchsiaspoke.Replica{ID: "engine_1", StartedAtMs: 1}, Model: "m", Engine: e, Owner: "vm_1", Fence: 7,
		Limits: fuchsiaspoke.EngineLimits{
			BatchSize: 96, CacheTokens: 180_000, AdapterSlots: 2, WeightsMB: 16_500,
			Models: map[string]fuchsiaspoke.Model{"m": {WeightsMB: 16_000, AdapterMB: 14}},
		},
		Clock: func() time.Duration { return time.Since(began) },
		Owns:  func() bool { return true }, OnOrder: func() {}, OnForeignOrder: func() {}, Pause: e.pause,
		Log: func(string, ...any) {}, LatestVersion: func(string) int64 { return 1 },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := c.Run(ctx)
	defer func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}()
	incarnation := func(id string) (out fuchsiaspoke.ReplicaIncarnation) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = c.Admit(ctx, newRequest(id, "a1"), func(reply fuchsiaspoke.AdmissionReply) error {
			if reply.Granted {
				out = reply.Incarnation
				cancel()
			}
			return nil
		})
		return out
	}
	if got := incarnation("r1"); got.StartedAtMs != 1 {
		t.Fatalf("admission to the process %+v, want that started at 1", got)
	}
	e.mu.Lock()
	e.resident, e.orders = map[string]int64{}, 0
	e.mu.Unlock()
	e.startedAtMs.Store(2)
	time.Sleep(3 * time.Second)
	if got := incarnation("r2"); got.StartedAtMs != 2 {
		t.Errorf("3 s after the restart, admission to the process started at %d, want 2 or none", got.StartedAtMs)
	}
}
