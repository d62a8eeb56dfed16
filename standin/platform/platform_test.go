package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/standin/fault"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/platform"
)

func call(p *platform.Platform, method, path string) (int, string) {
	w := httptest.NewRecorder()
	p.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader("1")))
	return w.Code, strings.TrimSpace(w.Body.String())
}

func ExamplePlatform_Publish() {
	p := &platform.Platform{}
	p.Publish("keys", json.RawMessage(`[]`))
	p.Publish("vms", json.RawMessage(`["a"]`))
	fmt.Println(call(p, http.MethodGet, "/v1/values/vms"))
	fmt.Println(call(p, http.MethodGet, "/v1/changes?after=1&wait_ms=0"))
	fmt.Println(call(p, http.MethodGet, "/v1/changes?after=2&wait_ms=0"))
	// Output:
	// 200 {"name":"vms","revision":2,"body":["a"]}
	// 200 {"revision":2,"changed":[{"name":"vms","revision":2}]}
	// 200 {"revision":2,"changed":[]}
}

func TestFaultsChangeWhatReadsReturn(t *testing.T) {
	for name, c := range map[string]struct {
		fault fault.Fault
		want  string
	}{
		"none":      {fault.Fault{}, "200 3, 200 3"},
		"down":      {fault.Fault{Down: true}, "503 0, 503 0"},
		"stale":     {fault.Fault{MaxVisibleRevision: 1}, "200 1, 200 1"},
		"backwards": {fault.Fault{AlternateOldRevisions: true}, "200 3, 200 1"},
		"list_lag":  {fault.Fault{ListLagMillis: 60000}, "404 0, 404 0"},
	} {
		t.Run(name, func(t *testing.T) {
			p := &platform.Platform{}
			p.Publish("vms", json.RawMessage(`1`))
			p.Publish("keys", json.RawMessage(`1`))
			p.Publish("vms", json.RawMessage(`2`))
			p.SetFault(c.fault)
			var got []string
			for range 2 {
				status, body := call(p, http.MethodGet, "/v1/values/vms")
				var doc struct {
					Revision int64 `json:"revision"`
				}
				if err := json.Unmarshal([]byte(body), &doc); err != nil {
					t.Error(err)
				}
				got = append(got, fmt.Sprint(status, " ", doc.Revision))
			}
			if strings.Join(got, ", ") != c.want {
				t.Errorf("reads returned statuses and revisions %q, want %q", got, c.want)
			}
		})
	}
}

func TestWatchReturnsOnPublishAndOnCancellation(t *testing.T) {
	p := &platform.Platform{}
	time.AfterFunc(50*time.Millisecond, func() { p.Publish("keys", json.RawMessage(`1`)) })
	start := time.Now()
	_, body := call(p, http.MethodGet, "/v1/changes?after=0&wait_ms=5000")
	if elapsed := time.Since(start); !strings.Contains(body, `"keys"`) || elapsed > time.Second {
		t.Errorf("watch returned %s after %s, want keys within 1 s", body, elapsed)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/v1/changes?after=1&wait_ms=5000", nil)
	p.Handler().ServeHTTP(httptest.NewRecorder(), r)
}

func TestWritesAndCallsAboveRateLimitAreRefusedAndRecorded(t *testing.T) {
	p := &platform.Platform{CallsPerSecond: 3}
	var got []int
	for _, method := range []string{http.MethodPut, http.MethodPost, http.MethodDelete} {
		status, _ := call(p, method, "/v1/values/keys")
		got = append(got, status)
	}
	for range 4 {
		status, _ := call(p, http.MethodGet, "/v1/values/keys")
		got = append(got, status)
	}
	if fmt.Sprint(got) != "[405 405 405 404 404 404 429]" {
		t.Errorf("calls returned statuses %v, want [405 405 405 404 404 404 429]", got)
	}
	writes := 0
	for _, r := range p.Records() {
		if r.Kind == "write" {
			writes++
		}
	}
	if writes != 3 || len(p.Records()) != 7 {
		t.Errorf("recorded %d writes of %d calls, want 3 of 7", writes, len(p.Records()))
	}
}
