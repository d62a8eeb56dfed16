package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/engine"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/fault"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/store"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startEngine serves e until the test ends and returns its base URL.
func startEngine(t *testing.T, e *engine.Engine) string {
	t.Helper()
	e.Store = &store.Store{LoadsPerSecond: 1000, LoadTime: time.Millisecond}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		http.DefaultClient.CloseIdleConnections()
	})
	return "http://" + l.Addr().String()
}

// postRequest returns the status and the part of the body that was received; the status is 0 if there was no response.
func postRequest(t *testing.T, ctx context.Context, url, id, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	got, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(got)
}

func loadAdapter(t *testing.T, url, name string) int {
	t.Helper()
	status, _ := postRequest(t, context.Background(), url+"/v1/load_lora_adapter", "", fmt.Sprintf(`{"lora_name":%q,"version":1}`, name))
	return status
}

func streamCompletion(t *testing.T, ctx context.Context, url, id, prompt string, tokens int) (int, string) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"a@1","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	return postRequest(t, ctx, url+"/v1/completions", id, body)
}

// waitForRecord polls for a record of the kind and request id for 3 s.
func waitForRecord(t *testing.T, e *engine.Engine, kind, id string) record.Record {
	t.Helper()
	for range 300 {
		for _, r := range e.Records() {
			if r.Kind == kind && r.RequestID == id {
				return r
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("no record of kind %s with request id %q within 3 s", kind, id)
	return record.Record{}
}

func TestMissingAdapterAndFullSlotsAreRefusedAndUnloadInUseIsViolation(t *testing.T) {
	e := &engine.Engine{Slots: 1}
	url := startEngine(t, e)
	ctx := context.Background()
	if status, body := streamCompletion(t, ctx, url, "early", "p", 2); status != http.StatusNotFound || !strings.Contains(body, `"not_run"`) {
		t.Errorf("completion without a resident adapter: %d %s, want 404 and not_run", status, body)
	}
	e.SetFault(fault.Fault{FailLoads: 1})
	if statuses := []int{
		loadAdapter(t, url, "a"), loadAdapter(t, url, "a"), loadAdapter(t, url, "a"), loadAdapter(t, url, "b"),
	}; fmt.Sprint(statuses) != "[500 200 200 409]" {
		t.Errorf("loads returned statuses %v, want [500 200 200 409]", statuses)
	}
	time.AfterFunc(50*time.Millisecond, func() {
		postRequest(t, ctx, url+"/v1/unload_lora_adapter", "", `{"lora_name":"a","version":1}`)
	})
	if _, body := streamCompletion(t, ctx, url, "evicted", "p", 1000); strings.Contains(body, "[DONE]") {
		t.Error("run whose adapter was unloaded has a complete response")
	}
	if r := waitForRecord(t, e, "violation", ""); !strings.Contains(r.Detail, "unloaded while in use by 1") {
		t.Errorf("violation has detail %q, want the unload while in use", r.Detail)
	}
}

func TestDisconnectedRunIsResumableAndCancelledAfterTwoSeconds(t *testing.T) {
	e := &engine.Engine{}
	url := startEngine(t, e)
	loadAdapter(t, url, "a")
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	streamCompletion(t, ctx, url, "resumed", "p", 60)
	_, body := postRequest(t, context.Background(), url+"/v1/resume", "", `{"request_id":"resumed","from_index":58}`)
	if strings.Count(body, "data: ") != 3 || !strings.Contains(body, `"index":58,`) || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("resumed response from index 58 is %s", body)
	}
	lostCtx, cancelLost := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancelLost()
	streamCompletion(t, lostCtx, url, "lost", "p", 100000)
	r := waitForRecord(t, e, "run", "lost")
	if elapsed := r.End.Sub(r.Start); r.Detail != "connection_lost" || elapsed < 2*time.Second || elapsed > 3*time.Second {
		t.Errorf("disconnected run took %s and ended with %s, want 2 s to 3 s and connection_lost", elapsed, r.Detail)
	}
}

func TestBatchedRequestsShareStepsAndPrefixCache(t *testing.T) {
	e := &engine.Engine{Batch: 8}
	url := startEngine(t, e)
	loadAdapter(t, url, "a")
	prompt := strings.Repeat("long prompt of many tokens ", 100)
	ctx := context.Background()
	done := make(chan struct{})
	start := time.Now()
	for i := range 8 {
		go func() {
			defer func() { done <- struct{}{} }()
			streamCompletion(t, ctx, url, fmt.Sprint(i), prompt, 20)
		}()
	}
	for range 8 {
		<-done
	}
	// One request alone takes 20 steps of 8.6 ms; a batch of eight takes 20 steps of 10 ms plus the prefill.
	if elapsed := time.Since(start); elapsed > 800*time.Millisecond {
		t.Errorf("batch of eight requests took %s, want at most 800 ms", elapsed)
	}
	uncachedRuns := 0
	for i := range 8 {
		if r := waitForRecord(t, e, "run", fmt.Sprint(i)); r.CachedTokens < r.PromptTokens-16 {
			uncachedRuns++
		}
	}
	if uncachedRuns != 1 {
		t.Errorf("%d of eight equal prompts missed the prefix cache, want 1", uncachedRuns)
	}
}

func TestReportLagsAndRestartClearsState(t *testing.T) {
	e := &engine.Engine{ReportLag: 150 * time.Millisecond, ChecksFence: true}
	url := startEngine(t, e)
	before := e.Incarnation()
	loadAdapter(t, url, "a")
	postRequest(t, context.Background(), url+"/v1/fence", "", `{"fence":5}`)
	if r := getReport(t, url); len(r.Resident) != 0 || r.Fence != 0 {
		t.Errorf("report before ReportLag passed shows later state: %+v", r)
	}
	time.Sleep(200 * time.Millisecond)
	if r := getReport(t, url); len(r.Resident) != 1 || r.Fence != 5 || r.NowMillis-r.AsOfMillis != 150 {
		t.Errorf("report after ReportLag: %+v, want one resident adapter, fence 5 and a lag of 150 ms", r)
	}
	if status, _ := postRequest(t, context.Background(), url+"/v1/fence", "", `{"fence":4}`); status != http.StatusConflict {
		t.Errorf("old fencing token returned status %d, want 409", status)
	}
	if status, _ := postRequest(t, context.Background(), url+"/fault", "", `{"restart":true}`); status != http.StatusOK {
		t.Errorf("POST /fault with restart returned status %d, want 200", status)
	}
	if r := getReport(t, url); r.Incarnation == before || len(r.Resident) != 0 || r.Fence != 0 {
		t.Errorf("report after the restart shows earlier state: %+v", r)
	}
}

func getReport(t *testing.T, url string) fuchsiaspoke.EngineReport {
	t.Helper()
	resp, err := http.Get(url + "/v1/report")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var got fuchsiaspoke.EngineReport
	body, _ := io.ReadAll(resp.Body)
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&got); err != nil {
		t.Fatal(err)
	}
	return got
}
