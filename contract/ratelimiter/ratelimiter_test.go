package ratelimiter_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/ratelimiter"
)

var seed = flag.Uint64("seed", 1, "seed of the random runs")

// The limits of one client account that the platform checks, the heartbeat interval, and the number of VMs.
const (
	rate              = 100_000.0
	burst             = 100_000.0
	overage           = 0.25
	slack             = 72_000.0
	window            = 8 * time.Second
	heartbeatInterval = 150 * time.Millisecond
	numVMs            = 6
)

var account = fuchsiaspoke.AccountContract{Name: "a", TokensPerSecond: rate, BurstTokens: burst, DefaultTokens: 200}

type fleet struct {
	vms           [numVMs]*ratelimiter.RateLimiter
	start         [numVMs]time.Duration
	lastHeartbeat [numVMs]time.Duration
	incarnation   [numVMs]string
	isolated      [numVMs]bool
	lastReceived  [numVMs]map[int]time.Duration
	admissions    []admission
}

type admission struct {
	at     time.Duration
	tokens float64
}

func (f *fleet) restart(n int, now time.Duration) {
	f.vms[n] = &ratelimiter.RateLimiter{Self: fmt.Sprint(n), MinFleetSize: 8, MayHavePeers: now > 0, Overage: overage}
	f.lastReceived[n] = map[int]time.Duration{}
	f.start[n] = now
	f.incarnation[n] = fmt.Sprint(n, "@", now)
}

func (f *fleet) exchangeHeartbeats(now time.Duration) {
	for n := range f.vms {
		if now-f.lastHeartbeat[n] < heartbeatInterval {
			continue
		}
		f.lastHeartbeat[n] = now
		admittedTokens, bucketLevels := f.vms[n].Snapshot(uint64(now))
		s := fuchsiaspoke.VMState{VM: fuchsiaspoke.VM{ID: fmt.Sprint(n)}, Incarnation: f.incarnation[n], Uptime: now - f.start[n], AdmittedTokens: admittedTokens, BucketLevels: bucketLevels}
		for m, at := range f.lastReceived[n] {
			s.Peers = append(s.Peers, fuchsiaspoke.ReportedPeer{VM: fuchsiaspoke.VM{ID: fmt.Sprint(m)}, Hub: true, Age: now - at})
		}
		for m := range f.vms {
			if m != n && f.isolated[m] == f.isolated[n] {
				f.lastReceived[m][n] = now
				f.vms[m].Observe(now-f.start[m], s)
			}
		}
	}
}

func (f *fleet) admit(n int, now time.Duration, tokens float64) bool {
	if f.vms[n].Admit(now-f.start[n], account, tokens) != nil {
		return false
	}
	f.admissions = append(f.admissions, admission{now, tokens})
	return true
}

// maxAdmittedInWindow returns the largest number of tokens that were admitted within any window.
func (f *fleet) maxAdmittedInWindow() float64 {
	highest, sum, first := 0.0, 0.0, 0
	for _, t := range f.admissions {
		sum += t.tokens
		for t.at-f.admissions[first].at > window {
			sum -= f.admissions[first].tokens
			first++
		}
		highest = max(highest, sum)
	}
	return highest
}

// A client account sends many times its rate while VMs are partitioned off and restarted, and all VMs restart at once after 20 s.
func TestFleetStaysWithinRateDuringPartitionsAndRestarts(t *testing.T) {
	checkFleetRate(t, false)
}

// All VMs restart at once during a partition, so that no side knows of the VMs on the other.
func TestFleetStaysWithinRateWhenAllVMsRestartDuringPartition(t *testing.T) {
	checkFleetRate(t, true)
}

func checkFleetRate(t *testing.T, restartDuringPartition bool) {
	limit := (rate*window.Seconds()+burst)*(1+overage) + slack
	for round := range 20 {
		rng := rand.New(rand.NewPCG(*seed, uint64(round)))
		f := &fleet{}
		for n := range f.vms {
			f.restart(n, 0)
		}
		partitionEnd := time.Duration(0)
		for now := time.Duration(0); now < 40*time.Second; now += 5 * time.Millisecond {
			f.exchangeHeartbeats(now)
			if now > partitionEnd {
				f.isolated = [numVMs]bool{}
			}
			switch rng.IntN(1500) {
			case 0:
				if now > partitionEnd {
					partitionEnd = now + time.Duration(rng.IntN(15_000))*time.Millisecond
				}
				f.isolated[rng.IntN(numVMs)] = true
			case 1:
				f.restart(rng.IntN(numVMs), now)
			}
			if now == 20*time.Second {
				if !restartDuringPartition {
					partitionEnd, f.isolated = now, [numVMs]bool{}
				}
				for n := range f.vms {
					f.restart(n, now)
				}
			}
			f.admit(rng.IntN(numVMs), now, 1000+float64(rng.IntN(12_000)))
		}
		if admitted := f.maxAdmittedInWindow(); admitted > limit {
			t.Fatalf("seed %d, round %d: %.0f tokens admitted within %v, the limit is %.0f", *seed, round, admitted, window, limit)
		}
	}
}

