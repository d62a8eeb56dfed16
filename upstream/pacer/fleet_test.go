package pacer_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/pacer"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

var seeds = flag.Uint64("seeds", 4, "number of simulated fleets of each kind")

const (
	step = 5 * time.Millisecond
	// window, limitFactor and limitSlack are the users' limit: from some seconds after a replica first named its limit, it may receive
	// limitFactor times what that allows in each window, and limitSlack requests more.
	window      = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	namedAt     = 5 * time.Second
	// maxHubs is the number of VMs of a large fleet that exchange heartbeats with each other.
	maxHubs = 24
)

// scenario is the load on one replica.
type scenario struct {
	vms int
	// perSecond is the limit that the replica names from namedAt until endsAt; later is the one that it names from changesAt on, if that is set.
	perSecond, later  float64
	changesAt, endsAt time.Duration
	// usual is the number of requests a second that the VMs together send to it until the limit must be kept after it first named a limit, and demand that
	// from then on. What a replica got before it named one is in the first windows, and nothing takes it back. demandingShare is the share of the VMs that have any.
	usual, demand, demandingShare float64
	// killGranters is the time between two kills of the VM that grants the tokens; it is back after a second.
	killGranters time.Duration
	// silentLinks is whether calls between VMs fail for two seconds of each ten.
	silentLinks bool
	duration    time.Duration
}

// contactTime returns the time from which a limit must be kept, as the users' deployments of such sizes have it.
func (s scenario) contactTime() time.Duration {
	switch {
	case s.vms <= 12:
		return 3 * time.Second
	case s.vms <= 100:
		return 4 * time.Second
	}
	return 5 * time.Second
}

type simulatedVM struct {
	*pacer.Pacer
	id          string
	deniedUntil time.Duration
	downUntil   time.Duration
}

type answer struct {
	vm     int
	sentAt time.Duration
	at     time.Duration
}

// fleetSimulation plays VMs with real pacers, their heartbeats and calls, and one replica.
type fleetSimulation struct {
	scenario
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	vms      []*simulatedVM
	denials  []time.Duration
	replica  fuchsiaspoke.Replica
	answers  []answer
	arrivals []time.Duration
	calls    int
	// caller is the VM that calls another one.
	caller string
}

func newFleetSimulation(t *testing.T, s scenario, seed uint64) *fleetSimulation {
	f := &fleetSimulation{scenario: s, t: t, rng: rand.New(rand.NewPCG(seed, 1)), replica: fuchsiaspoke.Replica{ID: "r"}}
	for n := range s.vms {
		f.vms = append(f.vms, f.newVM(n))
	}
	return f
}

func (f *fleetSimulation) newVM(n int) *simulatedVM {
	id := fmt.Sprint("vm_", n)
	published := &fuchsiaspoke.PublishedState{Replicas: map[string]fuchsiaspoke.Replica{"r": f.replica}}
	return &simulatedVM{id: id, Pacer: &pacer.Pacer{
		Self: fuchsiaspoke.VM{ID: id}, Granters: f.granters, Published: func() *fuchsiaspoke.PublishedState { return published },
		Dialer: f, Clock: func() time.Duration { return f.now }, Log: func(string, ...any) {}, Count: func(string) {},
	}}
}

// granters returns the hubs that are up.
func (f *fleetSimulation) granters() []fuchsiaspoke.VM {
	var out []fuchsiaspoke.VM
	for n := range min(len(f.vms), maxHubs) {
		if f.vms[n].downUntil <= f.now {
			out = append(out, fuchsiaspoke.VM{ID: f.vms[n].id})
		}
	}
	return out
}

// Call implements the calls between VMs, without any delay.
func (f *fleetSimulation) Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error {
	f.calls++
	for _, v := range f.vms {
		if v.id != vm.ID {
			continue
		}
		if v.downUntil > f.now || f.silentLinks && f.now%(10*time.Second) < 2*time.Second {
			return errors.New("no answer")
		}
		asked, err := frame.New(method, request)
		if err != nil {
			return err
		}
		return v.Serve(ctx, f.caller, asked, func(reply any) error {
			raw, err := cbor.Marshal(reply)
			if err != nil {
				return err
			}
			return receive(raw)
		})
	}
	return errors.New("unknown VM")
}

// heartbeats has each VM tell its hubs, and each hub the other hubs and its leaves, once in an interval.
func (f *fleetSimulation) heartbeats() {
	interval := 150 * time.Millisecond
	if len(f.vms) > 12 {
		interval = 300 * time.Millisecond
	}
	hubs := min(len(f.vms), maxHubs)
	for n, v := range f.vms {
		if (f.now+time.Duration(n)*7*step)%interval >= step || v.downUntil > f.now {
			continue
		}
		reports := v.Report()
		if len(reports) == 0 {
			continue
		}
		for other := range f.vms {
			bothHubs, leafOf := n < hubs && other < hubs, n%hubs == other%hubs && (n < hubs || other < hubs)
			if other != n && (bothHubs || leafOf) && f.vms[other].downUntil <= f.now && f.rng.IntN(50) > 0 {
				f.vms[other].Merge(reports, v.id)
			}
		}
	}
}

