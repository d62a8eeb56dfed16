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

// fakePeers know one engine, for which vm_2 orders.
type fakePeers struct{ claimEnded bool }

func (p fakePeers) View(engine string) (fuchsiaspoke.EngineView, fuchsiaspoke.EngineClaim, bool) {
	view := fuchsiaspoke.EngineView{Engine: fuchsiaspoke.ReplicaIncarnation{ID: engine}, Open: true}
	return view, fuchsiaspoke.EngineClaim{Engine: engine, VM: "vm_2", Heard: time.Second, Over: p.claimEnded}, engine == "engine_1"
}

func (fakePeers) VM(id string) (fuchsiaspoke.VM, bool) { return fuchsiaspoke.VM{ID: id}, id == "vm_2" }
func (fakePeers) Silence() time.Duration               { return time.Second }

// fakeDialer answers a call with parts, and then with an error or, where hold is set, once the caller gives up.
type fakeDialer struct {
	grants []fuchsiaspoke.EngineGrant
	err   error
	waitForCancel  bool
}

func (d fakeDialer) Call(ctx context.Context, _ fuchsiaspoke.VM, _ string, _ any, receive func(cbor.RawMessage) error) error {
	for _, grant := range d.grants {
		raw, err := cbor.Marshal(grant)
		if err != nil {
			return err
		}
		if err := receive(raw); err != nil {
			return err
		}
	}
	if d.waitForCancel {
		<-ctx.Done()
		return ctx.Err()
	}
	return d.err
}

func askBroker(d fakeDialer, engine string) (*broker.Place, error) {
	b := &broker.Broker{Peers: fakePeers{}, Dialer: d, Clock: func() time.Duration { return time.Second }}
	return b.Ask(context.Background(), fuchsiaspoke.EngineAsk{ID: "r", Engine: engine})
}

func TestAskReturnsGrantOfAnotherVM(t *testing.T) {
	place, err := askBroker(fakeDialer{grants: []fuchsiaspoke.EngineGrant{{Wait: time.Second}, {Granted: true, Version: 3}}, waitForCancel: true}, "engine_1")
	if err != nil || place.Version != 3 {
		t.Fatalf("%+v, %v", place, err)
	}
	place.End()
}

// The pattern: the VM that ordered for the engine stopped, was killed, or is silent; nothing was queued there.
func TestAskFailsWhenNoVMQueuesIt(t *testing.T) {
	for name, c := range map[string]struct {
		dialer fakeDialer
		engine string
	}{
		"unknown engine": {fakeDialer{}, "engine_2"},
		"lost link":      {fakeDialer{err: errors.New("reset")}, "engine_1"},
		"no answer":      {fakeDialer{waitForCancel: true}, "engine_1"},
		"ended":          {fakeDialer{grants: []fuchsiaspoke.EngineGrant{{Wait: time.Second}}}, "engine_1"},
	} {
		if _, err := askBroker(c.dialer, c.engine); !errors.Is(err, broker.ErrNoHolder) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestRefusalOfAnotherVMKeepsItsType(t *testing.T) {
	refused := fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeOverloaded, Run: fuchsiaspoke.NotRun, Status: 503}.WithRetryAfter(time.Second)
	_, err := askBroker(fakeDialer{err: refused}, "engine_1")
	var got *fuchsiaspoke.Refusal
	if !errors.As(err, &got) || got.RetryAfter != time.Second {
		t.Errorf("%v", err)
	}
}

// The pattern: the answer that an engine is slower comes with the end of the call, in either order.
func TestWaitBeyondLimitIsNotReportedAsLostCall(t *testing.T) {
	for range 200 {
		_, err := askBroker(fakeDialer{grants: []fuchsiaspoke.EngineGrant{{Slower: true, Wait: 2 * time.Second}}}, "engine_1")
		var slower *broker.SlowerError
		if !errors.As(err, &slower) || slower.Wait != 2*time.Second {
			t.Fatalf("%v", err)
		}
	}
}

func TestViewIsClosedOnceClaimEnded(t *testing.T) {
	for _, claimEnded := range []bool{false, true} {
		b := &broker.Broker{Peers: fakePeers{claimEnded: claimEnded}, Clock: func() time.Duration { return time.Second }}
		if view, _, known := b.View("engine_1"); !known || view.Open == claimEnded {
			t.Errorf("over %v: open %v, known %v", claimEnded, view.Open, known)
		}
	}
}
