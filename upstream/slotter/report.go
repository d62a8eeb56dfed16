package slotter

import (
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// Reset empties all slots and adopts the report's incarnation; the report is that of a claim or of a restarted engine.
func (s *Slotter) Reset(report fuchsiaspoke.EngineReport) {
	s.init()
	if s.incarnation != "" && s.incarnation != report.Incarnation {
		s.pastIncarnations = append(s.pastIncarnations[max(0, len(s.pastIncarnations)+1-maxPastIncarnations):], s.incarnation)
	}
	s.incarnation = report.Incarnation
	s.lastAsOfMillis = report.AsOfMillis
	s.foreignRequests = 0
	clear(s.slots)
	clear(s.unloadedAt)
}

// Observe updates the slots from an engine report and reports whether the engine has restarted. The argument own is a
// lower bound on the requests sent by this process that ran when the report was made. Outdated reports change nothing.
func (s *Slotter) Observe(now time.Duration, report fuchsiaspoke.EngineReport, own int) (restarted bool) {
	if report.Incarnation != s.incarnation {
		for _, past := range s.pastIncarnations {
			if report.Incarnation == past {
				return false
			}
		}
		return true
	}
	if report.AsOfMillis <= s.lastAsOfMillis {
		return false
	}
	s.lastAsOfMillis = report.AsOfMillis
	s.unpin(report)
	s.addReported(now, report)
	s.pinForeign(report)
	total := report.Waiting
	for _, use := range report.Running {
		total += use.Requests
	}
	s.foreignRequests = min(s.foreignRequests, max(0, total-int64(own)))
	return false
}

// unpin releases the pinned adapters that a later report shows to be idle. Waiting requests do not name their adapter,
// so a report with any of them releases none.
func (s *Slotter) unpin(report fuchsiaspoke.EngineReport) {
	if report.Waiting > 0 {
		return
	}
	for a, sl := range s.slots {
		if sl.pinned && report.AsOfMillis > sl.pinnedAsOfMillis && !isRunning(report, a) {
			sl.pinned = false
		}
	}
}

// pinForeign pins adapters that run more requests than this process has sent, for example because another VM still
// sends requests to the engine.
func (s *Slotter) pinForeign(report fuchsiaspoke.EngineReport) {
	for _, use := range report.Running {
		sl := s.slots[use.Adapter]
		if sl == nil || use.Requests <= int64(s.ownRequests[use.Adapter]) {
			continue
		}
		sl.pinned = true
		sl.pinnedAsOfMillis = max(sl.pinnedAsOfMillis, report.AsOfMillis)
	}
}

// addReported adds and pins adapters that the engine reports as resident but that have no slot here, for example
// because a load command of the previous lease holder was executed late.
func (s *Slotter) addReported(now time.Duration, report fuchsiaspoke.EngineReport) {
	for _, a := range report.Resident {
		at, unloaded := s.unloadedAt[a]
		if s.slots[a] != nil || unloaded && now-at < staleReportWindow {
			continue
		}
		s.slots[a] = &slot{state: resident, pinned: true, pinnedAsOfMillis: s.maxEngineMillis(now)}
	}
	for a, at := range s.unloadedAt {
		if now-at >= staleReportWindow {
			delete(s.unloadedAt, a)
		}
	}
}

// maxEngineMillis returns the latest time that the engine's clock can show now, given that the engine made the claim's
// report after the claim was sent.
func (s *Slotter) maxEngineMillis(now time.Duration) int64 {
	since := float64(now-s.claimSentAt) * (1 + maxClockDrift)
	return s.claimAsOfMillis + time.Duration(since).Milliseconds() + 1
}

func isRunning(report fuchsiaspoke.EngineReport, a fuchsiaspoke.Adapter) bool {
	for _, use := range report.Running {
		if use.Adapter == a && use.Requests > 0 {
			return true
		}
	}
	return false
}