// A client account stays within its rate while its callers use one, two or all of six VMs.
func TestAccountWithinRateIsNotRefused(t *testing.T) {
	for _, usedVMs := range []int{1, 2, 6} {
		f := &fleet{}
		for n := range f.vms {
			f.restart(n, 0)
		}
		refused, requests := 0, 0
		for now := time.Second; now < 40*time.Second; now += 100 * time.Millisecond {
			f.exchangeHeartbeats(now)
			requests++
			if !f.admit(requests%usedVMs, now, 0.9*rate/10) {
				refused++
			}
		}
		if refused > 0 {
			t.Errorf("%d VMs used: %d of %d requests refused at 0.9 of the rate", usedVMs, refused, requests)
		}
	}
}

// One VM of six dies, which the others can't tell from a partition. They use a part of the allowed overage, so that an account
// at 0.95 of its rate is not refused.
func TestAccountWithinRateIsNotRefusedAfterVMFails(t *testing.T) {
	f := &fleet{}
	for n := range f.vms {
		f.restart(n, 0)
	}
	refused, requests := 0, 0
	for now := time.Second; now < 30*time.Second; now += 100 * time.Millisecond {
		f.isolated[5] = now > 5*time.Second
		f.exchangeHeartbeats(now)
		requests++
		if !f.admit(requests%5, now, 0.95*rate/10) {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d requests refused at 0.95 of the rate", refused, requests)
	}
}

func TestRequestIsAdmittedAfterRetryAfter(t *testing.T) {
	var l ratelimiter.RateLimiter
	for l.Admit(time.Minute, account, 10_000) == nil {
	}
	refused := l.Admit(time.Minute, account, 10_000)
	if refused.Status != 429 || refused.Run != fuchsiaspoke.NotRun || refused.RetryAfter <= 0 {
		t.Fatalf("refusal %+v, want status 429, not run, with a retry delay", refused)
	}
	if refusedAgain := l.Admit(time.Minute+refused.RetryAfter, account, 10_000); refusedAgain != nil {
		t.Fatalf("refused again after the retry delay: %v", refusedAgain)
	}
}

func TestReturnedTokensAreAdmittedAgain(t *testing.T) {
	var l ratelimiter.RateLimiter
	if refused := l.Admit(time.Minute, account, burst); refused != nil {
		t.Fatal(refused)
	}
	l.Return(account.Name, burst)
	if refused := l.Admit(time.Minute, account, burst); refused != nil {
		t.Fatalf("refused although the tokens were returned: %v", refused)
	}
}

func ExampleRateLimiter() {
	var l ratelimiter.RateLimiter
	fmt.Println(l.Admit(time.Minute, account, 100_000))
	fmt.Println(l.Admit(time.Minute, account, 50_000).RetryAfter)
	// Output:
	// <nil>
	// 500ms
}

// A heartbeat of a peer arrives after a later one. What the peer admitted since must stay counted.
func TestLateHeartbeatReturnsNoTokens(t *testing.T) {
	l := &ratelimiter.RateLimiter{Self: "0", MinFleetSize: 2, Overage: overage}
	heartbeat := func(number uint64, admitted float64) fuchsiaspoke.VMState {
		return fuchsiaspoke.VMState{
			VM: fuchsiaspoke.VM{ID: "1"}, Incarnation: "first", HeartbeatNumber: number, Uptime: time.Second,
			AdmittedTokens: map[string]float64{account.Name: admitted},
		}
	}
	now := 5 * time.Second
	l.Observe(now, heartbeat(1, 0))
	if refusal := l.Admit(now, account, 1); refusal != nil {
		t.Fatal(refusal)
	}
	l.Observe(now, heartbeat(2, 0.4*burst))
	l.Observe(now, heartbeat(3, 0.8*burst))
	l.Observe(now, heartbeat(2, 0.4*burst))
	if l.Admit(now, account, 0.4*burst) == nil {
		t.Error("a late heartbeat returned the tokens that a peer had admitted")
	}
}
