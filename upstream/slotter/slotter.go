// Package slotter tracks the adapter slots of one engine and chooses which adapter to evict.
package slotter

import (
	"fmt"
	"math"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/scorer"
)

const (
	// staleReportWindow is how long after an unload a delayed report may still list the adapter as resident.
	staleReportWindow = 30 * time.Second
	// maxPastIncarnations is the number of past incarnations that are remembered to recognize their delayed reports.
	maxPastIncarnations = 16
	// maxClockDrift bounds how much faster an engine's clock runs than this process's clock, as a fraction of elapsed time.
	maxClockDrift = 0.01
)

type state int

const (
	loading state = iota
	resident
	unloading
)

// slot is the state of one adapter that occupies an adapter slot of the engine.
type slot struct {
	state state
	// draining slots accept no new requests until they are unloaded.
	draining bool
	// pinned slots count as in use until a report later than pinnedAsOfMillis shows that the adapter does not run.
	pinned           bool
	pinnedAsOfMillis int64
	// measuredLoadDuration is how long the adapter's load took; zero if this process did not load it.
	measuredLoadDuration time.Duration
}

// Slotter tracks the adapter slots of one engine; two versions of one adapter count as two adapters.
//
// An adapter is in use while a request counted by Acquire has not been counted by Release, and while it is pinned. A takeover
// pins every adapter that the engine reports, since the previous lease holder may still run requests on it. Victims
// are chosen by a Scorer's combination of recency and frequency, weighted by the duration of reloading the adapter. A
// Slotter is not safe for concurrent use; its zero value has no slots.
type Slotter struct {
	// Slots is the number of adapter slots of the engine.
	Slots int
	// OnViolation is called for each violated invariant; if nil, violations are only counted.
	OnViolation func(detail string)

	violations       int
	slots            map[fuchsiaspoke.Adapter]*slot
	ownRequests      map[fuchsiaspoke.Adapter]int
	scores           scorer.Scorer
	unloadedAt       map[fuchsiaspoke.Adapter]time.Duration
	incarnation      string
	pastIncarnations []string
	// lastAsOfMillis and claimAsOfMillis are the engine's clock in the latest report and in the claim's report.
	lastAsOfMillis  int64
	claimAsOfMillis int64
	claimSentAt     time.Duration
	foreignRequests int64
}

// IsReady reports whether a request that needs the adapter may be sent now. The zero adapter stands for the base model
// and is always ready.
func (s *Slotter) IsReady(a fuchsiaspoke.Adapter) bool {
	if isBase(a) {
		return true
	}
	sl := s.slots[a]
	return sl != nil && sl.state == resident && !sl.draining
}

// InUse reports whether the adapter is in use and so must not be evicted.
func (s *Slotter) InUse(a fuchsiaspoke.Adapter) bool {
	sl := s.slots[a]
	return s.ownRequests[a] > 0 || sl != nil && sl.pinned
}

// Running reports whether requests that were sent by this process use the adapter.
func (s *Slotter) Running(a fuchsiaspoke.Adapter) bool {
	return s.ownRequests[a] > 0
}

// NeedLoad reports whether the adapter has no slot and must be loaded.
func (s *Slotter) NeedLoad(a fuchsiaspoke.Adapter) bool {
	return s.slots[a] == nil && !isBase(a)
}

// Free returns the number of empty slots.
func (s *Slotter) Free() int {
	return max(0, s.Slots-len(s.slots))
}

// ForeignRequests returns an upper bound on the requests that run on the engine and were not sent by this process since the
// takeover.
func (s *Slotter) ForeignRequests() int {
	return int(s.foreignRequests)
}

// Incarnation returns the engine incarnation that the slots belong to.
func (s *Slotter) Incarnation() string {
	return s.incarnation
}

// Violations returns the number of invariant violations so far.
func (s *Slotter) Violations() int {
	return s.violations
}

// Resident returns the adapters that requests may be sent for.
func (s *Slotter) Resident() []fuchsiaspoke.Adapter {
	out := make([]fuchsiaspoke.Adapter, 0, len(s.slots))
	for a := range s.slots {
		if s.IsReady(a) {
			out = append(out, a)
		}
	}
	return out
}

// Acquire counts one request that starts to use the adapter.
func (s *Slotter) Acquire(now time.Duration, a fuchsiaspoke.Adapter) {
	s.init()
	if !s.IsReady(a) {
		s.reportViolation(fmt.Sprintf("request sent on adapter %s@%d, which is not ready", a.Name, a.Version))
	}
	s.ownRequests[a]++
	s.scores.Add(now, a, 1)
}

// Release counts one request as no longer using the adapter.
func (s *Slotter) Release(a fuchsiaspoke.Adapter) {
	if s.ownRequests[a] == 0 {
		s.reportViolation(fmt.Sprintf("request ended on adapter %s@%d, which has no counted requests", a.Name, a.Version))
		return
	}
	if s.ownRequests[a]--; s.ownRequests[a] == 0 {
		delete(s.ownRequests, a)
	}
}

// Pin pins the adapter until a report made after now shows that it does not run, for example when it is unknown
// whether a request has ended.
func (s *Slotter) Pin(now time.Duration, a fuchsiaspoke.Adapter) {
	sl := s.slots[a]
	if sl == nil {
		return
	}
	sl.pinned = true
	sl.pinnedAsOfMillis = max(sl.pinnedAsOfMillis, s.maxEngineMillis(now))
}

// StartLoad reserves a slot for the adapter; the caller sends the load command.
func (s *Slotter) StartLoad(a fuchsiaspoke.Adapter) {
	s.init()
	if s.slots[a] != nil || s.Free() == 0 {
		s.reportViolation(fmt.Sprintf("load of adapter %s@%d, which already has a slot or finds none free", a.Name, a.Version))
		return
	}
	s.slots[a] = &slot{state: loading}
}

