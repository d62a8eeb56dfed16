package runner

import (
	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/loadlimiter"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/tokenclient"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/tokenserver"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/balancer"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/manager"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/router"
)

func (p *process) buildUpstream() {
	p.tokenServer = &tokenserver.TokenServer{Held: p.holder.Held, Clock: p.timer.Now, Record: p.record, Account: p.account}
	p.tokenClient = &tokenclient.TokenClient{
		Self: p.settings.VM.ID, Local: p.tokenServer, Caller: p.dialer, HolderOf: p.leaseHolder, Peers: p.otherVMs, Clock: p.timer.Now,
	}
	p.tokenServer.Collector = p.tokenClient
	p.tokenServer.SendHandover = p.tokenClient.HandOver
	p.manager = &manager.Manager{
		Upstreams:   func() []fuchsiaspoke.Upstream { return p.relayer.Catalog().Upstreams() },
		Held:        p.holder.Held,
		Authorize:   p.authorize,
		TokenClient: p.tokenClient,
		Permits:     &loadlimiter.LoadLimiter{TokenClient: p.tokenClient},
		Recorder:    p.recorder,
		OnViolation: func(detail string) { p.asserter.Assert(false, "dispatcher", detail) },
		Clock:       p.timer.Now,
	}
	p.router = &router.Router{
		Self: p.settings.VM.ID, Local: p.manager, Caller: p.dialer, Engines: p.engines,
		PeerStates: p.gossiper.Live, Clock: p.timer.Now, Budget: &p.retryBudget,
		Zone: p.settings.VM.Zone,
	}
	p.balancer = &balancer.Balancer{
		Services: p.services, Zone: p.settings.VM.Zone, TokenClient: p.tokenClient, Check: p.authorize,
		Budget: &p.retryBudget, Record: p.record, Clock: p.timer.Now,
	}
	p.acceptor.Handle(router.Method, p.manager.Serve)
	p.acceptor.Handle(tokenclient.ReserveMethod, p.tokenServer.ServeReserve)
	p.acceptor.Handle(tokenclient.AnnounceMethod, p.tokenServer.ServeAnnounce)
	p.acceptor.Handle(tokenclient.UpdateMethod, p.tokenServer.ServeUpdate)
	p.acceptor.Handle(tokenclient.ReservationsMethod, p.tokenClient.ServeReservations)
	p.acceptor.Handle(tokenclient.HandoverMethod, p.tokenServer.ServeHandover)
}

// account returns the published client account, or the account of the weight store, whose tokens limit adapter loads.
func (p *process) account(name string) (fuchsiaspoke.ClientAccount, bool) {
	if name == loadlimiter.BucketName {
		return loadlimiter.BucketLimits(), true
	}
	return p.relayer.Catalog().Account(name)
}

// otherVMs returns the other live VMs.
func (p *process) otherVMs() []fuchsiaspoke.VM {
	var vms []fuchsiaspoke.VM
	for _, peer := range p.gossiper.Live() {
		if peer.VM.ID != p.settings.VM.ID {
			vms = append(vms, peer.VM)
		}
	}
	return vms
}

// availablePeers returns the other live VMs that are ready and not draining.
func (p *process) availablePeers() []fuchsiaspoke.VM {
	var vms []fuchsiaspoke.VM
	for _, peer := range p.gossiper.Live() {
		if peer.VM.ID != p.settings.VM.ID && peer.Ready && !peer.Draining {
			vms = append(vms, peer.VM)
		}
	}
	return vms
}

func (p *process) engines() []fuchsiaspoke.Upstream {
	return p.upstreams(fuchsiaspoke.EngineUpstream)
}

func (p *process) services() []fuchsiaspoke.Upstream {
	return p.upstreams(fuchsiaspoke.ServiceUpstream)
}

func (p *process) upstreams(kind fuchsiaspoke.UpstreamKind) []fuchsiaspoke.Upstream {
	var found []fuchsiaspoke.Upstream
	for _, u := range p.relayer.Catalog().Upstreams() {
		if u.Kind == kind {
			found = append(found, u)
		}
	}
	return found
}
