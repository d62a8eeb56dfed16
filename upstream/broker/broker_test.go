package broker_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/broker"
	"github.com/fxamacker/cbor/v2"
)

// peers know one engine, for which vm_2 orders.
type peers struct{ over bool }

func (p peers) View(engine string) (fuchsiaspoke.EngineView, fuchsiaspoke.EngineClaim, bool) {
	view := fuchsiaspoke.EngineView{Engine: fuchsiaspoke.ReplicaIncarnation{ID: engine}, Open: true}
	return view, fuchsiaspoke.EngineClaim{Engine: engine, VM: "vm_2", Heard: time.Second, Over: p.over}, engine == "engine_1"
}

func (peers) VM(id string) (fuchsiaspoke.VM, bool) { return fuchsiaspoke.VM{ID: id}, id == "vm_2" }
func (peers) Silence() time.Duration               { return time.Second }

// dialer answers a call with parts, and then with an error or, where hold is set, once the caller gives up.
type dialer struct {
	parts []fuchsiaspoke.EngineGrant
	err   error
	hold  bool
}

func (d dialer) Call(ctx context.Context, _ fuchsiaspoke.VM, _ string, _ any, receive func(cbor.RawMessage) error) error {
	for _, part := range d.parts {
		raw, err := cbor.Marshal(part)
		if err != nil {
			return err
		}
		if err := receive(raw); err != nil {
			return err
		}
	}
	if d.hold {
		<-ctx.Done()
		return ctx.Err()
	}
	return d.err
}

func ask(d dialer, engine string) (*broker.Place, error) {
	b := &broker.Broker{Peers: peers{}, Dialer: d, Clock: func() time.Duration { return time.Second }}
	return b.Ask(context.Background(), fuchsiaspoke.EngineAsk{ID: "r", Engine: engine})
}

func TestAnotherVMGrantsAPlace(t *testing.T) {
	place, err := ask(dialer{parts: []fuchsiaspoke.EngineGrant{{Wait: time.Second}, {Granted: true, Version: 3}}, hold: true}, "engine_1")
	if err != nil || place.Version != 3 {
		t.Fatalf("%+v, %v", place, err)
	}
	place.End()
}

// The pattern: the VM that ordered for the engine stopped, was killed, or is silent; nothing was queued there.
func TestAnAskThatNoVMTakes(t *testing.T) {
	for name, c := range map[string]struct {
		dialer dialer
		engine string
	}{
		"unknown engine": {dialer{}, "engine_2"},
		"lost link":      {dialer{err: errors.New("reset")}, "engine_1"},
		"no answer":      {dialer{hold: true}, "engine_1"},
		"ended":          {dialer{parts: []fuchsiaspoke.EngineGrant{{Wait: time.Second}}}, "engine_1"},
	} {
		if _, err := ask(c.dialer, c.engine); !errors.Is(err, broker.ErrNoHolder) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestARefusalKeepsItsType(t *testing.T) {
	refused := fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeOverloaded, Run: fuchsiaspoke.NotRun, Status: 503}.WithRetryAfter(time.Second)
	_, err := ask(dialer{err: refused}, "engine_1")
	var got *fuchsiaspoke.Refusal
	if !errors.As(err, &got) || got.RetryAfter != time.Second {
		t.Errorf("%v", err)
	}
}

// The pattern: the answer that an engine is slower comes with the end of the call, in either order.
func TestASlowerEngineIsToldFromALostOne(t *testing.T) {
	for range 200 {
		_, err := ask(dialer{parts: []fuchsiaspoke.EngineGrant{{Slower: true, Wait: 2 * time.Second}}}, "engine_1")
		var slower *broker.SlowerError
		if !errors.As(err, &slower) || slower.Wait != 2*time.Second {
			t.Fatalf("%v", err)
		}
	}
}

func TestAClaimThatEndedClosesTheView(t *testing.T) {
	for _, over := range []bool{false, true} {
		b := &broker.Broker{Peers: peers{over: over}, Clock: func() time.Duration { return time.Second }}
		if view, _, known := b.View("engine_1"); !known || view.Open == over {
			t.Errorf("over %v: open %v, known %v", over, view.Open, known)
		}
	}
}
