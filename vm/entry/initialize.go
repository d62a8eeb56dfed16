package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/changereader"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/refresher"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/watcher"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/dialer"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/keyring"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/finder"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/pacer"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/permitter"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/quarantiner"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/rampdetector"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/rampgranter"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/requester"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/warmupdetector"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/authorizer"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/bytelender"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/delegator"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/sender"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/registrar"
	"github.com/pkg/errors"
)

// initialize creates the parts of the VM and connects them.
func (e *Entry) initialize() error {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return errors.Wrap(err, "generate incarnation ID")
	}
	e.incarnation = hex.EncodeToString(id[:])
	e.timer.Now()
	secret := sha256.Sum256([]byte(e.LinkSecret))
	ring, err := keyring.New(hex.EncodeToString(secret[:]))
	if err != nil {
		return err
	}
	if e.tls, err = ring.TLS(e.VM.ID, e.incarnation); err != nil {
		return err
	}
	if e.linkResetKey, err = ring.ResetKey(e.VM.ID); err != nil {
		return err
	}
	e.dialer = &dialer.Dialer{TLS: e.tls, IdleTimeout: linkIdleTimeout}
	e.initializeFleet()
	e.initializePublished()
	e.initializeReplicaLimits()
	e.initializeServing()
	return nil
}

// initializeFleet creates what follows the other VMs of the fleet.
func (e *Entry) initializeFleet() {
	e.controllers = make(map[string]*ownedEngine)
	e.peerUnreachable, e.peerFailed = make(map[string]bool), make(map[string]bool)
	e.claimer.Lease = e.Bounds.OwnershipGap
	e.membership.Self, e.membership.ContactLimit = e.VM.ID, e.Bounds.ContactLimit
	e.exchanger.Self, e.exchanger.Membership, e.exchanger.Address = e.VM, &e.membership, e.heartbeatAddress
	e.rateLimiter.Self, e.rateLimiter.FleetSize = e.VM.ID, e.fleetSize
	e.rateLimiter.Overage = e.Bounds.QuotaOverage
	if e.hasOtherSeeds() {
		e.rateLimiter.MinFleetSize = assumedFleetSize
		e.rateLimiter.MayHavePeers = !e.FirstStart
	}
}

// initializePublished creates what follows the platform, and the replicas that are reached.
func (e *Entry) initializePublished() {
	e.partition.Replicas, e.partition.Connect, e.partition.OnEnd = e.readyReplicas, e.transport.Connect, e.tracker.EndBackoffs
	e.partition.Clock, e.partition.Log, e.partition.Count = e.timer.Now, e.Log, e.CountEvent
	e.transport.Dial, e.transport.Contacts = e.DialReplica, &e.partition
	e.watcher = &watcher.Watcher{
		Platform: e.Platform.Publisher, Clock: e.timer.Now, PropagationLimit: e.propagationLimit(),
		Reader: fuchsiaspoke.ReaderID(e.incarnation), IsReader: e.isReader, Log: e.Log, Count: e.CountEvent,
	}
	e.refresher = &refresher.Refresher{
		Watcher: e.watcher, Pull: e.pullPublished, Peers: e.reachableHubs, Clock: e.timer.Now, Log: e.Log, Count: e.CountEvent,
		Decode: func(raw []byte) (*fuchsiaspoke.Contract, error) { return e.Platform.Publisher.Decode(raw) },
	}
}

// initializeReplicaLimits creates what decides whether a replica may be sent to.
func (e *Entry) initializeReplicaLimits() {
	e.pacer = &pacer.Pacer{
		Self: e.VM, Granters: e.granters, Published: e.watcher.Published, Dialer: e.dialer, Clock: e.timer.Now, Log: e.Log, Count: e.CountEvent,
		Reachable: e.isReachable, ExpectsPeers: e.hasOtherSeeds, WarmUpOver: e.Bounds.WarmUpOver, WarmUpSlack: e.Bounds.WarmUpSlack,
	}
	e.pacer.Ramps = &rampgranter.RampGranter{Name: e.pacer.ReplicaID, Log: e.Log, Count: e.CountEvent}
	e.ramps = &rampdetector.RampDetector{Published: e.watcher.Published, Limits: e.pacer, Log: e.Log, Count: e.CountEvent}
	e.warmUps = &warmupdetector.WarmupDetector{Published: e.watcher.Published, Limits: e.pacer, Log: e.Log, Count: e.CountEvent}
	e.permitter = &permitter.Permitter{
		Published: e.watcher.Published, Limits: e.pacer, WarmUps: e.warmUps, Clock: e.timer.Now, Log: e.Log, Count: e.CountEvent,
		MarkDraining: func(i fuchsiaspoke.ReplicaIncarnation) { e.watcher.MarkDraining(i, e.VM.ID) },
	}
	e.quarantiner = &quarantiner.Quarantiner{
		Self: e.VM.ID, Clock: e.timer.Now, VMs: e.fleetSize, Log: e.Log, Count: e.CountEvent,
	}
}

// initializeServing creates what admits requests and serves them.
func (e *Entry) initializeServing() {
	e.requester = &requester.Requester{Peers: &e.membership, Dialer: e.dialer, Clock: e.timer.Now, Self: e.VM}
	e.finder = &finder.Finder{
		Published: e.watcher.Published, Requester: e.requester, Tracker: &e.tracker, Clock: e.timer.Now, Dialer: e.dialer,
		Hubs: e.hubsToAsk, Log: e.Log, Regions: e.Regions, Shares: &e.sharer,
	}
	e.retryLimiters = retryLimiters{ratio: e.Bounds.RetryRatio, slack: e.Bounds.RetrySlack, vmCount: e.fleetSize}
	e.authorizer = &authorizer.Authorizer{Published: e.watcher.Published, RateLimiter: &e.rateLimiter, Clock: e.timer.Now}
	changes := &changereader.ChangeReader{
		Platform: e.Platform.Publisher, Revision: func() fuchsiaspoke.Revision { return e.watcher.Published().Revision },
	}
	e.registrar = &registrar.Registrar{
		Self: e.VM, Changes: changes, FirstStart: e.FirstStart, VMs: e.recordKeepers, AnySilent: e.anySilent, Published: e.watcher.Published, Dialer: e.dialer, Clock: e.timer.Now, Log: e.Log,
		Count: e.CountEvent,
	}
	e.sender = &sender.Sender{
		Published: e.watcher.Published, Transport: &e.transport, Protocol: e.Platform.Replicas, Requester: e.requester,
		Finder: e.finder, Origins: e.registrar, Tracker: &e.tracker, Permitter: e.permitter, Ramps: e.ramps,
		Quarantiner: e.quarantiner, RetryBudget: &e.retryLimiters, Clock: e.timer.Now,
		Log: e.Log, Observe: e.Observe, ObserveBodyEnd: e.ObserveBodyEnd,
		Count: e.CountEvent, TimeUntilOwned: e.timeUntilOwned, Regions: e.Regions, Partition: &e.partition,
		Drainer: &e.drainer, Responses: &bytelender.Lender{Limit: e.MaxResponseMemory},
	}
	e.delegator = &delegator.Delegator{
		Self: e.VM, Partitioned: e.partition.Partitioned, Peers: e.delegationPeers, Dialer: e.dialer, Regions: e.Regions, Clock: e.timer.Now,
		Log: e.Log, Count: e.CountEvent, Drainer: &e.drainer,
		Local: func(ctx context.Context, req fuchsiaspoke.AdmittedRequest, m fuchsiaspoke.Message, out delegator.ResponseWriter) error {
			return e.sender.Serve(ctx, req, m, out)
		},
	}
}
