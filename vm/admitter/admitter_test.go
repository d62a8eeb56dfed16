package admitter_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/catalog"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/admitter"
	"github.com/pkg/errors"
)

// scriptedRouter returns refusal i for delivery i and records the request ids.
type scriptedRouter struct {
	refusals   []*fuchsiaspoke.Refusal
	requestIDs []string
}

func (r *scriptedRouter) Deliver(_ context.Context, g fuchsiaspoke.Generation, _ func(fuchsiaspoke.Chunk) error) error {
	r.requestIDs = append(r.requestIDs, g.RequestID)
	return r.refusals[len(r.requestIDs)-1]
}

type unlimitedTokens struct{}

func (unlimitedTokens) Announce(context.Context, fuchsiaspoke.TokenRequest) error { return nil }

func (unlimitedTokens) Update(context.Context, fuchsiaspoke.TokenUpdate) error { return nil }

type unlimitedBudget struct{}

func (unlimitedBudget) Take() bool { return true }

func newCatalog(t *testing.T) catalog.Catalog {
	t.Helper()
	body := `{"kind":"profiles","items":[{"name":"guide","open":true,"open_account":"visitors","base_model":"base",` +
		`"adapter":{"name":"patan","version":1},"max_output_tokens":8}]}`
	c, err := catalog.Catalog{}.With(fuchsiaspoke.Document{Name: "profiles", Revision: 1, Body: json.RawMessage(body)})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestUnknownOutcomeStaysUnknownWhenRetryDidNotRun guards against reporting not_run for a generation whose first attempt may
// have run, because its second attempt did not.
func TestUnknownOutcomeStaysUnknownWhenRetryDidNotRun(t *testing.T) {
	c := newCatalog(t)
	r := &scriptedRouter{refusals: []*fuchsiaspoke.Refusal{
		{Code: fuchsiaspoke.CodeUpstreamFailed, Run: fuchsiaspoke.RunUnknown, RetryAfter: time.Second},
		{Code: fuchsiaspoke.CodeDeadline, Run: fuchsiaspoke.NotRun},
	}}
	a := &admitter.Admitter{
		Catalog: func() catalog.Catalog { return c }, TokenClient: unlimitedTokens{}, Router: r, Budget: unlimitedBudget{},
		Record: func(fuchsiaspoke.Event) {},
	}
	err := a.Generate(t.Context(), fuchsiaspoke.Generation{RequestID: "req_1", Profile: "guide"}, nil)
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.RunUnknown {
		t.Errorf("got %v, want a refusal with an unknown outcome", err)
	}
	if len(r.requestIDs) != 2 || r.requestIDs[0] == r.requestIDs[1] {
		t.Errorf("request ids of the attempts %v, want two different ones", r.requestIDs)
	}
}
