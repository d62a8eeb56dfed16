package delegator_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/dialer"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/delegator"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/drainer"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/sender"
	"github.com/fxamacker/cbor/v2"
	pkgerrors "github.com/pkg/errors"
)

// fakeLinks are the links to other VMs.
type fakeLinks struct {
	// unreachable are the ids of VMs that can't be connected to.
	unreachable []string
	// serve answers a delegation.
	serve func(vm fuchsiaspoke.VM, d fuchsiaspoke.Delegation, send func(any) error) error
	asked []string
}

func (l *fakeLinks) Incarnation(_ context.Context, vm fuchsiaspoke.VM) (string, error) {
	if slices.Contains(l.unreachable, vm.ID) {
		return "", errors.New("unreachable")
	}
	return "one", nil
}

func (l *fakeLinks) Call(
	_ context.Context, vm fuchsiaspoke.VM, _ string, request any, receive func(cbor.RawMessage) error,
) error {
	l.asked = append(l.asked, vm.ID)
	return l.serve(vm, request.(fuchsiaspoke.Delegation), func(part any) error {
		raw, err := cbor.Marshal(part)
		if err != nil {
			return err
		}
		return receive(raw)
	})
}

// recordedResponse is the response that a caller receives.
type recordedResponse struct {
	status int
	body   string
}

func (r *recordedResponse) Head(status int, _ http.Header, _ int) { r.status = status }
func (r *recordedResponse) Body(p []byte) error {
	r.body += string(p)
	return nil
}

func newDelegator(links *fakeLinks, peers ...delegator.Peer) *delegator.Delegator {
	return &delegator.Delegator{
		Self: fuchsiaspoke.VM{ID: "self", Zone: "a", Capacity: 1}, Dialer: links, Peers: func() []delegator.Peer { return peers },
		Partitioned: func() bool { return true }, Clock: func() time.Duration { return time.Minute },
		Log: func(string, ...any) {}, Count: func(string) {},
		Regions: map[fuchsiaspoke.Zone]fuchsiaspoke.Region{"a": "here", "b": "here", "c": "there"},
	}
}

func peerIn(zone fuchsiaspoke.Zone, id string) delegator.Peer {
	return delegator.Peer{VM: fuchsiaspoke.VM{ID: id, Zone: zone, Capacity: 1}, ReachesReplicas: true}
}

func request() fuchsiaspoke.AdmittedRequest {
	return fuchsiaspoke.AdmittedRequest{ID: "r", Arrived: 59 * time.Second, Due: 61 * time.Second, Deadline: 64 * time.Second}
}

func TestDelegatedRequestIsAnswered(t *testing.T) {
	links := &fakeLinks{serve: func(_ fuchsiaspoke.VM, d fuchsiaspoke.Delegation, send func(any) error) error {
		if got := d.ReceivedAt(time.Second); got.Arrived != 0 || got.Due != 2*time.Second || got.Deadline != 5*time.Second {
			t.Errorf("received with times %v, %v, %v", got.Arrived, got.Due, got.Deadline)
		}
		if err := send(fuchsiaspoke.DelegatedPart{Head: &fuchsiaspoke.DelegatedHead{Status: 200, Length: -1}}); err != nil {
			return err
		}
		return send(fuchsiaspoke.DelegatedPart{Body: d.Message.Body})
	}}
	out := &recordedResponse{}
	err := newDelegator(links, peerIn("a", "peer")).Serve(t.Context(), request(), fuchsiaspoke.Message{Body: []byte("text")}, out)
	if err != nil || out.status != 200 || out.body != "text" {
		t.Errorf("error %v, status %d, body %q", err, out.status, out.body)
	}
}

