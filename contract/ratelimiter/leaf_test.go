package ratelimiter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/ratelimiter"
)

const (
	numHubs            = 4
	leavesPerHub       = 20
	largeFleetInterval = 300 * time.Millisecond
)

// largeFleet is a fleet with hubs and leaves; VMs from numHubs on are leaves.
type largeFleet struct {
	vms      []*ratelimiter.RateLimiter
	beats    []uint64
	dead     map[int]bool
	epochs   []uint64
	hubOf    []int
	admitted []admission
}

func newLargeFleet() *largeFleet {
	f := &largeFleet{dead: map[int]bool{}}
	for n := range numHubs * (1 + leavesPerHub) {
		l := &ratelimiter.RateLimiter{Self: fmt.Sprint(n), MinFleetSize: numHubs * (1 + leavesPerHub), Overage: overage}
		f.vms = append(f.vms, l)
		f.beats = append(f.beats, 0)
		f.epochs = append(f.epochs, 1)
		f.hubOf = append(f.hubOf, n%numHubs)
		l.StartEpoch(1, n >= numHubs)
	}
	return f
}

func (f *largeFleet) state(n int, now time.Duration) fuchsiaspoke.VMState {
	f.beats[n]++
	accounts := map[string]fuchsiaspoke.AccountContract{account.Name: account}
	f.vms[n].Prepare(now, accounts)
	acks, share := f.vms[n].Acks(now)
	admittedTokens, bucketLevels := f.vms[n].Snapshot(f.beats[n])
	return fuchsiaspoke.VMState{
		VM: fuchsiaspoke.VM{ID: fmt.Sprint(n)}, Incarnation: "a", Uptime: now, HeartbeatNumber: f.beats[n], CountEpoch: f.epochs[n],
		AdmittedTokens: admittedTokens, BucketLevels: bucketLevels, Hub: n < numHubs, Acks: acks, RateShare: share,
	}
}

// exchange sends one heartbeat of VM n to those that it would reach.
func (f *largeFleet) exchange(n int, now time.Duration) {
	if f.dead[n] {
		return
	}
	s := f.state(n, now)
	if n >= numHubs {
		if !f.dead[f.hubOf[n]] {
			f.vms[f.hubOf[n]].ObserveLeaf(now, s)
		}
		return
	}
	for m := range f.vms {
		switch {
		case f.dead[m] || m == n:
		case m < numHubs:
			f.vms[m].Observe(now, s)
		case f.hubOf[m] == n:
			f.vms[m].Adopt(now, s)
		}
	}
}

func (f *largeFleet) admit(n int, now time.Duration, tokens float64) bool {
	if f.vms[n].Admit(now, account, tokens) != nil {
		return false
	}
	f.admitted = append(f.admitted, admission{now, tokens})
	return true
}

// run calls step every 10 ms; each VM sends a heartbeat at largeFleetInterval.
func (f *largeFleet) run(end time.Duration, step func(now time.Duration)) {
	for now := 20 * time.Second; now < end; now += 10 * time.Millisecond {
		for n := range f.vms {
			if (now/(10*time.Millisecond)+time.Duration(n))%(largeFleetInterval/(10*time.Millisecond)) == 0 {
				f.exchange(n, now)
			}
		}
		step(now)
	}
}

// A client account sends five times its rate over all leaves.
func TestLargeFleetStaysWithinRate(t *testing.T) {
	f := newLargeFleet()
	rng := rand.New(rand.NewPCG(*seed, 5))
	f.run(60*time.Second, func(now time.Duration) { f.admit(rng.IntN(len(f.vms)), now, 5*rate/100) })
	counter := &fleet{admissions: f.admitted}
	limit := (rate*window.Seconds()+burst)*(1+overage) + slack
	if admitted := counter.maxAdmittedInWindow(); admitted > limit {
		t.Errorf("%.0f tokens admitted within %v, the limit is %.0f", admitted, window, limit)
	}
	sum := 0.0
	for _, a := range f.admitted {
		sum += a.tokens
	}
	if sum < 0.9*rate*40 {
		t.Errorf("%.0f tokens admitted in 40 s, the account may use %.0f", sum, rate*40)
	}
}

