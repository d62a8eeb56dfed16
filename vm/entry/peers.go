package entry

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/budgeter"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// methodPublished is the call for what another VM knows of what is published.
	methodPublished = "published.get"
	// pullTimeout bounds that call.
	pullTimeout = 250 * time.Millisecond
	// leastReaders is how many VMs read the platform for all in a small fleet; one of them may die or be turned away.
	leastReaders = 2
	// vmsPerReader adds a reader in larger fleets, so that each VM hears one within a part of a heartbeat.
	vmsPerReader = 20
	// readDuty is what VMs are ranked for.
	readDuty = "read the platform"
	// budgetShare is the part of the retry slack of all VMs that they give out among themselves.
	budgetShare = 0.7
	// unknownFleet is how many VMs there are taken to be while none is known.
	unknownFleet = 8
)

// state is what this VM tells the others.
func (e *Entry) state() fuchsiaspoke.VMState {
	now := e.timer.Now()
	p := e.follower.Published()
	spent, level := e.sharer.Report()
	s := fuchsiaspoke.VMState{
		VM: e.VM, Incarnation: e.incarnation, Beat: e.beat.Add(1), Uptime: now, Ready: e.Ready(), Leaving: e.Leaving(),
		Spent: spent, Level: level, Revision: p.Revision, ReadAge: now - p.ReadAt, Engines: e.broker.Views(),
	}
	if p.Contract != nil {
		s.ContractVersion = p.Contract.Version
	}
	s.Peers = e.tell(now, s.Beat)
	return s
}

// tell names VMs that others may not know of.
func (e *Entry) tell(now time.Duration, beat uint64) []fuchsiaspoke.HeardVM {
	var out []fuchsiaspoke.HeardVM
	for _, peer := range e.roster.Mentions(now, beat) {
		out = append(out, fuchsiaspoke.HeardVM{
			ID: peer.State.VM.ID, BeatAddress: e.beatOf(peer.State.VM), Age: now - peer.Heard,
		})
	}
	return out
}

// beatOf returns where a VM takes heartbeats: all VMs use the same ports.
func (e *Entry) beatOf(vm fuchsiaspoke.VM) string {
	host, _, err := net.SplitHostPort(vm.LinkAddress)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(e.BeatAddress)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// targets are the VMs to send heartbeats to: those heard, those that they hear, and the seeds.
func (e *Entry) targets() []string {
	e.mu.Lock()
	all := slices.Clone(e.SeedBeats)
	e.mu.Unlock()
	now := e.timer.Now()
	for _, peer := range e.roster.Peers(now) {
		all = append(all, e.beatOf(peer.State.VM))
	}
	for _, told := range e.roster.Told(now) {
		all = append(all, told.BeatAddress)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(a string) bool { return a == "" || a == e.BeatAddress })
}

// heard takes another VM's heartbeat in.
func (e *Entry) heard(s fuchsiaspoke.VMState) {
	if s.VM.ID == e.VM.ID {
		return
	}
	now := e.timer.Now()
	if e.roster.Observe(now, s) {
		e.Log("VM heard", "peer", s.VM.ID, "zone", string(s.VM.Zone), "incarnation", s.Incarnation, "uptime_ms", s.Uptime.Milliseconds())
	}
	e.sharer.Observe(now, s)
	p := e.follower.Published()
	e.follower.Confirm(s.Revision, s.ReadAge)
	e.follower.Want(s.ContractVersion)
	behind := s.ContractVersion > 0 && (p.Contract == nil || s.ContractVersion > p.Contract.Version)
	newer := s.Revision > p.Revision && (e.follower.Stale() || !e.reads())
	if behind {
		// The platform is asked first, unless it doesn't answer.
		newer = e.follower.Failing()
	}
	if newer && e.pulling.CompareAndSwap(false, true) {
		go e.pull(s, behind)
	}
}

// reads reports whether this VM is one of those that read the platform for all.
func (e *Entry) reads() bool {
	mine, ahead, all := ranker.Weight(readDuty, e.VM.ID), 0, 1
	for _, p := range e.roster.Live(e.timer.Now()) {
		if !p.State.Ready {
			continue
		}
		all++
		if ranker.Weight(readDuty, p.State.VM.ID) > mine {
			ahead++
		}
	}
	return ahead < leastReaders+all/vmsPerReader
}

// pull asks another VM for what is published, as where the platform doesn't serve this one.
func (e *Entry) pull(s fuchsiaspoke.VMState, contract bool) {
	defer e.pulling.Store(false)
	vm := s.VM
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	p := e.follower.Published()
	ask := fuchsiaspoke.PublishedAsk{Revision: p.Revision, Contract: contract}
	if p.Contract != nil {
		ask.ContractVersion = p.Contract.Version
	}
	var relay fuchsiaspoke.PublishedRelay
	err := e.dialer.Call(ctx, vm, methodPublished, ask, func(raw cbor.RawMessage) error {
		return cbor.Unmarshal(raw, &relay)
	})
	if err != nil {
		e.Log("pull of what is published failed", "peer", vm.ID, "revision", s.Revision, "error", err.Error())
		e.follower.Missed(s.Revision)
		return
	}
	var newest *fuchsiaspoke.Contract
	if len(relay.ContractRaw) > 0 {
		if newest, err = e.Platform.Publisher.Decode(relay.ContractRaw); err != nil {
			e.Log("contract of a peer not usable", "peer", vm.ID, "error", err.Error())
			return
		}
	}
	e.follower.Relay(newest, relay, vm.ID)
}

func (e *Entry) servePublished(_ context.Context, _ string, request frame.Frame, send func(any) error) error {
	var ask fuchsiaspoke.PublishedAsk
	if err := cbor.Unmarshal(request.Body, &ask); err != nil {
		return errors.Wrap(err, "read what the peer knows")
	}
	if e.follower.Published().Contract == nil {
		return errors.New("nothing is known here")
	}
	return send(e.follower.Tell(ask))
}

// fleet is how many VMs there are, as far as this one knows.
func (e *Entry) fleet() int {
	now := e.timer.Now()
	n := len(e.roster.Peers(now)) + len(e.roster.Told(now)) + 1
	if n == 1 {
		return unknownFleet
	}
	return n
}

// budgets holds this VM's part of the retry budget of each service.
type budgets struct {
	ratio float64
	slack float64
	vms   func() int

	mu  sync.Mutex
	all map[string]*budgeter.Budgeter
}

// Add counts a request for a service.
func (b *budgets) Add(service string) { b.of(service).Add() }

// Take reports whether a request may go to one more replica, and counts it.
func (b *budgets) Take(service string) bool { return b.of(service).Take() }

func (b *budgets) of(service string) *budgeter.Budgeter {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.all == nil {
		b.all = make(map[string]*budgeter.Budgeter)
	}
	one := b.all[service]
	if one == nil {
		one = &budgeter.Budgeter{PerRequest: b.ratio * budgetShare, Reserve: max(b.slack*budgetShare/float64(b.vms()), 1)}
		b.all[service] = one
	}
	return one
}

// Reseed replaces the VMs that may be there.
func (e *Entry) Reseed(beats []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.SeedBeats = beats
}
