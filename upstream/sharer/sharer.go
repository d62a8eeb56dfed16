// Package sharer decides which shares client accounts get of the engines' capacity over the whole fleet.
//
// A Sharer holds a virtual token counter for each client account that waits at this VM's engines. What an account is charged is divided
// by a weight, which rises while the account is served less than the others over the whole fleet, as owners report it to each other.
// Without recent reports all weights are 1, so that the VM's own counters decide.
package sharer

import (
	"math"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/accountant"
)

const (
	// averagingTime is the time over which the cost served of an account is averaged; six times the age of reports, so that weights
	// do not oscillate.
	averagingTime = 3 * time.Second
	// weightExponent is the gain from the ratio of the mean cost to an account's own to its weight. Times the age of reports and
	// divided by averagingTime it must stay below pi/2, or the weights oscillate; with 0.6 s it is 1.
	weightExponent = 5
	// maxWeight and its inverse bound the weights, and with them what an account may catch up with.
	maxWeight = 16
	// idleTime is the time without any cost served in the fleet after which an account counts as idle; three heartbeats.
	idleTime = time.Second
	// reportTimeout is how long reports of other VMs are used; five heartbeats of a large fleet.
	reportTimeout = 1500 * time.Millisecond
	// contentionTimeout is how long this VM goes on reporting after another one reported that accounts wait there.
	contentionTimeout = time.Second
	// maxReportedCosts bounds the accounts in one heartbeat, so that they fit a datagram.
	maxReportedCosts = 16
	// retention is how long accounts and peers are kept after they were last heard of.
	retention = time.Minute
	// activeRatio is the ratio of the accounts' rates to the engines' capacity above which fair queueing begins, and inactiveRatio
	// the one below which it ends, so that small changes of measured rates do not switch it.
	activeRatio   = 1.0
	inactiveRatio = 0.9
)

// Sharer holds the shares of this VM; its zero value is ready. Several goroutines may use it. Times are times since the process started.
type Sharer struct {
	mu      sync.Mutex
	ledgers map[string]*ledger
	peers   map[string]*peer
	// contendedAt is when another VM last reported that accounts wait there, and heardAt the time of the last report of any VM; 0 if
	// there was none.
	contendedAt time.Duration
	heardAt     time.Duration
	// turn is the number of reports made, which selects the accounts in the next one.
	turn int
}

// ledger is the state of one engine service.
type ledger struct {
	active   bool
	counters accountant.Accountant[*account]
	accounts map[string]*account
}

// account is what this VM knows of one client account at one service.
type account struct {
	name    string
	counter accountant.Account[*account]
	// waiting is the number of requests that wait at this VM's engines.
	waiting int
	// served is the cost that this VM served since the process started.
	served int64
	// recent is the cost that all VMs served, decayed to the time decayedAt.
	recent    float64
	decayedAt time.Duration
	// servedAt is when any VM last served the account.
	servedAt time.Duration
}

// peer is the last that another VM reported.
type peer struct {
	incarnation string
	heardAt     time.Duration
	costs       map[costKey]int64
}

type costKey struct{ service, account string }

// Shares are the shares of one engine service, as a scheduler uses them.
type Shares struct {
	sharer  *Sharer
	service string
}

// Service returns the shares of an engine service.
func (s *Sharer) Service(name string) *Shares { return &Shares{s, name} }

// SetCapacity decides whether fair queueing is active for a service, from the sum of the accounts' rates and that of the engines' prefill
// rates, both in tokens per second. An engineRate of 0 or less leaves the decision as it is. It reports whether the decision changed.
func (s *Sharer) SetCapacity(service string, accountRates, engineRate float64) (active, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.ledger(service)
	before := l.active
	switch {
	case engineRate <= 0:
	case accountRates > activeRatio*engineRate:
		l.active = true
	case accountRates < inactiveRatio*engineRate:
		l.active = false
	}
	return l.active, l.active != before
}

// Active reports whether fair queueing is active for a service.
func (s *Sharer) Active(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.ledgers[service]
	return l != nil && l.active
}

// Active reports whether fair queueing is active.
func (h *Shares) Active() bool { return h.sharer.Active(h.service) }

// Arrive records that a request of the account begins to wait.
func (h *Shares) Arrive(now time.Duration, name string) {
	h.sharer.mu.Lock()
	defer h.sharer.mu.Unlock()
	l := h.sharer.ledger(h.service)
	a := l.account(name)
	if a.waiting++; a.waiting > 1 {
		return
	}
	if now-a.servedAt > idleTime {
		a.recent, a.decayedAt = max(a.recentAt(now), l.lowestRecent(now)), now
	}
	l.counters.Activate(&a.counter)
}

