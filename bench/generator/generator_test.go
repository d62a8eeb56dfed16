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

// run sends a second's load of generations, about twenty, to a VM that answers completions with the given handler.
func run(t *testing.T, complete http.HandlerFunc) []outcome.Outcome {
	t.Helper()
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	mux.HandleFunc("GET /v1/entry", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, fmt.Sprintf(`{"addresses":[%q],"keep_seconds":1}`, address))
	})
	mux.HandleFunc("POST /v1/completions", complete)
	guild := fuchsiaspoke.ClientAccount{Name: "guild"}
	g := generator.Generator{
		Scenario: scenario.Scenario{
			Adapters: 2, ZipfExponent: 1.1, PromptBytes: 100, MaxOutputTokens: 10, Duration: time.Second,
			Tenants: []account.Account{{Account: guild, GenerationsPerSecond: 20}},
		},
		Entries: []string{address}, Keys: map[string]string{"guild": "secret"}, Seed: 1,
	}
	return g.Run(context.Background(), time.Now())
}

// answer writes what the caller may no longer read.
func answer(w http.ResponseWriter, body string) {
	_, _ = w.Write([]byte(body))
}

func TestOutcomesOfAnswersThatAreNotWhole(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   string
		want   string
	}{
		"refused":  {429, `{"error":{"code":"rate_exceeded","run":"not_run"}}`, "whole=false cut=false wrong=false rate_exceeded not_run"},
		"cut":      {200, "data: {\"choices\":[{\"text\":\"\"}]}\n\n", "whole=false cut=true wrong=false  "},
		"failed":   {200, "data: {\"error\":{\"code\":\"upstream_failed\",\"run\":\"ran\"}}\n\n", "whole=false cut=true wrong=false upstream_failed ran"},
		"foreign":  {200, "data: {\"choices\":[{\"text\":\"adapter_9@1/01234567/0 \"}]}\n\ndata: [DONE]\n\n", "whole=false cut=false wrong=true  "},
		"no words": {200, "data: [DONE]\n\n", "whole=false cut=false wrong=false  "},
	} {
		t.Run(name, func(t *testing.T) {
			for _, o := range run(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				answer(w, c.body)
			}) {
				got := fmt.Sprintf("whole=%t cut=%t wrong=%t %s %s", o.Whole, o.Cut, o.Wrong, o.Code, o.Run)
				if got != c.want {
					t.Fatalf("outcome %s, want %s", got, c.want)
				}
			}
		})
	}
}

func TestAStallIsCountedFromTheIntendedStart(t *testing.T) {
	began := time.Now()
	stalled := run(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Until(began.Add(1500 * time.Millisecond)))
		answer(w, "data: {\"choices\":[{\"text\":\"\"}]}\n\n")
	})
	if len(stalled) < 10 {
		t.Fatalf("%d arrivals in a second, want about twenty", len(stalled))
	}
	for _, o := range stalled {
		if first := o.Intended.Add(o.FirstToken); first.Before(began.Add(1500 * time.Millisecond)) {
			t.Errorf("first token at %s", first.Sub(began))
		}
	}
}