// The link breaks before the response, in the middle of it, and before the request was sent.
func TestOutcomeOfBrokenDelegationIsNotSaidNotToHaveRun(t *testing.T) {
	head := fuchsiaspoke.DelegatedPart{Head: &fuchsiaspoke.DelegatedHead{Status: 200, Length: -1}}
	t.Run("before the response", func(t *testing.T) {
		links := &fakeLinks{serve: func(fuchsiaspoke.VM, fuchsiaspoke.Delegation, func(any) error) error { return errors.New("link lost") }}
		err := newDelegator(links, peerIn("a", "one"), peerIn("a", "two")).Serve(t.Context(), request(), fuchsiaspoke.Message{}, &recordedResponse{})
		var refusal *fuchsiaspoke.Refusal
		if !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.RunUnknown || refusal.Status != http.StatusBadGateway || len(links.asked) != 1 {
			t.Errorf("error %v after %d VMs were asked, want an unknown outcome after one", err, len(links.asked))
		}
	})
	t.Run("in the response", func(t *testing.T) {
		links := &fakeLinks{serve: func(_ fuchsiaspoke.VM, _ fuchsiaspoke.Delegation, send func(any) error) error {
			_ = send(head)
			return &fuchsiaspoke.Refusal{Run: fuchsiaspoke.NotRun}
		}}
		err := newDelegator(links, peerIn("a", "one")).Serve(t.Context(), request(), fuchsiaspoke.Message{}, &recordedResponse{})
		if !errors.Is(err, sender.ErrResponseInterrupted) {
			t.Errorf("error %v, want that the response was interrupted", err)
		}
	})
	t.Run("before the request", func(t *testing.T) {
		links := &fakeLinks{serve: func(_ fuchsiaspoke.VM, _ fuchsiaspoke.Delegation, _ func(any) error) error {
			return pkgerrors.WithMessage(dialer.ErrNotSent, "no stream")
		}}
		err := newDelegator(links, peerIn("a", "one"), peerIn("a", "two")).Serve(t.Context(), request(), fuchsiaspoke.Message{}, &recordedResponse{})
		var refusal *fuchsiaspoke.Refusal
		if !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.NotRun || refusal.RetryAfter == 0 || len(links.asked) != 2 {
			t.Errorf("error %v after %d VMs were asked, want a refusal as not run after two", err, len(links.asked))
		}
	})
}

func TestRequestIsDelegatedToAllowedRegionsAlone(t *testing.T) {
	links := &fakeLinks{serve: func(fuchsiaspoke.VM, fuchsiaspoke.Delegation, func(any) error) error { return nil }}
	req := request()
	req.Regions = []fuchsiaspoke.Region{"there"}
	for range 50 {
		d := newDelegator(links, peerIn("a", "near"), peerIn("c", "allowed"), peerIn("unknown", "nowhere"))
		if err := d.Serve(t.Context(), req, fuchsiaspoke.Message{}, &recordedResponse{}); err != nil {
			t.Fatal(err)
		}
	}
	if slices.ContainsFunc(links.asked, func(id string) bool { return id != "allowed" }) {
		t.Errorf("VMs asked: %v", slices.Compact(links.asked))
	}
	req.Regions = []fuchsiaspoke.Region{}
	err := newDelegator(links, peerIn("a", "near")).Serve(t.Context(), req, fuchsiaspoke.Message{}, &recordedResponse{})
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.NotRun {
		t.Errorf("error %v, want a refusal as not run", err)
	}
}

// Three of the four VMs of the zone are partitioned as well, so that the one that is left must not carry all alone.
func TestRequestsOfZoneThatIsCutAreSpread(t *testing.T) {
	links := &fakeLinks{serve: func(fuchsiaspoke.VM, fuchsiaspoke.Delegation, func(any) error) error { return nil }}
	peers := []delegator.Peer{
		peerIn("a", "left"),
		{VM: fuchsiaspoke.VM{ID: "cut", Zone: "a", Capacity: 1}},
		{VM: fuchsiaspoke.VM{ID: "cut too", Zone: "a", Capacity: 1}},
		peerIn("b", "b1"), peerIn("b", "b2"), peerIn("b", "b3"),
	}
	for range 400 {
		if err := newDelegator(links, peers...).Serve(t.Context(), request(), fuchsiaspoke.Message{}, &recordedResponse{}); err != nil {
			t.Fatal(err)
		}
	}
	count := map[string]int{}
	for _, id := range links.asked {
		count[id]++
	}
	if count["left"] > 160 || count["cut"]+count["cut too"] > 0 {
		t.Errorf("requests by VM: %v", count)
	}
}

// Half of a large fleet is partitioned, and this VM has not heard of it yet.
func TestMostRequestsAreServedWhilePartitionedVMsAreNotKnown(t *testing.T) {
	var peers []delegator.Peer
	for n := range 409 {
		peers = append(peers, peerIn("a", fmt.Sprint(n)))
	}
	links := &fakeLinks{serve: func(vm fuchsiaspoke.VM, _ fuchsiaspoke.Delegation, _ func(any) error) error {
		if n, _ := strconv.Atoi(vm.ID); n%2 == 0 {
			return &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeReplicasUnreachable, Run: fuchsiaspoke.NotRun}
		}
		return nil
	}}
	d, served := newDelegator(links, peers...), 0
	for range 1000 {
		if d.Serve(t.Context(), request(), fuchsiaspoke.Message{}, &recordedResponse{}) == nil {
			served++
		}
	}
	if served < 900 || len(links.asked) > 1500 {
		t.Errorf("%d of 1000 requests served, %d calls", served, len(links.asked))
	}
}

