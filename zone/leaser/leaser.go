// Package leaser decides which VM may act for a resource. A VM holds a lease once majorities of grantors, which keep their
// promises in memory only, have granted it.
package leaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// maxDriftDivisor is the inverse of the largest relative difference between the rates of two clocks.
	maxDriftDivisor = 100
	// maxActiveConfigs bounds the configurations in use; later VM lists are ignored until older ones are retired.
	maxActiveConfigs = 64
	// maxRounds is the number of most recent request rounds whose responses are still accepted.
	maxRounds = 16
	// maxRecords bounds the resources for which a grantor stores a promise or a fencing token.
	maxRecords = 1 << 16
	// fenceRetentionLengths is how long the fencing token of an unused resource is stored, in lease lengths.
	fenceRetentionLengths = 1024
	// backoffDivisor divides the lease length to give the longest backoff, and once more for a VM that was not outranked.
	backoffDivisor = 8
	// firstNumberShift leaves room to count up from a first request number that is hashed from the incarnation, so that a late
	// response to an earlier incarnation matches no request.
	firstNumberShift = 16
	// defaultLength is the lease length if Length is zero.
	defaultLength = 5 * time.Second
	// defaultGrantorCount is the number of grantors if MaxGrantors is zero.
	defaultGrantorCount = 5
)

// Leaser is one VM's state as grantor and as holder of leases on one group of resources; docs/DESIGN.md has the safety
// argument.
//
// Each published VM list defines a configuration, whose grantors are chosen from the list. While the platform's list changes,
// several configurations are active, and a lease needs a majority of grantors in each of them. A configuration is retired one
// lease length after a majority of its grantors has a newer list.
//
// It reads no clock: now is the time since the process started, on a clock that keeps running while the VM is suspended. It is
// not safe for concurrent use. Messages that it takes or returns must not be changed afterwards.
type Leaser struct {
	// Self is the id of this VM.
	Self string
	// Incarnation differs between any two processes of this VM.
	Incarnation string
	// Group is the key by which the grantors are chosen; resources of one group share their grantors.
	Group string
	// Length is how long a lease lasts without renewal; zero means 5 s.
	Length time.Duration
	// MaxGrantors is the number of grantors in each configuration; zero means 5.
	MaxGrantors int
	// AbandonTimeout is the time without a response after which a grantor that the current list no longer contains counts as
	// removed, and after which a newly started process stops waiting for a minority of grantors; zero means never.
	AbandonTimeout time.Duration

	faults      faults
	initialized bool
	startedAt   time.Duration
	ready       bool
	// retired is the highest revision whose configuration is retired.
	retired int64
	// active holds the configurations in use, ordered by revision.
	active []config
	// revisions and allGrantors are derived from active. revisions is sent in messages, so it is replaced, never changed in
	// place.
	revisions   []int64
	allGrantors []string
	peers       map[string]peerState
	records     map[string]*record
	leases      map[string]*leaseState
	// number is the number of the last round of requests.
	number uint64
	rounds [maxRounds]round
	// minNumber is the first request number whose responses count as grants of any lease.
	minNumber uint64
	// scratch is reused between calls of majorityExpiry.
	scratch   []time.Duration
	lastSweep time.Duration
}

// faults disables single rules of the protocol, so that tests can show that each rule is needed.
type faults struct {
	skipConfigCheck   bool
	countFromResponse bool
	grantAfterRestart bool
	retireAtOnce      bool
	ignoreOldConfigs  bool
	skipFenceRound    bool
	shortPromise      bool
	skipLearning      bool
}

// Adopt adds a list published by the platform. It ignores a list that is retired or not newer than the current one, and any
// list while maxActiveConfigs are active.
func (l *Leaser) Adopt(now time.Duration, list fuchsiaspoke.VMList) {
	l.init(now)
	if list.Revision > l.currentRevision() && list.Revision > l.retired && len(l.active) < maxActiveConfigs {
		l.add(now, list)
	}
	l.advance(now)
}

// Ready reports whether this VM may grant leases.
func (l *Leaser) Ready(now time.Duration) bool {
	l.init(now)
	l.advance(now)
	return l.ready
}

// ActiveRevisions returns the revisions of the active configurations, oldest first.
func (l *Leaser) ActiveRevisions() []int64 {
	return slices.Clone(l.revisions)
}

// CurrentList returns the active list with the highest revision. It is the newest list seen, unless maxActiveConfigs older ones
// could not be retired.
func (l *Leaser) CurrentList() fuchsiaspoke.VMList {
	if len(l.active) == 0 {
		return fuchsiaspoke.VMList{}
	}
	return l.active[len(l.active)-1].list
}

func (l *Leaser) init(now time.Duration) {
	if l.initialized {
		return
	}
	l.initialized = true
	l.Length = cmp.Or(l.Length, defaultLength)
	l.MaxGrantors = cmp.Or(l.MaxGrantors, defaultGrantorCount)
	l.startedAt = now
	l.lastSweep = now
	l.number = xxhash.Sum64String(l.Incarnation) >> firstNumberShift
	l.minNumber = l.number
	l.peers = map[string]peerState{}
	l.records = map[string]*record{}
	l.leases = map[string]*leaseState{}
}

// lengthWithDrift returns a duration on this VM's clock during which one lease length passes on any peer's clock.
func (l *Leaser) lengthWithDrift() time.Duration {
	return l.Length + l.Length/maxDriftDivisor + 1
}
