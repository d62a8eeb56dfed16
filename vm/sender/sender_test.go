package sender_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/assessor"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/broker"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/sender"
)

// strangers are the peers of a VM that heard none.
type strangers struct{}

func (strangers) View(string) (fuchsiaspoke.EngineView, fuchsiaspoke.EngineClaim, bool) {
	return fuchsiaspoke.EngineView{}, fuchsiaspoke.EngineClaim{}, false
}
func (strangers) VM(string) (fuchsiaspoke.VM, bool) { return fuchsiaspoke.VM{}, false }
func (strangers) Silence() time.Duration            { return time.Second }

type freeBudget struct{}

func (freeBudget) Add(string)       {}
func (freeBudget) Take(string) bool { return true }

// noSink takes no answer, since nothing is sent.
type noSink struct{ t *testing.T }

func (s noSink) Head(status int, _ http.Header, _ int) { s.t.Errorf("answered %d", status) }
func (noSink) Body([]byte) error                       { return nil }

// The pattern: all VMs start anew at once, and none orders for an engine for the next seconds. A caller that returns sooner
// is refused again, and has no third try.
func TestCallersReturnWhenEnginesAreOrderedFor(t *testing.T) {
	const opens = 3 * time.Second
	published := &fuchsiaspoke.Published{
		Contract: &fuchsiaspoke.Contract{Services: map[string]fuchsiaspoke.Service{
			"texts": {Engine: &fuchsiaspoke.EngineLimits{AdapterSlots: 8}},
		}},
		Replicas: map[string]fuchsiaspoke.Replica{"e": {ID: "e", Service: "texts", State: fuchsiaspoke.ReplicaReady}},
	}
	clock := func() time.Duration { return time.Second }
	s := &sender.Sender{
		Published: func() *fuchsiaspoke.Published { return published }, Broker: &broker.Broker{Peers: strangers{}, Clock: clock},
		Assessor: &assessor.Assessor{}, Budget: freeBudget{}, Clock: clock, Log: func(string, ...any) {},
		OpensIn: func() time.Duration { return opens },
	}
	w := fuchsiaspoke.Work{
		ID: "r", Service: "texts", Deadline: 9 * time.Second, Route: fuchsiaspoke.ServiceRoute{Timeout: 8 * time.Second, MaxAttempts: 2},
		Demand: fuchsiaspoke.Demand{Model: "m", Adapter: "a", PromptTokens: 100},
	}
	for range 20 {
		err := s.Serve(context.Background(), w, fuchsiaspoke.Message{}, noSink{t})
		var refusal *fuchsiaspoke.Refusal
		if !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.NotRun {
			t.Fatalf("%v, want a refusal that says not run", err)
		}
		if refusal.RetryAfter < opens || refusal.RetryAfter > 2*opens {
			t.Fatalf("come back after %v, engines are ordered for after %v", refusal.RetryAfter, opens)
		}
	}
}
