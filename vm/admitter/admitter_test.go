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

// scriptedRouter refuses its deliveries one after another.
type scriptedRouter struct {
	refusals []*fuchsiaspoke.Refusal
	ids      []string
}

func (r *scriptedRouter) Deliver(_ context.Context, g fuchsiaspoke.Generation, _ func(fuchsiaspoke.Chunk) error) error {
	r.ids = append(r.ids, g.RequestID)
	return r.refusals[len(r.ids)-1]
}

type openSpender struct{}

func (openSpender) Announce(context.Context, fuchsiaspoke.TokenAsk) error { return nil }

func (openSpender) Update(context.Context, fuchsiaspoke.TokenUpdate) error { return nil }

type openBudget struct{}

func (openBudget) Take() bool { return true }

func published(t *testing.T) catalog.Catalog {
	t.Helper()
	body := `{"kind":"profiles","items":[{"name":"guide","open":true,"open_account":"visitors","base_model":"base",` +
		`"adapter":{"name":"patan","version":1},"max_output_tokens":8}]}`
	c, err := catalog.Catalog{}.With(fuchsiaspoke.Document{Name: "profiles", Revision: 1, Body: json.RawMessage(body)})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestLostTryIsNeverCalledNotRun checks that a second try that surely did not run takes back nothing of the first.
func TestLostTryIsNeverCalledNotRun(t *testing.T) {
	c := published(t)
	r := &scriptedRouter{refusals: []*fuchsiaspoke.Refusal{
		{Code: fuchsiaspoke.CodeUpstreamFailed, Run: fuchsiaspoke.RunUnknown, RetryAfter: time.Second},
		{Code: fuchsiaspoke.CodeDeadline, Run: fuchsiaspoke.NotRun},
	}}
	a := &admitter.Admitter{
		Catalog: func() catalog.Catalog { return c }, Spender: openSpender{}, Router: r, Budget: openBudget{},
		Record: func(fuchsiaspoke.Event) {},
	}
	err := a.Generate(t.Context(), fuchsiaspoke.Generation{RequestID: "req_1", Profile: "guide"}, nil)
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.RunUnknown {
		t.Errorf("got %v, want a word that claims nothing", err)
	}
	if len(r.ids) != 2 || r.ids[0] == r.ids[1] {
		t.Errorf("tries %v, want two with ids of their own", r.ids)
	}
}
