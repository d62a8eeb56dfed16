package leaser

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

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
	// begun is when the attempt began, and asked when it was last asked for.
	begun time.Duration
	asked time.Duration
	// fence is the chosen fencing number, and fenced the first ask that carried it.
	fence  int64
	fenced uint64
	grants map[string]grant
	// refused says that another holder was met in this attempt, and outranked that one goes first.
	refused   bool
	outranked bool
	// cover is the end of the promises of majorities, with or without the fence; until is the end of those with it.
	cover time.Duration
	until time.Duration
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
			l.refuse(&answer, p)
		}
	}
}

func (l *Leaser) learnFences(now time.Duration, promises []fuchsiaspoke.LeasePromise) {
	for _, p := range promises {
		if r := l.record(now-p.Idle, p.Resource); r != nil {
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
		h = &holding{since: l.number, begun: now, grants: map[string]grant{}}
		l.holdings[resource] = h
	}
	h.asked = now
	h.lapse(now)
	return h
}

// backOff gives up attempts that met another holder or took too long, so that candidates with a minority each don't block one another.
func (l *Leaser) backOff(now time.Duration, resources []string) []fuchsiaspoke.LeaseAsk {
	var given []string
	for _, resource := range resources {
		h := l.holdings[resource]
		if h == nil || !h.isVain(now, l.Length) {
			continue
		}
		h.begun = now + l.backoff(resource, h.outranked)
		h.since = l.number + 1
		h.refused = false
		h.outranked = false
		clear(h.grants)
		given = append(given, resource)
	}
	if len(given) == 0 {
		return nil
	}
	l.open(now)
	return l.address(fuchsiaspoke.LeaseAsk{Resources: given, Release: true})
}

// backoff spreads the candidates for a resource over the second half of the longest backoff, which is short for the first of them.
func (l *Leaser) backoff(resource string, outranked bool) time.Duration {
	longest := l.Length / backoffDivisor
	if !outranked {
		longest /= backoffDivisor
	}
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
		return h != nil && now < h.begun
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
func (l *Leaser) refuse(answer *fuchsiaspoke.LeaseAnswer, p fuchsiaspoke.LeasePromise) {
	h := l.holdings[p.Resource]
	if h == nil || answer.Number < h.since {
		return
	}
	h.refused = true
	pair := []fuchsiaspoke.VM{{ID: l.Self}, {ID: p.Holder}}
	if (ranker.Ranker{}).Rank(p.Resource, pair)[0].ID != l.Self {
		h.outranked = true
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

// isVain reports whether an attempt has no majority, and met another holder or went on for a lease length.
func (h *holding) isVain(now, length time.Duration) bool {
	return now >= h.cover && (h.refused || now-max(h.begun, h.cover) > length)
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
