// Package slotter keeps the table of one engine's adapter slots and picks which adapter to evict.
package slotter

import (
	"fmt"
	"math"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/scorer"
)

const (
	// adoptAfter is how long a late report may still show an adapter that was unloaded.
	adoptAfter = 30 * time.Second
	// maxPast is how many past incarnations are remembered, to know their late reports.
	maxPast = 16
	// clockDrift is the bound on how much faster an engine's clock runs than the process's.
	clockDrift = 0.01
)

type state int

const (
	loading state = iota
	resident
	unloading
)

// slot is one adapter on the engine.
type slot struct {
	state state
	// closed slots take no new use: they wait to be unloaded.
	closed bool
	// held slots count as in use until a report later than heldAsOf shows the adapter not running.
	held      bool
	heldAsOf  int64
	loadTaken time.Duration
}

// Slotter is the table of one engine's adapter slots; two versions of one adapter are two adapters.
//
// An adapter is in use while a request counted by Use has not been counted by Done, and while it is held. A takeover
// holds every adapter that the engine reports, since the holder before may still run requests on it. Victims are
// picked by a Scorer's recency and frequency together, weighted by what the adapter's reload costs. It is not safe for concurrent use; its zero value has no slots.
type Slotter struct {
	// Slots is the number of adapters that the engine holds.
	Slots int
	// Violated is told of each broken invariant; nil counts them only.
	Violated func(detail string)

	violations  int
	slots       map[fuchsiaspoke.Adapter]*slot
	uses        map[fuchsiaspoke.Adapter]int
	scores      scorer.Scorer
	unloadedAt  map[fuchsiaspoke.Adapter]time.Duration
	incarnation string
	past        []string
	asOf        int64
	claimAsOf   int64
	claimAt     time.Duration
	foreign     int64
}

// Fits reports whether a request may be sent on the adapter now; the zero adapter is the base model, which always fits.
func (s *Slotter) Fits(a fuchsiaspoke.Adapter) bool {
	if isBase(a) {
		return true
	}
	t := s.slots[a]
	return t != nil && t.state == resident && !t.closed
}

// InUse reports whether the adapter must not be evicted.
func (s *Slotter) InUse(a fuchsiaspoke.Adapter) bool {
	t := s.slots[a]
	return s.uses[a] > 0 || t != nil && t.held
}

// Running reports whether requests that were sent from here use the adapter.
func (s *Slotter) Running(a fuchsiaspoke.Adapter) bool {
	return s.uses[a] > 0
}

// NeedLoad reports whether the adapter has no slot.
func (s *Slotter) NeedLoad(a fuchsiaspoke.Adapter) bool {
	return s.slots[a] == nil && !isBase(a)
}

// Free is the number of empty slots.
func (s *Slotter) Free() int {
	return max(0, s.Slots-len(s.slots))
}

// Foreign is the bound on requests that run on the engine and were not sent from here since the takeover.
func (s *Slotter) Foreign() int {
	return int(s.foreign)
}

// Incarnation is the engine's incarnation that the table is about.
func (s *Slotter) Incarnation() string {
	return s.incarnation
}

// Violations is the number of broken invariants seen.
func (s *Slotter) Violations() int {
	return s.violations
}

// Resident lists the adapters that requests may be sent on.
func (s *Slotter) Resident() []fuchsiaspoke.Adapter {
	out := make([]fuchsiaspoke.Adapter, 0, len(s.slots))
	for a := range s.slots {
		if s.Fits(a) {
			out = append(out, a)
		}
	}
	return out
}

// Use counts one request on the adapter.
func (s *Slotter) Use(now time.Duration, a fuchsiaspoke.Adapter) {
	s.init()
	if !s.Fits(a) {
		s.violate(fmt.Sprintf("use of adapter %s@%d that is not ready", a.Name, a.Version))
	}
	s.uses[a]++
	s.scores.Add(now, a, 1)
}

// Done counts one request on the adapter as ended.
func (s *Slotter) Done(a fuchsiaspoke.Adapter) {
	if s.uses[a] == 0 {
		s.violate(fmt.Sprintf("end of a request on adapter %s@%d that none uses", a.Name, a.Version))
		return
	}
	if s.uses[a]--; s.uses[a] == 0 {
		delete(s.uses, a)
	}
}