// A client account stays within its rate, with callers at one leaf, at ten, or at all.
func TestAccountWithinRateIsNotRefusedInLargeFleet(t *testing.T) {
	for _, used := range []int{1, 10, numHubs * leavesPerHub} {
		f := newLargeFleet()
		refused, requests := 0, 0
		f.run(50*time.Second, func(now time.Duration) {
			if now < 22*time.Second || now%(100*time.Millisecond) != 0 {
				return
			}
			requests++
			if !f.admit(numHubs+requests%used, now, 0.9*rate/10) {
				refused++
			}
		})
		if refused > 0 {
			t.Errorf("%d leaves used: %d of %d requests refused at 0.9 of the rate", used, refused, requests)
		}
	}
}

// A hub dies; its leaves turn to the next one, which must not count again what the first has counted.
func TestLeavesOfDeadHubAreCountedOnce(t *testing.T) {
	f := newLargeFleet()
	refused, requests := 0, 0
	f.run(60*time.Second, func(now time.Duration) {
		if now == 35*time.Second {
			f.dead[0] = true
		}
		if now == 37*time.Second {
			for n := numHubs; n < len(f.vms); n++ {
				if f.hubOf[n] == 0 {
					f.hubOf[n], f.epochs[n] = 1, 2
					f.vms[n].StartEpoch(2, true)
				}
			}
		}
		if now < 22*time.Second || now%(100*time.Millisecond) != 0 {
			return
		}
		requests++
		if !f.admit(numHubs+requests%(numHubs*leavesPerHub), now, 0.8*rate/10) {
			refused++
		}
	})
	if refused > requests/50 {
		t.Errorf("%d of %d requests refused at 0.8 of the rate", refused, requests)
	}
}

// While a large fleet forms, all VMs take themselves for hubs; most become leaves then.
func TestFormerHubsDoNotReduceRate(t *testing.T) {
	l := ratelimiter.RateLimiter{Self: "0", Overage: overage}
	for n := 1; n <= 80; n++ {
		l.Observe(time.Second, fuchsiaspoke.VMState{VM: fuchsiaspoke.VM{ID: fmt.Sprint(n)}, Incarnation: "a", Hub: true})
	}
	for n := 5; n <= 80; n++ {
		l.ForgetHubs([]string{fmt.Sprint(n)})
	}
	refused, requests := 0, 0
	for now := 2 * time.Second; now < 15*time.Second; now += 100 * time.Millisecond {
		for n := 1; n < 5; n++ {
			l.Observe(now, fuchsiaspoke.VMState{VM: fuchsiaspoke.VM{ID: fmt.Sprint(n)}, Incarnation: "a", Hub: true})
		}
		requests++
		if l.Admit(now, account, 0.9*rate/10) != nil {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d requests refused at 0.9 of the rate", refused, requests)
	}
}

// A client account sends twenty times its rate over all leaves, which learn of each other's requests with a delay (QUOTA on large
// scale-2, journal 8de9e850: 5.01 million tokens in 8 s, 4.87 allowed).
func TestLargeFleetStaysWithinRateOfHotAccount(t *testing.T) {
	f := newLargeFleet()
	rng := rand.New(rand.NewPCG(*seed, 6))
	f.run(60*time.Second, func(now time.Duration) {
		for range 20 {
			f.admit(rng.IntN(len(f.vms)), now, rate/100)
		}
	})
	counter := &fleet{admissions: f.admitted}
	limit := (rate*window.Seconds()+burst)*(1+overage) + slack
	if admitted := counter.maxAdmittedInWindow(); admitted > limit {
		t.Errorf("%.0f tokens admitted within %v, the limit is %.0f", admitted, window, limit)
	}
}
