package generator_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/account"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/generator"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/outcome"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/scenario"
)

// sendLoad sends about twenty generations within one second to a fake VM that handles completions with complete.
func sendLoad(t *testing.T, complete http.HandlerFunc) []outcome.Outcome {
	t.Helper()
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	mux.HandleFunc("GET /v1/entry", func(w http.ResponseWriter, _ *http.Request) {
		writeBody(w, fmt.Sprintf(`{"addresses":[%q],"keep_seconds":1}`, address))
	})
	mux.HandleFunc("POST /v1/completions", complete)
	guild := fuchsiaspoke.ClientAccount{Name: "guild"}
	g := generator.Generator{
		Scenario: scenario.Scenario{
			Adapters: 2, ZipfExponent: 1.1, PromptBytes: 100, MaxOutputTokens: 10, Duration: time.Second,
			AccountLoads: []account.Account{{Account: guild, GenerationsPerSecond: 20}},
		},
		EntryAddresses: []string{address}, APIKeys: map[string]string{"guild": "secret"}, Seed: 1,
	}
	return g.Run(context.Background(), time.Now())
}

// writeBody ignores write errors, as the caller may have disconnected.
func writeBody(w http.ResponseWriter, body string) {
	_, _ = w.Write([]byte(body))
}

func TestUnsuccessfulAnswersAreClassified(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   string
		want   string
	}{
		"refused":                {429, `{"error":{"code":"rate_exceeded","run":"not_run"}}`, "complete=false truncated=false wrong=false rate_exceeded not_run"},
		"truncated":              {200, "data: {\"choices\":[{\"text\":\"\"}]}\n\n", "complete=false truncated=true wrong=false  "},
		"failed":                 {200, "data: {\"error\":{\"code\":\"upstream_failed\",\"run\":\"ran\"}}\n\n", "complete=false truncated=true wrong=false upstream_failed ran"},
		"other adapter's answer": {200, "data: {\"choices\":[{\"text\":\"adapter_9@1/01234567/0 \"}]}\n\ndata: [DONE]\n\n", "complete=false truncated=false wrong=true  "},
		"no tokens":              {200, "data: [DONE]\n\n", "complete=false truncated=false wrong=false  "},
	} {
		t.Run(name, func(t *testing.T) {
			for _, o := range sendLoad(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				writeBody(w, c.body)
			}) {
				got := fmt.Sprintf("complete=%t truncated=%t wrong=%t %s %s", o.Complete, o.Truncated, o.Wrong, o.ErrorCode, o.Run)
				if got != c.want {
					t.Fatalf("outcome is %s, want %s", got, c.want)
				}
			}
		})
	}
}

func TestTimeToFirstTokenCountsStallFromIntendedStart(t *testing.T) {
	start := time.Now()
	outcomes := sendLoad(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Until(start.Add(1500 * time.Millisecond)))
		writeBody(w, "data: {\"choices\":[{\"text\":\"\"}]}\n\n")
	})
	if len(outcomes) < 10 {
		t.Fatalf("%d requests sent in one second, want about twenty", len(outcomes))
	}
	for _, o := range outcomes {
		if firstTokenAt := o.Intended.Add(o.TimeToFirstToken); firstTokenAt.Before(start.Add(1500 * time.Millisecond)) {
			t.Errorf("first token measured %s after the start of the load, want at least the 1.5 s stall", firstTokenAt.Sub(start))
		}
	}
}
