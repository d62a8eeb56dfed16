package executor_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/idempotency/executor"
)

// clock is a fake clock that the test moves.
type clock struct{ nanos atomic.Int64 }

func (c *clock) now() time.Duration       { return time.Duration(c.nanos.Load()) }
func (c *clock) advance(by time.Duration) { c.nanos.Add(int64(by)) }

// ages gives each key the age zero at first sight.
type ages struct {
	clock *clock
	born  map[string]time.Duration
}

func (a *ages) Age(key, _ string) (time.Duration, error) {
	if _, ok := a.born[key]; !ok {
		a.born[key] = a.clock.now()
	}
	return a.clock.now() - a.born[key], nil
}

// sendFunc is a sender.
type sendFunc func(ctx context.Context, call fuchsiaspoke.Call, begun func() error) (fuchsiaspoke.Reply, error)

func (f sendFunc) Send(ctx context.Context, call fuchsiaspoke.Call, begun func() error) (fuchsiaspoke.Reply, error) {
	return f(ctx, call, begun)
}

func answer(_ context.Context, call fuchsiaspoke.Call, begun func() error) (fuchsiaspoke.Reply, error) {
	if err := begun(); err != nil {
		return fuchsiaspoke.Reply{}, err
	}
	return fuchsiaspoke.Reply{Status: 200, Body: call.Body}, nil
}

func newExecutor(c *clock, s sendFunc) *executor.Executor {
	return &executor.Executor{Keys: &ages{clock: c, born: map[string]time.Duration{}}, Sender: s, Clock: c.now}
}

func newCall(key, body string) fuchsiaspoke.Call {
	return fuchsiaspoke.Call{Account: "saathi", Method: "POST", Path: "/seats", Body: []byte(body), IdempotencyKey: key}
}

// outcome puts an answer into a word: fresh, replayed, or the refusal's code and run.
func outcome(reply fuchsiaspoke.Reply, err error) string {
	var refusal *fuchsiaspoke.Refusal
	switch {
	case errors.As(err, &refusal):
		return fmt.Sprintf("%s %s", refusal.Code, refusal.Run)
	case err != nil:
		return err.Error()
	case reply.Replayed:
		return "replayed " + string(reply.Body)
	}
	return "fresh " + string(reply.Body)
}

func requireOutcome(t *testing.T, e *executor.Executor, key, want string) {
	t.Helper()
	if got := outcome(e.Do(context.Background(), newCall(key, "1"))); got != want {
		t.Errorf("%s: got %q, want %q", key, got, want)
	}
}

func ExampleExecutor_Do() {
	e := newExecutor(&clock{}, answer)
	for _, body := range []string{"seat 4", "seat 4", "seat 5"} {
		fmt.Println(outcome(e.Do(context.Background(), newCall("k", body))))
	}
	// Output:
	// fresh seat 4
	// replayed seat 4
	// idempotency_key_reused not_run
}

func TestBoundsOfTheRecord(t *testing.T) {
	c := &clock{}
	e := newExecutor(c, answer)
	e.MaxRecords = 2
	requireOutcome(t, e, "a", "fresh 1")
	requireOutcome(t, e, "b", "fresh 1")
	requireOutcome(t, e, "c", "overloaded not_run")
	c.advance(15 * time.Minute)
	requireOutcome(t, e, "c", "idempotency_key_not_issued not_run")
	c.advance(24*time.Hour - 15*time.Minute - 1)
	requireOutcome(t, e, "a", "replayed 1")
	c.advance(1)
	requireOutcome(t, e, "a", "outcome_unknown unknown")
	requireOutcome(t, e, "c", "outcome_unknown unknown")
	requireOutcome(t, e, "d", "fresh 1")
	e.MaxRecords = 0
	e.MaxAccountRecords = 1
	requireOutcome(t, e, "e", "overloaded not_run")
}

// TestSuspendedBeforeSend asserts that a process that wakes late sends nothing, and that the key may be tried again.
func TestSuspendedBeforeSend(t *testing.T) {
	c := &clock{}
	suspended := true
	e := newExecutor(c, func(ctx context.Context, call fuchsiaspoke.Call, begun func() error) (fuchsiaspoke.Reply, error) {
		if suspended {
			c.advance(time.Minute)
		}
		return answer(ctx, call, begun)
	})
	requireOutcome(t, e, "a", "deadline_exceeded not_run")
	suspended = false
	requireOutcome(t, e, "a", "fresh 1")
}

// TestUnknownStays asserts that a call whose answer was lost isn't sent again, whatever the sender says of it.
func TestUnknownStays(t *testing.T) {
	sends := 0
	notRun := &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeNoUpstream, Run: fuchsiaspoke.NotRun}
	e := newExecutor(&clock{}, func(_ context.Context, _ fuchsiaspoke.Call, begun func() error) (fuchsiaspoke.Reply, error) {
		sends++
		_ = begun()
		return fuchsiaspoke.Reply{}, notRun
	})
	requireOutcome(t, e, "a", "outcome_unknown unknown")
	requireOutcome(t, e, "a", "outcome_unknown unknown")
	if sends != 1 {
		t.Errorf("%d sends", sends)
	}
}

// TestGivingUpLeavesTheAttempt asserts that no caller cancels an attempt, and that who gives up is told unknown.
func TestGivingUpLeavesTheAttempt(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{})
	e := newExecutor(&clock{}, func(ctx context.Context, call fuchsiaspoke.Call, begun func() error) (fuchsiaspoke.Reply, error) {
		close(entered)
		<-release
		if ctx.Err() != nil {
			return fuchsiaspoke.Reply{}, ctx.Err()
		}
		return answer(ctx, call, begun)
	})
	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan string)
	do := func(ctx context.Context) { results <- outcome(e.Do(ctx, newCall("a", "1"))) }
	go do(ctx)
	<-entered
	go do(ctx)
	cancel()
	for range 2 {
		if got := <-results; got != "outcome_unknown unknown" {
			t.Errorf("gave up: %s", got)
		}
	}
	go do(context.Background())
	close(release)
	if got := <-results; got != "replayed 1" {
		t.Errorf("joined: %s", got)
	}
}
