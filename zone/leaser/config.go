package leaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

// config is a published VM list with its grantors and the progress of its retirement.
type config struct {
	list     fuchsiaspoke.VMList
	grantors []string
	addedAt  time.Duration
	// minNumber is the first request number sent with this configuration among the active ones.
	minNumber uint64
	// superseded is set once a majority of the grantors has a newer current list.
	superseded   bool
	supersededAt time.Duration
}

func (c *config) majority() int {
	return len(c.grantors)/2 + 1
}

// peerState is the newest response of a peer; requestedAt is when its request was sent.
type peerState struct {
	requestedAt time.Duration
	number      uint64
	active      []int64
	retired     int64
	ready       bool
	// merged is set if each list in the response was active here or could be added.
	merged bool
}

func (s peerState) currentRevision() int64 {
	if len(s.active) == 0 {
		return 0
	}
	return s.active[len(s.active)-1]
}

// isNewerThan reports whether a ready peer's current list is newer than the configuration, and all its lists could be merged,
// in response to a request that had the configuration among the active ones.
func (s peerState) isNewerThan(c *config) bool {
	return s.ready && s.merged && s.number >= c.minNumber && s.currentRevision() > c.list.Revision
}

func (l *Leaser) currentRevision() int64 {
	return l.CurrentList().Revision
}

// findConfig returns the index of the configuration with the revision, and whether it is active.
func (l *Leaser) findConfig(revision int64) (int, bool) {
	return slices.BinarySearchFunc(l.active, revision, func(c config, revision int64) int {
		return cmp.Compare(c.list.Revision, revision)
	})
}

// add activates a list. Grants received before are discarded, since their requests did not name the added configuration.
func (l *Leaser) add(now time.Duration, list fuchsiaspoke.VMList) {
	index, known := l.findConfig(list.Revision)
	if known {
		return
	}
	grantors := ranker.Ranker{}.SelectAcrossZones(l.Group, list.VMs, l.MaxGrantors)
	l.active = slices.Insert(l.active, index, config{list: list, grantors: grantors, addedAt: now, minNumber: l.number + 1})
	for _, h := range l.leases {
		clear(h.grants)
	}
	l.minNumber = l.number + 1
	l.updateMembership()
}

// retireUpTo retires the configurations up to the revision.
func (l *Leaser) retireUpTo(retired int64) {
	l.retired = retired
	l.active = slices.DeleteFunc(l.active, func(c config) bool { return c.list.Revision <= retired })
	l.updateMembership()
}

// updateMembership derives the revisions and the grantors from the active configurations.
func (l *Leaser) updateMembership() {
	l.allGrantors = l.allGrantors[:0]
	l.revisions = make([]int64, len(l.active))
	for i := range l.active {
		l.revisions[i] = l.active[i].list.Revision
		l.allGrantors = append(l.allGrantors, l.active[i].grantors...)
	}
	slices.Sort(l.allGrantors)
	l.allGrantors = slices.Compact(l.allGrantors)
}

// merge adds a peer's active lists that are not retired here. It reports whether each of them was active here or could be
// added.
func (l *Leaser) merge(now time.Duration, active []int64, lists []fuchsiaspoke.VMList) bool {
	complete := true
	for _, revision := range active {
		if revision <= l.retired {
			continue
		}
		if _, known := l.findConfig(revision); known {
			continue
		}
		i := slices.IndexFunc(lists, func(list fuchsiaspoke.VMList) bool { return list.Revision == revision })
		if i < 0 || len(l.active) >= maxActiveConfigs {
			complete = false
			continue
		}
		l.add(now, lists[i])
	}
	return complete
}

// recordPeer retires what a ready peer has retired, if all its active lists are known, and merges its active lists. It stores the
// peer's state if the peer is a grantor and no response to a later request is stored.
func (l *Leaser) recordPeer(now, sentAt time.Duration, response *fuchsiaspoke.LeaseResponse) {
	old, seen := l.peers[response.From]
	if response.Ready && response.RetiredRevision > l.retired && l.knowsAll(response) {
		l.retireUpTo(response.RetiredRevision)
	}
	merged := l.merge(now, response.ActiveRevisions, response.Lists)
	if seen && old.requestedAt > sentAt || !slices.Contains(l.allGrantors, response.From) {
		return
	}
	l.peers[response.From] = peerState{
		requestedAt: sentAt, number: response.Number, active: response.ActiveRevisions, retired: response.RetiredRevision,
		ready: response.Ready, merged: merged,
	}
}

