package runner

import (
	"net/http"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/authenticator"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/catalog"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/permitter"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/spender"
	"github.com/fuchsiaspoke/fuchsiaspoke/platforms/poller"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/manager"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/assigner"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/gossiper"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/holder"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/leaser"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/relayer"
	"k8s.io/klog/v2"
)

func (n *node) buildZone() {
	n.relayer = &relayer.Relayer{
		Platform: &poller.Poller{URL: n.settings.PlatformURL},
		Caller:   n.dialer,
		Watches:  n.watches,
		Changed:  n.changed,
		Refused:  n.refused,
		Clock:    n.timer.Now,
		Fault:    n.fault,
	}
	n.gossiper = &gossiper.Gossiper{
		Self:     n.settings.VM,
		Caller:   n.dialer,
		State:    n.state,
		Listed:   func() []fuchsiaspoke.VM { return n.relayer.Catalog().VMList().VMs },
		Heard:    n.relayer.Notice,
		Answered: n.relayer.Confirm,
		Clock:    n.timer.Now,
		Fault:    n.fault,
	}
	n.holder = &holder.Holder{
		Leaser: &leaser.Leaser{
			Self:        n.settings.VM.ID,
			Incarnation: n.incarnation,
			Length:      leaseLength,
			CouncilSize: councilSize,
			Group:       leaseGroup,
			Abandon:     abandonAfter,
		},
		Caller:  n.dialer,
		Find:    n.gossiper.Find,
		Wanted:  n.wanted,
		Changed: n.leaseChanged,
		Paused:  n.paused,
		Clock:   n.timer.Now,
		Fault:   n.fault,
	}
	n.acceptor.Handle(gossiper.Method, n.gossiper.Answer)
	n.acceptor.Handle(relayer.Method, n.relayer.Answer)
	n.acceptor.Handle(holder.Method, n.holder.Answer)
}

// assigner decides by what the VM knows now.
func (n *node) assigner() assigner.Assigner {
	return assigner.Assigner{Self: n.settings.VM.ID, Draining: n.draining.Load()}
}

func (n *node) wanted(held func(string) bool) []string {
	if !n.relayer.Ready() {
		return nil
	}
	return n.assigner().Wanted(n.resources(), n.gossiper.Live(), held)
}

// resources names everything that has a lease: the engines, the client accounts, and the budget of the weight store.
func (n *node) resources() []string {
	c := n.relayer.Catalog()
	names := []string{spender.Resource(permitter.Account)}
	for _, u := range c.Upstreams() {
		if u.Kind == fuchsiaspoke.EngineUpstream && !u.Leaving {
			names = append(names, manager.Resource(u.ID))
		}
	}
	for account := range c.Accounts() {
		names = append(names, spender.Resource(account.Name))
	}
	return names
}

func (n *node) holderOf(resource string) (fuchsiaspoke.VM, bool) {
	if _, ok := n.holder.Held(resource); ok {
		return n.settings.VM, true
	}
	return n.assigner().HolderOf(resource, n.gossiper.Live())
}

func (n *node) leaseChanged(lease fuchsiaspoke.Lease, held bool) {
	kind := fuchsiaspoke.EventLeaseLost
	if held {
		kind = fuchsiaspoke.EventLeaseTaken
	}
	n.record(fuchsiaspoke.Event{Kind: kind, Detail: lease.Resource, Tokens: lease.Fence})
	n.granter.LeaseChanged(lease, held)
	n.manager.LeaseChanged(lease, held)
	n.gossiper.Wake()
}

// watches reports whether this VM is among the few of its availability zone that watch the platform.
func (n *node) watches() bool {
	var near []fuchsiaspoke.VM
	for _, peer := range n.gossiper.Live() {
		if peer.VM.Zone == n.settings.VM.Zone && !peer.Draining {
			near = append(near, peer.VM)
		}
	}
	if len(near) <= watchersPerZone {
		return true
	}
	first := ranker.Ranker{}.Council("watch", near, watchersPerZone)
	return slices.Contains(first, n.settings.VM.ID)
}

func (n *node) state() fuchsiaspoke.PeerState {
	state := fuchsiaspoke.PeerState{
		VM:          n.settings.VM,
		Incarnation: n.incarnation,
		Draining:    n.draining.Load(),
		Ready:       n.ready(),
		Digest:      n.relayer.Catalog().Digest(),
		Holds:       n.holder.Holds(),
		Engines:     n.manager.States(),
	}
	return state
}

func (n *node) ready() bool {
	return n.relayer.Ready() && n.holder.Ready() && n.fresh()
}

func (n *node) changed(c catalog.Catalog, doc fuchsiaspoke.Document) {
	n.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventRevision, Detail: doc.Name, Tokens: doc.Revision})
	if list := c.VMList(); list.Revision == doc.Revision {
		n.holder.Adopt(list)
	}
	n.admitter.Recheck(c)
	n.manager.Withdraw(c)
	n.granter.Change()
	n.gossiper.Wake()
}

func (n *node) refused(doc fuchsiaspoke.Document, err error) {
	klog.ErrorS(err, "Refused document", "document", doc.Name, "revision", doc.Revision)
	n.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventDocRefused, Detail: doc.Name, Tokens: doc.Revision})
}

func (n *node) paused(gap time.Duration) {
	klog.InfoS("The process was suspended; all leases are dropped", "gap", gap)
	n.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventPaused, Detail: gap.String()})
}

func (n *node) fault(err error) {
	klog.V(1).InfoS("Call failed", "err", err)
}

func (n *node) record(e fuchsiaspoke.Event) { n.recorder.Record(e) }

// check is the last look at the key and the profile before anything is sent.
func (n *node) check(keyHash, profile string) error {
	// What is in force is read after it is known to be fresh, so that it can't be older.
	fresh := n.fresh()
	if _, _, err := (authenticator.Authenticator{}).Authorize(n.relayer.Catalog(), keyHash, profile); err != nil {
		return err
	}
	if !fresh {
		return stale()
	}
	return nil
}

// fresh reports whether this VM heard lately that what it has in force is still so; the only VM of a fleet has no peer to ask.
func (n *node) fresh() bool {
	return len(n.relayer.Catalog().VMList().VMs) <= 1 || n.timer.Now()-n.relayer.Confirmed() < freshFor
}

func stale() error {
	return &fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeConfigurationStale,
		Message: "this VM has not heard lately whether the key and the profile are still in force",
		Run:     fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: time.Second,
	}
}
