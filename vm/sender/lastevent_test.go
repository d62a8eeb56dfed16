package sender_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// A caller sends Last-Event-Id on a route whose streams can't be resumed. The header means nothing there, and engines serve.
func TestLastEventOnRouteThatCannotResumeIsNoReasonToRefuse(t *testing.T) {
	f := newTakeover(t, 2, soundEngine)
	f.route.Resumable = false
	req := fuchsiaspoke.AdmittedRequest{
		ID: "r", Service: "texts", Arrived: f.Clock(), Deadline: f.Clock() + requestTimeout, Route: f.route, LastEvent: "3",
		Demand: fuchsiaspoke.Demand{Model: "m", PromptTokens: 100, OutputTokens: 10},
	}
	m := fuchsiaspoke.Message{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}}
	if err := f.Serve(context.Background(), req, m, &streamWriter{}); err != nil {
		t.Errorf("refused: %v", err)
	}
}
