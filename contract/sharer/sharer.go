// Package sharer admits requests within the rates of client accounts, over all VMs together.
//
// It answers callers that are spread unevenly over VMs, and VMs that vanish with their memory: each VM counts what all
// admit, a fresh one adopts what is left from its peers, and one that is cut off admits no more than its part.
package sharer

import (
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// silentPeer is how long a peer may be silent before it may admit unseen, and forgotten when it is taken to be dead:
	// longer than two windows of the bound.
	silentPeer = 600 * time.Millisecond
	forgotten  = 20 * time.Second
	// smallFleet is the number of VMs up to which heartbeats keep their pace.
	smallFleet = 10
	// overageShare is the part of the allowed overage that a side of a cut uses beyond its part of the fleet; the rest is for
	// what heartbeats tell late.
	overageShare = 0.6
	// openingBurst is the part of the burst that a VM opens with that knows nothing.
	openingBurst = 0.4
	// minRetry and maxRetry bound when a refused caller is told to come back.
	minRetry = 200 * time.Millisecond
	maxRetry = 4 * time.Second
)

// Sharer counts tokens; its zero value is ready, and several goroutines may use it.
type Sharer struct {
	// Self is this VM's name.
	Self string
	// Fleet is how many VMs there are taken to be while no other was heard; 0 means that this is the only one.
	Fleet int
	// Overage is the part by which all VMs together may exceed a rate.
	Overage float64
	// Restarted says that VMs may be up that this one, in its first time, can't know of; Fleet is then the least number.
	Restarted bool

	mu       sync.Mutex
	accounts map[string]*bucket
	peers    map[string]*peer
	spent    map[string]float64
}

type bucket struct {
	level  float64
	filled time.Duration
}

type peer struct {
	incarnation string
	heard       time.Duration
	spent       map[string]float64
}

// Admit takes the tokens from the account's bucket, or refuses with the time to come back.
func (s *Sharer) Admit(now time.Duration, a fuchsiaspoke.AccountContract, tokens float64) *fuchsiaspoke.Refusal {
	if a.TokensPerSecond <= 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.fill(now, a)
	if b.level < min(tokens, a.BurstTokens) {
		short := min(tokens, a.BurstTokens) - b.level
		wait := time.Duration(short / a.TokensPerSecond * float64(time.Second))
		return fuchsiaspoke.Refusal{
			Code: fuchsiaspoke.CodeRateExceeded, Run: fuchsiaspoke.NotRun, Status: 429,
			Message: "the client account's rate is used up",
		}.WithRetryAfter(min(max(wait, minRetry), maxRetry))
	}
	b.level -= tokens
	s.spent[a.Name] += tokens
	return nil
}

// Return gives the tokens of a request back that surely did not run.
func (s *Sharer) Return(account string, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.accounts[account]; b != nil {
		b.level += tokens
		s.spent[account] -= tokens
	}
}

// Report returns what this VM admitted since it started, and what it believes to be left.
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

// Observe counts what a peer admitted.
func (s *Sharer) Observe(now time.Duration, state fuchsiaspoke.VMState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start()
	known := s.peers[state.VM.ID]
	if known == nil || known.incarnation != state.Incarnation {
		known = &peer{incarnation: state.Incarnation}
		if state.Uptime >= now {
			// What an older peer spent before this VM started shows in what it believes to be left.
			known.spent = state.Spent
			s.adopt(now, state.Level)
		}
		s.peers[state.VM.ID] = known
	}
	for account, n := range state.Spent {
		if b := s.accounts[account]; b != nil {
			b.level -= n - known.spent[account]
		}
	}
	known.spent, known.heard = state.Spent, now
	s.hear(now, state.Peers)
}

// hear counts VMs that a peer has heard and this one has not, which may admit behind a cut.
func (s *Sharer) hear(now time.Duration, told []fuchsiaspoke.HeardVM) {
	for _, t := range told {
		if s.peers[t.ID] == nil && t.ID != s.Self && t.Age <= forgotten {
			s.peers[t.ID] = &peer{heard: now - t.Age}
		}
	}
}

// adopt takes over what an older peer believes to be left.
func (s *Sharer) adopt(now time.Duration, level map[string]float64) {
	for account, n := range level {
		b := s.accounts[account]
		if b == nil {
			s.accounts[account] = &bucket{level: n, filled: now}
			continue
		}
		b.level = min(b.level, n)
	}
}

func (s *Sharer) fill(now time.Duration, a fuchsiaspoke.AccountContract) *bucket {
	s.start()
	b := s.accounts[a.Name]
	if b == nil {
		opening := (openingBurst*a.BurstTokens + now.Seconds()*a.TokensPerSecond) * s.share(now)
		b = &bucket{level: min(opening, a.BurstTokens), filled: now}
		s.accounts[a.Name] = b
	}
	elapsed := now - b.filled
	b.filled = now
	b.level = min(b.level+elapsed.Seconds()*a.TokensPerSecond*s.share(now), a.BurstTokens)
	return b
}

// share is the part of each rate that this VM's side of the fleet may admit.
func (s *Sharer) share(now time.Duration) float64 {
	live, silent := 1, 0
	for id, p := range s.peers {
		switch quiet := now - p.heard; {
		case quiet <= s.silent():
			live++
		case quiet <= forgotten:
			silent++
		default:
			delete(s.peers, id)
		}
	}
	all := live + silent
	if all == 1 || s.Restarted && now < forgotten {
		all = max(all, s.Fleet)
	}
	return min(float64(live)/float64(all)*(1+overageShare*s.Overage), 1)
}

// silent is how long a peer may be silent: in large fleets heartbeats are further apart.
func (s *Sharer) silent() time.Duration {
	return silentPeer * time.Duration(max(len(s.peers)/smallFleet, 1))
}

func (s *Sharer) start() {
	if s.accounts == nil {
		s.accounts = make(map[string]*bucket)
		s.peers = make(map[string]*peer)
		s.spent = make(map[string]float64)
	}
}
