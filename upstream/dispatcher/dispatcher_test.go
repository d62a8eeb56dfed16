package dispatcher_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/dispatcher"
)

var seed = flag.Int64("seed", 1, "seed of the random runs")

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// testLease is a lease and a clock that the test controls.
type testLease struct {
	started     time.Time
	clockOffset atomic.Int64
	fence       atomic.Int64
	until       atomic.Int64
}

func newLease(fence int64) *testLease {
	l := &testLease{started: time.Now()}
	l.fence.Store(fence)
	l.until.Store(int64(time.Hour))
	return l
}

func (l *testLease) now() time.Duration {
	return time.Since(l.started) + time.Duration(l.clockOffset.Load())
}

func (l *testLease) current(now time.Duration) (fuchsiaspoke.Lease, bool) {
	until := time.Duration(l.until.Load())
	return fuchsiaspoke.Lease{Fence: l.fence.Load(), Until: until}, now < until
}

func (l *testLease) expire() {
	l.until.Store(0)
}

// countedPermits fails every 11th request and counts the outstanding permits.
type countedPermits struct {
	requested, outstanding atomic.Int64
}

func (p *countedPermits) Acquire(ctx context.Context, _ string) (func(bool), error) {
	if p.requested.Add(1)%11 == 0 {
		return nil, errors.New("no permit available")
	}
	select {
	case <-time.After(time.Millisecond):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	p.outstanding.Add(1)
	return func(bool) { p.outstanding.Add(-1) }, nil
}

// fixture is a running dispatcher with its lease.
type fixture struct {
	*dispatcher.Dispatcher
	lease  *testLease
	cancel context.CancelFunc
}

func startDispatcher(t *testing.T, e *fakeEngine, fence int64, options ...func(*fixture)) *fixture {
	t.Helper()
	f := &fixture{lease: newLease(fence)}
	f.Dispatcher = &dispatcher.Dispatcher{
		Upstream:    fuchsiaspoke.Upstream{ID: "engine-1", AdapterSlots: e.slots, BatchSize: e.batch},
		Engine:      e,
		Lease:       f.lease.current,
		Clock:       f.lease.now,
		OnViolation: func(detail string) { panic(detail) },
	}
	for _, option := range options {
		option(f)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go func() { _ = f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-f.Done()
	})
	return f
}

// response counts the chunks of a submitted request and holds its error once done is closed.
type response struct {
	chunks atomic.Int64
	err    error
	done   chan struct{}
}

// submitAsync submits the generation in a goroutine.
func (f *fixture) submitAsync(g fuchsiaspoke.Generation) *response {
	a := &response{done: make(chan struct{})}
	go func() {
		defer close(a.done)
		a.err = f.Submit(context.Background(), g, func(fuchsiaspoke.Chunk) error {
			a.chunks.Add(1)
			return nil
		})
	}()
	return a
}

// expectComplete waits for the end and checks that every chunk was delivered without an error.
func (a *response) expectComplete(t *testing.T, g fuchsiaspoke.Generation) {
	t.Helper()
	<-a.done
	if a.err != nil || a.chunks.Load() != g.MaxOutputTokens {
		t.Errorf("%s: %d of %d chunks, error %v", g.RequestID, a.chunks.Load(), g.MaxOutputTokens, a.err)
	}
}

// expectRefusal waits for the end and checks the refusal's code and run.
func (a *response) expectRefusal(t *testing.T, code fuchsiaspoke.RefusalCode, run fuchsiaspoke.RunStatus) {
	t.Helper()
	<-a.done
	if r := asRefusal(t, a.err); r.Code != code || r.Run != run {
		t.Errorf("refused with %s %s, want %s %s", r.Code, r.Run, code, run)
	}
}

func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for range 3000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("condition not met within 3000 checks: " + condition)
}

func request(id, account string, adapter int, output int64) fuchsiaspoke.Generation {
	return fuchsiaspoke.Generation{
		RequestID:       id,
		Account:         account,
		Adapter:         fuchsiaspoke.Adapter{Name: fmt.Sprint("adapter-", adapter/2), Version: int64(1 + adapter%2)},
		PromptTokens:    10,
		MaxOutputTokens: output,
		MaxWait:         3 * time.Second,
	}
}

func asRefusal(t *testing.T, err error) fuchsiaspoke.Refusal {
	t.Helper()
	var r *fuchsiaspoke.Refusal
	if !errors.As(err, &r) {
		t.Fatalf("error %v is not a Refusal", err)
	}
	return *r
}

func expectNoViolations(t *testing.T, e *fakeEngine) {
	t.Helper()
	violations, _, peak := e.observed()
	for _, violation := range violations {
		t.Error(violation)
	}
	if peak > e.batch {
		t.Errorf("%d requests ran concurrently with a batch of %d", peak, e.batch)
	}
}

