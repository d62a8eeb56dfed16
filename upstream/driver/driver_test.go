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

// fixture is a running engine with one loaded adapter, and its driver.
type fixture struct {
	*driver.Driver
	engine    *engine.Engine
	transport *http.Transport
}

func startEngine(t *testing.T, e *engine.Engine) fixture {
	t.Helper()
	e.Store = &store.Store{LoadsPerSecond: 1000, LoadTime: time.Millisecond}
	e.StepBase = 2 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx, listener) }()
	transport := &http.Transport{}
	d := &driver.Driver{
		Client:          &http.Client{Transport: transport},
		Upstream:        fuchsiaspoke.Upstream{ID: "engine_0", Address: listener.Addr().String()},
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
	return fixture{Driver: d, engine: e, transport: transport}
}

func generation(id string, tokens int64) fuchsiaspoke.Generation {
	body, _ := json.Marshal(map[string]any{"prompt": "prompt of " + id, "model": "the caller's", "stream": false})
	return fuchsiaspoke.Generation{RequestID: id, Adapter: adapter, Body: body, MaxOutputTokens: tokens}
}

// generate runs one generation and fails the test if a chunk belongs to another request, carries another adapter or is
// out of order.
func (fx fixture) generate(ctx context.Context, t *testing.T, g fuchsiaspoke.Generation, onChunk func(n int)) (int, error) {
	n := 0
	err := fx.Generate(ctx, g, func(c fuchsiaspoke.Chunk) error {
		if c.RequestID != g.RequestID || c.Adapter != g.Adapter || c.Index != int64(n) || c.Tokens != 1 {
			t.Errorf("%s: unexpected chunk %d: %+v", g.RequestID, n, c)
		}
		if c.PromptTokens == 0 {
			t.Errorf("%s: chunk %d has no prompt token count", g.RequestID, n)
		}
		n++
		if onChunk != nil {
			onChunk(n)
		}
		return nil
	})
	if err == nil && int64(n) != g.MaxOutputTokens {
		t.Errorf("%s: generation succeeded with %d chunks, want %d", g.RequestID, n, g.MaxOutputTokens)
	}
	return n, err
}