// named returns the limit that the replica names, and whether it names one.
func (f *fleetSimulation) named() (float64, bool) {
	switch {
	case f.now < namedAt || f.endsAt > 0 && f.now >= f.endsAt:
		return 0, false
	case f.changesAt > 0 && f.now >= f.changesAt:
		return f.later, true
	}
	return f.perSecond, true
}

func (f *fleetSimulation) run() {
	for f.now = step; f.now < f.duration; f.now += step {
		f.heartbeats()
		f.killGranter()
		f.receiveAnswers()
		demanding := max(int(f.demandingShare*float64(len(f.vms))), 1)
		rate := f.demand
		if f.now < namedAt+f.contactTime() {
			rate = f.usual
		}
		for p := rate * step.Seconds(); p > 0; p-- {
			if f.rng.Float64() < p {
				f.send(f.rng.IntN(demanding))
			}
		}
	}
}

func (f *fleetSimulation) killGranter() {
	if f.killGranters == 0 || f.now%f.killGranters >= step {
		return
	}
	for n, v := range f.vms[:min(len(f.vms), maxHubs)] {
		if f.isGranter(v) {
			f.vms[n] = f.newVM(n)
			f.vms[n].downUntil = f.now + time.Second
			return
		}
	}
}

// isGranter reports whether a VM grants the tokens: the others answer with its id.
func (f *fleetSimulation) isGranter(v *simulatedVM) bool {
	old := fuchsiaspoke.LimitReport{Process: f.replica.Incarnation().Hash(), PerSecond: f.perSecond, AgeMs: fuchsiaspoke.Milliseconds(f.now)}
	asked, err := frame.New(pacer.MethodToken, fuchsiaspoke.LimitTokenRequest{Limit: old})
	if err != nil {
		f.t.Fatal(err)
	}
	asks := f.vms[f.rng.IntN(len(f.vms))]
	granter := asks.id
	_ = asks.Serve(context.Background(), "peer", asked, func(reply any) error {
		if other := reply.(fuchsiaspoke.LimitTokenReply).Granter; other != "" {
			granter = other
		}
		return nil
	})
	return granter == v.id
}

func (f *fleetSimulation) send(n int) {
	v := f.vms[n]
	if v.downUntil > f.now {
		return
	}
	if v.deniedUntil > f.now && v.Limited(f.replica.Incarnation()) {
		f.denials = append(f.denials, f.now)
		return
	}
	f.caller = v.id
	granted, wait := v.Take(context.Background(), f.replica.Incarnation())
	if !granted {
		v.deniedUntil = f.now + wait
		f.denials = append(f.denials, f.now)
		return
	}
	f.arrivals = append(f.arrivals, f.now)
	f.answers = append(f.answers, answer{vm: n, sentAt: f.now, at: f.now + time.Duration(30+f.rng.IntN(400))*time.Millisecond})
}

func (f *fleetSimulation) receiveAnswers() {
	perSecond, limited := f.named()
	var rest []answer
	for _, a := range f.answers {
		switch {
		case a.at > f.now:
			rest = append(rest, a)
		case f.vms[a.vm].downUntil > f.now:
		case limited:
			f.vms[a.vm].Name(f.replica, perSecond)
		default:
			f.vms[a.vm].End(f.replica, a.sentAt)
		}
	}
	f.answers = rest
}

// most returns the largest number of arrivals in a window that ends between two times.
func (f *fleetSimulation) most(from, to time.Duration) int {
	most, first := 0, 0
	for last, at := range f.arrivals {
		for at-f.arrivals[first] > window {
			first++
		}
		if at >= from && at < to {
			most = max(most, last-first+1)
		}
	}
	return most
}