// submitWithRetry submits again after refusals as not run, as an entry VM does.
func submitWithRetry(ctx context.Context, f *fixture, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	for {
		err := f.Submit(ctx, g, sink)
		var r *fuchsiaspoke.Refusal
		if !errors.As(err, &r) || r.Run != fuchsiaspoke.NotRun || ctx.Err() != nil || r.Code == fuchsiaspoke.CodeDeadline {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestResponsesStayConsistentUnderRandomFailures combines concurrent callers with cancellations, failed loads, engine restarts
// and lost leases, and checks the chunks of every response.
func TestResponsesStayConsistentUnderRandomFailures(t *testing.T) {
	const callers, requests = 40, 25
	e := newEngine(4, 8)
	r := rand.New(rand.NewPCG(uint64(*seed), 1))
	var loadAttempts atomic.Int64
	e.failLoad = func(fuchsiaspoke.Adapter) bool { return loadAttempts.Add(1)%7 == 0 }
	permits := &countedPermits{}
	f := startDispatcher(t, e, 1, func(f *fixture) { f.Permits = permits })
	var wg sync.WaitGroup
	var completed, refused, interrupted atomic.Int64
	for c := range callers {
		callerRand := rand.New(rand.NewPCG(r.Uint64(), uint64(c)))
		wg.Go(func() {
			for i := range requests {
				g := request(fmt.Sprintf("r-%d-%d", c, i), fmt.Sprint("account-", c%5), int(callerRand.ExpFloat64()*4), 1+callerRand.Int64N(20))
				ctx, cancel := context.WithCancel(context.Background())
				if callerRand.IntN(10) == 0 {
					time.AfterFunc(time.Duration(callerRand.Int64N(int64(20*time.Millisecond))), cancel)
				}
				next := int64(0)
				err := submitWithRetry(ctx, f, g, func(c fuchsiaspoke.Chunk) error {
					if c.RequestID != g.RequestID || c.Adapter != g.Adapter || c.Index != next {
						t.Errorf("chunk %+v delivered for request %+v", c, g)
					}
					next++
					return nil
				})
				cancel()
				switch {
				case err == nil && next == g.MaxOutputTokens:
					completed.Add(1)
				case err == nil:
					t.Errorf("response of %d tokens ended after %d", g.MaxOutputTokens, next)
				case asRefusal(t, err).Run == fuchsiaspoke.NotRun:
					refused.Add(1)
					if next > 0 {
						t.Errorf("refused as not run after %d chunks", next)
					}
				default:
					interrupted.Add(1)
				}
			}
		})
	}
	for fence := int64(2); fence < 5; fence++ {
		time.Sleep(100 * time.Millisecond)
		e.restart()
		time.Sleep(100 * time.Millisecond)
		f.lease.expire()
		time.Sleep(20 * time.Millisecond)
		f.lease.fence.Store(fence)
		f.lease.until.Store(int64(time.Hour))
	}
	wg.Wait()
	_, loads, peak := e.observed()
	t.Logf("seed %d: %d completed, %d refused as not run, %d interrupted, %d loads, peak batch %d",
		*seed, completed.Load(), refused.Load(), interrupted.Load(), loads, peak)
	expectNoViolations(t, e)
	f.cancel()
	<-f.Done()
	if n := permits.outstanding.Load(); n != 0 {
		t.Errorf("%d permits not released", n)
	}
	if completed.Load() < callers*requests/2 {
		t.Errorf("only %d requests completed", completed.Load())
	}
}

// TestEngineRestartBeforeFirstTokenCausesNoResend restarts the engine before the first token. The request may have consumed
// its reserved tokens, so it must not be sent again.
func TestEngineRestartBeforeFirstTokenCausesNoResend(t *testing.T) {
	e := newEngine(1, 1)
	e.tokenTime = 300 * time.Millisecond
	f := startDispatcher(t, e, 1)
	time.AfterFunc(150*time.Millisecond, e.restart)
	err := submitWithRetry(context.Background(), f, request("once", "account", 0, 3), func(fuchsiaspoke.Chunk) error { return nil })
	e.mu.Lock()
	sends := e.sends["once"]
	e.mu.Unlock()
	if sends != 1 {
		t.Errorf("request sent %d times under one token reservation", sends)
	}
	if got := asRefusal(t, err); got.Code != fuchsiaspoke.CodeUpstreamFailed || got.Run != fuchsiaspoke.RunUnknown {
		t.Errorf("refused as %s with run %s", got.Code, got.Run)
	}
}
