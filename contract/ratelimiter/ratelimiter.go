// Package ratelimiter enforces the token rates of client accounts across all VMs of the fleet.
//
// Callers may be spread unevenly over VMs, and a VM that crashes loses its counts. Each hub therefore subtracts the tokens that
// other hubs report as admitted from its own buckets, a restarted hub adopts the bucket levels of the others, and the VMs on one
// side of a network partition admit only their share of each rate. In a small fleet all VMs are hubs. In a large one, a leaf
// reports what it admits to one hub, which counts it as its own, and adopts that hub's bucket levels.
package ratelimiter

import (
	"maps"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// peerTimeout is the time without a heartbeat after which a peer may be admitting requests that this VM does not learn of.
	peerTimeout = 600 * time.Millisecond
	// peerRetention is the time without a heartbeat after which a peer counts as dead; longer than two of the windows over which
	// the platform checks a rate.
	peerRetention = 20 * time.Second
	// smallFleetSize is the largest number of VMs at which the heartbeat interval does not grow with the fleet, and
	// largeFleetSize the number from which on it no longer does.
	smallFleetSize = 10
	largeFleetSize = 20
	// overageShare is the fraction of the allowed overage that one side of a partition uses beyond its share of the rate. The
	// rest covers tokens that peers have admitted but not yet reported.
	overageShare = 0.6
	// initialBurstShare is the fraction of the burst in a new bucket for which no peer reported a level.
	initialBurstShare = 0.4
	// minRetryAfter and maxRetryAfter bound the retry delay in a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// RateLimiter keeps a token bucket for each client account; its zero value is ready, and several goroutines may use it.
type RateLimiter struct {
	// Self is this VM's id.
	Self string
	// MinFleetSize is the assumed number of VMs while no peer is known; 0 means that this VM is the only one.
	MinFleetSize int
	// Overage is the fraction of a rate by which all VMs together may exceed it.
	Overage float64
	// FleetSize returns the number of VMs that this one knows of; nil stands for MinFleetSize. A leaf without a hub admits its part
	// of each rate.
	FleetSize func() int
	// MayHavePeers means that other VMs may be running that this one does not know of yet. Until peerRetention after the start,
	// MinFleetSize is then the least number of VMs assumed.
	MayHavePeers bool

	mu       sync.Mutex
	accounts map[string]*bucket
	// peers are the other hubs, and leaves the VMs that report to this one.
	peers  map[string]*peer
	leaves map[string]*leaf
	// admittedTokens are the tokens that this VM and its leaves admitted since the start of the epoch.
	admittedTokens map[string]float64
	epoch          uint64
	// hub is set while this VM is a leaf.
	hub *hubState
}

// bucket is the token bucket of one client account as this VM knows it.
type bucket struct {
	level      float64
	lastRefill time.Duration
}

type peer struct {
	incarnation     string
	epoch           uint64
	heartbeatNumber uint64
	lastHeartbeat   time.Duration
	admittedTokens  map[string]float64
}

// Admit takes the tokens from the client account's bucket, or returns a refusal with a retry delay if the bucket holds too few.
// A request for more tokens than the burst is admitted when the bucket is full, which makes its level negative.
func (l *RateLimiter) Admit(now time.Duration, a fuchsiaspoke.AccountContract, tokens float64) *fuchsiaspoke.Refusal {
	if a.TokensPerSecond <= 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.refill(now, a)
	if b.level < min(tokens, a.BurstTokens) {
		short := min(tokens, a.BurstTokens) - b.level
		wait := time.Duration(short / a.TokensPerSecond * float64(time.Second))
		return fuchsiaspoke.Refusal{
			Code: fuchsiaspoke.CodeRateExceeded, Run: fuchsiaspoke.NotRun, Status: 429,
			Message: "the client account's rate is used up",
			Basis: &fuchsiaspoke.RefusalBasis{
				Rule: fuchsiaspoke.RuleAccountRate, Level: b.level, Rate: a.TokensPerSecond, Age: l.levelAge(now),
			},
		}.WithRetryAfter(min(max(wait, minRetryAfter), maxRetryAfter))
	}
	b.level -= tokens
	l.admittedTokens[a.Name] += tokens
	return nil
}

// Return puts back the tokens of a request that certainly did not run.
func (l *RateLimiter) Return(account string, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.accounts[account]; b != nil {
		b.level += tokens
		l.admittedTokens[account] -= tokens
	}
}

// Snapshot returns the tokens that this VM and its leaves admitted since the start of the epoch, and the levels of its buckets, by
// client account. Both are sent in the heartbeat of the given number.
func (l *RateLimiter) Snapshot(heartbeatNumber uint64) (admittedTokens, bucketLevels map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	admittedTokens = maps.Clone(l.admittedTokens)
	bucketLevels = make(map[string]float64, len(l.accounts))
	for name, b := range l.accounts {
		bucketLevels[name] = b.level
	}
	if l.hub != nil {
		l.hub.recordSent(heartbeatNumber, admittedTokens)
	}
	return admittedTokens, bucketLevels
}

// Observe subtracts the tokens that a peer admitted since its last heartbeat, unless the heartbeat arrives after a later one.
func (l *RateLimiter) Observe(now time.Duration, state fuchsiaspoke.VMState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	known := l.peers[state.VM.ID]
	if known == nil || known.incarnation != state.Incarnation || known.epoch != state.CountEpoch {
		known = &peer{incarnation: state.Incarnation, epoch: state.CountEpoch}
		if state.Uptime >= now {
			// The levels that a peer with a longer uptime reports already account for what it admitted so far.
			known.admittedTokens = state.AdmittedTokens
			l.adoptLevels(now, state.BucketLevels)
		}
		l.peers[state.VM.ID] = known
	}
	if state.HeartbeatNumber < known.heartbeatNumber {
		return
	}
	for account, n := range state.AdmittedTokens {
		l.deduct(account, n-known.admittedTokens[account])
	}
	known.admittedTokens, known.heartbeatNumber, known.lastHeartbeat = state.AdmittedTokens, state.HeartbeatNumber, now
	l.addIndirectPeers(now, state.Peers)
}

// deduct takes tokens that another VM admitted from the account's bucket, if there is one.
func (l *RateLimiter) deduct(account string, tokens float64) {
	if b := l.accounts[account]; b != nil {
		b.level -= tokens
	}
}

// addIndirectPeers adds VMs that a peer reports but this VM does not know, as they may admit requests on another side of a
// partition.
func (l *RateLimiter) addIndirectPeers(now time.Duration, reported []fuchsiaspoke.ReportedPeer) {
	for _, p := range reported {
		if p.Hub && l.peers[p.VM.ID] == nil && p.VM.ID != l.Self && p.Age <= peerRetention {
			l.peers[p.VM.ID] = &peer{lastHeartbeat: now - p.Age}
		}
	}
}

// adoptLevels lowers the buckets to the levels that a peer with a longer uptime reports, and creates missing ones.
func (l *RateLimiter) adoptLevels(now time.Duration, level map[string]float64) {
	for account, n := range level {
		b := l.accounts[account]
		if b == nil {
			l.accounts[account] = &bucket{level: n, lastRefill: now}
			continue
		}
		b.level = min(b.level, n)
	}
}

// refill returns the account's bucket with the tokens added that accrued since its last refill. A new bucket holds
// initialBurstShare of the burst and what accrued since this VM started, up to the burst.
func (l *RateLimiter) refill(now time.Duration, a fuchsiaspoke.AccountContract) *bucket {
	l.initialize()
	b := l.accounts[a.Name]
	if b == nil {
		initial := (initialBurstShare*a.BurstTokens + now.Seconds()*a.TokensPerSecond) * l.rateShare(now)
		b = &bucket{level: min(initial, a.BurstTokens), lastRefill: now}
		l.accounts[a.Name] = b
	}
	elapsed := now - b.lastRefill
	b.lastRefill = now
	b.level = min(b.level+elapsed.Seconds()*a.TokensPerSecond*l.rateShare(now), a.BurstTokens)
	return b
}

// rateShare returns the fraction of each rate that the VMs on this side of a partition may admit together.
func (l *RateLimiter) rateShare(now time.Duration) float64 {
	if l.hub != nil {
		return l.hub.rateShare(now, l.fleetSize())
	}
	live, unreachable := 1, 0
	for id, p := range l.peers {
		switch sinceHeartbeat := now - p.lastHeartbeat; {
		case sinceHeartbeat <= l.scaledPeerTimeout():
			live++
		case sinceHeartbeat <= peerRetention:
			unreachable++
		default:
			delete(l.peers, id)
		}
	}
	total := live + unreachable
	if total == 1 || l.MayHavePeers && now < peerRetention {
		total = max(total, l.MinFleetSize)
	}
	return min(float64(live)/float64(total)*(1+overageShare*l.Overage), 1)
}

// scaledPeerTimeout returns peerTimeout times the number of hubs per smallFleetSize, rounded down and at least 1, as heartbeats
// are less frequent in large fleets.
func (l *RateLimiter) scaledPeerTimeout() time.Duration {
	return peerTimeout * time.Duration(max(min(len(l.peers), largeFleetSize)/smallFleetSize, 1))
}

// levelAge returns how long ago this VM last learned what others admitted: on a leaf from its hub, on a hub from the reachable hub
// that it heard longest ago; 0 if there is none.
func (l *RateLimiter) levelAge(now time.Duration) time.Duration {
	if l.hub != nil {
		return now - l.hub.adoptedAt
	}
	age := time.Duration(0)
	for _, p := range l.peers {
		if sinceHeartbeat := now - p.lastHeartbeat; sinceHeartbeat <= l.scaledPeerTimeout() {
			age = max(age, sinceHeartbeat)
		}
	}
	return age
}

func (l *RateLimiter) fleetSize() int {
	if l.FleetSize == nil {
		return l.MinFleetSize
	}
	return max(l.FleetSize(), l.MinFleetSize)
}

func (l *RateLimiter) initialize() {
	if l.accounts == nil {
		l.accounts = make(map[string]*bucket)
		l.peers = make(map[string]*peer)
		l.leaves = make(map[string]*leaf)
		l.admittedTokens = make(map[string]float64)
	}
}
