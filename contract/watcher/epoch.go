package watcher

import (
	"maps"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// withdrawalRetention is how long a withdrawn replica is remembered; backups from which the platform is restored are younger.
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

// startEpoch notes that the platform was restored from a backup if the revision's epoch is newer than that of the state in force.
// Replicas that the backup lacks are then kept as after an outage.
func (w *Watcher) startEpoch(revision fuchsiaspoke.Revision) {
	known := w.Published().Revision
	if revision.Epoch <= known.Epoch || known.Number == 0 {
		return
	}
	w.recoveredAt = w.Clock()
	w.count("store_epoch_changed")
	w.Log("platform was restored from a backup", "revision", revision.String(), "known", known.String(),
		"read_ms_ago", (w.Clock() - w.Published().ReadAt).Milliseconds())
}

// keepNewerThanBackup keeps what the backup may be too old for: announced versions of adapters, that a replica was draining, and that
// it was withdrawn. What the replica publishes next decides again.
func (w *Watcher) keepNewerThanBackup(next *fuchsiaspoke.PublishedState, old fuchsiaspoke.PublishedState) {
	for model, versions := range old.Versions {
		for name, version := range versions {
			applyAdapterVersion(next, model, fuchsiaspoke.Adapter{Name: name, Version: version})
		}
	}
	keepLaterWarmUps(next, old.Replicas)
	for name, r := range next.Replicas {
		before, known := old.Replicas[name]
		switch {
		case known && before.Incarnation() == r.Incarnation() && before.State == fuchsiaspoke.ReplicaDraining:
			next.Replicas[name] = r.WithState(fuchsiaspoke.ReplicaDraining)
		case !known && w.withdrawals.has(r.Incarnation()):
			w.Log("replica gone", "replica", name, "reason", "withdrawn before the platform was restored from a backup")
			delete(next.Replicas, name)
		}
	}
}
