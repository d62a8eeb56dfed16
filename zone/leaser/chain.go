package leaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

// roster is a list with what was seen of its council.
type roster struct {
	list    fuchsiaspoke.VMList
	council []string
	added   time.Duration
	// since is the first ask whose chain had the list.
	since   uint64
	moved   bool
	movedAt time.Duration
}

func (r *roster) majority() int {
	return len(r.council)/2 + 1
}

// sighting is the newest answer of a peer; at is when the ask was sent.
type sighting struct {
	at     time.Duration
	number uint64
	chain  []int64
	floor  int64
	ready  bool
	merged bool
}

func (s sighting) current() int64 {
	if len(s.chain) == 0 {
		return 0
	}
	return s.chain[len(s.chain)-1]
}

func (s sighting) isBeyond(r *roster) bool {
	return s.ready && s.merged && s.number >= r.since && s.current() > r.list.Revision
}

func (l *Leaser) current() int64 {
	return l.Newest().Revision
}

func (l *Leaser) find(revision int64) (int, bool) {
	return slices.BinarySearchFunc(l.chain, revision, func(r roster, revision int64) int {
		return cmp.Compare(r.list.Revision, revision)
	})
}

// add puts a list into the chain; what was granted for the shorter chain counts no longer.
func (l *Leaser) add(now time.Duration, list fuchsiaspoke.VMList) {
	at, known := l.find(list.Revision)
	if known {
		return
	}
	council := ranker.Ranker{}.Council(l.Group, list.VMs, l.CouncilSize)
	l.chain = slices.Insert(l.chain, at, roster{list: list, council: council, added: now, since: l.number + 1})
	for _, h := range l.holdings {
		clear(h.grants)
	}
	l.since = l.number + 1
	l.gather()
}

// raise seals the lists up to the floor.
func (l *Leaser) raise(floor int64) {
	l.floor = floor
	l.chain = slices.DeleteFunc(l.chain, func(r roster) bool { return r.list.Revision <= floor })
	l.gather()
}

// gather lists the members of all councils in use.
func (l *Leaser) gather() {
	l.members = l.members[:0]
	l.revisions = make([]int64, len(l.chain))
	for i := range l.chain {
		l.revisions[i] = l.chain[i].list.Revision
		l.members = append(l.members, l.chain[i].council...)
	}
	slices.Sort(l.members)
	l.members = slices.Compact(l.members)
}

// merge adds a peer's lists above the floor, and reports whether the content of all was known.
func (l *Leaser) merge(now time.Duration, chain []int64, lists []fuchsiaspoke.VMList) bool {
	whole := true
	for _, revision := range chain {
		if revision <= l.floor {
			continue
		}
		if _, known := l.find(revision); known {
			continue
		}
		i := slices.IndexFunc(lists, func(list fuchsiaspoke.VMList) bool { return list.Revision == revision })
		if i < 0 || len(l.chain) >= maxChain {
			whole = false
			continue
		}
		l.add(now, lists[i])
	}
	return whole
}

// see merges a peer's chain, adopts its floor, and notes the sighting.
func (l *Leaser) see(now, sent time.Duration, answer *fuchsiaspoke.LeaseAnswer) {
	old, seen := l.peers[answer.From]
	if answer.Ready && answer.Floor > l.floor && l.knows(answer) {
		l.raise(answer.Floor)
	}
	merged := l.merge(now, answer.Chain, answer.Lists)
	if seen && old.at > sent || !slices.Contains(l.members, answer.From) {
		return
	}
	l.peers[answer.From] = sighting{
		at: sent, number: answer.Number, chain: answer.Chain, floor: answer.Floor, ready: answer.Ready, merged: merged,
	}
}

// knows reports whether all lists of a peer's chain are in the own chain or come with the answer.
func (l *Leaser) knows(answer *fuchsiaspoke.LeaseAnswer) bool {
	for _, revision := range answer.Chain {
		_, known := l.find(revision)
		came := slices.ContainsFunc(answer.Lists, func(list fuchsiaspoke.VMList) bool { return list.Revision == revision })
		if !known && !came {
			return false
		}
	}
	return len(answer.Chain) > 0
}

// settle seals what can be sealed and becomes ready when it may.
func (l *Leaser) settle(now time.Duration) {
	for i := range len(l.chain) - 1 {
		r := &l.chain[i]
		if !r.moved && l.hasMoved(now, r) {
			r.moved = true
			r.movedAt = now
		}
	}
	for len(l.chain) > 1 && l.isSealed(now, &l.chain[0]) {
		l.raise(l.chain[0].list.Revision)
	}
	if !l.ready {
		l.ready = l.mayGrant(now)
	}
}

func (l *Leaser) isSealed(now time.Duration, r *roster) bool {
	return r.moved && (l.faults.sealAtOnce || now >= r.movedAt+l.stretched())
}

// hasMoved reports whether a majority of the council was seen beyond the list within one lease length, in answers to asks that
// had the list in their chain, so that the fences came with them.
func (l *Leaser) hasMoved(now time.Duration, r *roster) bool {
	moved := 0
	for _, id := range r.council {
		s, seen := l.peers[id]
		switch {
		case id == l.Self && l.ready:
			moved++
		case seen && s.isBeyond(r) && now-s.at < l.Length:
			moved++
		case l.isGone(now, r, id):
			moved++
		}
	}
	return moved >= r.majority()
}

// isGone reports whether a council member is off the current list and was silent for the time to abandon it.
func (l *Leaser) isGone(now time.Duration, r *roster, id string) bool {
	return l.isSilent(now, r, id) && !slices.ContainsFunc(l.Newest().VMs, func(vm fuchsiaspoke.VM) bool { return vm.ID == id })
}

// isSilent reports whether a peer was silent for the time to abandon it.
func (l *Leaser) isSilent(now time.Duration, r *roster, id string) bool {
	heard := max(r.added, l.peers[id].at)
	return l.Abandon > 0 && id != l.Self && now-heard >= l.Abandon
}

// mayGrant reports whether a fresh process has waited and learned enough.
func (l *Leaser) mayGrant(now time.Duration) bool {
	if l.faults.grantAfterRestart {
		return true
	}
	since := l.start + l.stretched()
	if now < since || len(l.chain) == 0 {
		return false
	}
	if l.faults.skipLearning {
		return true
	}
	for i := range l.chain {
		if !l.hasLearned(now, &l.chain[i], since) {
			return false
		}
	}
	return true
}

// hasLearned reports whether a majority of ready others in the council, or all of it, answered asks sent since then; silent
// members are abandoned once a majority answered.
func (l *Leaser) hasLearned(now time.Duration, r *roster, since time.Duration) bool {
	heard, ready, silent := 0, 0, 0
	for _, id := range r.council {
		s, seen := l.peers[id]
		switch {
		case id == l.Self:
			heard++
		case seen && s.merged && s.at >= since:
			heard++
			if s.ready {
				ready++
			}
		case l.isGone(now, r, id):
			heard++
		case l.isSilent(now, r, id):
			silent++
		}
	}
	if ready >= r.majority() || heard == len(r.council) {
		return true
	}
	return heard >= r.majority() && heard+silent == len(r.council)
}

// lacking returns the lists in use that a peer with the chain and floor doesn't know.
func (l *Leaser) lacking(chain []int64, floor int64) []fuchsiaspoke.VMList {
	var lists []fuchsiaspoke.VMList
	for i := range l.chain {
		list := l.chain[i].list
		if list.Revision > floor && !slices.Contains(chain, list.Revision) {
			lists = append(lists, list)
		}
	}
	return lists
}
