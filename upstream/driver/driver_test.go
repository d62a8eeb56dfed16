package driver_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/engine"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/fault"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/store"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/driver"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

var seed = flag.Int64("seed", 1, "seed of the random runs")

var adapter = fuchsiaspoke.Adapter{Name: "violin", Version: 3}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// bench is a served engine with the adapter loaded, and its driver.
type bench struct {
	*driver.Driver
	engine    *engine.Engine
	transport *http.Transport
}

func start(t *testing.T, e *engine.Engine) bench {
	t.Helper()
	e.Store = &store.Store{LoadsPerSecond: 1000, LoadTime: time.Millisecond}
	e.StepBase = 2 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx, l) }()
	transport := &http.Transport{}
	d := &driver.Driver{
		Client:          &http.Client{Transport: transport},
		Upstream:        fuchsiaspoke.Upstream{ID: "engine_0", Address: l.Addr().String()},
		ProgressTimeout: 150 * time.Millisecond,
	}
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		transport.CloseIdleConnections()
	})
	if err := d.Load(ctx, adapter, 1); err != nil {
		t.Fatal(err)
	}
	return bench{Driver: d, engine: e, transport: transport}
}

func generation(id string, tokens int64) fuchsiaspoke.Generation {
	body, _ := json.Marshal(map[string]any{"prompt": "prompt of " + id, "model": "the caller's", "stream": false})
	return fuchsiaspoke.Generation{RequestID: id, Adapter: adapter, Body: body, MaxOutputTokens: tokens}
}

// generate runs one generation and fails the test for a chunk that is foreign or out of order.
func (b bench) generate(ctx context.Context, t *testing.T, g fuchsiaspoke.Generation, each func(n int)) (int, error) {
	n := 0
	err := b.Generate(ctx, g, func(c fuchsiaspoke.Chunk) error {
		if c.RequestID != g.RequestID || c.Adapter != g.Adapter || c.Index != int64(n) || c.Tokens != 1 {
			t.Errorf("%s: chunk %d is %+v", g.RequestID, n, c)
		}
		if c.PromptTokens == 0 {
			t.Errorf("%s: chunk %d does not count the prompt", g.RequestID, n)
		}
		n++
		if each != nil {
			each(n)
		}
		return nil
	})
	if err == nil && int64(n) != g.MaxOutputTokens {
		t.Errorf("%s: a whole answer of %d chunks, want %d", g.RequestID, n, g.MaxOutputTokens)
	}
	return n, err
}

func (b bench) run(t *testing.T, id string) record.Record {
	t.Helper()
	for range 100 {
		for _, r := range b.engine.Records() {
			if r.RequestID == id {
				return r
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("no record of %s", id)
	return record.Record{}
}

func checkRefusal(t *testing.T, err error, code fuchsiaspoke.Code, run fuchsiaspoke.Run) {
	t.Helper()
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("error %v is no refusal", err)
	}
	if refusal.Code != code || refusal.Run != run {
		t.Errorf("refusal %s with run %s, want %s with %s: %v", refusal.Code, refusal.Run, code, run, err)
	}
	if !strings.Contains(err.Error(), "engine_0 at 127.0.0.1:") {
		t.Errorf("error %q names no upstream", err)
	}
}

func TestGenerateBringsTheWholeAnswerThroughFaults(t *testing.T) {
	for name, f := range map[string]fault.Fault{
		"none":       {},
		"late":       {LateMillis: 5},
		"duplicated": {Duplicate: true},
		"crossed":    {Cross: true},
		"truncated":  {TruncateAfter: 3},
		"silent":     {Silence: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := start(t, &engine.Engine{})
			// Another answer runs, so that there is one to cross with.
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var other sync.WaitGroup
			defer other.Wait()
			defer cancel()
			other.Go(func() { b.generate(ctx, t, generation("other", 2000), nil) }) //nolint:errcheck // It only runs beside.
			_, err := b.generate(context.Background(), t, generation("own", 20), func(n int) {
				if n == 2 {
					b.engine.SetFault(f)
					time.AfterFunc(20*time.Millisecond, func() { b.engine.SetFault(fault.Fault{}) })
				}
			})
			if err != nil {
				t.Error(err)
			}
			if r := b.run(t, "own"); r.Kind != "run" || r.OutputTokens != 20 || r.Adapter != adapter {
				t.Errorf("the engine ran %+v", r)
			}
		})
	}
}

func TestGenerateSurvivesASilentPooledConnection(t *testing.T) {
	b := start(t, &engine.Engine{})
	// The holder of an engine's lease claims it first, by which the driver knows the engine's incarnation.
	if _, err := b.Claim(context.Background(), 1); err != nil {
		t.Fatal(err)
	}
	if _, err := b.generate(context.Background(), t, generation("first", 5), nil); err != nil {
		t.Fatal(err)
	}
	b.engine.SetFault(fault.Fault{Silence: true})
	if _, err := b.generate(context.Background(), t, generation("second", 5), nil); err != nil {
		t.Error(err)
	}
}

// TestGenerateIsNotSentAgainToARestartedEngine has an engine start a request, fall silent, and forget it in a restart.
func TestGenerateIsNotSentAgainToARestartedEngine(t *testing.T) {
	b := start(t, &engine.Engine{PrefillPerToken: 80 * time.Millisecond})
	ctx := context.Background()
	if _, err := b.Claim(ctx, 1); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, func() {
		b.engine.SetFault(fault.Fault{Silence: true, Restart: true})
		if err := b.Load(ctx, adapter, 1); err != nil {
			t.Error(err)
		}
	})
	_, err := b.generate(ctx, t, generation("once", 5), nil)
	checkRefusal(t, err, fuchsiaspoke.CodeUpstreamFailed, fuchsiaspoke.RunUnknown)
	runs := 0
	for _, r := range b.engine.Records() {
		if r.RequestID == "once" && r.Kind == "run" {
			runs++
		}
	}
	if runs != 1 {
		t.Errorf("the request ran %d times", runs)
	}
}

