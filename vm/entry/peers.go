package entry

import (
	"cmp"
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/retrylimiter"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/exchanger"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/membership"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// methodPublished is the link method that reads another VM's published state.
	methodPublished = "published.get"
	// usedBoundsShare is the part of the platform's retry bounds that the VMs use together.
	usedBoundsShare = 0.7
	// assumedFleetSize is the number of VMs assumed while no other VM is known.
	assumedFleetSize = 8
	// maxDrainingReplicas bounds the draining replicas in one heartbeat, which fits one datagram.
	maxDrainingReplicas = 8
)

// composeHeartbeats returns the heartbeats to send now.
func (e *Entry) composeHeartbeats() []exchanger.Batch {
	now := e.timer.Now()
	before := e.exchanger.Role()
	role := e.exchanger.UpdateRole(now, e.Ready(), e.ownsEngines())
	if role.CountEpoch != before.CountEpoch {
		e.Log("role changed", "hub", role.Hub, "leaf_of", strings.Join(role.LeafOf, ","), "hubs", len(role.Hubs))
	}
	e.rateLimiter.StartEpoch(role.CountEpoch, !role.Hub)
	e.rateLimiter.ForgetHubs(e.reachableLeaves(now))
	if p := e.watcher.Published(); p.Contract != nil {
		e.rateLimiter.Prepare(now, p.Contract.Accounts)
	}
	if role.Hub {
		e.updateFairQueueing()
	}
	e.mu.Lock()
	seeds := slices.Clone(e.SeedAddresses)
	e.mu.Unlock()
	return e.exchanger.Compose(now, e.heartbeatState(now), seeds)
}

// reachableLeaves returns the ids of the reachable VMs that are no hubs.
func (e *Entry) reachableLeaves(now time.Duration) []string {
	var out []string
	for _, p := range e.membership.Reachable(now) {
		if !p.Hub {
			out = append(out, p.VM.ID)
		}
	}
	return out
}

// ownsEngines reports whether this VM owns any engine.
func (e *Entry) ownsEngines() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.controllers) > 0
}

// heartbeatState returns this VM's state for its next heartbeat.
func (e *Entry) heartbeatState(now time.Duration) fuchsiaspoke.VMState {
	p := e.watcher.Published()
	number := e.heartbeatCount.Add(1)
	acks, rateShare := e.rateLimiter.Acks(now)
	admittedTokens, bucketLevels := e.rateLimiter.Snapshot(number)
	s := fuchsiaspoke.VMState{
		VM: e.VM, Incarnation: e.incarnation, HeartbeatNumber: number, Uptime: now, Ready: e.Ready(),
		Draining:       e.Leaving(),
		AdmittedTokens: admittedTokens, BucketLevels: bucketLevels, Acks: acks, RateShare: rateShare,
		Revision: p.Revision, Reading: p.Reading.WithAge(now - p.ReadAt).Report(), Engines: e.requester.Views(),
		DrainingReplicas: e.drainingReplicas(number), Evidence: e.quarantiner.Report().Report(), Limits: e.pacer.Report(),
		Served:    e.sharer.Report(now),
		RampRates: e.pacer.RampRates(), ReplicasUnreachable: e.partition.Partitioned(), Brittle: e.pacer.BrittleServices(),
	}
	if p.Contract != nil {
		s.ContractVersion = p.Contract.Version
	}
	return s
}

// drainingReplicas returns the replicas that have reported that they drain, for one heartbeat. If they are more than
// maxDrainingReplicas, the heartbeats name them in turn.
func (e *Entry) drainingReplicas(heartbeat uint64) []fuchsiaspoke.ReplicaIncarnation {
	all := e.watcher.ReportedDraining()
	slices.SortFunc(all, func(a, b fuchsiaspoke.ReplicaIncarnation) int { return cmp.Compare(a.ID, b.ID) })
	return fuchsiaspoke.InTurn(all, int(heartbeat), maxDrainingReplicas)
}