// EndLoad records the result and the duration of a load command. It does nothing if the adapter is not loading.
func (s *Slotter) EndLoad(a fuchsiaspoke.Adapter, duration time.Duration, ok bool) {
	sl := s.slots[a]
	if sl == nil || sl.state != loading {
		return
	}
	if !ok {
		delete(s.slots, a)
		return
	}
	sl.state = resident
	sl.measuredLoadDuration = duration
}

// PickVictim chooses the adapter to evict among those not in use: a draining one if possible, else the one with the lowest
// score. Adapters that waiting requests need, as reported by wanted, come last, and only those for which protect returns
// false; if protect is nil, none of them is chosen unless it is draining.
func (s *Slotter) PickVictim(now time.Duration, wanted, protect func(fuchsiaspoke.Adapter) bool) (fuchsiaspoke.Adapter, bool) {
	var victim fuchsiaspoke.Adapter
	lowestScore := math.Inf(1)
	for a, sl := range s.slots {
		if sl.state != resident || s.InUse(a) {
			continue
		}
		score := s.score(now, a, sl)
		switch {
		case sl.draining:
			score = -1 / (1 + score)
		case wanted(a) && (protect == nil || protect(a)):
			continue
		case wanted(a):
			score += wantedPenalty
		}
		if score < lowestScore || score == lowestScore && lessAdapter(a, victim) {
			victim, lowestScore = a, score
		}
	}
	return victim, !math.IsInf(lowestScore, 1)
}

// StartUnload marks the adapter's slot as unloading; the caller sends the unload command.
func (s *Slotter) StartUnload(a fuchsiaspoke.Adapter) {
	sl := s.slots[a]
	if sl == nil || s.InUse(a) {
		s.reportViolation(fmt.Sprintf("unload of adapter %s@%d, which has no slot or is in use", a.Name, a.Version))
		return
	}
	sl.state = unloading
	sl.draining = true
}

// EndUnload records the result of an unload command. If the command failed or its outcome is unknown, the slot keeps
// draining, since the engine may still execute it.
func (s *Slotter) EndUnload(now time.Duration, a fuchsiaspoke.Adapter, ok bool) {
	sl := s.slots[a]
	if sl == nil || sl.state != unloading {
		return
	}
	if !ok {
		sl.state = resident
		return
	}
	delete(s.slots, a)
	s.unloadedAt[a] = now
}

// CancelUnload cancels an unload whose command was not sent, and pins the adapter if inUse says that the engine still
// runs it.
func (s *Slotter) CancelUnload(now time.Duration, a fuchsiaspoke.Adapter, inUse bool) {
	sl := s.slots[a]
	if sl == nil || sl.state != unloading {
		return
	}
	sl.state = resident
	sl.draining = false
	if inUse {
		s.Pin(now, a)
	}
}

// DrainLeastUsed marks the slot with the fewest requests as draining so that it becomes free, unless a slot is already
// draining or loading.
func (s *Slotter) DrainLeastUsed(now time.Duration) {
	var leastUsed fuchsiaspoke.Adapter
	var leastUsedSlot *slot
	for a, sl := range s.slots {
		if sl.draining || sl.state == loading {
			return
		}
		if leastUsedSlot == nil || s.isLessUsed(now, a, leastUsed) {
			leastUsed, leastUsedSlot = a, sl
		}
	}
	if leastUsedSlot != nil {
		leastUsedSlot.draining = true
	}
}

// TakeOver resets the slots from the report that the engine returned for a claim sent at claimedAt. It pins all
// adapters that the report lists as resident.
func (s *Slotter) TakeOver(claimedAt time.Duration, report fuchsiaspoke.EngineReport) {
	s.Reset(report)
	s.claimSentAt = claimedAt
	s.claimAsOfMillis = report.AsOfMillis
	s.foreignRequests = report.Waiting
	for _, use := range report.Running {
		s.foreignRequests += use.Requests
	}
	for _, a := range report.Resident {
		s.slots[a] = &slot{state: resident, pinned: true, pinnedAsOfMillis: report.AsOfMillis}
	}
}

// MarkNotResident frees the slot of an adapter that the engine refused as not resident.
func (s *Slotter) MarkNotResident(a fuchsiaspoke.Adapter) {
	if sl := s.slots[a]; sl != nil && sl.state == resident {
		delete(s.slots, a)
	}
}

// isLessUsed reports whether a has fewer requests than b or, if both have the same number, a lower score.
func (s *Slotter) isLessUsed(now time.Duration, a, b fuchsiaspoke.Adapter) bool {
	if s.ownRequests[a] != s.ownRequests[b] {
		return s.ownRequests[a] < s.ownRequests[b]
	}
	return s.score(now, a, s.slots[a]) < s.score(now, b, s.slots[b])
}

func (s *Slotter) init() {
	if s.slots != nil {
		return
	}
	s.slots = make(map[fuchsiaspoke.Adapter]*slot)
	s.ownRequests = make(map[fuchsiaspoke.Adapter]int)
	s.unloadedAt = make(map[fuchsiaspoke.Adapter]time.Duration)
}

func (s *Slotter) reportViolation(detail string) {
	s.violations++
	if s.OnViolation != nil {
		s.OnViolation("slotter: " + detail)
	}
}

// isBase reports whether the adapter is the zero value, which stands for the base model and needs no slot.
func isBase(a fuchsiaspoke.Adapter) bool {
	return a == fuchsiaspoke.Adapter{}
}

func lessAdapter(a, b fuchsiaspoke.Adapter) bool {
	if a.Name != b.Name {
		return a.Name < b.Name
	}
	return a.Version < b.Version
}
