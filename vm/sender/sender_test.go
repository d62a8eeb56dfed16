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
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/exchanger"
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

// witness is the peers of a VM that knows an engine which nobody orders for; the engine begins to leave once it was looked at.
type witness struct {
	strangers
	looked *bool
}

func (w witness) View(engine string) (fuchsiaspoke.EngineView, fuchsiaspoke.EngineClaim, bool) {
	*w.looked = true
	view := fuchsiaspoke.EngineView{
		Engine: fuchsiaspoke.ReplicaIncarnation{ID: engine}, Resident: []fuchsiaspoke.Adapter{{Name: "a", Version: 1}},
	}
	return view, fuchsiaspoke.EngineClaim{Over: true}, true
}

// The pattern: a request waits for its turn while the engine that it was to go to begins to leave (saathi-meet, scale-1,
// seed 1076688273602: sent 2.3 s after the leaving was published).
func TestAnEngineThatBeganToLeaveGetsNoWaitingRequest(t *testing.T) {
	looked := false
	published := func() *fuchsiaspoke.Published {
		state := fuchsiaspoke.ReplicaReady
		if looked {
			state = fuchsiaspoke.ReplicaDraining
		}
		return &fuchsiaspoke.Published{
			Contract: &fuchsiaspoke.Contract{Services: map[string]fuchsiaspoke.Service{
				"texts": {Engine: &fuchsiaspoke.EngineLimits{AdapterSlots: 8}},
			}},
			Replicas: map[string]fuchsiaspoke.Replica{"e": {ID: "e", Service: "texts", State: state}},
		}
	}
	clock := func() time.Duration { return time.Second }
	s := &sender.Sender{
		Published: published, Broker: &broker.Broker{Peers: witness{looked: &looked}, Clock: clock}, Exchanger: &exchanger.Exchanger{},
		Dialect: noDialect{t}, Assessor: &assessor.Assessor{}, Budget: freeBudget{}, Clock: clock, Log: func(string, ...any) {},
		OpensIn: func() time.Duration { return 0 },
	}
	w := fuchsiaspoke.Work{
		ID: "r", Service: "texts", Deadline: 9 * time.Second, Route: fuchsiaspoke.ServiceRoute{Timeout: 8 * time.Second, MaxAttempts: 2},
		Demand: fuchsiaspoke.Demand{Model: "m", Adapter: "a", PromptTokens: 100},
	}
	err := s.Serve(context.Background(), w, fuchsiaspoke.Message{}, noSink{t})
	var refusal *fuchsiaspoke.Refusal
	if !looked || !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.NotRun {
		t.Fatalf("%v, want a refusal that says not run", err)
	}
}

// noDialect fails the test when a request is made ready for a replica.
type noDialect struct{ t *testing.T }

func (d noDialect) Dress(m fuchsiaspoke.Message, _ fuchsiaspoke.Work, s fuchsiaspoke.Send) fuchsiaspoke.Message {
	d.t.Errorf("sent to %s, which leaves", s.Replica.ID)
	return m
}

func (noDialect) Mine(fuchsiaspoke.Work, http.Header) bool { return true }

func (noDialect) Read(fuchsiaspoke.Work, int, http.Header) fuchsiaspoke.Reading {
	return fuchsiaspoke.Reading{}
}
