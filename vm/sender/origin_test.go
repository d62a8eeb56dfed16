package sender_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// recordedOrigin is the origin of each stream.
type recordedOrigin struct {
	noOrigins
	fuchsiaspoke.StreamOrigin
}

func (o recordedOrigin) Find(context.Context, fuchsiaspoke.StreamQuestion) (fuchsiaspoke.StreamOrigin, bool) {
	return o.StreamOrigin, true
}

// A new contract turns the split of a route round, so that a resumed stream would go to another service than the one that began it.
func TestResumedStreamGoesToServiceThatBeganIt(t *testing.T) {
	for _, c := range []struct {
		name    string
		targets []fuchsiaspoke.WeightedService
		served  bool
	}{
		{"still a target", []fuchsiaspoke.WeightedService{{Service: "other", Weight: 90}, {Service: "texts", Weight: 10}}, true},
		{"no target any more", []fuchsiaspoke.WeightedService{{Service: "other", Weight: 100}}, false},
	} {
		f := newTakeover(t, 2, soundEngine)
		f.Origins = recordedOrigin{StreamOrigin: fuchsiaspoke.StreamOrigin{Service: "texts"}}
		f.route.Targets = c.targets
		req := fuchsiaspoke.AdmittedRequest{
			ID: "r", Service: "other", Arrived: f.Clock(), Deadline: f.Clock() + 2*time.Second, Route: f.route, LastEvent: "3", BegunBy: "b",
			Demand: fuchsiaspoke.Demand{Model: "m", PromptTokens: 100, OutputTokens: 10},
		}
		m := fuchsiaspoke.Message{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}}
		err := f.Serve(context.Background(), req, m, &streamWriter{})
		var refusal *fuchsiaspoke.Refusal
		if c.served != (err == nil) || !c.served && (!errors.As(err, &refusal) || refusal.Code != fuchsiaspoke.CodeNotResumable) {
			t.Errorf("%s: error %v, want served %v", c.name, err, c.served)
		}
	}
}
