package listener_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/listener"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

// fakeAdmitter responds to each generation with two chunks, or refuses it if its profile is "full", and records all requests.
type fakeAdmitter struct {
	generations []fuchsiaspoke.Generation
	calls       []fuchsiaspoke.Call
}

func (a *fakeAdmitter) Generate(_ context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	a.generations = append(a.generations, g)
	if g.Profile == "full" {
		return &fuchsiaspoke.Refusal{
			Code: fuchsiaspoke.CodeRateExceeded, Message: "rate limit exceeded", Run: fuchsiaspoke.NotRun,
			Status: http.StatusTooManyRequests, RetryAfter: 1500 * time.Millisecond,
		}
	}
	if err := sink(fuchsiaspoke.Chunk{RequestID: g.RequestID, Text: "welcome ", Tokens: 1, PromptTokens: 3}); err != nil {
		return err
	}
	return sink(fuchsiaspoke.Chunk{RequestID: g.RequestID, Index: 1, Text: "home", Tokens: 1, FinishReason: "stop"})
}

func (a *fakeAdmitter) Call(_ context.Context, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error) {
	a.calls = append(a.calls, call)
	return fuchsiaspoke.Reply{Status: http.StatusCreated, ContentType: "text/plain", Body: []byte("done")}, nil
}

func newListener(a *fakeAdmitter) *listener.Listener {
	return &listener.Listener{
		Admitter:       a,
		Models:         func(string) ([]string, error) { return []string{"guide"}, nil },
		EntryVMs:       func(fuchsiaspoke.Zone) []fuchsiaspoke.VM { return []fuchsiaspoke.VM{{CallerAddress: "127.0.0.1:8080"}} },
		Ready:          func() bool { return true },
		Draining:       func() bool { return false },
		ObserveRefusal: func(*fuchsiaspoke.Refusal) {},
	}
}

// TestOfficialOpenAIClientWorksUnchanged calls the API with the official OpenAI client for Go, unmodified.
func TestOfficialOpenAIClientWorksUnchanged(t *testing.T) {
	a := &fakeAdmitter{}
	server := httptest.NewServer(newListener(a).Handler())
	defer server.Close()
	client := openai.NewClient(option.WithBaseURL(server.URL+"/v1/"), option.WithAPIKey("sk-caller"), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model: "guide", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
	completion, err := client.Chat.Completions.New(t.Context(), params)
	if err != nil {
		t.Fatal(err)
	}
	if got := completion.Choices[0].Message.Content; got != "welcome home" || completion.Usage.TotalTokens != 5 {
		t.Errorf("got %q and %d tokens", got, completion.Usage.TotalTokens)
	}
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	var text strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if stream.Err() != nil || text.String() != "welcome home" {
		t.Errorf("streamed %q, error %v", text.String(), stream.Err())
	}
	models, err := client.Models.List(t.Context())
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != "guide" {
		t.Errorf("models %+v, error %v", models, err)
	}
}

// TestRefusalCarriesErrorBodyAndRetryAfter checks the error body, and that Retry-After is rounded up to whole seconds.
func TestRefusalCarriesErrorBodyAndRetryAfter(t *testing.T) {
	w := post(newListener(&fakeAdmitter{}), "/v1/completions", `{"model":"full","prompt":"x"}`)
	want := `{"error":{"message":"rate limit exceeded","type":"invalid_request_error","param":null,"code":"rate_exceeded","run":"not_run"}}`
	if got := strings.TrimSpace(w.Body.String()); w.Code != http.StatusTooManyRequests || got != want || w.Header().Get("Retry-After") != "2" {
		t.Errorf("got %d %s Retry-After %q", w.Code, got, w.Header().Get("Retry-After"))
	}
}

// FuzzCompletion checks that no body causes an internal error, and that admitted generations have a profile and no negative
// token counts.
func FuzzCompletion(f *testing.F) {
	f.Add(`{"model":"guide","prompt":"hello","max_tokens":3}`)
	f.Add(`{"model":"guide","messages":[{"role":"user","content":"hello"}],"stream":true}`)
	f.Add(`{"model":"guide","prompt":["a",1,null],"n":2}`)
	f.Add(`{"model":"\u0000","prompt":{"a":`)
	f.Fuzz(func(t *testing.T, body string) {
		a := &fakeAdmitter{}
		w := post(newListener(a), "/v1/completions", body)
		if w.Code == http.StatusInternalServerError {
			t.Errorf("body %q caused an internal error: %s", body, w.Body)
		}
		for _, g := range a.generations {
			if g.PromptTokens < 0 || g.MaxOutputTokens < 0 || g.Profile == "" {
				t.Errorf("body %q was admitted as %+v", body, g)
			}
		}
	})
}

// FuzzServicePath checks that a call's path reaches the admitter without "/../" and without the caller's key.
func FuzzServicePath(f *testing.F) {
	for _, path := range []string{"fees", "fees/7?x=1", "a/../fees", "%2e%2e/fees", "a//b", "fees?key=sk-caller", "%73k-caller"} {
		f.Add(path)
	}
	f.Fuzz(func(t *testing.T, path string) {
		r, err := http.NewRequest(http.MethodPost, "http://127.0.0.1/v1/services/seats/"+path, strings.NewReader("{}"))
		if err != nil {
			t.Skip()
		}
		a := &fakeAdmitter{}
		serve(newListener(a), r)
		for _, call := range a.calls {
			if strings.Contains(call.Path, "sk-caller") || strings.Contains(call.Path, "/../") {
				t.Errorf("path %q reached the admitter as %q", path, call.Path)
			}
		}
	})
}

func post(l *listener.Listener, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	return serve(l, r)
}

func serve(l *listener.Listener, r *http.Request) *httptest.ResponseRecorder {
	r.Header.Set("Authorization", "Bearer sk-caller")
	w := httptest.NewRecorder()
	l.Handler().ServeHTTP(w, r)
	return w
}

// brokenAdmitter fails each generation after its first chunk.
type brokenAdmitter struct{ fakeAdmitter }

func (a *brokenAdmitter) Generate(_ context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	if err := sink(fuchsiaspoke.Chunk{RequestID: g.RequestID, Text: "welcome ", Tokens: 1}); err != nil {
		return err
	}
	return &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeUpstreamFailed, Message: "engine ended", Run: fuchsiaspoke.Ran}
}

// The caller receives the error event, and no last chunk, so that the response does not look complete to it.
func TestStreamThatFailsIsNotFramedAsComplete(t *testing.T) {
	l := newListener(&fakeAdmitter{})
	l.Admitter = &brokenAdmitter{}
	server := httptest.NewServer(l.Handler())
	defer server.Close()
	response, err := http.Post(server.URL+"/v1/completions", "application/json",
		strings.NewReader(`{"model":"guide","prompt":"hello","stream":true}`))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil || !strings.Contains(string(body), "engine ended") {
		t.Errorf("body %q, error %v, want the error event and an aborted connection", body, err)
	}
}
