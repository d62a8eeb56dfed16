// Package leaser decides which VM may act for a resource, by leases that majorities of peers promise in memory.
package leaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// driftDivisor is the inverse of the largest difference between the rates of two clocks.
	driftDivisor = 100
	// maxChain bounds the lists in use; further ones wait until older ones are sealed.
	maxChain = 64
	// maxRounds bounds the asks that may still be answered.
	maxRounds = 16
	// maxRecords bounds the resources that are promised or remembered for their fence.
	maxRecords = 1 << 16
	// memoryLengths is how many lease lengths an unused fence is remembered.
	memoryLengths = 1024
	// backoffDivisor is the inverse of the longest backoff in lease lengths.
	backoffDivisor = 8
	// numberBits leaves room to count up from a first ask number that differs between incarnations, so that a late answer to
	// an earlier incarnation matches nothing.
	numberBits = 16
	// defaultLength is the lease length where none is set.
	defaultLength = 5 * time.Second
	// defaultCouncilSize is the number of grantors where none is set.
	defaultCouncilSize = 5
)

// Leaser is one VM's grantor and holder of leases on one group of resources; docs/DESIGN.md has the safety argument.
//
// It reads no clock: now is the time since the process started, on a clock that goes on while the VM is suspended.
// It is not safe for concurrent use. Messages that it takes or returns must not be changed afterwards.
type Leaser struct {
	// Self is the id of this VM.
	Self string
	// Incarnation differs between any two processes of this VM.
	Incarnation string
	// Group names the resources that share a council.
	Group string
	// Length is how long a lease lasts without renewal; zero is 5 s.
	Length time.Duration
	// CouncilSize is the number of grantors for each list; zero is 5.
	CouncilSize int
	// Abandon is the silence after which council members count as moved where the current list no longer shows them, and after
	// which a fresh process goes without a minority of a council; zero is never.
	Abandon time.Duration

	faults faults
	begun  bool
	start  time.Duration
	ready  bool
	floor  int64
	chain  []roster
	// revisions and members belong to the chain; revisions is never changed in place.
	revisions []int64
	members   []string
	peers     map[string]sighting
	records   map[string]*record
	holdings  map[string]*holding
	number    uint64
	rounds    [maxRounds]round
	// since is the first ask whose answers count for any holding.
	since   uint64
	scratch []time.Duration
	swept   time.Duration
}

// faults switches off single rules of the protocol, so that tests can show that they are needed.
type faults struct {
	skipChainCheck    bool
	countFromAnswer   bool
	grantAfterRestart bool
	sealAtOnce        bool
	ignoreOldCouncils bool
	skipFenceRound    bool
	shortPromise      bool
	skipLearning      bool
}

// Adopt takes a list from the platform; an older one than the current one changes nothing.
func (l *Leaser) Adopt(now time.Duration, list fuchsiaspoke.VMList) {
	l.begin(now)
	if list.Revision > l.current() && list.Revision > l.floor && len(l.chain) < maxChain {
		l.add(now, list)
	}
	l.settle(now)
}

// Ready reports whether this VM may grant.
func (l *Leaser) Ready(now time.Duration) bool {
	l.begin(now)
	l.settle(now)
	return l.ready
}

// Chain returns the revisions of the lists in use, oldest first.
func (l *Leaser) Chain() []int64 {
	return slices.Clone(l.revisions)
}

// Newest returns the current list: the highest revision seen, unless the chain is full of lists that could not be sealed.
func (l *Leaser) Newest() fuchsiaspoke.VMList {
	if len(l.chain) == 0 {
		return fuchsiaspoke.VMList{}
	}
	return l.chain[len(l.chain)-1].list
}

func (l *Leaser) begin(now time.Duration) {
	if l.begun {
		return
	}
	l.begun = true
	l.Length = cmp.Or(l.Length, defaultLength)
	l.CouncilSize = cmp.Or(l.CouncilSize, defaultCouncilSize)
	l.start = now
	l.swept = now
	l.number = xxhash.Sum64String(l.Incarnation) >> numberBits
	l.since = l.number
	l.peers = map[string]sighting{}
	l.records = map[string]*record{}
	l.holdings = map[string]*holding{}
}

// stretched is the lease length on a clock that may run faster than the peer's.
func (l *Leaser) stretched() time.Duration {
	return l.Length + l.Length/driftDivisor + 1
}
