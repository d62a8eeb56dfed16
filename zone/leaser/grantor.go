package leaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

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

// Answer decides on an ask as a grantor.
func (l *Leaser) Answer(now time.Duration, ask fuchsiaspoke.LeaseAsk) fuchsiaspoke.LeaseAnswer {
	l.begin(now)
	l.merge(now, ask.Chain, ask.Lists)
	l.settle(now)
	if ask.Release {
		l.release(now, &ask)
		return l.answer(now, &ask, nil)
	}
	accepted := l.accepts(&ask)
	promises := make([]fuchsiaspoke.LeasePromise, 0, len(ask.Resources))
	for i, resource := range ask.Resources {
		promises = append(promises, l.promise(now, &ask, i, resource, accepted))
	}
	return l.answer(now, &ask, promises)
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
func (l *Leaser) answer(now time.Duration, ask *fuchsiaspoke.LeaseAsk, promises []fuchsiaspoke.LeasePromise) fuchsiaspoke.LeaseAnswer {
	if !l.isSettled(ask) {
		promises = l.appendFences(now, promises)
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

func (l *Leaser) appendFences(now time.Duration, promises []fuchsiaspoke.LeasePromise) []fuchsiaspoke.LeasePromise {
	asked := make(map[string]bool, len(promises))
	for _, p := range promises {
		asked[p.Resource] = true
	}
	for resource, r := range l.records {
		if r.fence > 0 && !asked[resource] {
			promises = append(promises, fuchsiaspoke.LeasePromise{Resource: resource, Fence: r.fence, Idle: now - r.touched})
		}
	}
	slices.SortFunc(promises[len(asked):], func(a, b fuchsiaspoke.LeasePromise) int {
		return cmp.Compare(a.Resource, b.Resource)
	})
	return promises
}

// record returns the memory of a resource that was used now, or nil when there is no room for one more.
func (l *Leaser) record(now time.Duration, resource string) *record {
	r := l.records[resource]
	if r == nil {
		if len(l.records) >= maxRecords {
			return nil
		}
		r = &record{touched: now}
		l.records[resource] = r
	}
	r.touched = max(r.touched, now)
	return r
}

// sweep forgets holdings that ran out, resources that nobody asked for in a long time, and peers in no council in use.
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
	for id := range l.peers {
		if !slices.Contains(l.members, id) {
			delete(l.peers, id)
		}
	}
	for resource, r := range l.records {
		if now-r.touched > memoryLengths*l.Length {
			delete(l.records, resource)
		}
	}
}
