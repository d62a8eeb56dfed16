package runner

import (
	"net/http"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/configuration/poller"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/authenticator"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/catalog"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/loadlimiter"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/tokenclient"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/manager"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/assigner"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/gossiper"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/holder"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/leaser"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/relayer"
	"k8s.io/klog/v2"
)

func (p *process) buildZone() {
	p.relayer = &relayer.Relayer{
		Platform:    &poller.Poller{URL: p.settings.PlatformURL},
		Caller:      p.dialer,
		Watches:     p.watchesPlatform,
		Changed:     p.documentChanged,
		Refused:     p.documentRefused,
		Clock:       p.timer.Now,
		OnCallError: p.callFailed,
	}
	p.gossiper = &gossiper.Gossiper{
		Self:        p.settings.VM,
		Caller:      p.dialer,
		State:       p.peerState,
		Listed:      func() []fuchsiaspoke.VM { return p.relayer.Catalog().VMList().VMs },
		OnState:     p.relayer.ObservePeer,
		OnResponse:  p.relayer.ObserveResponse,
		Clock:       p.timer.Now,
		OnCallError: p.callFailed,
	}
	p.holder = &holder.Holder{
		Leaser: &leaser.Leaser{
			Self:           p.settings.VM.ID,
			Incarnation:    p.incarnation,
			Length:         leaseDuration,
			MaxGrantors:    maxLeaseGrantors,
			Group:          leaseGroup,
			AbandonTimeout: unresponsiveGrantorTimeout,
		},
		Caller:        p.dialer,
		Find:          p.gossiper.Find,
		Wanted:        p.wantedLeases,
		OnLeaseChange: p.leaseChanged,
		OnSuspension:  p.processSuspended,
		Clock:         p.timer.Now,
		OnCallError:   p.callFailed,
	}
	p.acceptor.Handle(gossiper.Method, p.gossiper.HandleHeartbeat)
	p.acceptor.Handle(relayer.Method, p.relayer.ServeDocuments)
	p.acceptor.Handle(holder.Method, p.holder.HandleRequest)
}

// assigner returns an assigner for this VM's current draining state.
func (p *process) assigner() assigner.Assigner {
	return assigner.Assigner{Self: p.settings.VM.ID, Draining: p.draining.Load()}
}

// wantedLeases returns the resources that this VM should hold, or none before it has synchronized its documents.
func (p *process) wantedLeases(held func(string) bool) []string {
	if !p.relayer.Ready() {
		return nil
	}
	return p.assigner().Wanted(p.leasedResources(), p.gossiper.Live(), held)
}

// leasedResources returns the names of all resources that have a lease: the published engines that are not leaving, the client
// accounts, and the account of the weight store.
func (p *process) leasedResources() []string {
	c := p.relayer.Catalog()
	names := []string{tokenclient.LeaseName(loadlimiter.BucketName)}
	for _, u := range c.Upstreams() {
		if u.Kind == fuchsiaspoke.EngineUpstream && !u.Leaving {
			names = append(names, manager.Resource(u.ID))
		}
	}
	for account := range c.Accounts() {
		names = append(names, tokenclient.LeaseName(account.Name))
	}
	return names
}

// leaseHolder returns this VM if it holds the lease, or else a live VM that reports to hold it.
func (p *process) leaseHolder(resource string) (fuchsiaspoke.VM, bool) {
	if _, ok := p.holder.Held(resource); ok {
		return p.settings.VM, true
	}
	return p.assigner().HolderOf(resource, p.gossiper.Live())
}

func (p *process) leaseChanged(lease fuchsiaspoke.Lease, held bool) {
	kind := fuchsiaspoke.EventLeaseLost
	if held {
		kind = fuchsiaspoke.EventLeaseTaken
	}
	p.record(fuchsiaspoke.Event{Kind: kind, Detail: lease.Resource, Tokens: lease.Fence})
	p.tokenServer.LeaseChanged(lease, held)
	p.manager.LeaseChanged(lease, held)
	p.gossiper.SendNow()
}

// watchesPlatform reports whether this VM is among the watchersPerZone VMs of its availability zone that watch the platform.
func (p *process) watchesPlatform() bool {
	var candidates []fuchsiaspoke.VM
	for _, peer := range p.gossiper.Live() {
		if peer.VM.Zone == p.settings.VM.Zone && !peer.Draining {
			candidates = append(candidates, peer.VM)
		}
	}
	if len(candidates) <= watchersPerZone {
		return true
	}
	watchers := ranker.Ranker{}.SelectAcrossZones("watch", candidates, watchersPerZone)
	return slices.Contains(watchers, p.settings.VM.ID)
}

func (p *process) peerState() fuchsiaspoke.PeerState {
	state := fuchsiaspoke.PeerState{
		VM:          p.settings.VM,
		Incarnation: p.incarnation,
		Draining:    p.draining.Load(),
		Ready:       p.ready(),
		Digest:      p.relayer.Catalog().Digest(),
		HeldLeases:  p.holder.HeldResources(),
		Engines:     p.manager.States(),
	}
	return state
}

// ready reports whether this VM may serve callers: its documents are synchronized and confirmed as current, and it may grant
// leases.
func (p *process) ready() bool {
	return p.relayer.Ready() && p.holder.Ready() && p.configurationFresh()
}

// documentChanged applies a new active document to the components, and cancels work that it no longer allows.
func (p *process) documentChanged(c catalog.Catalog, doc fuchsiaspoke.Document) {
	p.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventRevision, Detail: doc.Name, Tokens: doc.Revision})
	if list := c.VMList(); list.Revision == doc.Revision {
		p.holder.Adopt(list)
	}
	p.admitter.Reauthorize(c)
	p.manager.Withdraw(c)
	p.tokenServer.ApplyLimits()
	p.gossiper.SendNow()
}

func (p *process) documentRefused(doc fuchsiaspoke.Document, err error) {
	klog.ErrorS(err, "Published document refused", "document", doc.Name, "revision", doc.Revision)
	p.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventDocRefused, Detail: doc.Name, Tokens: doc.Revision})
}

func (p *process) processSuspended(gap time.Duration) {
	klog.InfoS("Process was suspended; dropped all leases", "gap", gap)
	p.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventPaused, Detail: gap.String()})
}

func (p *process) callFailed(err error) {
	klog.V(1).InfoS("Call to the platform or another VM failed", "err", err)
}

func (p *process) record(e fuchsiaspoke.Event) { p.recorder.Record(e) }

// authorize checks the key and the profile again right before a request is sent to an upstream. It refuses every request while
// the configuration is not confirmed as current.
func (p *process) authorize(keyHash, profile string) error {
	// The catalog is read after the freshness check, so that it is at least as recent as the confirmed one.
	fresh := p.configurationFresh()
	if _, _, err := (authenticator.Authenticator{}).Authorize(p.relayer.Catalog(), keyHash, profile); err != nil {
		return err
	}
	if !fresh {
		return configurationStale()
	}
	return nil
}

// configurationFresh reports whether the platform or another VM confirmed within configurationMaxAge that this VM's
// configuration is current. It is always true for the only VM of a fleet, which has no other VM to confirm it.
func (p *process) configurationFresh() bool {
	return len(p.relayer.Catalog().VMList().VMs) <= 1 || p.timer.Now()-p.relayer.Confirmed() < configurationMaxAge
}

func configurationStale() error {
	return &fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeConfigurationStale,
		Message: "this VM cannot currently confirm that the key and the profile are still valid",
		Run:     fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: time.Second,
	}
}