// knowsAll reports whether the response names lists and each of them is active here or included in the response.
func (l *Leaser) knowsAll(response *fuchsiaspoke.LeaseResponse) bool {
	for _, revision := range response.ActiveRevisions {
		_, known := l.findConfig(revision)
		included := slices.ContainsFunc(response.Lists, func(list fuchsiaspoke.VMList) bool { return list.Revision == revision })
		if !known && !included {
			return false
		}
	}
	return len(response.ActiveRevisions) > 0
}

// advance retires configurations, oldest first, and makes this VM ready, as far as the rules allow.
func (l *Leaser) advance(now time.Duration) {
	for i := range len(l.active) - 1 {
		c := &l.active[i]
		if !c.superseded && l.isSuperseded(now, c) {
			c.superseded = true
			c.supersededAt = now
		}
	}
	for len(l.active) > 1 && l.canRetire(now, &l.active[0]) {
		l.retireUpTo(l.active[0].list.Revision)
	}
	if !l.ready {
		l.ready = l.mayGrant(now)
	}
}

// canRetire reports whether the configuration has been superseded for a lease length, after which the leases that were granted
// without a newer configuration have expired.
func (l *Leaser) canRetire(now time.Duration, c *config) bool {
	return c.superseded && (l.faults.retireAtOnce || now >= c.supersededAt+l.lengthWithDrift())
}

// isSuperseded reports whether a majority of the grantors has a newer current list or was removed. A peer's list counts only if
// its last response was to a request that was sent less than a lease length ago with the configuration among the active ones,
// since such a response carries its fencing tokens.
func (l *Leaser) isSuperseded(now time.Duration, c *config) bool {
	migrated := 0
	for _, id := range c.grantors {
		s, seen := l.peers[id]
		switch {
		case id == l.Self && l.ready:
			migrated++
		case seen && s.isNewerThan(c) && now-s.requestedAt < l.Length:
			migrated++
		case l.isRemoved(now, c, id):
			migrated++
		}
	}
	return migrated >= c.majority()
}

// isRemoved reports whether a grantor is not in the current list and has timed out.
func (l *Leaser) isRemoved(now time.Duration, c *config, id string) bool {
	return l.isTimedOut(now, c, id) && !slices.ContainsFunc(l.CurrentList().VMs, func(vm fuchsiaspoke.VM) bool { return vm.ID == id })
}

// isTimedOut reports whether all requests to a peer in the last AbandonTimeout are unanswered. The time counts from the addition
// of the configuration at the earliest, and this VM itself never times out.
func (l *Leaser) isTimedOut(now time.Duration, c *config, id string) bool {
	lastContact := max(c.addedAt, l.peers[id].requestedAt)
	return l.AbandonTimeout > 0 && id != l.Self && now-lastContact >= l.AbandonTimeout
}

// mayGrant reports whether a newly started process may grant: it has waited until all promises of the VM's previous process
// have expired, and has received the fencing tokens from enough grantors of each active configuration.
func (l *Leaser) mayGrant(now time.Duration) bool {
	if l.faults.grantAfterRestart {
		return true
	}
	earliest := l.startedAt + l.lengthWithDrift()
	if now < earliest || len(l.active) == 0 {
		return false
	}
	if l.faults.skipLearning {
		return true
	}
	for i := range l.active {
		if !l.hasLearned(now, &l.active[i], earliest) {
			return false
		}
	}
	return true
}

// hasLearned reports whether a majority of ready grantors other than this VM, or all grantors, responded to requests sent from
// earliest on. Removed grantors count as having responded. Grantors that timed out are not waited for once a majority has
// responded.
func (l *Leaser) hasLearned(now time.Duration, c *config, earliest time.Duration) bool {
	responded, ready, timedOut := 0, 0, 0
	for _, id := range c.grantors {
		s, seen := l.peers[id]
		switch {
		case id == l.Self:
			responded++
		case seen && s.merged && s.requestedAt >= earliest:
			responded++
			if s.ready {
				ready++
			}
		case l.isRemoved(now, c, id):
			responded++
		case l.isTimedOut(now, c, id):
			timedOut++
		}
	}
	if ready >= c.majority() || responded == len(c.grantors) {
		return true
	}
	return responded >= c.majority() && responded+timedOut == len(c.grantors)
}

// missingLists returns the active lists that a peer with the given active and retired revisions lacks.
func (l *Leaser) missingLists(active []int64, retired int64) []fuchsiaspoke.VMList {
	var lists []fuchsiaspoke.VMList
	for i := range l.active {
		list := l.active[i].list
		if list.Revision > retired && !slices.Contains(active, list.Revision) {
			lists = append(lists, list)
		}
	}
	return lists
}
