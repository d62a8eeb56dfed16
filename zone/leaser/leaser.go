// Package leaser decides which VM may act for a resource, by leases that majorities of peers promise in memory.
package leaser

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
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
	// Abandon is the silence after which council members that the current list no longer shows count as moved; zero is never.
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
}

// roster is a list with what was seen of its council.
type roster struct {
	list    fuchsiaspoke.VMList
	council []string
	added   time.Duration
	moved   bool
	movedAt time.Duration
}

func (r *roster) majority() int {
	return len(r.council)/2 + 1
}

// sighting is the newest answer of a peer; at is when the ask was sent.
type sighting struct {
	at     time.Duration
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

// record is a grantor's memory of one resource.
type record struct {
	holder      string
	incarnation string
	number      uint64
	until       time.Duration
	fence       int64
	touched     time.Duration
}

func (r *record) isOf(ask *fuchsiaspoke.LeaseAsk) bool {
	return r.holder == ask.From && r.incarnation == ask.Incarnation
}

type round struct {
	number uint64
	sent   time.Duration
}

// grant is the newest ask that a grantor granted.
type grant struct {
	number uint64
	sent   time.Duration
}

// holding is a holder's memory of one resource.
type holding struct {
	// since is the first ask that counts.
	since uint64
	// asked is when it was last asked for.
	asked time.Duration
	// fence is the chosen fencing number, and fenced the first ask that carried it.
	fence  int64
	fenced uint64
	grants map[string]grant
	// refused says that another holder was met, and rest is the end of the backoff after it.
	refused bool
	rest    time.Duration
	// cover is the end of the promises of majorities, with or without the fence; until is the end of those with it.
	cover time.Duration
	until time.Duration
}

// Adopt takes a list from the platform; an older one than the current one changes nothing.
func (l *Leaser) Adopt(now time.Duration, list fuchsiaspoke.VMList) {
	l.begin(now)
	if list.Revision > l.current() && list.Revision > l.floor && len(l.chain) < maxChain {
		l.add(now, list)
	}
	l.settle(now)
}

// Ask returns one ask for each member of each council in use, itself included, and releases of what others were about to get.
//
// It should be called several times per lease length with all resources to acquire or renew. Without resources it returns
// asks only while this VM has something to learn.
func (l *Leaser) Ask(now time.Duration, resources []string) []fuchsiaspoke.LeaseAsk {
	l.begin(now)
	l.settle(now)
	l.sweep(now)
	asks := l.backOff(now, resources)
	resources = l.rested(now, resources)
	if len(l.chain) == 0 || len(resources) == 0 && l.ready && len(l.chain) == 1 {
		return asks
	}
	l.open(now)
	fences := make([]int64, len(resources))
	for i, resource := range resources {
		fences[i] = l.want(now, resource).fence
	}
	return append(asks, l.address(fuchsiaspoke.LeaseAsk{Resources: resources, Fences: fences})...)
}

// Release gives leases up at once and returns the messages that tell the grantors.
func (l *Leaser) Release(now time.Duration, resources []string) []fuchsiaspoke.LeaseAsk {
	l.begin(now)
	for _, resource := range resources {
		delete(l.holdings, resource)
	}
	if len(l.chain) == 0 || len(resources) == 0 {
		return nil
	}
	l.open(now)
	return l.address(fuchsiaspoke.LeaseAsk{Resources: resources, Release: true})
}

// Forget drops all that is held or asked for; it is to be called first after a pause of the process.
func (l *Leaser) Forget() {
	clear(l.holdings)
	l.since = l.number + 1
}

// Held returns the lease on a resource while this VM holds it.
func (l *Leaser) Held(now time.Duration, resource string) (fuchsiaspoke.Lease, bool) {
	h := l.holdings[resource]
	if h == nil || h.fence == 0 || now >= h.until {
		return fuchsiaspoke.Lease{}, false
	}
	return fuchsiaspoke.Lease{Resource: resource, Fence: h.fence, Until: h.until}, true
}

// Learn raises the fence that a resource is known to have seen; a lease with a lower one is dropped, to be acquired anew.
func (l *Leaser) Learn(now time.Duration, resource string, fence int64) {
	l.begin(now)
	r := l.record(now, resource)
	if r == nil || r.fence >= fence {
		return
	}
	r.fence = fence
	delete(l.holdings, resource)
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

// Newest returns the current list.
func (l *Leaser) Newest() fuchsiaspoke.VMList {
	if len(l.chain) == 0 {
		return fuchsiaspoke.VMList{}
	}
	return l.chain[len(l.chain)-1].list
}

// Answer decides on an ask as a grantor.
func (l *Leaser) Answer(now time.Duration, ask fuchsiaspoke.LeaseAsk) fuchsiaspoke.LeaseAnswer {
	l.begin(now)
	l.merge(now, ask.Chain, ask.Lists)
	l.settle(now)
	if ask.Release {
		l.release(now, &ask)
		return l.answer(&ask, nil)
	}
	accepted := l.accepts(&ask)
	promises := make([]fuchsiaspoke.LeasePromise, 0, len(ask.Resources))
	for i, resource := range ask.Resources {
		promises = append(promises, l.promise(now, &ask, i, resource, accepted))
	}
	return l.answer(&ask, promises)
}

// Hear takes a grantor's answer as the holder.
func (l *Leaser) Hear(now time.Duration, answer fuchsiaspoke.LeaseAnswer) {
	l.begin(now)
	sent, ok := l.sent(answer.Number)
	if !ok || !slices.Contains(l.members, answer.From) {
		return
	}
	if l.faults.countFromAnswer {
		sent = now
	}
	l.learnFences(now, answer.Promises)
	l.see(now, sent, &answer)
	l.settle(now)
	for _, p := range answer.Promises {
		if p.Granted {
			l.count(now, sent, &answer, p.Resource)
		} else if p.Holder != "" {
			l.refuse(&answer, p.Resource)
		}
	}
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
	l.chain = slices.Insert(l.chain, at, roster{list: list, council: council, added: now})
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

// gather lists the members of all councils in use and forgets other peers.
func (l *Leaser) gather() {
	l.members = l.members[:0]
	l.revisions = make([]int64, len(l.chain))
	for i := range l.chain {
		l.revisions[i] = l.chain[i].list.Revision
		l.members = append(l.members, l.chain[i].council...)
	}
	slices.Sort(l.members)
	l.members = slices.Compact(l.members)
	for id := range l.peers {
		if !slices.Contains(l.members, id) {
			delete(l.peers, id)
		}
	}
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
	merged := l.merge(now, answer.Chain, answer.Lists)
	if merged && answer.Ready && answer.Floor > l.floor && len(answer.Chain) > 0 {
		l.raise(answer.Floor)
	}
	if seen && old.at > sent || !slices.Contains(l.members, answer.From) {
		return
	}
	l.peers[answer.From] = sighting{
		at: sent, chain: answer.Chain, floor: answer.Floor, ready: answer.Ready, merged: merged,
	}
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

// hasMoved reports whether a majority of the council was seen beyond the list within one lease length.
func (l *Leaser) hasMoved(now time.Duration, r *roster) bool {
	moved := 0
	for _, id := range r.council {
		s, seen := l.peers[id]
		switch {
		case id == l.Self && l.ready:
			moved++
		case seen && s.ready && s.merged && s.current() > r.list.Revision && now-s.at < l.Length:
			moved++
		case l.isGone(now, r, id):
			moved++
		}
	}
	return moved >= r.majority()
}

// isGone reports whether a council member is off the current list and was silent for the time to abandon it.
func (l *Leaser) isGone(now time.Duration, r *roster, id string) bool {
	if l.Abandon <= 0 || id == l.Self {
		return false
	}
	heard := max(r.added, l.peers[id].at)
	if now-heard < l.Abandon {
		return false
	}
	return !slices.ContainsFunc(l.Newest().VMs, func(vm fuchsiaspoke.VM) bool { return vm.ID == id })
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
	for i := range l.chain {
		if !l.hasLearned(now, &l.chain[i], since) {
			return false
		}
	}
	return true
}

// hasLearned reports whether a majority of ready others in the council, or all of it, answered asks sent since then.
func (l *Leaser) hasLearned(now time.Duration, r *roster, since time.Duration) bool {
	heard, ready := 0, 0
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
		}
	}
	return ready >= r.majority() || heard == len(r.council)
}

// accepts reports whether the asker counts majorities in all lists that this grantor counts them in.
func (l *Leaser) accepts(ask *fuchsiaspoke.LeaseAsk) bool {
	if !l.ready || len(l.chain) == 0 || len(ask.Chain) == 0 {
		return false
	}
	if l.faults.skipChainCheck {
		return true
	}
	if ask.Chain[len(ask.Chain)-1] != l.current() {
		return false
	}
	for i := range l.chain {
		if !slices.Contains(ask.Chain, l.chain[i].list.Revision) {
			return false
		}
	}
	return true
}

// promise decides on one resource of an ask.
func (l *Leaser) promise(now time.Duration, ask *fuchsiaspoke.LeaseAsk, i int, resource string, accepted bool) fuchsiaspoke.LeasePromise {
	p := fuchsiaspoke.LeasePromise{Resource: resource}
	r := l.record(now, resource)
	if r == nil {
		return p
	}
	p.Fence = r.fence
	busy := now < r.until && !r.isOf(ask)
	stale := r.isOf(ask) && ask.Number < r.number
	if busy {
		p.Holder = r.holder
	}
	if !accepted || busy || stale {
		return p
	}
	r.holder, r.incarnation, r.number = ask.From, ask.Incarnation, ask.Number
	r.until = now + l.stretched()
	if l.faults.shortPromise {
		r.until = now + l.Length/2
	}
	if i < len(ask.Fences) {
		r.fence = max(r.fence, ask.Fences[i])
	}
	p.Granted = true
	p.Fence = r.fence
	return p
}

// release takes promises back, and keeps asks that were sent before from renewing them.
func (l *Leaser) release(now time.Duration, ask *fuchsiaspoke.LeaseAsk) {
	for _, resource := range ask.Resources {
		r := l.record(now, resource)
		if r == nil || !r.isOf(ask) || ask.Number < r.number {
			continue
		}
		r.number = ask.Number
		r.until = 0
	}
}

// answer completes an answer with the chain and what the asker lacks of it.
func (l *Leaser) answer(ask *fuchsiaspoke.LeaseAsk, promises []fuchsiaspoke.LeasePromise) fuchsiaspoke.LeaseAnswer {
	if !l.isSettled(ask) {
		promises = l.appendFences(promises)
	}
	lists := l.lacking(ask.Chain, ask.Floor)
	if l.faults.skipChainCheck {
		lists = nil
	}
	return fuchsiaspoke.LeaseAnswer{
		From:        l.Self,
		Incarnation: l.Incarnation,
		Number:      ask.Number,
		Chain:       l.revisions,
		Lists:       lists,
		Ready:       l.ready,
		Promises:    promises,
		Floor:       l.floor,
	}
}

// isSettled reports whether the answer can neither seal a list at the asker nor make it ready.
func (l *Leaser) isSettled(ask *fuchsiaspoke.LeaseAsk) bool {
	if !ask.Ready || ask.Floor < l.floor || len(l.chain) != 1 || len(ask.Chain) != 1 {
		return false
	}
	return ask.Chain[0] == l.current()
}

func (l *Leaser) appendFences(promises []fuchsiaspoke.LeasePromise) []fuchsiaspoke.LeasePromise {
	asked := make(map[string]bool, len(promises))
	for _, p := range promises {
		asked[p.Resource] = true
	}
	for resource, r := range l.records {
		if r.fence > 0 && !asked[resource] {
			promises = append(promises, fuchsiaspoke.LeasePromise{Resource: resource, Fence: r.fence})
		}
	}
	slices.SortFunc(promises[len(asked):], func(a, b fuchsiaspoke.LeasePromise) int {
		return cmp.Compare(a.Resource, b.Resource)
	})
	return promises
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

// record returns the memory of a resource, or nil when there is no room for one more.
func (l *Leaser) record(now time.Duration, resource string) *record {
	r := l.records[resource]
	if r == nil {
		if len(l.records) >= maxRecords {
			return nil
		}
		r = &record{}
		l.records[resource] = r
	}
	r.touched = now
	return r
}

// sweep forgets holdings that ran out and resources that nobody asked for in a long time.
func (l *Leaser) sweep(now time.Duration) {
	if now-l.swept < l.Length {
		return
	}
	l.swept = now
	for resource, h := range l.holdings {
		if now >= h.cover && now-h.asked > l.Length {
			delete(l.holdings, resource)
		}
	}
	for resource, r := range l.records {
		if now-r.touched > memoryLengths*l.Length {
			delete(l.records, resource)
		}
	}
}

func (l *Leaser) learnFences(now time.Duration, promises []fuchsiaspoke.LeasePromise) {
	for _, p := range promises {
		if r := l.record(now, p.Resource); r != nil {
			r.fence = max(r.fence, p.Fence)
		}
	}
}

// open starts a new round of asks.
func (l *Leaser) open(now time.Duration) {
	l.number++
	l.rounds[l.number%maxRounds] = round{number: l.number, sent: now}
}

// sent returns when an ask was sent, unless it is too old.
func (l *Leaser) sent(number uint64) (time.Duration, bool) {
	r := l.rounds[number%maxRounds]
	return r.sent, r.number == number && number > 0
}

// want returns the holding that an ask is for, and drops its fence when the promises lapsed in between.
func (l *Leaser) want(now time.Duration, resource string) *holding {
	h := l.holdings[resource]
	if h == nil {
		h = &holding{since: l.number, grants: map[string]grant{}}
		l.holdings[resource] = h
	}
	h.asked = now
	h.lapse(now)
	return h
}

// backOff gives up attempts that met another holder, so that candidates with a minority each don't block one another.
func (l *Leaser) backOff(now time.Duration, resources []string) []fuchsiaspoke.LeaseAsk {
	var given []string
	for _, resource := range resources {
		h := l.holdings[resource]
		if h == nil || !h.refused {
			continue
		}
		h.refused = false
		if now < h.cover {
			continue
		}
		clear(h.grants)
		h.since = l.number + 1
		h.rest = now + l.backoff(resource)
		given = append(given, resource)
	}
	if len(given) == 0 {
		return nil
	}
	l.open(now)
	return l.address(fuchsiaspoke.LeaseAsk{Resources: given, Release: true})
}

// backoff spreads the candidates for a resource over the second half of the longest backoff.
func (l *Leaser) backoff(resource string) time.Duration {
	longest := l.Length / backoffDivisor
	var d xxhash.Digest
	d.ResetWithSeed(l.number)
	_, _ = d.WriteString(l.Self)
	_, _ = d.WriteString(l.Incarnation)
	_, _ = d.WriteString(resource)
	return longest/2 + time.Duration(d.Sum64()%uint64(longest/2+1))
}

// rested returns the resources that are not in backoff.
func (l *Leaser) rested(now time.Duration, resources []string) []string {
	rests := func(resource string) bool {
		h := l.holdings[resource]
		return h != nil && now < h.rest
	}
	if !slices.ContainsFunc(resources, rests) {
		return resources
	}
	return slices.DeleteFunc(slices.Clone(resources), rests)
}

// address copies an ask for each member of the councils in use.
func (l *Leaser) address(ask fuchsiaspoke.LeaseAsk) []fuchsiaspoke.LeaseAsk {
	ask.From = l.Self
	ask.Incarnation = l.Incarnation
	ask.Number = l.number
	ask.Chain = l.revisions
	ask.Floor = l.floor
	ask.Ready = l.ready
	asks := make([]fuchsiaspoke.LeaseAsk, len(l.members))
	for i, id := range l.members {
		ask.To = id
		ask.Lists = nil
		if s, seen := l.peers[id]; seen {
			ask.Lists = l.lacking(s.chain, s.floor)
		}
		asks[i] = ask
	}
	return asks
}

// count notes a grant and works out how long the lease lasts.
func (l *Leaser) count(now, sent time.Duration, answer *fuchsiaspoke.LeaseAnswer, resource string) {
	h := l.holdings[resource]
	if h == nil || answer.Number < max(h.since, l.since) {
		return
	}
	if old := h.grants[answer.From]; old.number < answer.Number {
		h.grants[answer.From] = grant{number: answer.Number, sent: sent}
	}
	h.lapse(now)
	h.cover = max(h.cover, l.covered(h, 0))
	if h.fence == 0 && now < h.cover {
		l.choose(now, h, resource)
	}
	if h.fence != 0 {
		h.until = max(h.until, l.covered(h, h.fenced))
	}
}

// refuse notes that a grantor stands by another holder.
func (l *Leaser) refuse(answer *fuchsiaspoke.LeaseAnswer, resource string) {
	if h := l.holdings[resource]; h != nil && answer.Number >= h.since {
		h.refused = true
	}
}

// choose picks the fence after the highest one known.
func (l *Leaser) choose(now time.Duration, h *holding, resource string) {
	r := l.record(now, resource)
	if r == nil {
		return
	}
	r.fence++
	h.fence = r.fence
	h.fenced = l.number + 1
	if l.faults.skipFenceRound {
		h.fenced = 0
	}
}

// lapse drops the fence once a majority's promises have run out.
func (h *holding) lapse(now time.Duration) {
	if now >= h.cover {
		h.fence = 0
	}
}

// covered returns until when majorities of all councils in use have promised, in answer to asks from the given one on.
func (l *Leaser) covered(h *holding, from uint64) time.Duration {
	covered := time.Duration(math.MaxInt64)
	for i := range l.chain {
		r := &l.chain[i]
		if l.faults.ignoreOldCouncils && i < len(l.chain)-1 {
			continue
		}
		l.scratch = l.scratch[:0]
		for _, id := range r.council {
			if g, ok := h.grants[id]; ok && g.number >= from {
				l.scratch = append(l.scratch, g.sent)
			}
		}
		if len(l.scratch) < r.majority() {
			return 0
		}
		slices.Sort(l.scratch)
		covered = min(covered, l.scratch[len(l.scratch)-r.majority()]+l.Length)
	}
	return covered
}