// Hold keeps the adapter in use until a report from after now shows it not running, as when a request's end is unknown.
func (s *Slotter) Hold(now time.Duration, a fuchsiaspoke.Adapter) {
	t := s.slots[a]
	if t == nil {
		return
	}
	t.held = true
	t.heldAsOf = max(t.heldAsOf, s.engineMillis(now))
}

// StartLoad gives the adapter a slot; the caller sends the order.
func (s *Slotter) StartLoad(a fuchsiaspoke.Adapter) {
	s.init()
	if s.slots[a] != nil || s.Free() == 0 {
		s.violate(fmt.Sprintf("load of adapter %s@%d without a free slot", a.Name, a.Version))
		return
	}
	s.slots[a] = &slot{state: loading}
}

// EndLoad tells how the order ended and how long it took; an adapter that no longer loads is left as it is.
func (s *Slotter) EndLoad(a fuchsiaspoke.Adapter, taken time.Duration, ok bool) {
	t := s.slots[a]
	if t == nil || t.state != loading {
		return
	}
	if !ok {
		delete(s.slots, a)
		return
	}
	t.state = resident
	t.loadTaken = taken
}

// PickVictim picks the adapter to evict for another one, at best one that no waiting work wants; where keep is set, it may
// be one that is wanted, unless keep says otherwise.
func (s *Slotter) PickVictim(now time.Duration, wanted, keep func(fuchsiaspoke.Adapter) bool) (fuchsiaspoke.Adapter, bool) {
	var best fuchsiaspoke.Adapter
	bestRank := math.Inf(1)
	for a, t := range s.slots {
		if t.state != resident || s.InUse(a) {
			continue
		}
		rank := s.rank(now, a, t)
		switch {
		case t.closed:
			rank = -1 / (1 + rank)
		case wanted(a) && (keep == nil || keep(a)):
			continue
		case wanted(a):
			rank += wantedRank
		}
		if rank < bestRank || rank == bestRank && less(a, best) {
			best, bestRank = a, rank
		}
	}
	return best, !math.IsInf(bestRank, 1)
}

// StartUnload closes the adapter's slot for an unload order.
func (s *Slotter) StartUnload(a fuchsiaspoke.Adapter) {
	t := s.slots[a]
	if t == nil || s.InUse(a) {
		s.violate(fmt.Sprintf("eviction of adapter %s@%d in use", a.Name, a.Version))
		return
	}
	t.state = unloading
	t.closed = true
}

// EndUnload tells how the order ended; after an unknown end the slot stays closed, since the order may still arrive.
func (s *Slotter) EndUnload(now time.Duration, a fuchsiaspoke.Adapter, ok bool) {
	t := s.slots[a]
	if t == nil || t.state != unloading {
		return
	}
	if !ok {
		t.state = resident
		return
	}
	delete(s.slots, a)
	s.unloadedAt[a] = now
}

// KeepUnload takes back an unload whose order was never sent; where the engine still runs the adapter, it is held.
func (s *Slotter) KeepUnload(now time.Duration, a fuchsiaspoke.Adapter, inUse bool) {
	t := s.slots[a]
	if t == nil || t.state != unloading {
		return
	}
	t.state = resident
	t.closed = false
	if inUse {
		s.Hold(now, a)
	}
}

// Reserve closes the slot with the fewest uses, so that it comes free, unless one is closed already.
func (s *Slotter) Reserve(now time.Duration) {
	var best fuchsiaspoke.Adapter
	var found *slot
	for a, t := range s.slots {
		if t.closed || t.state == loading {
			return
		}
		if found == nil || s.before(now, a, best) {
			best, found = a, t
		}
	}
	if found != nil {
		found.closed = true
	}
}

// TakeOver starts anew from the report that answered a claim sent at the given time; all its adapters count as in use.
func (s *Slotter) TakeOver(claimedAt time.Duration, report fuchsiaspoke.EngineReport) {
	s.Restarted(report)
	s.claimAt = claimedAt
	s.claimAsOf = report.AsOfMillis
	s.foreign = report.Waiting
	for _, use := range report.Running {
		s.foreign += use.Requests
	}
	for _, a := range report.Resident {
		s.slots[a] = &slot{state: resident, held: true, heldAsOf: report.AsOfMillis}
	}
}

