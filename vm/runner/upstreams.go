package runner

import (
	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/granter"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/permitter"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/spender"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/balancer"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/manager"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/router"
)

func (n *node) buildUpstream() {
	n.granter = &granter.Granter{Held: n.holder.Held, Clock: n.timer.Now, Record: n.record, Account: n.account}
	n.spender = &spender.Spender{
		Self: n.settings.VM.ID, Local: n.granter, Caller: n.dialer, HolderOf: n.holderOf, Peers: n.peers, Clock: n.timer.Now,
	}
	n.granter.Collector = n.spender
	n.granter.HandedOver = n.spender.HandOver
	n.manager = &manager.Manager{
		Upstreams: func() []fuchsiaspoke.Upstream { return n.relayer.Catalog().Upstreams() },
		Held:      n.holder.Held,
		Authorize: n.check,
		Spender:   n.spender,
		Permits:   &permitter.Permitter{Spender: n.spender},
		Recorder:  n.recorder,
		Violated:  func(detail string) { n.asserter.Assert(false, "dispatcher", detail) },
		Clock:     n.timer.Now,
	}
	n.router = &router.Router{
		Self: n.settings.VM.ID, Local: n.manager, Caller: n.dialer, Engines: n.engines,
		Live: n.gossiper.Live, Clock: n.timer.Now, Budget: &n.budget,
		Zone: n.settings.VM.Zone,
	}
	n.balancer = &balancer.Balancer{
		Services: n.services, Zone: n.settings.VM.Zone, Spender: n.spender, Check: n.check,
		Budget: &n.budget, Record: n.record, Clock: n.timer.Now,
	}
	n.acceptor.Handle(router.Method, n.manager.Serve)
	n.acceptor.Handle(spender.ReserveMethod, n.granter.ServeReserve)
	n.acceptor.Handle(spender.AnnounceMethod, n.granter.ServeAnnounce)
	n.acceptor.Handle(spender.UpdateMethod, n.granter.ServeUpdate)
	n.acceptor.Handle(spender.UsesMethod, n.spender.ServeUses)
	n.acceptor.Handle(spender.HandoverMethod, n.granter.ServeHandover)
}

// account returns a client account in force, or the budget of the weight store.
func (n *node) account(name string) (fuchsiaspoke.ClientAccount, bool) {
	if name == permitter.Account {
		return permitter.Budget(), true
	}
	return n.relayer.Catalog().Account(name)
}

// peers are the other live VMs.
func (n *node) peers() []fuchsiaspoke.VM {
	var vms []fuchsiaspoke.VM
	for _, peer := range n.gossiper.Live() {
		if peer.VM.ID != n.settings.VM.ID {
			vms = append(vms, peer.VM)
		}
	}
	return vms
}

// staying are the other live VMs that are ready and not on their way out.
func (n *node) staying() []fuchsiaspoke.VM {
	var vms []fuchsiaspoke.VM
	for _, peer := range n.gossiper.Live() {
		if peer.VM.ID != n.settings.VM.ID && peer.Ready && !peer.Draining {
			vms = append(vms, peer.VM)
		}
	}
	return vms
}

func (n *node) engines() []fuchsiaspoke.Upstream {
	return n.upstreams(fuchsiaspoke.EngineUpstream)
}

func (n *node) services() []fuchsiaspoke.Upstream {
	return n.upstreams(fuchsiaspoke.ServiceUpstream)
}

func (n *node) upstreams(kind fuchsiaspoke.UpstreamKind) []fuchsiaspoke.Upstream {
	var found []fuchsiaspoke.Upstream
	for _, u := range n.relayer.Catalog().Upstreams() {
		if u.Kind == kind {
			found = append(found, u)
		}
	}
	return found
}
