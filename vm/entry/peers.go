package entry

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/retrylimiter"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// methodPublished is the link method that reads another VM's published state.
	methodPublished = "published.get"
	// pullTimeout bounds a call of methodPublished.
	pullTimeout = 250 * time.Millisecond
	// minReaders is how many VMs of a small fleet read the platform on behalf of all; one of them may fail or be refused.
	minReaders = 2
	// vmsPerReader is the number of ready VMs for each further reader, so that every VM receives a reader's heartbeat within a
	// fraction of the heartbeat interval.
	vmsPerReader = 20
	// readerRankingKey is the key by which VMs are ranked as readers; it must be the same on all VMs.
	readerRankingKey = "read the platform"
	// usedBoundsShare is the part of the platform's retry bounds that the VMs use together.
	usedBoundsShare = 0.7
	// assumedFleetSize is the number of VMs assumed while no other VM is known.
	assumedFleetSize = 8
)

// heartbeatState returns the state that this VM sends in its next heartbeat.
func (e *Entry) heartbeatState() fuchsiaspoke.VMState {
	now := e.timer.Now()
	p := e.watcher.Published()
	admittedTokens, bucketLevels := e.rateLimiter.Snapshot()
	s := fuchsiaspoke.VMState{
		VM: e.VM, Incarnation: e.incarnation, HeartbeatNumber: e.heartbeatCount.Add(1), Uptime: now, Ready: e.Ready(),
		Draining:       e.Leaving(),
		AdmittedTokens: admittedTokens, BucketLevels: bucketLevels, Revision: p.Revision, ReadAge: now - p.ReadAt,
		Engines: e.requester.Views(),
	}
	if p.Contract != nil {
		s.ContractVersion = p.Contract.Version
	}
	s.Peers = e.reportedPeers(now, s.HeartbeatNumber)
	return s
}

// reportedPeers returns the VMs to name in a heartbeat, since others may not know of them.
func (e *Entry) reportedPeers(now time.Duration, heartbeat uint64) []fuchsiaspoke.ReportedPeer {
	var out []fuchsiaspoke.ReportedPeer
	for _, peer := range e.membership.PeersToReport(now, heartbeat) {
		out = append(out, fuchsiaspoke.ReportedPeer{
			ID: peer.State.VM.ID, HeartbeatAddress: e.heartbeatAddress(peer.State.VM), Age: now - peer.LastHeartbeat,
		})
	}
	return out
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

// heartbeatTargets returns the addresses to send heartbeats to: peers, indirect peers and the seeds.
func (e *Entry) heartbeatTargets() []string {
	e.mu.Lock()
	all := slices.Clone(e.SeedAddresses)
	e.mu.Unlock()
	now := e.timer.Now()
	for _, peer := range e.membership.Peers(now) {
		all = append(all, e.heartbeatAddress(peer.State.VM))
	}
	for _, indirect := range e.membership.IndirectPeers(now) {
		all = append(all, indirect.HeartbeatAddress)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(a string) bool { return a == "" || a == e.HeartbeatAddress })
}

// receiveHeartbeat applies a heartbeat of another VM, and pulls that VM's published state if it is newer and this VM is not about
// to read it from the platform itself.
func (e *Entry) receiveHeartbeat(s fuchsiaspoke.VMState) {
	if s.VM.ID == e.VM.ID {
		return
	}
	now := e.timer.Now()
	if e.membership.Observe(now, s) {
		e.Log("VM heard", "peer", s.VM.ID, "zone", string(s.VM.Zone), "incarnation", s.Incarnation,
			"uptime_ms", s.Uptime.Milliseconds())
	}
	e.rateLimiter.Observe(now, s)
	p := e.watcher.Published()
	e.watcher.ConfirmRevision(s.Revision, s.ReadAge)
	e.watcher.ObservePeerContract(s.ContractVersion)
	newerContract := s.ContractVersion > 0 && (p.Contract == nil || s.ContractVersion > p.Contract.Version)
	shouldPull := s.Revision > p.Revision && (e.watcher.Stale() || !e.isReader())
	if newerContract {
		// The contract is read from the platform, and pulled from a peer only if the platform fails.
		shouldPull = e.watcher.Failing()
	}
	if shouldPull && e.pullRunning.CompareAndSwap(false, true) {
		go e.pullPublished(s, newerContract)
	}
}

// isReader reports whether this VM is one of those that read the platform on behalf of all.
func (e *Entry) isReader() bool {
	ownWeight, rankedHigher, readyVMs := ranker.Weight(readerRankingKey, e.VM.ID), 0, 1
	for _, p := range e.membership.Reachable(e.timer.Now()) {
		if !p.State.Ready {
			continue
		}
		readyVMs++
		if ranker.Weight(readerRankingKey, p.State.VM.ID) > ownWeight {
			rankedHigher++
		}
	}
	return rankedHigher < minReaders+readyVMs/vmsPerReader
}

// pullPublished reads the published state from another VM, with the contract if withContract is set. It keeps VMs up to date
// that do not read the platform or get no answer from it.
func (e *Entry) pullPublished(s fuchsiaspoke.VMState, withContract bool) {
	defer e.pullRunning.Store(false)
	vm := s.VM
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	p := e.watcher.Published()
	query := fuchsiaspoke.PublicationQuery{Revision: p.Revision, Contract: withContract}
	if p.Contract != nil {
		query.ContractVersion = p.Contract.Version
	}
	var relay fuchsiaspoke.PublicationRelay
	err := e.dialer.Call(ctx, vm, methodPublished, query, func(raw cbor.RawMessage) error {
		return cbor.Unmarshal(raw, &relay)
	})
	if err != nil {
		e.Log("pull of what is published failed", "peer", vm.ID, "revision", s.Revision, "error", err.Error())
		e.watcher.ObserveMissedRevision(s.Revision)
		return
	}
	var newest *fuchsiaspoke.Contract
	if len(relay.ContractRaw) > 0 {
		if newest, err = e.Platform.Publisher.Decode(relay.ContractRaw); err != nil {
			e.Log("contract from peer could not be decoded", "peer", vm.ID, "error", err.Error())
			return
		}
	}
	e.watcher.ApplyRelay(newest, relay, vm.ID)
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
	now := e.timer.Now()
	n := len(e.membership.Peers(now)) + len(e.membership.IndirectPeers(now)) + 1
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