// Restarted empties the table for a report of a new incarnation.
func (s *Slotter) Restarted(report fuchsiaspoke.EngineReport) {
	s.init()
	if s.incarnation != "" && s.incarnation != report.Incarnation {
		s.past = append(s.past[max(0, len(s.past)+1-maxPast):], s.incarnation)
	}
	s.incarnation = report.Incarnation
	s.asOf = report.AsOfMillis
	s.foreign = 0
	clear(s.slots)
	clear(s.unloadedAt)
}

// Observe takes in a report and tells whether the engine restarted; own is how many requests sent from here surely ran
// while the report was made. Reports that are out of date change nothing.
func (s *Slotter) Observe(now time.Duration, report fuchsiaspoke.EngineReport, own int) (restarted bool) {
	if report.Incarnation != s.incarnation {
		for _, old := range s.past {
			if report.Incarnation == old {
				return false
			}
		}
		return true
	}
	if report.AsOfMillis <= s.asOf {
		return false
	}
	s.asOf = report.AsOfMillis
	s.release(report)
	s.adopt(now, report)
	s.holdForeign(report)
	total := report.Waiting
	for _, use := range report.Running {
		total += use.Requests
	}
	s.foreign = min(s.foreign, max(0, total-int64(own)))
	return false
}

// Missing frees the slot of an adapter that the engine says it lacks.
func (s *Slotter) Missing(a fuchsiaspoke.Adapter) {
	if t := s.slots[a]; t != nil && t.state == resident {
		delete(s.slots, a)
	}
}

// release ends the holds that the report shows to be over.
func (s *Slotter) release(report fuchsiaspoke.EngineReport) {
	if report.Waiting > 0 {
		return
	}
	for a, t := range s.slots {
		if t.held && report.AsOfMillis > t.heldAsOf && !runs(report, a) {
			t.held = false
		}
	}
}

// holdForeign holds adapters that more requests use than were sent from here, as when another VM still sends.
func (s *Slotter) holdForeign(report fuchsiaspoke.EngineReport) {
	for _, use := range report.Running {
		t := s.slots[use.Adapter]
		if t == nil || use.Requests <= int64(s.uses[use.Adapter]) {
			continue
		}
		t.held = true
		t.heldAsOf = max(t.heldAsOf, report.AsOfMillis)
	}
}

// adopt takes up adapters that the engine reports and the table lacks, as when an order of the holder before came late.
func (s *Slotter) adopt(now time.Duration, report fuchsiaspoke.EngineReport) {
	for _, a := range report.Resident {
		at, unloaded := s.unloadedAt[a]
		if s.slots[a] != nil || unloaded && now-at < adoptAfter {
			continue
		}
		s.slots[a] = &slot{state: resident, held: true, heldAsOf: s.engineMillis(now)}
	}
	for a, at := range s.unloadedAt {
		if now-at >= adoptAfter {
			delete(s.unloadedAt, a)
		}
	}
}

// engineMillis is the latest that the engine's clock can show, given that the claim's report was made after the claim.
func (s *Slotter) engineMillis(now time.Duration) int64 {
	since := float64(now-s.claimAt) * (1 + clockDrift)
	return s.claimAsOf + time.Duration(since).Milliseconds() + 1
}

func (s *Slotter) before(now time.Duration, a, b fuchsiaspoke.Adapter) bool {
	if s.uses[a] != s.uses[b] {
		return s.uses[a] < s.uses[b]
	}
	return s.rank(now, a, s.slots[a]) < s.rank(now, b, s.slots[b])
}

func (s *Slotter) init() {
	if s.slots != nil {
		return
	}
	s.slots = make(map[fuchsiaspoke.Adapter]*slot)
	s.uses = make(map[fuchsiaspoke.Adapter]int)
	s.unloadedAt = make(map[fuchsiaspoke.Adapter]time.Duration)
}

func (s *Slotter) violate(detail string) {
	s.violations++
	if s.Violated != nil {
		s.Violated("slotter: " + detail)
	}
}

// isBase reports whether the adapter is none, as of a profile of the base model, which takes no slot.
func isBase(a fuchsiaspoke.Adapter) bool {
	return a == fuchsiaspoke.Adapter{}
}

func runs(report fuchsiaspoke.EngineReport, a fuchsiaspoke.Adapter) bool {
	for _, use := range report.Running {
		if use.Adapter == a && use.Requests > 0 {
			return true
		}
	}
	return false
}

func less(a, b fuchsiaspoke.Adapter) bool {
	if a.Name != b.Name {
		return a.Name < b.Name
	}
	return a.Version < b.Version
}