func TestGenerateRefusals(t *testing.T) {
	b := start(t, &engine.Engine{Batch: 1})
	ctx := context.Background()

	elsewhere := generation("elsewhere", 5)
	elsewhere.Adapter.Version = 4
	_, err := b.generate(ctx, t, elsewhere, nil)
	checkRefusal(t, err, fuchsiaspoke.CodeAdapterLoadFailed, fuchsiaspoke.NotRun)

	b.engine.SetFault(fault.Fault{TruncateAfter: 3})
	n, err := b.generate(ctx, t, generation("truncated", 20), nil)
	checkRefusal(t, err, fuchsiaspoke.CodeUpstreamFailed, fuchsiaspoke.Ran)
	if n != 3 {
		t.Errorf("%d chunks of a truncated answer, want 3", n)
	}
	b.engine.SetFault(fault.Fault{})

	running, stop := context.WithCancel(ctx)
	_, err = b.generate(running, t, generation("stopped", 2000), func(n int) {
		if n > 1 {
			return
		}
		queued, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := b.generate(queued, t, generation("queued", 5), nil)
		checkRefusal(t, err, fuchsiaspoke.CodeDeadline, fuchsiaspoke.NotRun)
		stop()
	})
	checkRefusal(t, err, fuchsiaspoke.CodeDeadline, fuchsiaspoke.Ran)
	if r := b.run(t, "stopped"); r.Detail != "cancelled" {
		t.Errorf("the stopped run ended as %q", r.Detail)
	}

	failed := errors.New("the caller has gone")
	err = b.Generate(ctx, generation("unread", 2000), func(fuchsiaspoke.Chunk) error { return failed })
	if !errors.Is(err, failed) || b.run(t, "unread").Detail != "cancelled" {
		t.Errorf("the sink's error came back as %v", err)
	}

	b.Check = func() error { return errors.New("the lease has ended") }
	_, err = b.generate(ctx, t, generation("unchecked", 5), nil)
	checkRefusal(t, err, fuchsiaspoke.CodeLeaseLost, fuchsiaspoke.NotRun)
	checkRefusal(t, b.Unload(ctx, adapter, 1), fuchsiaspoke.CodeLeaseLost, fuchsiaspoke.NotRun)
	b.Check = nil

	b.Upstream.Address = closedAddress(t)
	_, err = b.generate(ctx, t, generation("nowhere", 5), nil)
	checkRefusal(t, err, fuchsiaspoke.CodeUpstreamFailed, fuchsiaspoke.NotRun)
}

