package router_test

import (
	"context"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/dialer"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/router"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// fakePeers accepts calls to the VM named reachable and fails calls to others with failure; called has the ids of all VMs called.
type fakePeers struct {
	reachable string
	failure   error
	called    []string
}

func (p *fakePeers) Call(_ context.Context, vm fuchsiaspoke.VM, _ string, _ any, _ func(cbor.RawMessage) error) error {
	p.called = append(p.called, vm.ID)
	if vm.ID == p.reachable {
		return nil
	}
	return errors.Wrap(p.failure, "connect to VM "+vm.ID)
}

type unlimitedBudget struct{}

func (unlimitedBudget) Add()       {}
func (unlimitedBudget) Take() bool { return true }

// TestDeliverRetriesOtherReplicaOnlyIfRequestWasNotSent guards against running a generation twice: when the call to the first
// lease holder fails, the other replica is tried only if the request was not sent.
func TestDeliverRetriesOtherReplicaOnlyIfRequestWasNotSent(t *testing.T) {
	engines := []fuchsiaspoke.Upstream{{Kind: fuchsiaspoke.EngineUpstream, ID: "engine_0", BaseModel: "base"}, {Kind: fuchsiaspoke.EngineUpstream, ID: "engine_1", BaseModel: "base"}}
	live := []fuchsiaspoke.PeerState{
		{VM: fuchsiaspoke.VM{ID: "vm_0"}, Engines: []fuchsiaspoke.EngineState{{Upstream: "engine_0"}}},
		{VM: fuchsiaspoke.VM{ID: "vm_1"}, Engines: []fuchsiaspoke.EngineState{{Upstream: "engine_1"}}},
	}
	for _, reachable := range []string{"vm_0", "vm_1"} {
		for _, failure := range []error{dialer.ErrNotSent, errors.New("connection lost")} {
			p := &fakePeers{reachable: reachable, failure: failure}
			r := &router.Router{
				Self: "vm_2", Caller: p, Budget: unlimitedBudget{},
				Engines:    func() []fuchsiaspoke.Upstream { return engines },
				PeerStates: func() []fuchsiaspoke.PeerState { return live },
				Clock:      func() time.Duration { return 0 },
			}
			err := r.Deliver(context.Background(), fuchsiaspoke.Generation{BaseModel: "base", MaxWait: time.Second}, nil)
			if wantSuccess := p.called[0] == reachable || failure == dialer.ErrNotSent; wantSuccess != (err == nil) {
				t.Errorf("failure %v, only %s reachable: called %v, got error %v", failure, reachable, p.called, err)
			}
		}
	}
}
