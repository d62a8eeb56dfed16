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

func start(t *testing.T, e *engine.Engine) string {
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

// post returns the status and the body as far as it came.
func post(t *testing.T, ctx context.Context, url, id, body string) (int, string) {
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

func load(t *testing.T, url, name string) int {
	t.Helper()
	status, _ := post(t, context.Background(), url+"/v1/load_lora_adapter", "", fmt.Sprintf(`{"lora_name":%q,"version":1}`, name))
	return status
}

func complete(t *testing.T, ctx context.Context, url, id, prompt string, tokens int) (int, string) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"a@1","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	return post(t, ctx, url+"/v1/completions", id, body)
}

func find(t *testing.T, e *engine.Engine, kind, id string) record.Record {
	t.Helper()
	for range 300 {
		for _, r := range e.Records() {
			if r.Kind == kind && r.RequestID == id {
				return r
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("no record of kind %s with id %q", kind, id)
	return record.Record{}
}

func TestSlotsAndEvictionInUse(t *testing.T) {
	e := &engine.Engine{Slots: 1}
	url := start(t, e)
	ctx := context.Background()
	if status, body := complete(t, ctx, url, "early", "p", 2); status != http.StatusNotFound || !strings.Contains(body, `"not_run"`) {
		t.Errorf("a run without its adapter: %d %s", status, body)
	}
	e.SetFault(fault.Fault{FailLoads: 1})
	if got := []int{load(t, url, "a"), load(t, url, "a"), load(t, url, "a"), load(t, url, "b")}; fmt.Sprint(got) != "[500 200 200 409]" {
		t.Errorf("loads answered %v", got)
	}
	time.AfterFunc(50*time.Millisecond, func() {
		post(t, ctx, url+"/v1/unload_lora_adapter", "", `{"lora_name":"a","version":1}`)
	})
	if _, body := complete(t, ctx, url, "evicted", "p", 1000); strings.Contains(body, "[DONE]") {
		t.Error("a run whose adapter went away has a whole answer")
	}
	if r := find(t, e, "violation", ""); !strings.Contains(r.Detail, "evicted in use by 1") {
		t.Errorf("violation %q", r.Detail)
	}
}

func TestARunOutlivesItsConnectionForTwoSeconds(t *testing.T) {
	e := &engine.Engine{}
	url := start(t, e)
	load(t, url, "a")
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	complete(t, ctx, url, "resumed", "p", 60)
	_, body := post(t, context.Background(), url+"/v1/resume", "", `{"request_id":"resumed","from_index":58}`)
	if strings.Count(body, "data: ") != 3 || !strings.Contains(body, `"index":58,`) || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("the rest of the answer is %s", body)
	}
	lost, stop := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer stop()
	complete(t, lost, url, "lost", "p", 100000)
	r := find(t, e, "run", "lost")
	if took := r.End.Sub(r.Start); r.Detail != "connection_lost" || took < 2*time.Second || took > 3*time.Second {
		t.Errorf("the lost run took %s and ended as %s", took, r.Detail)
	}
}

func TestBatchSharesStepsAndPrefixes(t *testing.T) {
	e := &engine.Engine{Batch: 8}
	url := start(t, e)
	load(t, url, "a")
	prompt := strings.Repeat("long prompt of many tokens ", 100)
	ctx := context.Background()
	done := make(chan struct{})
	began := time.Now()
	for i := range 8 {
		go func() {
			defer func() { done <- struct{}{} }()
			complete(t, ctx, url, fmt.Sprint(i), prompt, 20)
		}()
	}
	for range 8 {
		<-done
	}
	// Alone one takes 20 steps of 8.6 ms; eight in one batch take 20 steps of 10 ms and prefills.
	if took := time.Since(began); took > 800*time.Millisecond {
		t.Errorf("a batch of eight took %s", took)
	}
	fresh := 0
	for i := range 8 {
		if r := find(t, e, "run", fmt.Sprint(i)); r.CachedTokens < r.PromptTokens-16 {
			fresh++
		}
	}
	if fresh != 1 {
		t.Errorf("%d of eight equal prompts were not in the cache, want 1", fresh)
	}
}

func TestReportLagsAndRestartIsCold(t *testing.T) {
	e := &engine.Engine{ReportLag: 150 * time.Millisecond, ChecksFence: true}
	url := start(t, e)
	before := e.Incarnation()
	load(t, url, "a")
	post(t, context.Background(), url+"/v1/fence", "", `{"fence":5}`)
	if r := report(t, url); len(r.Resident) != 0 || r.Fence != 0 {
		t.Errorf("a report without its lag: %+v", r)
	}
	time.Sleep(200 * time.Millisecond)
	if r := report(t, url); len(r.Resident) != 1 || r.Fence != 5 || r.NowMillis-r.AsOfMillis != 150 {
		t.Errorf("a late report: %+v", r)
	}
	if status, _ := post(t, context.Background(), url+"/v1/fence", "", `{"fence":4}`); status != http.StatusConflict {
		t.Errorf("an old fence was answered with %d", status)
	}
	if status, _ := post(t, context.Background(), url+"/fault", "", `{"restart":true}`); status != http.StatusOK {
		t.Errorf("restart was answered with %d", status)
	}
	if r := report(t, url); r.Incarnation == before || len(r.Resident) != 0 || r.Fence != 0 {
		t.Errorf("a report after the restart: %+v", r)
	}
}

func report(t *testing.T, url string) fuchsiaspoke.EngineReport {
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
