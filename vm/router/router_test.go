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

// peers answers for one VM, and can't be reached for the others.
type peers struct {
	up    string
	cause error
	asked []string
}

func (p *peers) Call(_ context.Context, vm fuchsiaspoke.VM, _ string, _ any, _ func(cbor.RawMessage) error) error {
	p.asked = append(p.asked, vm.ID)
	if vm.ID == p.up {
		return nil
	}
	return errors.Wrap(p.cause, "connect to VM "+vm.ID)
}

type budget struct{}

func (budget) Add()       {}
func (budget) Take() bool { return true }

// TestDeliverGoesElsewhereOnlyWhereNothingWasSent has the first holder unreachable, before and after the request left.
func TestDeliverGoesElsewhereOnlyWhereNothingWasSent(t *testing.T) {
	engines := []fuchsiaspoke.Upstream{{Kind: fuchsiaspoke.EngineUpstream, ID: "engine_0", BaseModel: "base"}, {Kind: fuchsiaspoke.EngineUpstream, ID: "engine_1", BaseModel: "base"}}
	live := []fuchsiaspoke.PeerState{
		{VM: fuchsiaspoke.VM{ID: "vm_0"}, Engines: []fuchsiaspoke.EngineState{{Upstream: "engine_0"}}},
		{VM: fuchsiaspoke.VM{ID: "vm_1"}, Engines: []fuchsiaspoke.EngineState{{Upstream: "engine_1"}}},
	}
	for _, up := range []string{"vm_0", "vm_1"} {
		for _, cause := range []error{dialer.ErrNotSent, errors.New("connection lost")} {
			p := &peers{up: up, cause: cause}
			r := &router.Router{
				Self: "vm_2", Caller: p, Budget: budget{},
				Engines: func() []fuchsiaspoke.Upstream { return engines },
				Live:    func() []fuchsiaspoke.PeerState { return live },
				Clock:   func() time.Duration { return 0 },
			}
			err := r.Deliver(context.Background(), fuchsiaspoke.Generation{BaseModel: "base", Patience: time.Second}, nil)
			if reached := p.asked[0] == up || cause == dialer.ErrNotSent; reached != (err == nil) {
				t.Errorf("%v with only %s up: asked %v: %v", cause, up, p.asked, err)
			}
		}
	}
}
