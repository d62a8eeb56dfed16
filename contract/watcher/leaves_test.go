package watcher_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/refresher"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/watcher"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/exchanger"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/membership"
)

var (
	leafFleets = flag.Uint64("leaf_fleets", 6, "number of simulated fleets of hubs and leaves")
	leafSeed   = flag.Uint64("leaf_seed", 0, "seed of the first simulated fleet of hubs and leaves")
)

const (
	leafFleetSize  = 90
	leafFleetZones = 3
	// leafFleetForms is the time after which all VMs of a fleet that starts at once know each other.
	leafFleetForms = 10 * time.Second
	// pullDuration is the time that a pull takes.
	pullDuration = 4 * time.Millisecond
	datagramLoss = 0.005
)

// fleetVM is a VM of a leafFleet.
type fleetVM struct {
	vm          fuchsiaspoke.VM
	membership  membership.Membership
	exchanger   exchanger.Exchanger
	watcher     *watcher.Watcher
	refresher   *refresher.Refresher
	platform    *fleetPlatform
	incarnation string
	number      uint64
	// rng draws the times and losses of this VM's heartbeats.
	rng *rand.Rand
	// mu guards the fields below.
	mu sync.Mutex
	// ended means that the process was killed; side is the part of the fleet that it reaches.
	ended bool
	side  int
}

// leafFleet is a fleet of watchers whose VMs find their hubs and leaves by heartbeats, which may be lost.
type leafFleet struct {
	ctx       context.Context
	platform  *fakePlatform
	vms       []*fleetVM
	byAddress map[string]*fleetVM
	rng       *rand.Rand
	running   sync.WaitGroup
}

func newLeafFleet(t *testing.T, seed uint64) *leafFleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &leafFleet{ctx: ctx, platform: &fakePlatform{}, byAddress: map[string]*fleetVM{}, rng: rand.New(rand.NewPCG(seed, 1))}
	f.platform.publish(encodedPublication(1))
	for n := range leafFleetSize {
		v := f.newVM(t, n, seed)
		f.vms = append(f.vms, v)
		f.byAddress[fleetAddress(v.vm)] = v
	}
	for _, v := range f.vms {
		f.running.Go(func() { f.beat(v) })
		f.running.Go(func() {
			if err := <-v.refresher.Run(ctx); !errors.Is(err, context.Canceled) {
				t.Error(err)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		f.running.Wait()
	})
	return f
}

func (f *leafFleet) newVM(t *testing.T, n int, seed uint64) *fleetVM {
	ip := fmt.Sprintf("10.1.0.%d", n)
	v := &fleetVM{platform: &fleetPlatform{fakePlatform: f.platform}, incarnation: ip, rng: rand.New(rand.NewPCG(seed, uint64(n+2)))}
	v.vm = fuchsiaspoke.VM{
		ID: ip, Zone: fuchsiaspoke.Zone(fmt.Sprint("zone_", n%leafFleetZones)), LinkAddress: ip + ":7601", Capacity: 0.2 + 0.2*float32(n%4),
	}
	v.membership.Self = ip
	v.exchanger.Self, v.exchanger.Membership, v.exchanger.Address = v.vm, &v.membership, fleetAddress
	v.watcher = runWatcher(t, &watcher.Watcher{
		Platform: v.platform, PropagationLimit: fleetChangeLimit, Reader: fuchsiaspoke.ReaderID(ip),
		IsReader: func() bool { return v.exchanger.IsReader(v.watcher.Clock()) },
	})
	v.refresher = &refresher.Refresher{
		Watcher: v.watcher, Clock: v.watcher.Clock, Log: func(string, ...any) {}, Count: func(string) {}, Decode: decodeVersion,
		Peers: func() []fuchsiaspoke.VM { return v.reachableHubs() },
		Pull: func(ctx context.Context, vm fuchsiaspoke.VM, query fuchsiaspoke.PublicationQuery) (fuchsiaspoke.PublicationRelay, error) {
			return f.pull(ctx, v, vm, query)
		},
	}
	return v
}

// reachableHubs returns the other VMs that are hubs and reachable.
func (v *fleetVM) reachableHubs() []fuchsiaspoke.VM {
	var out []fuchsiaspoke.VM
	hubs := v.exchanger.Role().Hubs
	for _, p := range v.membership.Reachable(v.watcher.Clock()) {
		if hubs[p.VM.ID] {
			out = append(out, p.VM)
		}
	}
	return out
}

// encodedPublication is a contract whose document is its version.
func encodedPublication(version int64) fuchsiaspoke.Publication {
	p := contractPublication(version)
	p.Raw = strconv.AppendInt(nil, version, 10)
	return p
}

func decodeVersion(raw []byte) (*fuchsiaspoke.Contract, error) {
	version, err := strconv.ParseInt(string(raw), 10, 64)
	return &fuchsiaspoke.Contract{Version: version}, err
}

func fleetAddress(vm fuchsiaspoke.VM) string {
	host, _, _ := net.SplitHostPort(vm.LinkAddress)
	return net.JoinHostPort(host, "7600")
}

func (f *leafFleet) seeds() []string {
	return []string{fleetAddress(f.vms[0].vm), fleetAddress(f.vms[1].vm), fleetAddress(f.vms[2].vm)}
}

// duration draws a time below the limit.
func duration(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}

// beat sends the heartbeats of a VM until its process ends.
func (f *leafFleet) beat(v *fleetVM) {
	for time.Sleep(duration(v.rng, fleetHeartbeatInterval)); f.ctx.Err() == nil && !v.hasEnded(); {
		now := v.watcher.Clock()
		v.exchanger.UpdateRole(now, v.watcher.Published().Contract != nil, false)
		v.number++
		for _, b := range v.exchanger.Compose(now, v.state(now), f.seeds()) {
			for _, target := range b.Targets {
				if to := f.byAddress[target]; to != v && f.connected(v, to) && v.rng.Float64() >= datagramLoss {
					f.running.Go(func() { f.receive(to, b.State) })
				}
			}
		}
		interval := v.membership.HeartbeatInterval()
		time.Sleep(interval*9/10 + duration(v.rng, interval/5))
	}
}

func (v *fleetVM) hasEnded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ended
}

