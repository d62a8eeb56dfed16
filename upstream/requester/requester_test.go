package requester_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/controller"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/requester"
	"github.com/fxamacker/cbor/v2"
)

// fakePeers knows one engine, engine_1, which vm_2 owns.
type fakePeers struct{ claimEnded bool }

func (p fakePeers) View(engine string) (fuchsiaspoke.EngineView, fuchsiaspoke.EngineClaim, bool) {
	view := fuchsiaspoke.EngineView{Engine: fuchsiaspoke.ReplicaIncarnation{ID: engine}, Accepting: true}
	return view, fuchsiaspoke.EngineClaim{Engine: engine, VM: "vm_2", ReceivedAt: time.Second, Ended: p.claimEnded}, engine == "engine_1"
}

func (fakePeers) VM(id string) (fuchsiaspoke.VM, bool) { return fuchsiaspoke.VM{ID: id}, id == "vm_2" }
func (fakePeers) PeerTimeout() time.Duration           { return time.Second }

// fakeDialer answers a call with replies, and then returns err or, if waitForCancel is set, waits until the caller cancels.
type fakeDialer struct {
	replies       []fuchsiaspoke.AdmissionReply
	err           error
	waitForCancel bool
}

func (d fakeDialer) Call(ctx context.Context, _ fuchsiaspoke.VM, _ string, _ any, receive func(cbor.RawMessage) error) error {
	for _, reply := range d.replies {
		raw, err := cbor.Marshal(reply)
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

func requestAdmission(d fakeDialer, engine string) (*requester.Admission, error) {
	r := &requester.Requester{Peers: fakePeers{}, Dialer: d, Clock: func() time.Duration { return time.Second }}
	return r.Request(context.Background(), fuchsiaspoke.AdmissionRequest{ID: "r", Engine: engine}, fuchsiaspoke.VM{})
}

func TestRequestReturnsGrantOfAnotherVM(t *testing.T) {
	admission, err := requestAdmission(fakeDialer{replies: []fuchsiaspoke.AdmissionReply{{Wait: time.Second}, {Granted: true, Version: 3}}, waitForCancel: true}, "engine_1")
	if err != nil || admission.Version != 3 {
		t.Fatalf("got admission %+v and error %v, want version 3", admission, err)
	}
	admission.Release()
}

// The engine's owner may be unknown, be stopped or killed, not answer, or end the call without a decision. The request must then
// fail with ErrNoOwner.
func TestRequestFailsWithErrNoOwnerWithoutDecision(t *testing.T) {
	for name, c := range map[string]struct {
		dialer fakeDialer
		engine string
	}{
		"unknown engine":           {fakeDialer{}, "engine_2"},
		"link reset":               {fakeDialer{err: errors.New("reset")}, "engine_1"},
		"call times out":           {fakeDialer{waitForCancel: true}, "engine_1"},
		"ended after being queued": {fakeDialer{replies: []fuchsiaspoke.AdmissionReply{{Wait: time.Second}}}, "engine_1"},
	} {
		if _, err := requestAdmission(c.dialer, c.engine); !errors.Is(err, requester.ErrNoOwner) {
			t.Errorf("%s: got error %v, want ErrNoOwner", name, err)
		}
	}
}

func TestRefusalOfAnotherVMKeepsItsType(t *testing.T) {
	refused := fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeOverloaded, Run: fuchsiaspoke.NotRun, Status: 503}.WithRetryAfter(time.Second)
	_, err := requestAdmission(fakeDialer{err: refused}, "engine_1")
	var got *fuchsiaspoke.Refusal
	if !errors.As(err, &got) || got.RetryAfter != time.Second {
		t.Errorf("got error %v, want a refusal to retry after 1 s", err)
	}
}

// The reply with WaitLimitExceeded and the end of the call arrive at the same time and may be received in either order.
func TestWaitBeyondLimitIsNotReportedAsLostCall(t *testing.T) {
	for range 200 {
		_, err := requestAdmission(fakeDialer{replies: []fuchsiaspoke.AdmissionReply{{WaitLimitExceeded: true, Wait: 2 * time.Second}}}, "engine_1")
		var waitLimitErr *requester.WaitLimitError
		if !errors.As(err, &waitLimitErr) || waitLimitErr.Wait != 2*time.Second {
			t.Fatalf("got error %v, want a WaitLimitError with a wait of 2 s", err)
		}
	}
}

func TestViewIsNotAcceptingOnceClaimEnded(t *testing.T) {
	for _, claimEnded := range []bool{false, true} {
		r := &requester.Requester{Peers: fakePeers{claimEnded: claimEnded}, Clock: func() time.Duration { return time.Second }}
		if view, _, known := r.View("engine_1"); !known || view.Accepting == claimEnded {
			t.Errorf("claim ended %v: accepting %v, known %v", claimEnded, view.Accepting, known)
		}
	}
}

// An engine that a VM released was once unknown to it until another VM owned the engine.
func TestReleasedEngineKeepsItsViewUntilAnotherVMOwnsIt(t *testing.T) {
	now := 2 * time.Second
	r := &requester.Requester{Peers: fakePeers{}, Clock: func() time.Duration { return now }}
	held := []fuchsiaspoke.Adapter{{Name: "a"}}
	for _, engine := range []string{"engine_1", "engine_2"} {
		r.Add(engine, &controller.Controller{
			Replica: fuchsiaspoke.Replica{ID: engine}, Fence: 7, Former: fuchsiaspoke.EngineView{Resident: held},
		})
		r.Remove(engine)
		view, at, known := r.View(engine)
		if !known || at != now || view.Accepting || !slices.Equal(view.Resident, held) {
			t.Errorf("%s: view %+v of %v, want that of its release", engine, view, at)
		}
	}
	r.Peers = successor{}
	if view, _, _ := r.View("engine_1"); view.Fence != 8 || !view.Accepting {
		t.Errorf("view %+v, want that of the next owner", view)
	}
}

// successor is the owner of all engines with the fencing number 8.
type successor struct{ fakePeers }

func (s successor) View(engine string) (fuchsiaspoke.EngineView, fuchsiaspoke.EngineClaim, bool) {
	view, claim, _ := s.fakePeers.View(engine)
	view.Fence, claim.ReceivedAt = 8, 2*time.Second
	return view, claim, true
}
