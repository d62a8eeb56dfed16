package runner

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/authenticator"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/catalog"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/granter"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/permitter"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/spender"
	"github.com/fuchsiaspoke/fuchsiaspoke/idempotency/executor"
	"github.com/fuchsiaspoke/fuchsiaspoke/idempotency/issuer"
	"github.com/fuchsiaspoke/fuchsiaspoke/invariant/asserter"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/acceptor"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/dialer"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/keyring"
	"github.com/fuchsiaspoke/fuchsiaspoke/metrics/meter"
	"github.com/fuchsiaspoke/fuchsiaspoke/platforms/poller"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/clock"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/recorder"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/balancer"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/manager"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/admitter"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/budgeter"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/forwarder"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/listener"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/reporter"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/router"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/timer"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/assigner"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/gossiper"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/holder"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/leaser"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/relayer"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"k8s.io/klog/v2"
)

const (
	// fleetKeyBytes is the size of the fleet key.
	fleetKeyBytes = 32
	// leaseLength is how long a lease lasts without renewal.
	leaseLength = 3 * time.Second
	// councilSize bounds the VMs whose promises make a lease.
	councilSize = 7
	// abandonAfter is how long a VM that the platform no longer lists must be silent before its promises count as gone.
	abandonAfter = 30 * time.Second
	// freshFor is how long a VM acts on what it has in force without hearing that it is still so.
	freshFor = 2500 * time.Millisecond
	// leaseGroup names the one group of resources that today's fleets need.
	leaseGroup = "group_0"
	// watchersPerZone is the number of VMs of an availability zone that watch the platform.
	watchersPerZone = 2
)

// node holds the duties of one VM and what joins them.
type node struct {
	settings    *Runner
	incarnation string
	timer       timer.Timer
	draining    atomic.Bool

	dialer   *dialer.Dialer
	acceptor *acceptor.Acceptor
	recorder *recorder.Recorder
	asserter *asserter.Asserter
	meter    *meter.Meter

	relayer  *relayer.Relayer
	gossiper *gossiper.Gossiper
	holder   *holder.Holder
	granter  *granter.Granter
	spender  *spender.Spender
	manager  *manager.Manager

	admitter  *admitter.Admitter
	router    *router.Router
	balancer  *balancer.Balancer
	executor  *executor.Executor
	forwarder *forwarder.Forwarder
	listener  *listener.Listener
	reporter  *reporter.Reporter

	budget     budgeter.Budgeter
	turn       atomic.Uint64
	callers    net.Listener
	admin      net.Listener
	links      *quic.Transport
	endCallers context.CancelFunc
	callersEnd chan error
}

func (r *Runner) build() (*node, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	n := &node{settings: r, incarnation: incarnation, callersEnd: make(chan error, 1)}
	n.recorder = &recorder.Recorder{VM: r.VM.ID, Clock: &clock.Clock{}}
	n.meter = &meter.Meter{}
	n.asserter = &asserter.Asserter{Stop: r.Stop, Recorder: n.recorder, Meter: n.meter}
	if err := n.listen(); err != nil {
		n.close()
		return nil, err
	}
	ring, err := keyring.New(r.FleetKey)
	if err != nil {
		n.close()
		return nil, err
	}
	if err := n.join(ring); err != nil {
		n.close()
		return nil, err
	}
	n.buildZone()
	n.buildUpstream()
	return n, n.buildCallers(ring)
}

func (n *node) listen() error {
	address := n.settings.LinkListen
	if address == "" {
		address = n.settings.VM.LinkAddress
	}
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return errors.Wrapf(err, "listen for VMs on %s", address)
	}
	n.links = &quic.Transport{Conn: conn}
	if n.callers, err = listenTCP(n.settings.VM.CallerAddress); err != nil {
		return errors.Wrap(err, "callers")
	}
	n.admin, err = listenTCP(n.settings.AdminAddress)
	return errors.Wrap(err, "administration")
}

func (n *node) close() {
	if n.links != nil {
		_ = n.links.Close()
		n.links.Conn.Close()
	}
	if n.callers != nil {
		n.callers.Close()
	}
	if n.admin != nil {
		n.admin.Close()
	}
}

func (n *node) join(ring keyring.Keyring) error {
	config, err := ring.TLS(n.settings.VM.ID, n.incarnation)
	if err != nil {
		return err
	}
	n.dialer = &dialer.Dialer{TLS: config, Transport: n.links, Clock: n.recorder.Clock}
	n.acceptor = &acceptor.Acceptor{TLS: config, Clock: n.recorder.Clock}
	return nil
}

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

func (n *node) buildCallers(ring keyring.Keyring) error {
	secret, err := ring.Secret("idempotency keys")
	if err != nil {
		return err
	}
	keys := &issuer.Issuer{VM: n.settings.VM.ID, Incarnation: n.incarnation, Secret: secret, Clock: n.timer.Now}
	n.executor = &executor.Executor{Keys: keys, Sender: n.balancer, Clock: n.timer.Now}
	n.forwarder = &forwarder.Forwarder{
		Self: n.settings.VM.ID, Incarnation: n.incarnation, Keys: keys, Executor: n.executor,
		Sender: n.balancer, Caller: n.dialer, Find: n.gossiper.Find, Draining: n.draining.Load, Staying: n.staying,
	}
	n.admitter = &admitter.Admitter{
		Catalog: n.relayer.Catalog, Spender: n.spender, Router: n.router, Executor: n.forwarder, Budget: &n.budget, Record: n.record,
		Waited: n.meter.Wait,
	}
	n.listener = &listener.Listener{
		Admitter: n.admitter,
		Issuer:   n.forwarder,
		Account: func(keyHash string) (string, error) {
			return authenticator.Authenticator{}.Account(n.relayer.Catalog(), keyHash)
		},
		Models:   n.models,
		Entries:  n.entries,
		Ready:    n.ready,
		Draining: n.draining.Load,
		Observe:  n.observe,
	}
	n.reporter = &reporter.Reporter{
		Status: n.status, Events: n.recorder.Events, Metrics: n.meter.Handler(), Ready: n.ready,
	}
	n.acceptor.Handle(forwarder.Method, n.forwarder.Serve)
	n.acceptor.Handle(forwarder.IssueMethod, n.forwarder.ServeIssue)
	return nil
}

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