func (v *fleetVM) onSide() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.side
}

// connected reports whether two VMs run and reach each other.
func (f *leafFleet) connected(a, b *fleetVM) bool {
	return !a.hasEnded() && !b.hasEnded() && a.onSide() == b.onSide()
}

func (v *fleetVM) state(now time.Duration) fuchsiaspoke.VMState {
	p := v.watcher.Published()
	s := fuchsiaspoke.VMState{
		VM: v.vm, Incarnation: v.incarnation, HeartbeatNumber: v.number, Uptime: now, Ready: p.Contract != nil, Revision: p.Revision,
		Reading: p.Reading.WithAge(now - p.ReadAt).Report(),
	}
	if p.Contract != nil {
		s.ContractVersion = p.Contract.Version
	}
	return s
}

// receive delivers a heartbeat.
func (f *leafFleet) receive(to *fleetVM, s fuchsiaspoke.VMState) {
	time.Sleep(time.Millisecond)
	if to.hasEnded() || to.membership.IsLate(s) {
		return
	}
	to.membership.Observe(to.watcher.Clock(), s)
	to.refresher.Observe(s)
}

// pull asks another VM for a VM; one that is not reached does not answer.
func (f *leafFleet) pull(
	ctx context.Context, asker *fleetVM, vm fuchsiaspoke.VM, query fuchsiaspoke.PublicationQuery,
) (fuchsiaspoke.PublicationRelay, error) {
	asked := f.byAddress[fleetAddress(vm)]
	if !f.connected(asker, asked) {
		<-ctx.Done()
		return fuchsiaspoke.PublicationRelay{}, ctx.Err()
	}
	time.Sleep(pullDuration)
	return asked.watcher.ChangesFor(query), nil
}

// turnAway lets the platform turn a VM away, silently or by refusals.
func (v *fleetVM) turnAway(silent bool) {
	v.platform.stateMu.Lock()
	defer v.platform.stateMu.Unlock()
	v.platform.silent, v.platform.refusing = silent, !silent
}

// end kills the process of a VM.
func (v *fleetVM) end() {
	v.mu.Lock()
	v.ended = true
	v.mu.Unlock()
	v.turnAway(true)
}

// cutOff separates a VM from the platform and from all VMs that aren't cut off.
func (v *fleetVM) cutOff() {
	v.mu.Lock()
	v.side = 1
	v.mu.Unlock()
	v.turnAway(true)
}

// late returns the VMs that run, are connected to most others and don't have the contract version in force.
func (f *leafFleet) late(version int64) []string {
	var out []string
	for _, v := range f.vms {
		if !v.hasEnded() && v.onSide() == 0 && contractVersion(v.watcher) != version {
			out = append(out, v.vm.ID)
		}
	}
	return out
}

// share returns the VMs drawn with the given probability.
func (f *leafFleet) share(p float64) []*fleetVM {
	return slices.DeleteFunc(slices.Clone(f.vms), func(*fleetVM) bool { return f.rng.Float64() >= p })
}

// The platform is silent to some VMs or refuses them, and VMs are killed or cut off around the change, which takes leaves their hubs.
func TestChangeIsInForceInTimeWhereHubsVanishAndPlatformTurnsLeavesAway(t *testing.T) {
	for seed := *leafSeed; seed < *leafSeed+*leafFleets; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { requireChangeInTime(t, newLeafFleet(t, seed), seed) })
		})
	}
}

func requireChangeInTime(t *testing.T, f *leafFleet, seed uint64) {
	silent, killed, share := seed%4 != 3, seed%2 == 0, 0.3+0.3*float64(seed%3)/2
	time.Sleep(leafFleetForms)
	if late := f.late(1); len(late) > 0 {
		t.Fatalf("%d VMs have no contract %v after their start", len(late), leafFleetForms)
	}
	time.Sleep(duration(f.rng, time.Second))
	for _, v := range f.share(0.4) {
		v.turnAway(silent)
	}
	time.Sleep(2*time.Second + duration(f.rng, time.Second))
	hubsLost, changed := duration(f.rng, 3*time.Second), 1500*time.Millisecond
	time.AfterFunc(hubsLost, func() {
		for _, v := range f.share(share) {
			if killed {
				v.end()
			} else {
				v.cutOff()
			}
		}
	})
	time.Sleep(changed)
	f.platform.publish(encodedPublication(2))
	time.Sleep(fleetChangeLimit)
	if late := f.late(2); len(late) > 0 {
		t.Errorf("silent %t, killed %t, share %.2f, hubs lost %v after the change: %d VMs don't have it in force after %v: %v",
			silent, killed, share, hubsLost-changed, len(late), fleetChangeLimit, late)
	}
}
