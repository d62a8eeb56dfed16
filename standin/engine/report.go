package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// recordSnapshot saves the current state for later reports. It is called after each change; the caller holds the lock.
func (e *Engine) recordSnapshot() {
	now := time.Now()
	e.snapshots = append(e.snapshots, snapshot{takenAt: now, report: e.currentReport()})
	e.pruneSnapshots(now)
}

// pruneSnapshots deletes the snapshots that are too old for any later report.
func (e *Engine) pruneSnapshots(now time.Time) {
	asOf := now.Add(-orDefault(e.ReportLag, defaultReportLag))
	first := 0
	for first+1 < len(e.snapshots) && !e.snapshots[first+1].takenAt.After(asOf) {
		first++
	}
	e.snapshots = e.snapshots[first:]
}

// currentReport returns a report of the current state, without its time stamps.
func (e *Engine) currentReport() fuchsiaspoke.EngineReport {
	report := fuchsiaspoke.EngineReport{
		Incarnation: e.incarnation,
		Fence:       e.fence,
		Resident:    []fuchsiaspoke.Adapter{},
		Running:     []fuchsiaspoke.AdapterUse{},
		Waiting:     int64(len(e.waiting)),
	}
	for adapter, slot := range e.adapterSlots {
		if slot.loaded {
			report.Resident = append(report.Resident, adapter)
		}
	}
	slices.SortFunc(report.Resident, compareAdapters)
	uses := make(map[fuchsiaspoke.Adapter]int64)
	for _, r := range slices.Concat(e.running, e.waiting) {
		uses[r.adapter]++
	}
	for adapter, n := range uses {
		report.Running = append(report.Running, fuchsiaspoke.AdapterUse{Adapter: adapter, Requests: n})
	}
	slices.SortFunc(report.Running, func(a, b fuchsiaspoke.AdapterUse) int {
		return compareAdapters(a.Adapter, b.Adapter)
	})
	return report
}

// laggedReport returns the state as of ReportLag ago, or as of the engine's start if that is more recent.
func (e *Engine) laggedReport() fuchsiaspoke.EngineReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.pruneSnapshots(now)
	asOf := now.Add(-orDefault(e.ReportLag, defaultReportLag))
	report := e.snapshots[0].report
	report.AsOfMillis = max(0, asOf.Sub(e.startedAt).Milliseconds())
	report.NowMillis = now.Sub(e.startedAt).Milliseconds()
	return report
}

func compareAdapters(a, b fuchsiaspoke.Adapter) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version))
}