// Leave records that a request of the account no longer waits.
func (h *Shares) Leave(name string) {
	h.sharer.mu.Lock()
	defer h.sharer.mu.Unlock()
	l := h.sharer.ledger(h.service)
	a := l.account(name)
	if a.waiting == 0 {
		return
	}
	if a.waiting--; a.waiting == 0 {
		l.counters.Deactivate(&a.counter)
	}
}

// Charge charges the cost of what is served to the account, in tokens; a cost below 0 returns tokens.
func (h *Shares) Charge(now time.Duration, name string, cost int64) {
	h.sharer.mu.Lock()
	defer h.sharer.mu.Unlock()
	l := h.sharer.ledger(h.service)
	a := l.account(name)
	weighted := int64(float64(cost) / h.sharer.weight(now, l, a))
	l.counters.Charge(&a.counter, weighted, a.waiting > 0)
	a.served = max(a.served+cost, 0)
	a.add(now, cost)
}

// Counter returns the account's virtual token counter, and the weight by which its costs are divided.
func (h *Shares) Counter(now time.Duration, name string) (tokens int64, weight float64) {
	h.sharer.mu.Lock()
	defer h.sharer.mu.Unlock()
	l := h.sharer.ledger(h.service)
	a := l.accounts[name]
	if a == nil || a.waiting == 0 {
		return l.floor(a), 1
	}
	return a.counter.Tokens, h.sharer.weight(now, l, a)
}

// WithinShare reports whether fair queueing is active for a service and the account was served less lately, over the whole fleet, than
// the mean of the accounts that were served. An account that this VM heard nothing of is within its share.
func (s *Sharer) WithinShare(now time.Duration, service, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.ledgers[service]
	if l == nil || !l.active {
		return false
	}
	a := l.accounts[name]
	if a == nil {
		return true
	}
	sum, n := 0.0, 0
	for _, other := range l.accounts {
		if now-other.servedAt <= idleTime {
			sum += other.recentAt(now)
			n++
		}
	}
	return n == 0 || a.recentAt(now) <= sum/float64(n)
}

// floor returns the counter to which an account is lifted that begins to wait; a is nil if it is not known.
func (l *ledger) floor(a *account) int64 {
	tokens := int64(0)
	if a != nil {
		tokens = a.counter.Tokens
	}
	if active := l.counters.Active(); len(active) > 0 {
		return max(tokens, active[0].Tokens)
	}
	return tokens
}

// weight compares what the account was served lately over the whole fleet with the mean of the accounts that wait here.
func (s *Sharer) weight(now time.Duration, l *ledger, a *account) float64 {
	waiting := l.counters.Active()
	if s.heardAt == 0 || now-s.heardAt > reportTimeout || len(waiting) < 2 {
		return 1
	}
	sum := 0.0
	for _, other := range waiting {
		sum += other.Value.recentAt(now)
	}
	own := a.recentAt(now)
	if sum <= 0 || own <= 0 {
		return 1
	}
	ratio := sum / float64(len(waiting)) / own
	return min(max(math.Pow(ratio, weightExponent), 1/float64(maxWeight)), maxWeight)
}

// lowestRecent returns the least recent cost of the accounts that wait.
func (l *ledger) lowestRecent(now time.Duration) float64 {
	lowest := 0.0
	for i, a := range l.counters.Active() {
		if recent := a.Value.recentAt(now); i == 0 || recent < lowest {
			lowest = recent
		}
	}
	return lowest
}

// recentAt returns the recent cost, decayed to the given time.
func (a *account) recentAt(now time.Duration) float64 {
	return a.recent * math.Exp(-float64(now-a.decayedAt)/float64(averagingTime))
}

// add adds a cost that any VM served.
func (a *account) add(now time.Duration, cost int64) {
	a.recent, a.decayedAt = max(a.recentAt(now)+float64(cost), 0), now
	if cost > 0 {
		a.servedAt = now
	}
}

func (s *Sharer) ledger(service string) *ledger {
	l := s.ledgers[service]
	if l == nil {
		if s.ledgers == nil {
			s.ledgers = make(map[string]*ledger)
		}
		l = &ledger{accounts: make(map[string]*account)}
		s.ledgers[service] = l
	}
	return l
}

func (l *ledger) account(name string) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{name: name}
		a.counter.Value = a
		l.accounts[name] = a
	}
	return a
}
