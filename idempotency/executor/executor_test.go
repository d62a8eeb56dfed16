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

// clock is a fake clock that the test advances.
type clock struct{ nanos atomic.Int64 }

func (c *clock) now() time.Duration       { return time.Duration(c.nanos.Load()) }
func (c *clock) advance(by time.Duration) { c.nanos.Add(int64(by)) }

// fakeKeys treats each key as issued when its age is first requested.
type fakeKeys struct {
	clock    *clock
	issuedAt map[string]time.Duration
}

func (k *fakeKeys) Age(key, _ string) (time.Duration, error) {
	if _, ok := k.issuedAt[key]; !ok {
		k.issuedAt[key] = k.clock.now()
	}
	return k.clock.now() - k.issuedAt[key], nil
}

// sendFunc is a function that implements the executor's sender.
type sendFunc func(ctx context.Context, call fuchsiaspoke.Call, beforeSend func() error) (fuchsiaspoke.Reply, error)

func (f sendFunc) Send(ctx context.Context, call fuchsiaspoke.Call, beforeSend func() error) (fuchsiaspoke.Reply, error) {
	return f(ctx, call, beforeSend)
}

// echo answers with the call's body.
func echo(_ context.Context, call fuchsiaspoke.Call, beforeSend func() error) (fuchsiaspoke.Reply, error) {
	if err := beforeSend(); err != nil {
		return fuchsiaspoke.Reply{}, err
	}
	return fuchsiaspoke.Reply{Status: 200, Body: call.Body}, nil
}

func newExecutor(c *clock, s sendFunc) *executor.Executor {
	return &executor.Executor{Keys: &fakeKeys{clock: c, issuedAt: map[string]time.Duration{}}, Sender: s, Clock: c.now}
}

func newCall(key, body string) fuchsiaspoke.Call {
	return fuchsiaspoke.Call{Account: "saathi", Method: "POST", Path: "/seats", Body: []byte(body), IdempotencyKey: key}
}

// outcome formats an answer as "fresh" or "replayed" with its body, and a refusal as its code and run.
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
	e := newExecutor(&clock{}, echo)
	for _, body := range []string{"seat 4", "seat 4", "seat 5"} {
		fmt.Println(outcome(e.Do(context.Background(), newCall("k", body))))
	}
	// Output:
	// fresh seat 4
	// replayed seat 4
	// idempotency_key_reused not_run
}

func TestRecordsExpireAndFullTableRefusesNewKeys(t *testing.T) {
	c := &clock{}
	e := newExecutor(c, echo)
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

// A process that resumes after the start timeout must not send, since the caller may have received a final answer. The
// key returns to idle, so that a retry succeeds.
func TestProcessSuspendedBeforeSendSendsNothingAndKeyStaysUsable(t *testing.T) {
	c := &clock{}
	suspended := true
	e := newExecutor(c, func(ctx context.Context, call fuchsiaspoke.Call, beforeSend func() error) (fuchsiaspoke.Reply, error) {
		if suspended {
			c.advance(time.Minute)
		}
		return echo(ctx, call, beforeSend)
	})
	requireOutcome(t, e, "a", "deadline_exceeded not_run")
	suspended = false
	requireOutcome(t, e, "a", "fresh 1")
}

// A call whose answer was lost after beforeSend succeeded must not be sent again, even if the sender returns not_run.
func TestCallWithUnknownOutcomeIsNotSentAgain(t *testing.T) {
	sends := 0
	notRun := &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeNoUpstream, Run: fuchsiaspoke.NotRun}
	e := newExecutor(&clock{}, func(_ context.Context, _ fuchsiaspoke.Call, beforeSend func() error) (fuchsiaspoke.Reply, error) {
		sends++
		_ = beforeSend()
		return fuchsiaspoke.Reply{}, notRun
	})
	requireOutcome(t, e, "a", "outcome_unknown unknown")
	requireOutcome(t, e, "a", "outcome_unknown unknown")
	if sends != 1 {
		t.Errorf("call sent %d times, want 1", sends)
	}
}

// Cancelled callers must receive outcome_unknown while the attempt continues, and a later caller its answer.
func TestCancelledCallerDoesNotCancelTheAttempt(t *testing.T) {
	release := make(chan struct{})
	sendEntered := make(chan struct{})
	e := newExecutor(&clock{}, func(ctx context.Context, call fuchsiaspoke.Call, beforeSend func() error) (fuchsiaspoke.Reply, error) {
		close(sendEntered)
		<-release
		if ctx.Err() != nil {
			return fuchsiaspoke.Reply{}, ctx.Err()
		}
		return echo(ctx, call, beforeSend)
	})
	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan string)
	submit := func(ctx context.Context) { results <- outcome(e.Do(ctx, newCall("a", "1"))) }
	go submit(ctx)
	<-sendEntered
	go submit(ctx)
	cancel()
	for range 2 {
		if got := <-results; got != "outcome_unknown unknown" {
			t.Errorf("cancelled caller: got %q, want outcome_unknown", got)
		}
	}
	go submit(context.Background())
	close(release)
	if got := <-results; got != "replayed 1" {
		t.Errorf("later caller: got %q, want the attempt's answer", got)
	}
}
