package watcher

import (
	"maps"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// withdrawalRetention is how long a withdrawn replica is remembered; a copy from which the platform comes back is younger.
const withdrawalRetention = time.Minute

// withdrawals holds the replicas that the platform withdrew lately, with the time of their withdrawal.
type withdrawals struct {
	at map[fuchsiaspoke.ReplicaIncarnation]time.Duration
}

// add records a withdrawal and forgets those that are too old.
func (d *withdrawals) add(now time.Duration, i fuchsiaspoke.ReplicaIncarnation) {
	if d.at == nil {
		d.at = make(map[fuchsiaspoke.ReplicaIncarnation]time.Duration)
	}
	maps.DeleteFunc(d.at, func(_ fuchsiaspoke.ReplicaIncarnation, at time.Duration) bool { return now-at > withdrawalRetention })
	d.at[i] = now
}

func (d *withdrawals) has(i fuchsiaspoke.ReplicaIncarnation) bool {
	_, known := d.at[i]
	return known
}

// startEra notes that the platform has come back from a copy if the revision's era is newer than that of the state in force.
// Replicas that the copy lacks are then kept as after an outage.
func (w *Watcher) startEra(revision fuchsiaspoke.Revision) {
	known := w.Published().Revision
	if revision.Era <= known.Era || known.Number == 0 {
		return
	}
	w.recoveredAt = w.Clock()
	w.count("store_era_changed")
	w.Log("platform came back from a copy", "revision", revision.String(), "known", known.String(),
		"read_ms_ago", (w.Clock() - w.Published().ReadAt).Milliseconds())
}

// keepNewerThanCopy keeps, of what was known before the platform came back from a copy, what the copy may be too old for: announced
// versions of adapters, that a replica was draining, and that it was withdrawn. What the replica publishes next decides again.
func (w *Watcher) keepNewerThanCopy(next *fuchsiaspoke.PublishedState, old fuchsiaspoke.PublishedState) {
	for model, versions := range old.Versions {
		for name, version := range versions {
			applyAdapterVersion(next, model, fuchsiaspoke.Adapter{Name: name, Version: version})
		}
	}
	for name, r := range next.Replicas {
		before, known := old.Replicas[name]
		switch {
		case known && before.Incarnation() == r.Incarnation() && before.State == fuchsiaspoke.ReplicaDraining:
			next.Replicas[name] = r.WithState(fuchsiaspoke.ReplicaDraining)
		case !known && w.withdrawals.has(r.Incarnation()):
			w.Log("replica gone", "replica", name, "reason", "withdrawn before the platform came back from a copy")
			delete(next.Replicas, name)
		}
	}
}
