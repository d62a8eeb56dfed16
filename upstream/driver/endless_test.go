package driver_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/endless"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/driver"
)

const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	firstChunk = `data: {"request_id":"own","index":0,"text":"a","tokens":1,"adapter":{"name":"violin","version":3}}` + "\n\n"
	// generationTimeout is the time left of a test's generation, and givenUpWithin the time in which an endless one must have ended.
	generationTimeout = 12 * time.Second
	givenUpWithin     = 6 * time.Second
)

func TestEndlessStreamIsGivenUp(t *testing.T) {
	for name, e := range map[string]*endless.Endless{
		"head":                   {Start: "HTTP/1.1 200 OK\r\n", Part: "X-More: more\r\n"},
		"trickled head":          {Start: "HTTP/1.1 200 OK\r\n", Part: "X: m\r\n", Interval: 20 * time.Millisecond},
		"line":                   {Start: streamHead + firstChunk + "data: ", Part: "more"},
		"comments":               {Start: streamHead + firstChunk, Part: ": more\n"},
		"trickled comments":      {Start: streamHead + firstChunk, Part: ": more\n", Interval: 20 * time.Millisecond},
		"empty lines":            {Start: streamHead + firstChunk, Part: "\n"},
		"repeated chunk":         {Start: streamHead + firstChunk, Part: firstChunk},
		"trickled repeated ones": {Start: streamHead + firstChunk, Part: firstChunk, Interval: 20 * time.Millisecond},
		"refusal":                {Start: "HTTP/1.1 503 Service Unavailable\r\n\r\n", Part: " "},
		"trickled refusal":       {Start: "HTTP/1.1 503 Service Unavailable\r\n\r\n", Part: " ", Interval: 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			address, err := e.Listen()
			if err != nil {
				t.Fatal(err)
			}
			defer e.Close()
			expectGivenUp(t, address)
			if taken := e.Taken(); taken > 64<<20 {
				t.Errorf("%d bytes were taken", taken)
			}
		})
	}
}

// Chunks with rising numbers and no tokens do not use up the tokens of their generation.
func TestEndlessChunksWithoutTokensAreGivenUp(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/completions") || r.URL.Path == "/v1/resume" {
			for n := 0; r.Context().Err() == nil; n++ {
				_, _ = fmt.Fprintf(w, `data: {"request_id":"own","index":%d,"tokens":0,"adapter":{"name":"violin","version":3}}`+"\n\n", n)
			}
		}
	}))
	defer engine.Close()
	expectGivenUp(t, engine.Listener.Addr().String())
}

// expectGivenUp fails the test unless a generation at the address ends soon, with a refusal that does not say that it did not run.
func expectGivenUp(t *testing.T, address string) {
	t.Helper()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	d := &driver.Driver{
		Client: &http.Client{Transport: transport}, Upstream: fuchsiaspoke.Upstream{ID: "engine_0", Address: address},
		ProgressTimeout: 150 * time.Millisecond, ProbeTimeout: 300 * time.Millisecond,
	}
	ctx, cancel := context.WithTimeout(context.Background(), generationTimeout)
	defer cancel()
	began := time.Now()
	err := d.Generate(ctx, generation("own", 20), func(fuchsiaspoke.Chunk) error { return nil })
	if took := time.Since(began); took > givenUpWithin {
		t.Errorf("took %v, want at most %v", took, givenUpWithin)
	}
	refusal := refusalOf(err)
	if refusal == nil || refusal.Run == fuchsiaspoke.NotRun || !strings.Contains(err.Error(), "engine_0 at "+address) {
		t.Errorf("error %v, want a refusal that names the upstream and does not say not run", err)
	}
}

func refusalOf(err error) *fuchsiaspoke.Refusal {
	var refusal *fuchsiaspoke.Refusal
	errors.As(err, &refusal)
	return refusal
}
