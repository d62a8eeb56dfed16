package watcher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// maxEvacuationEnds bounds the ends of evacuations that are kept, which are the latest.
const maxEvacuationEnds = 64

// applyEvacuation begins or ends the evacuation of a zone. The maps of next are shared with earlier states and replaced, not modified.
func (w *Watcher) applyEvacuation(next *fuchsiaspoke.PublishedState, p fuchsiaspoke.Publication) {
	if p.Withdrawn {
		w.endEvacuation(next, p.Evacuation, p.Revision)
		return
	}
	if p.Fault != nil {
		w.Log("value of evacuation not usable, its key counts", "zone", string(p.Evacuation), "revision", p.Revision.String(),
			"error", p.Fault.Error())
	}
	since := w.Clock()
	if known, inForce := w.Published().Evacuations[p.Evacuation]; inForce {
		since = known.Since
	}
	next.Evacuations = with(next.Evacuations, p.Evacuation, fuchsiaspoke.Evacuation{Revision: p.Revision, Since: since})
}

// endEvacuation ends the evacuation of a zone, if it is evacuated.
func (w *Watcher) endEvacuation(next *fuchsiaspoke.PublishedState, zone fuchsiaspoke.Zone, revision fuchsiaspoke.Revision) {
	if !next.Evacuated(zone) {
		return
	}
	next.Evacuations = without(next.Evacuations, zone)
	w.addEnd(next, zone, fuchsiaspoke.EvacuationEnd{Revision: revision, At: w.Clock()})
}

// addEnd records the end of a zone's evacuation.
func (w *Watcher) addEnd(next *fuchsiaspoke.PublishedState, zone fuchsiaspoke.Zone, end fuchsiaspoke.EvacuationEnd) {
	next.EvacuationEnds = with(next.EvacuationEnds, zone, end)
	for len(next.EvacuationEnds) > maxEvacuationEnds {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(next.EvacuationEnds)), func(a, b fuchsiaspoke.Zone) int {
			return cmp.Compare(next.EvacuationEnds[a].At, next.EvacuationEnds[b].At)
		})
		delete(next.EvacuationEnds, oldest)
	}
}

// retainEvacuations keeps the evacuations in old that a whole state lacks: for missingReplicaGrace if the platform was restored from a
// backup, whose operator may write them again, and otherwise those that are kept since an earlier restoration.
func (w *Watcher) retainEvacuations(next *fuchsiaspoke.PublishedState, old map[fuchsiaspoke.Zone]fuchsiaspoke.Evacuation, restored bool) {
	for zone, e := range old {
		if next.Evacuated(zone) || !restored && e.ExpiresAt == 0 {
			continue
		}
		if e.ExpiresAt == 0 {
			e.ExpiresAt = w.Clock() + missingReplicaGrace
			w.Log("evacuation kept", "zone", string(zone), "revision", e.Revision.String(), "for_ms", missingReplicaGrace.Milliseconds(),
				"reason", "the platform was restored from a backup that lacks it")
		}
		next.Evacuations = with(next.Evacuations, zone, e)
	}
}

// endExpiredEvacuations ends the evacuations that the platform has not published again in time after it was restored from a backup.
func (w *Watcher) endExpiredEvacuations(next *fuchsiaspoke.PublishedState) {
	for zone, e := range next.Evacuations {
		if e.ExpiresAt > 0 && w.Clock() >= e.ExpiresAt {
			w.endEvacuation(next, zone, next.Revision)
		}
	}
}

// recordEvacuations logs and counts the evacuations that begin or end with next, which is about to be put in force. An evacuation that a
// whole state lacks has ended as well.
func (w *Watcher) recordEvacuations(next *fuchsiaspoke.PublishedState, from string) {
	old := w.Published()
	for zone, e := range next.Evacuations {
		next.EvacuationEnds = without(next.EvacuationEnds, zone)
		if !old.Evacuated(zone) {
			w.count("evacuation_began")
			w.Log("evacuation began", "zone", string(zone), "revision", e.Revision.String(), "from", from,
				"known_ms_ago", (w.Clock() - e.Since).Milliseconds(), "replicas", replicasIn(next, zone))
		}
	}
	for zone, e := range old.Evacuations {
		if next.Evacuated(zone) {
			continue
		}
		end, known := next.EvacuationEnds[zone]
		if !known || end.At < e.Since {
			end = fuchsiaspoke.EvacuationEnd{Revision: next.Revision, At: w.Clock()}
			w.addEnd(next, zone, end)
		}
		w.assumeWarmUps(next, zone)
		w.count("evacuation_ended")
		w.Log("evacuation ended", "zone", string(zone), "revision", end.Revision.String(), "from", from,
			"lasted_ms", (end.At - e.Since).Milliseconds(), "replicas", replicasIn(next, zone))
	}
}

// replicasIn returns the number of published replicas in a zone.
func replicasIn(p *fuchsiaspoke.PublishedState, zone fuchsiaspoke.Zone) int {
	n := 0
	for _, r := range p.Replicas {
		if r.Zone == zone {
			n++
		}
	}
	return n
}

// evacuationReports returns the evacuations and their ends for another VM; nil if there are none.
func evacuationReports(p *fuchsiaspoke.PublishedState, now time.Duration) (
	begun map[fuchsiaspoke.Zone]fuchsiaspoke.EvacuationReport, ended map[fuchsiaspoke.Zone]fuchsiaspoke.EvacuationEndReport,
) {
	for zone, e := range p.Evacuations {
		report := fuchsiaspoke.EvacuationReport{Revision: e.Revision, Age: now - e.Since}
		if e.ExpiresAt > 0 {
			report.ExpiresIn = max(e.ExpiresAt-now, 1)
		}
		begun = with(begun, zone, report)
	}
	for zone, e := range p.EvacuationEnds {
		ended = with(ended, zone, fuchsiaspoke.EvacuationEndReport{Revision: e.Revision, Age: now - e.At})
	}
	return begun, ended
}

// applyEvacuationReports replaces the evacuations by those of a peer. Ends that only one of both knows are kept.
func (w *Watcher) applyEvacuationReports(next *fuchsiaspoke.PublishedState, r fuchsiaspoke.PublicationRelay) {
	now := w.Clock()
	next.Evacuations = nil
	for zone, report := range r.Evacuations {
		e := fuchsiaspoke.Evacuation{Revision: report.Revision, Since: now - report.Age}
		if report.ExpiresIn > 0 {
			e.ExpiresAt = now + report.ExpiresIn
		}
		next.Evacuations = with(next.Evacuations, zone, e)
	}
	for zone, report := range r.EvacuationEnds {
		if known, ended := next.EvacuationEnds[zone]; !ended || report.Revision.NewerThan(known.Revision) {
			w.addEnd(next, zone, fuchsiaspoke.EvacuationEnd{Revision: report.Revision, At: now - report.Age})
		}
	}
}

// with returns a copy of a map with one entry added or replaced.
func with[V any](m map[fuchsiaspoke.Zone]V, zone fuchsiaspoke.Zone, value V) map[fuchsiaspoke.Zone]V {
	out := make(map[fuchsiaspoke.Zone]V, len(m)+1)
	maps.Copy(out, m)
	out[zone] = value
	return out
}

// without returns the map without one entry, as a copy if it has that entry; nil if no entry is left.
func without[V any](m map[fuchsiaspoke.Zone]V, zone fuchsiaspoke.Zone) map[fuchsiaspoke.Zone]V {
	if _, known := m[zone]; !known {
		return m
	}
	if len(m) == 1 {
		return nil
	}
	out := maps.Clone(m)
	delete(out, zone)
	return out
}