// A VM that is partitioned too refuses what it is delegated, and the next one is asked.
func TestDelegatedRequestIsNotPassedOn(t *testing.T) {
	links := &fakeLinks{}
	d := newDelegator(links, peerIn("a", "peer"))
	f, err := frame.New(delegator.MethodServe, fuchsiaspoke.NewDelegation(request(), fuchsiaspoke.Message{}, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	refused := d.Handle(t.Context(), "other", f, func(any) error { return nil })
	if refused == nil || len(links.asked) != 0 {
		t.Fatalf("error %v, VMs asked: %v", refused, links.asked)
	}
	links.serve = func(fuchsiaspoke.VM, fuchsiaspoke.Delegation, func(any) error) error {
		if len(links.asked) == 1 {
			return refused
		}
		return nil
	}
	d = newDelegator(links, peerIn("a", "one"), peerIn("a", "two"))
	if err := d.Serve(t.Context(), request(), fuchsiaspoke.Message{}, &recordedResponse{}); err != nil || len(links.asked) != 2 {
		t.Errorf("error %v after %d VMs were asked", err, len(links.asked))
	}
}

// A VM that is asked stops at that moment: it has refused the request as not run, and another one can serve it.
func TestRequestRefusedByStoppingVMIsServedByAnother(t *testing.T) {
	links := &fakeLinks{serve: func(vm fuchsiaspoke.VM, _ fuchsiaspoke.Delegation, send func(any) error) error {
		if vm.ID == "stopping" {
			return &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeDraining, Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable}
		}
		return send(fuchsiaspoke.DelegatedPart{Head: &fuchsiaspoke.DelegatedHead{Status: 200, Length: -1}})
	}}
	for range 20 {
		out := &recordedResponse{}
		err := newDelegator(links, peerIn("a", "stopping"), peerIn("a", "peer")).Serve(t.Context(), request(), fuchsiaspoke.Message{}, out)
		if err != nil || out.status != 200 {
			t.Fatalf("error %v, status %d, want an answer of the other VM", err, out.status)
		}
	}
}

// A VM that stops cut long requests that it had taken for another VM, whose own stop excuses that no more.
func TestStoppingVMTakesNoRequestOfAnotherVMThatMayLastLonger(t *testing.T) {
	var stopping drainer.Drainer
	stopping.Begin(fuchsiaspoke.StopPhases{Accepts: time.Second, Waits: 2 * time.Second, Runs: 3 * time.Second, End: 4 * time.Second})
	for _, c := range []struct {
		timeLeft time.Duration
		taken    bool
	}{{4 * time.Second, false}, {time.Second, true}} {
		t.Run(c.timeLeft.String(), func(t *testing.T) {
			taken := false
			d := newDelegator(&fakeLinks{})
			d.Drainer, d.Partitioned = &stopping, func() bool { return false }
			d.Local = func(context.Context, fuchsiaspoke.AdmittedRequest, fuchsiaspoke.Message, delegator.ResponseWriter) error {
				taken = true
				return nil
			}
			f, err := frame.New(delegator.MethodServe, fuchsiaspoke.Delegation{TimeLeft: c.timeLeft})
			if err != nil {
				t.Fatal(err)
			}
			err = d.Handle(t.Context(), "peer", f, func(any) error { return nil })
			var refusal *fuchsiaspoke.Refusal
			refused := errors.As(err, &refusal) && refusal.Code == fuchsiaspoke.CodeDraining && refusal.Run == fuchsiaspoke.NotRun
			if taken != c.taken || refused == c.taken {
				t.Errorf("taken %t with the error %v, want %t", taken, err, c.taken)
			}
		})
	}
}

// A VM that stops and reaches no replica passes requests on that its own end cuts.
func TestStoppingVMDelegatesNoRequestThatItsEndCuts(t *testing.T) {
	var stopping drainer.Drainer
	stopping.Begin(fuchsiaspoke.StopPhases{Accepts: 1, Waits: 2, Runs: 3 * time.Second, End: 4 * time.Second})
	time.Sleep(time.Millisecond)
	links := &fakeLinks{serve: func(_ fuchsiaspoke.VM, d fuchsiaspoke.Delegation, send func(any) error) error {
		t.Logf("passed on with %v left", d.TimeLeft)
		return send(fuchsiaspoke.DelegatedPart{Head: &fuchsiaspoke.DelegatedHead{Status: 200, Length: -1}})
	}}
	d := newDelegator(links, peerIn("a", "peer"))
	d.Drainer = &stopping
	err := d.Serve(t.Context(), request(), fuchsiaspoke.Message{}, &recordedResponse{})
	var refusal *fuchsiaspoke.Refusal
	if len(links.asked) > 0 || !errors.As(err, &refusal) || refusal.Code != fuchsiaspoke.CodeDraining || refusal.Run != fuchsiaspoke.NotRun {
		t.Errorf("error %v, asked %v, want a refusal: the request has 4 s, the VM 3 s", err, links.asked)
	}
}
