// Package sharer enforces the token rates of client accounts across all VMs of the fleet.
//
// Callers may be spread unevenly over VMs, and a VM that crashes loses its counts. Each VM therefore subtracts the tokens that
// its peers report as admitted from its own buckets, a restarted VM adopts the bucket levels of its peers, and the VMs on one
// side of a network partition admit only their share of each rate.
package sharer

import (
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
	// smallFleetSize is the largest number of VMs at which the heartbeat interval does not grow with the fleet.
	smallFleetSize = 10
	// overageShare is the fraction of the allowed overage that one side of a partition uses beyond its share of the rate. The
	// rest covers tokens that peers have admitted but not yet reported.
	overageShare = 0.6
	// initialBurstShare is the fraction of the burst in a new bucket for which no peer reported a level.
	initialBurstShare = 0.4
	// minRetryAfter and maxRetryAfter bound the retry delay in a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// Sharer keeps a token bucket for each client account; its zero value is ready, and several goroutines may use it.
type Sharer struct {
	// Self is this VM's id.
	Self string
	// Fleet is the assumed number of VMs while no peer is known; 0 means that this VM is the only one.
	Fleet int
	// Overage is the fraction of a rate by which all VMs together may exceed it.
	Overage float64
	// Restarted says that other VMs may be running that this one does not know of yet. Until peerRetention after the start,
	// Fleet is then the least number of VMs assumed.
	Restarted bool

	mu       sync.Mutex
	accounts map[string]*bucket
	peers    map[string]*peer
	spent    map[string]float64
}

// bucket is the token bucket of one client account as this VM knows it.
type bucket struct {
	level      float64
	lastRefill time.Duration
}

type peer struct {
	incarnation   string
	lastHeartbeat time.Duration
	spent         map[string]float64
}

// Admit takes the tokens from the client account's bucket, or returns a refusal with a retry delay if the bucket holds too few.
func (s *Sharer) Admit(now time.Duration, a fuchsiaspoke.AccountContract, tokens float64) *fuchsiaspoke.Refusal {
	if a.TokensPerSecond <= 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.refill(now, a)
	if b.level < min(tokens, a.BurstTokens) {
		short := min(tokens, a.BurstTokens) - b.level
		wait := time.Duration(short / a.TokensPerSecond * float64(time.Second))
		return fuchsiaspoke.Refusal{
			Code: fuchsiaspoke.CodeRateExceeded, Run: fuchsiaspoke.NotRun, Status: 429,
			Message: "the client account's rate is used up",
		}.WithRetryAfter(min(max(wait, minRetryAfter), maxRetryAfter))
	}
	b.level -= tokens
	s.spent[a.Name] += tokens
	return nil
}

// Return puts back the tokens of a request that certainly did not run.
func (s *Sharer) Return(account string, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.accounts[account]; b != nil {
		b.level += tokens
		s.spent[account] -= tokens
	}
}

// Report returns the tokens that this VM admitted since it started, and the levels of its buckets, by client account.
func (s *Sharer) Report() (spent, level map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	spent = make(map[string]float64, len(s.spent))
	level = make(map[string]float64, len(s.accounts))
	for name, n := range s.spent {
		spent[name] = n
	}
	for name, b := range s.accounts {
		level[name] = b.level
	}
	return spent, level
}

// Observe subtracts the tokens that a peer admitted since its last heartbeat.
func (s *Sharer) Observe(now time.Duration, state fuchsiaspoke.VMState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialize()
	known := s.peers[state.VM.ID]
	if known == nil || known.incarnation != state.Incarnation {
		known = &peer{incarnation: state.Incarnation}
		if state.Uptime >= now {
			// The levels that a peer with a longer uptime reports already account for what it admitted so far.
			known.spent = state.Spent
			s.adoptLevels(now, state.Level)
		}
		s.peers[state.VM.ID] = known
	}
	for account, n := range state.Spent {
		if b := s.accounts[account]; b != nil {
			b.level -= n - known.spent[account]
		}
	}
	known.spent, known.lastHeartbeat = state.Spent, now
	s.addIndirectPeers(now, state.Peers)
}

// addIndirectPeers adds VMs that a peer reports but this VM does not know, as they may admit requests on another side of a
// partition.
func (s *Sharer) addIndirectPeers(now time.Duration, reported []fuchsiaspoke.HeardVM) {
	for _, t := range reported {
		if s.peers[t.ID] == nil && t.ID != s.Self && t.Age <= peerRetention {
			s.peers[t.ID] = &peer{lastHeartbeat: now - t.Age}
		}
	}
}

// adoptLevels lowers the buckets to the levels that a peer with a longer uptime reports, and creates missing ones.
func (s *Sharer) adoptLevels(now time.Duration, level map[string]float64) {
	for account, n := range level {
		b := s.accounts[account]
		if b == nil {
			s.accounts[account] = &bucket{level: n, lastRefill: now}
			continue
		}
		b.level = min(b.level, n)
	}
}

// refill returns the account's bucket with the tokens added that accrued since its last refill.
func (s *Sharer) refill(now time.Duration, a fuchsiaspoke.AccountContract) *bucket {
	s.initialize()
	b := s.accounts[a.Name]
	if b == nil {
		initial := (initialBurstShare*a.BurstTokens + now.Seconds()*a.TokensPerSecond) * s.rateShare(now)
		b = &bucket{level: min(initial, a.BurstTokens), lastRefill: now}
		s.accounts[a.Name] = b
	}
	elapsed := now - b.lastRefill
	b.lastRefill = now
	b.level = min(b.level+elapsed.Seconds()*a.TokensPerSecond*s.rateShare(now), a.BurstTokens)
	return b
}

// rateShare returns the fraction of each rate that the VMs on this side of a partition may admit together.
func (s *Sharer) rateShare(now time.Duration) float64 {
	live, unreachable := 1, 0
	for id, p := range s.peers {
		switch sinceHeartbeat := now - p.lastHeartbeat; {
		case sinceHeartbeat <= s.scaledPeerTimeout():
			live++
		case sinceHeartbeat <= peerRetention:
			unreachable++
		default:
			delete(s.peers, id)
		}
	}
	total := live + unreachable
	if total == 1 || s.Restarted && now < peerRetention {
		total = max(total, s.Fleet)
	}
	return min(float64(live)/float64(total)*(1+overageShare*s.Overage), 1)
}

// scaledPeerTimeout returns peerTimeout scaled to the fleet size, as heartbeats are less frequent in large fleets.
func (s *Sharer) scaledPeerTimeout() time.Duration {
	return peerTimeout * time.Duration(max(len(s.peers)/smallFleetSize, 1))
}

func (s *Sharer) initialize() {
	if s.accounts == nil {
		s.accounts = make(map[string]*bucket)
		s.peers = make(map[string]*peer)
		s.spent = make(map[string]float64)
	}
}