// heartbeatAddress returns where a VM receives heartbeats. All VMs use the same port.
func (e *Entry) heartbeatAddress(vm fuchsiaspoke.VM) string {
	host, _, err := net.SplitHostPort(vm.LinkAddress)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(e.HeartbeatAddress)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// receiveHeartbeat applies a heartbeat of another VM, unless it arrives after a later one, and pulls that VM's published state if it
// is newer and this VM is not about to read it from the platform itself.
func (e *Entry) receiveHeartbeat(s fuchsiaspoke.VMState) {
	if s.VM.ID == e.VM.ID || e.membership.IsLate(s) {
		return
	}
	now := e.timer.Now()
	if e.membership.Observe(now, s) {
		e.Log("VM heard", "peer", s.VM.ID, "zone", string(s.VM.Zone), "incarnation", s.Incarnation,
			"uptime_ms", s.Uptime.Milliseconds())
	}
	for _, r := range s.DrainingReplicas {
		e.watcher.MarkDraining(r, s.VM.ID)
	}
	if s.Evidence != nil {
		e.quarantiner.Merge(*s.Evidence, s.VM.ID)
	}
	e.pacer.Merge(s.Limits, s.VM.ID)
	if s.Served != nil {
		e.sharer.Merge(now, s.VM.ID, s.Incarnation, s.Served)
	}
	e.pacer.MergeRamps(s.RampRates)
	e.pacer.MergeBrittle(s.Brittle, s.VM.ID)
	e.observeRates(now, s)
	e.refresher.Observe(s)
}

// observeRates passes what a heartbeat says of admitted tokens and bucket levels to the rate limiter: as that of another hub, of a
// leaf that reports here, or of the hub to which this leaf reports.
func (e *Entry) observeRates(now time.Duration, s fuchsiaspoke.VMState) {
	role := e.exchanger.Role()
	switch {
	case s.Continuation:
	case !s.Hub && s.WantsAnswer:
		e.rateLimiter.ObserveLeaf(now, s)
	case s.Hub && s.WantsAnswer && role.Hub:
		e.rateLimiter.Observe(now, s)
	case s.Hub && !s.WantsAnswer && s.VM.ID == role.ReportsTo():
		e.rateLimiter.Adopt(now, s)
	}
}

// isReader reports whether this VM is one of the hubs that read the platform on behalf of all.
func (e *Entry) isReader() bool {
	return e.exchanger.IsReader(e.timer.Now())
}

// recordKeepers returns the VMs that may keep records of streams: the hubs that are reachable, and this VM.
func (e *Entry) recordKeepers() []fuchsiaspoke.VM {
	return append([]fuchsiaspoke.VM{e.VM}, e.reachableHubs()...)
}

// anySilent reports whether this VM hears nothing of a VM that it knows.
func (e *Entry) anySilent() bool {
	return slices.ContainsFunc(e.membership.Peers(e.timer.Now()), func(p membership.Peer) bool { return !p.Reachable })
}

// granters returns the VMs that may grant tokens of limited replicas: the hubs that are reachable.
func (e *Entry) granters() []fuchsiaspoke.VM {
	var out []fuchsiaspoke.VM
	hubs := e.exchanger.Role().Hubs
	if hubs[e.VM.ID] && !e.Leaving() {
		out = append(out, e.VM)
	}
	return append(out, e.reachableHubs()...)
}

// reachableHubs returns the other VMs that are hubs and reachable.
func (e *Entry) reachableHubs() []fuchsiaspoke.VM {
	var out []fuchsiaspoke.VM
	hubs := e.exchanger.Role().Hubs
	for _, p := range e.membership.Reachable(e.timer.Now()) {
		if hubs[p.VM.ID] {
			out = append(out, p.VM)
		}
	}
	return out
}

// isReachable reports whether another VM is reachable.
func (e *Entry) isReachable(id string) bool {
	return slices.ContainsFunc(e.membership.Reachable(e.timer.Now()), func(p membership.Peer) bool { return p.VM.ID == id })
}

// hubsToAsk returns the hubs that rank engines for this VM; none on a hub.
func (e *Entry) hubsToAsk() []fuchsiaspoke.VM {
	var out []fuchsiaspoke.VM
	for _, id := range e.exchanger.Role().LeafOf {
		if vm, known := e.membership.VM(id); known {
			out = append(out, vm)
		}
	}
	return out
}

// pullPublished asks another VM for what this one lacks of what is published.
func (e *Entry) pullPublished(
	ctx context.Context, vm fuchsiaspoke.VM, query fuchsiaspoke.PublicationQuery,
) (fuchsiaspoke.PublicationRelay, error) {
	var relay fuchsiaspoke.PublicationRelay
	err := e.dialer.Call(ctx, vm, methodPublished, query, func(raw cbor.RawMessage) error {
		return cbor.Unmarshal(raw, &relay)
	})
	return relay, err
}

// servePublished answers methodPublished calls of other VMs.
func (e *Entry) servePublished(_ context.Context, _ string, request frame.Frame, send func(any) error) error {
	var query fuchsiaspoke.PublicationQuery
	if err := cbor.Unmarshal(request.Body, &query); err != nil {
		return errors.Wrap(err, "decode request for published state")
	}
	if e.watcher.Published().Contract == nil {
		return errors.New("no contract received yet")
	}
	return send(e.watcher.ChangesFor(query))
}

// fleetSize returns the number of VMs that this one knows of, itself included, or assumedFleetSize if it knows no other.
func (e *Entry) fleetSize() int {
	n := len(e.membership.Peers(e.timer.Now())) + 1
	if n == 1 {
		return assumedFleetSize
	}
	return n
}

// retryLimiters holds this VM's retry limiter for each service.
type retryLimiters struct {
	// ratio is the number of retries allowed per request; slack is the number allowed beyond that over all VMs.
	ratio   float64
	slack   float64
	vmCount func() int

	mu        sync.Mutex
	byService map[string]*retrylimiter.RetryLimiter
}

// Add credits the service's retry budget for a request.
func (b *retryLimiters) Add(service string) { b.limiterFor(service).Add() }

// Take reports whether a retry is within the service's retry budget, and deducts it if so.
func (b *retryLimiters) Take(service string) bool { return b.limiterFor(service).Take() }

// Return gives back a retry that was taken and not made.
func (b *retryLimiters) Return(service string) { b.limiterFor(service).Return() }

func (b *retryLimiters) limiterFor(service string) *retrylimiter.RetryLimiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byService == nil {
		b.byService = make(map[string]*retrylimiter.RetryLimiter)
	}
	limiter := b.byService[service]
	if limiter == nil {
		limiter = &retrylimiter.RetryLimiter{
			PerRequest: b.ratio * usedBoundsShare, Reserve: max(b.slack*usedBoundsShare/float64(b.vmCount()), 1),
		}
		b.byService[service] = limiter
	}
	return limiter
}

// Reseed replaces the heartbeat addresses of VMs that may be running.
func (e *Entry) Reseed(addresses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.SeedAddresses = addresses
}