func TestNoHeaderButTheDriversOwn(t *testing.T) {
	b := start(t, &engine.Engine{})
	if _, err := b.generate(context.Background(), t, generation("own", 2), nil); err != nil {
		t.Fatal(err)
	}
	allowed := map[string]bool{
		"Content-Type": true, "Content-Length": true, "User-Agent": true, "X-Request-Id": true, "Accept-Encoding": true,
	}
	for name := range b.run(t, "own").Headers {
		if !allowed[name] {
			t.Errorf("the engine saw the header %s", name)
		}
	}
}

func TestOrdersCarryTheFence(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("checks_", checks), func(t *testing.T) {
			b := start(t, &engine.Engine{ChecksFence: checks, Slots: 2, ReportLag: time.Millisecond})
			ctx := context.Background()
			report, err := b.Claim(ctx, 7)
			if err != nil || report.NowMillis < report.AsOfMillis {
				t.Fatalf("claim: %+v, %v", report, err)
			}
			old := b.Load(ctx, fuchsiaspoke.Adapter{Name: "cello", Version: 1}, 6)
			if checks {
				checkRefusal(t, old, fuchsiaspoke.CodeLeaseLost, fuchsiaspoke.NotRun)
				return
			}
			if old != nil {
				t.Error(old)
			}
			full := b.Load(ctx, fuchsiaspoke.Adapter{Name: "viola", Version: 1}, 8)
			checkRefusal(t, full, fuchsiaspoke.CodeAdapterLoadFailed, fuchsiaspoke.NotRun)
			if err := b.Unload(ctx, adapter, 8); err != nil {
				t.Error(err)
			}
			time.Sleep(10 * time.Millisecond)
			report, err = b.Report(ctx)
			if err != nil || len(report.Resident) != 1 || report.Resident[0].Name != "cello" || report.Fence != 8 {
				t.Errorf("report: %+v, %v", report, err)
			}
		})
	}
}

func TestLoadIsSentAgainWhenItsConnectionGoesSilent(t *testing.T) {
	b := start(t, &engine.Engine{})
	b.engine.Store.(*store.Store).LoadTime = 50 * time.Millisecond
	time.AfterFunc(20*time.Millisecond, func() { b.engine.SetFault(fault.Fault{Silence: true}) })
	cello := fuchsiaspoke.Adapter{Name: "cello", Version: 1}
	if err := b.Load(context.Background(), cello, 1); err != nil {
		t.Fatal(err)
	}
	loads := 0
	for _, r := range b.engine.Records() {
		if r.Kind == "load" && r.Adapter == cello {
			loads++
		}
	}
	if loads != 1 {
		t.Errorf("%d loads, want 1", loads)
	}
}

// TestRandomFaults runs generations while faults come and go, and holds every outcome against the engine's record.
func TestRandomFaults(t *testing.T) {
	b := start(t, &engine.Engine{Batch: 4})
	rnd := rand.New(rand.NewSource(*seed))
	var wg sync.WaitGroup
	outcomes := make([]error, 60)
	for i := range outcomes {
		g := generation(fmt.Sprint("request_", i), 1+rnd.Int63n(30))
		patience := time.Duration(50+rnd.Intn(1500)) * time.Millisecond
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			_, outcomes[i] = b.generate(ctx, t, g, nil)
		})
		b.engine.SetFault([]fault.Fault{
			{}, {}, {Cross: true}, {Duplicate: true}, {TruncateAfter: 5}, {Silence: true}, {LateMillis: 3}, {Down: true},
		}[rnd.Intn(8)])
		time.Sleep(time.Duration(rnd.Intn(20)) * time.Millisecond)
	}
	wg.Wait()
	whole := 0
	for i, err := range outcomes {
		id := fmt.Sprint("request_", i)
		if err == nil {
			whole++
			continue
		}
		var refusal *fuchsiaspoke.Refusal
		if !errors.As(err, &refusal) {
			t.Errorf("%s: %v is no refusal", id, err)
			continue
		}
		for _, r := range b.engine.Records() {
			if r.RequestID == id && r.Kind == "run" && refusal.Run == fuchsiaspoke.NotRun {
				t.Errorf("%s: refused as not run, but %+v", id, r)
			}
		}
	}
	t.Logf("seed %d: %d of %d answers whole", *seed, whole, len(outcomes))
}

func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return l.Addr().String()
}
