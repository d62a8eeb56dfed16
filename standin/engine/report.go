package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// note keeps the state for later reports; it is called after each change with the lock held.
func (e *Engine) note() {
	now := time.Now()
	e.snapshots = append(e.snapshots, snapshot{at: now, report: e.state()})
	e.prune(now)
}

// prune forgets the snapshots that no report can show any more.
func (e *Engine) prune(now time.Time) {
	asOf := now.Add(-orDefault(e.ReportLag, defaultReportLag))
	keep := 0
	for keep+1 < len(e.snapshots) && !e.snapshots[keep+1].at.After(asOf) {
		keep++
	}
	e.snapshots = e.snapshots[keep:]
}

// state is the engine's exact state.
func (e *Engine) state() fuchsiaspoke.EngineReport {
	report := fuchsiaspoke.EngineReport{
		Incarnation: e.incarnation,
		Fence:       e.fence,
		Resident:    []fuchsiaspoke.Adapter{},
		Running:     []fuchsiaspoke.AdapterUse{},
		Waiting:     int64(len(e.waiting)),
	}
	for adapter, held := range e.resident {
		if held.done {
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

// report is the state as it was ReportLag ago, or at the start of a younger engine.
func (e *Engine) report() fuchsiaspoke.EngineReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.prune(now)
	asOf := now.Add(-orDefault(e.ReportLag, defaultReportLag))
	report := e.snapshots[0].report
	report.AsOfMillis = max(0, asOf.Sub(e.born).Milliseconds())
	report.NowMillis = now.Sub(e.born).Milliseconds()
	return report
}

func compareAdapters(a, b fuchsiaspoke.Adapter) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version))
}