// waitForRecord returns the engine's record of the request and fails the test if there is none within about 1 s.
func (fx fixture) waitForRecord(t *testing.T, id string) record.Record {
	t.Helper()
	for range 100 {
		for _, r := range fx.engine.Records() {
			if r.RequestID == id {
				return r
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("engine has no record of request %s", id)
	return record.Record{}
}

func checkRefusal(t *testing.T, err error, code fuchsiaspoke.RefusalCode, run fuchsiaspoke.RunStatus) {
	t.Helper()
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("error %v is no refusal", err)
	}
	if refusal.Code != code || refusal.Run != run {
		t.Errorf("refusal code %s and run state %s, want %s and %s: %v", refusal.Code, refusal.Run, code, run, err)
	}
	if !strings.Contains(err.Error(), "engine_0 at 127.0.0.1:") {
		t.Errorf("error %q does not name the upstream", err)
	}
}

func TestGenerateDeliversEveryChunkOnceDespiteFaults(t *testing.T) {
	for name, f := range map[string]fault.Fault{
		"none":       {},
		"late":       {DelayMillis: 5},
		"duplicated": {Duplicate: true},
		"crossed":    {SendOtherRunsChunks: true},
		"truncated":  {TruncateAfter: 3},
		"silent":     {StallConnections: true},
	} {
		t.Run(name, func(t *testing.T) {
			fx := startEngine(t, &engine.Engine{})
			// The "crossed" fault needs a second stream to take chunks from.
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var other sync.WaitGroup
			defer other.Wait()
			defer cancel()
			other.Go(func() { fx.generate(ctx, t, generation("other", 2000), nil) }) //nolint:errcheck // Its result is not checked.
			_, err := fx.generate(context.Background(), t, generation("own", 20), func(n int) {
				if n == 2 {
					fx.engine.SetFault(f)
					time.AfterFunc(20*time.Millisecond, func() { fx.engine.SetFault(fault.Fault{}) })
				}
			})
			if err != nil {
				t.Error(err)
			}
			if r := fx.waitForRecord(t, "own"); r.Kind != "run" || r.OutputTokens != 20 || r.Adapter != adapter {
				t.Errorf("unexpected engine record %+v", r)
			}
		})
	}
}

func TestGenerateRetriesWhenThePooledConnectionStalls(t *testing.T) {
	fx := startEngine(t, &engine.Engine{})
	// As after a lease takeover, the driver learns the engine's incarnation from the claim.
	if _, err := fx.Claim(context.Background(), 1); err != nil {
		t.Fatal(err)
	}
	if _, err := fx.generate(context.Background(), t, generation("first", 5), nil); err != nil {
		t.Fatal(err)
	}
	fx.engine.SetFault(fault.Fault{StallConnections: true})
	if _, err := fx.generate(context.Background(), t, generation("second", 5), nil); err != nil {
		t.Error(err)
	}
}

// TestGenerateIsNotResentToARestartedEngine checks that a request is not run twice when the engine starts it, stops
// sending, restarts and no longer knows it.
func TestGenerateIsNotResentToARestartedEngine(t *testing.T) {
	fx := startEngine(t, &engine.Engine{PrefillPerToken: 80 * time.Millisecond})
	ctx := context.Background()
	if _, err := fx.Claim(ctx, 1); err != nil {
		t.Fatal(err)
	}
	loaded := make(chan error, 1)
	time.AfterFunc(50*time.Millisecond, func() {
		fx.engine.SetFault(fault.Fault{StallConnections: true, Restart: true})
		loaded <- fx.Load(ctx, adapter, 1)
	})
	_, err := fx.generate(ctx, t, generation("once", 5), nil)
	if err := <-loaded; err != nil {
		t.Error(err)
	}
	checkRefusal(t, err, fuchsiaspoke.CodeUpstreamFailed, fuchsiaspoke.RunUnknown)
	runs := 0
	for _, r := range fx.engine.Records() {
		if r.RequestID == "once" && r.Kind == "run" {
			runs++
		}
	}
	if runs != 1 {
		t.Errorf("the request ran %d times, want 1", runs)
	}
}

func TestGenerateErrorsCarryCodeAndRunState(t *testing.T) {
	fx := startEngine(t, &engine.Engine{Batch: 1})
	ctx := context.Background()

	otherVersion := generation("elsewhere", 5)
	otherVersion.Adapter.Version = 4
	_, err := fx.generate(ctx, t, otherVersion, nil)
	checkRefusal(t, err, fuchsiaspoke.CodeAdapterLoadFailed, fuchsiaspoke.NotRun)

	fx.engine.SetFault(fault.Fault{TruncateAfter: 3})
	n, err := fx.generate(ctx, t, generation("truncated", 20), nil)
	checkRefusal(t, err, fuchsiaspoke.CodeUpstreamFailed, fuchsiaspoke.Ran)
	if n != 3 {
		t.Errorf("%d chunks of a truncated stream, want 3", n)
	}
	fx.engine.SetFault(fault.Fault{})

	running, stop := context.WithCancel(ctx)
	_, err = fx.generate(running, t, generation("stopped", 2000), func(n int) {
		if n > 1 {
			return
		}
		queued, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := fx.generate(queued, t, generation("queued", 5), nil)
		checkRefusal(t, err, fuchsiaspoke.CodeDeadline, fuchsiaspoke.NotRun)
		stop()
	})
	checkRefusal(t, err, fuchsiaspoke.CodeDeadline, fuchsiaspoke.Ran)
	if r := fx.waitForRecord(t, "stopped"); r.Detail != "cancelled" {
		t.Errorf("the stopped request was recorded as %q, want cancelled", r.Detail)
	}

	sinkErr := errors.New("the caller has disconnected")
	err = fx.Generate(ctx, generation("unread", 2000), func(fuchsiaspoke.Chunk) error { return sinkErr })
	if !errors.Is(err, sinkErr) || fx.waitForRecord(t, "unread").Detail != "cancelled" {
		t.Errorf("Generate returned %v, want the sink's error and a cancelled request", err)
	}

	fx.CheckLease = func() error { return errors.New("the lease has expired") }
	_, err = fx.generate(ctx, t, generation("unchecked", 5), nil)
	checkRefusal(t, err, fuchsiaspoke.CodeLeaseLost, fuchsiaspoke.NotRun)
	checkRefusal(t, fx.Unload(ctx, adapter, 1), fuchsiaspoke.CodeLeaseLost, fuchsiaspoke.NotRun)
	fx.CheckLease = nil

	fx.Upstream.Address = unusedAddress(t)
	_, err = fx.generate(ctx, t, generation("nowhere", 5), nil)
	checkRefusal(t, err, fuchsiaspoke.CodeUpstreamFailed, fuchsiaspoke.NotRun)
}

func TestGenerateSendsOnlyTheDriversHeaders(t *testing.T) {
	fx := startEngine(t, &engine.Engine{})
	if _, err := fx.generate(context.Background(), t, generation("own", 2), nil); err != nil {
		t.Fatal(err)
	}
	allowed := map[string]bool{
		"Content-Type": true, "Content-Length": true, "User-Agent": true, "X-Request-Id": true, "Accept-Encoding": true,
	}
	for name := range fx.waitForRecord(t, "own").Headers {
		if !allowed[name] {
			t.Errorf("the engine received the unexpected header %s", name)
		}
	}
}

func TestLoadsAndUnloadsCarryTheFencingToken(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		t.Run(fmt.Sprint("checks_", checksFence), func(t *testing.T) {
			fx := startEngine(t, &engine.Engine{ChecksFence: checksFence, Slots: 2, ReportLag: time.Millisecond})
			ctx := context.Background()
			report, err := fx.Claim(ctx, 7)
			if err != nil || report.NowMillis < report.AsOfMillis {
				t.Fatalf("claim: %+v, %v", report, err)
			}
			staleErr := fx.Load(ctx, fuchsiaspoke.Adapter{Name: "cello", Version: 1}, 6)
			if checksFence {
				checkRefusal(t, staleErr, fuchsiaspoke.CodeLeaseLost, fuchsiaspoke.NotRun)
				return
			}
			if staleErr != nil {
				t.Error(staleErr)
			}
			fullErr := fx.Load(ctx, fuchsiaspoke.Adapter{Name: "viola", Version: 1}, 8)
			checkRefusal(t, fullErr, fuchsiaspoke.CodeAdapterLoadFailed, fuchsiaspoke.NotRun)
			if err := fx.Unload(ctx, adapter, 8); err != nil {
				t.Error(err)
			}
			time.Sleep(10 * time.Millisecond)
			report, err = fx.Report(ctx)
			if err != nil || len(report.Resident) != 1 || report.Resident[0].Name != "cello" || report.Fence != 8 {
				t.Errorf("report: %+v, %v", report, err)
			}
		})
	}
}

func TestLoadIsResentWhenItsConnectionStalls(t *testing.T) {
	fx := startEngine(t, &engine.Engine{})
	fx.engine.Store.(*store.Store).LoadTime = 50 * time.Millisecond
	time.AfterFunc(20*time.Millisecond, func() { fx.engine.SetFault(fault.Fault{StallConnections: true}) })
	cello := fuchsiaspoke.Adapter{Name: "cello", Version: 1}
	if err := fx.Load(context.Background(), cello, 1); err != nil {
		t.Fatal(err)
	}
	loads := 0
	for _, r := range fx.engine.Records() {
		if r.Kind == "load" && r.Adapter == cello {
			loads++
		}
	}
	if loads != 1 {
		t.Errorf("%d loads, want 1", loads)
	}
}

// TestRandomFaultsNeverReportARequestThatRanAsNotRun runs generations under random faults and checks each refusal
// against the engine's records.
func TestRandomFaultsNeverReportARequestThatRanAsNotRun(t *testing.T) {
	fx := startEngine(t, &engine.Engine{Batch: 4})
	rnd := rand.New(rand.NewSource(*seed))
	var wg sync.WaitGroup
	outcomes := make([]error, 60)
	for i := range outcomes {
		g := generation(fmt.Sprint("request_", i), 1+rnd.Int63n(30))
		timeout := time.Duration(50+rnd.Intn(1500)) * time.Millisecond
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			_, outcomes[i] = fx.generate(ctx, t, g, nil)
		})
		fx.engine.SetFault([]fault.Fault{
			{}, {}, {SendOtherRunsChunks: true}, {Duplicate: true}, {TruncateAfter: 5}, {StallConnections: true}, {DelayMillis: 3}, {Down: true},
		}[rnd.Intn(8)])
		time.Sleep(time.Duration(rnd.Intn(20)) * time.Millisecond)
	}
	wg.Wait()
	completed := 0
	for i, err := range outcomes {
		id := fmt.Sprint("request_", i)
		if err == nil {
			completed++
			continue
		}
		var refusal *fuchsiaspoke.Refusal
		if !errors.As(err, &refusal) {
			t.Errorf("%s: %v is no refusal", id, err)
			continue
		}
		for _, r := range fx.engine.Records() {
			if r.RequestID == id && r.Kind == "run" && refusal.Run == fuchsiaspoke.NotRun {
				t.Errorf("%s: refused as not run, but the engine recorded %+v", id, r)
			}
		}
	}
	t.Logf("seed %d: %d of %d generations completed", *seed, completed, len(outcomes))
}

func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}