// count returns the number of arrivals between two times.
func (f *fleetSimulation) count(from, to time.Duration) int {
	n := 0
	for _, at := range f.arrivals {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

func allowed(perSecond float64) int {
	return int(limitFactor*perSecond*window.Seconds()) + limitSlack
}

// A limit of one request a second, or of fifty, is kept by 7, 80 and 410 VMs together, and most of what it allows is used.
func TestFleetKeepsLimitAndUsesIt(t *testing.T) {
	for _, vms := range []int{7, 80, 410} {
		for _, s := range []scenario{
			{perSecond: 1, usual: 4, demand: 20, demandingShare: 1},
			{perSecond: 1.6, usual: 4.2, demand: 4.2, demandingShare: 1},
			{perSecond: 3, usual: 10, demand: 20, demandingShare: 0.1},
			{perSecond: 50, usual: 150, demand: 200, demandingShare: 1},
			{perSecond: 0, usual: 2, demand: 10, demandingShare: 1},
			{perSecond: 2, usual: 5, demand: 10, demandingShare: 1, killGranters: 7 * time.Second},
			{perSecond: 2, usual: 5, demand: 10, demandingShare: 1, silentLinks: true},
		} {
			s.vms, s.duration = vms, 35*time.Second
			for seed := range *seeds {
				f := newFleetSimulation(t, s, seed)
				f.run()
				most, used := f.most(namedAt+s.contactTime(), s.duration), float64(f.count(namedAt+s.contactTime(), s.duration))
				want := min(s.demand, s.perSecond) * (s.duration - namedAt - s.contactTime()).Seconds()
				t.Logf("%d VMs, limit %v, demand %v, kills %v, silences %v: at most %d in %v, %d allowed; %.2f used; %.1f calls a second", vms, s.perSecond,
					s.demand, s.killGranters, s.silentLinks, most, window, allowed(s.perSecond), used/max(want, 1), float64(f.calls)/s.duration.Seconds())
				if most > allowed(s.perSecond) {
					t.Errorf("%d VMs, seed %d, %+v: %d requests in %v, %d allowed", vms, seed, s, most, window, allowed(s.perSecond))
				}
				if !s.silentLinks && used < 0.6*want {
					t.Errorf("%d VMs, seed %d, %+v: %.0f requests, the limit allows %.0f", vms, seed, s, used, want)
				}
			}
		}
	}
}

// A limit is lowered, raised and no longer named.
func TestFleetFollowsChangesOfLimit(t *testing.T) {
	for _, vms := range []int{7, 80, 410} {
		for _, s := range []scenario{{perSecond: 10, later: 1}, {perSecond: 1, later: 10}} {
			s.vms, s.usual, s.demand, s.demandingShare, s.changesAt, s.endsAt, s.duration = vms, 10, 30, 1, 15*time.Second, 25*time.Second, 40*time.Second
			for seed := range *seeds {
				f := newFleetSimulation(t, s, seed)
				f.run()
				if most := f.most(s.changesAt+s.contactTime()+time.Second, s.endsAt); most > allowed(s.later) {
					t.Errorf("%d VMs, seed %d: %d requests in %v under the limit %v, %d allowed", vms, seed, most, window, s.later, allowed(s.later))
				}
				if n := f.count(s.changesAt+s.contactTime(), s.endsAt); float64(n) < 0.6*s.later*(s.endsAt-s.changesAt-s.contactTime()).Seconds() {
					t.Errorf("%d VMs, seed %d: %d requests under the limit %v", vms, seed, n, s.later)
				}
				if n := len(f.denials); n > 0 && f.denials[n-1] > s.endsAt+s.contactTime() {
					t.Errorf("%d VMs, seed %d: a request was denied a token %v after the limit had ended", vms, seed, f.denials[n-1]-s.endsAt)
				}
			}
		}
	}
}

// An answer that a replica gave before it named a limit arrives after one that names it.
func TestEarlierAnswerDoesNotEndLimit(t *testing.T) {
	f := newFleetSimulation(t, scenario{vms: 1}, 1)
	v, i := f.vms[0], f.replica.Incarnation()
	f.now = 10 * time.Second
	v.Name(f.replica, 2)
	f.now = 11 * time.Second
	v.End(f.replica, 9*time.Second)
	if !v.Limited(i) {
		t.Error("the answer to a request that was sent before the limit was named ended the limit")
	}
	v.Merge([]fuchsiaspoke.LimitReport{{Process: i.Hash(), Ended: true, AgeMs: 3000}}, "vm_2")
	if !v.Limited(i) {
		t.Error("an older report ended the limit")
	}
	v.End(f.replica, 10500*time.Millisecond)
	v.Merge([]fuchsiaspoke.LimitReport{{Process: i.Hash(), PerSecond: 2, AgeMs: 900}}, "vm_2")
	if v.Limited(i) {
		t.Error("the limit did not end, or an older report named it again")
	}
}

// Another process at the replica's address has no limit.
func TestLimitEndsWithProcess(t *testing.T) {
	f := newFleetSimulation(t, scenario{vms: 1}, 1)
	f.vms[0].Name(f.replica, 2)
	next := f.replica
	next.StartedAtMs++
	if f.vms[0].Limited(next.Incarnation()) {
		t.Error("the limit holds for the next process")
	}
}

// A limit far above the load of a replica keeps no request back.
func TestLimitAboveLoadKeepsNothingBack(t *testing.T) {
	f := newFleetSimulation(t, scenario{vms: 7, perSecond: 1e9, usual: 20, demand: 20, demandingShare: 1, duration: 20 * time.Second}, 1)
	f.run()
	if len(f.denials) > 0 {
		t.Errorf("%d of %d requests were kept back, the first %v after the limit was named", len(f.denials), len(f.denials)+len(f.arrivals), f.denials[0]-namedAt)
	}
}

// Without an answer of the VM that grants tokens, nothing is sent.
func TestNothingIsSentWithoutAnswerOfGranter(t *testing.T) {
	f := newFleetSimulation(t, scenario{vms: 2, silentLinks: true}, 1)
	f.now = 10 * time.Second
	denied := 0
	for _, v := range f.vms {
		v.Name(f.replica, 1000)
	}
	f.now = 20 * time.Second
	for _, v := range f.vms {
		if granted, wait := v.Take(context.Background(), f.replica.Incarnation()); !granted && wait > 0 {
			denied++
		}
	}
	if denied != 1 {
		t.Errorf("%d of 2 VMs were denied a token, want the one that does not grant them itself", denied)
	}
}
