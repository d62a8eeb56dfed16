package dispatcher_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// fakeEngine is an in-memory engine that records invariant violations; it ignores fencing tokens unless checksFence is set.
type fakeEngine struct {
	slots, batch int
	loadTime     time.Duration
	tokenTime    time.Duration
	checksFence  bool
	// failLoad reports whether a load of the adapter fails.
	failLoad func(a fuchsiaspoke.Adapter) bool
	// stalls reports whether the request's stream delivers no further chunk.
	stalls func(requestID string) bool

	mu         sync.Mutex
	started    time.Time
	restarts   int
	fence      int64
	resident   map[fuchsiaspoke.Adapter]bool
	running    map[string]*engineRequest
	violations []string
	loads      int
	evictions  int
	peak       int
	sends      map[string]int
}

// engineRequest is one running request.
type engineRequest struct {
	adapter fuchsiaspoke.Adapter
	stop    chan struct{}
}

func newEngine(slots, batch int) *fakeEngine {
	return &fakeEngine{
		slots:     slots,
		batch:     batch,
		loadTime:  3 * time.Millisecond,
		tokenTime: 500 * time.Microsecond,
		started:   time.Now(),
		resident:  make(map[fuchsiaspoke.Adapter]bool),
		running:   make(map[string]*engineRequest),
		sends:     make(map[string]int),
	}
}

func (e *fakeEngine) Load(ctx context.Context, a fuchsiaspoke.Adapter, fence int64) error {
	if err := e.wait(ctx, e.loadTime); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isStale(fence) {
		return errors.New("old fence")
	}
	if e.failLoad != nil && e.failLoad(a) {
		return errors.New("weights not found")
	}
	if !e.resident[a] && len(e.resident) >= e.slots {
		return errors.New("no free slot")
	}
	e.resident[a] = true
	e.loads++
	return nil
}

func (e *fakeEngine) Unload(_ context.Context, a fuchsiaspoke.Adapter, fence int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isStale(fence) {
		return errors.New("old fence")
	}
	for id, r := range e.running {
		if r.adapter == a {
			e.violations = append(e.violations, fmt.Sprintf("evicted %s@%d in use by %s", a.Name, a.Version, id))
		}
	}
	delete(e.resident, a)
	e.evictions++
	return nil
}

func (e *fakeEngine) Claim(_ context.Context, fence int64) (fuchsiaspoke.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isStale(fence) {
		return fuchsiaspoke.EngineReport{}, errors.New("old fence")
	}
	e.fence = max(e.fence, fence)
	return e.report(), nil
}

func (e *fakeEngine) Report(context.Context) (fuchsiaspoke.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report(), nil
}

func (e *fakeEngine) Generate(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	r, err := e.start(g)
	if err != nil {
		return err
	}
	defer e.end(g.RequestID, r)
	for i := range g.MaxOutputTokens {
		if e.stalls != nil && e.stalls(g.RequestID) {
			<-ctx.Done()
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.stop:
			return errors.New("connection reset")
		case <-time.After(e.tokenTime):
		}
		c := fuchsiaspoke.Chunk{RequestID: g.RequestID, Index: i, Text: "x", Tokens: 1, Adapter: g.Adapter}
		if i == g.MaxOutputTokens-1 {
			c.FinishReason = "stop"
		}
		if err := sink(c); err != nil {
			return err
		}
	}
	return nil
}

func (e *fakeEngine) Cancel(_ context.Context, requestID string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, requestID)
	return nil
}

func (e *fakeEngine) start(g fuchsiaspoke.Generation) (*engineRequest, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sends[g.RequestID]++
	if e.isStale(g.Fence) {
		return nil, &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeUpstreamFailed, Run: fuchsiaspoke.NotRun, Status: http.StatusConflict}
	}
	if !e.resident[g.Adapter] && g.Adapter.Name != "" {
		return nil, &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeUpstreamFailed, Run: fuchsiaspoke.NotRun, Status: http.StatusNotFound}
	}
	if e.running[g.RequestID] != nil {
		e.violations = append(e.violations, "request sent while it was already running: "+g.RequestID)
	}
	r := &engineRequest{adapter: g.Adapter, stop: make(chan struct{})}
	e.running[g.RequestID] = r
	e.peak = max(e.peak, len(e.running))
	return r, nil
}

func (e *fakeEngine) end(requestID string, r *engineRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[requestID] == r {
		delete(e.running, requestID)
	}
}

// restart starts a new incarnation without adapters and fencing token, and breaks the running streams.
func (e *fakeEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restarts++
	e.started = time.Now()
	e.fence = 0
	clear(e.resident)
	for _, r := range e.running {
		close(r.stop)
	}
	clear(e.running)
}

// report returns the engine's state; mu must be held.
func (e *fakeEngine) report() fuchsiaspoke.EngineReport {
	r := fuchsiaspoke.EngineReport{
		AsOfMillis:  time.Since(e.started).Milliseconds(),
		Incarnation: fmt.Sprint("incarnation-", e.restarts),
		Fence:       e.fence,
	}
	uses := make(map[fuchsiaspoke.Adapter]int64)
	for _, run := range e.running {
		uses[run.adapter]++
	}
	for a := range e.resident {
		r.Resident = append(r.Resident, a)
	}
	for a, n := range uses {
		r.Running = append(r.Running, fuchsiaspoke.AdapterUse{Adapter: a, Requests: n})
	}
	return r
}

func (e *fakeEngine) isStale(fence int64) bool {
	return e.checksFence && fence < e.fence
}

func (e *fakeEngine) wait(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}

func (e *fakeEngine) observed() (violations []string, loads, peak int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.violations...), e.loads, e.peak
}

func (e *fakeEngine) sendCount(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sends[requestID]
}

// hidingEngine omits running requests from reports, so that adapters pinned by a takeover are unpinned while in use.
type hidingEngine struct {
	*fakeEngine
}

func (e hidingEngine) Claim(ctx context.Context, fence int64) (fuchsiaspoke.EngineReport, error) {
	r, err := e.fakeEngine.Claim(ctx, fence)
	r.Running = nil
	return r, err
}

func (e hidingEngine) Report(ctx context.Context) (fuchsiaspoke.EngineReport, error) {
	r, err := e.fakeEngine.Report(ctx)
	r.Running = nil
	return r, err
}
