package watcher

import (
	"maps"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// applyChanges applies the result of a watch, read at readAt, to the published state. Publications that are not newer than that state are
// skipped.
func (w *Watcher) applyChanges(list fuchsiaspoke.PublicationList, readAt time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := w.nextState()
	for _, p := range list.Items {
		if p.Revision.NewerThan(next.Revision) {
			w.applyPublication(&next, p)
		}
	}
	w.removeExpired(&next)
	w.store(next, list.Revision, readAt)
}

// nextState returns a copy of the published state whose maps may be modified.
func (w *Watcher) nextState() fuchsiaspoke.PublishedState {
	next := *w.Published()
	next.Replicas, next.Versions = maps.Clone(next.Replicas), maps.Clone(next.Versions)
	return next
}

// applySnapshot replaces the published state by a full list, read at readAt, unless the list is older than that state. Replicas that the
// list lacks are removed, unless it was read right after an outage of the platform, when replicas may not be published again yet;
// those are kept for missingReplicaGrace.
func (w *Watcher) applySnapshot(list fuchsiaspoke.PublicationList, readAt time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := *w.Published()
	if next.Revision.NewerThan(list.Revision) {
		return
	}
	old := next
	w.startEpoch(list.Revision)
	next.Replicas = make(map[string]fuchsiaspoke.Replica, len(list.Items))
	next.Versions = make(map[string]map[string]int64)
	next.Evacuations = nil
	for _, p := range list.Items {
		w.applyPublication(&next, p)
	}
	w.learnListedWarmUps(&next, old, list.Items)
	w.retainMissing(&next, old.Replicas)
	w.retainEvacuations(&next, old.Evacuations, list.Revision.Epoch > old.Revision.Epoch)
	if list.Revision.Epoch > old.Revision.Epoch {
		w.keepNewerThanBackup(&next, old)
	}
	w.changeLog.reset(list.Revision)
	w.store(next, list.Revision, readAt)
}

// retainMissing keeps the replicas that next lacks, for missingReplicaGrace, if it was read after an outage of the platform.
func (w *Watcher) retainMissing(next *fuchsiaspoke.PublishedState, old map[string]fuchsiaspoke.Replica) {
	now := w.Clock()
	for name, r := range old {
		if _, listed := next.Replicas[name]; listed || !w.retainsMissing(now) {
			continue
		}
		next.Replicas[name] = r
		w.markMissing(name, now)
	}
}

// retainsMissing reports whether replicas that a full list lacks are kept: in the first list after an outage, and for
// missingReplicaGrace after it.
func (w *Watcher) retainsMissing(now time.Duration) bool {
	return w.failing || w.recoveredAt > 0 && now-w.recoveredAt < missingReplicaGrace
}

// markMissing records when a full list first lacked the replica.
func (w *Watcher) markMissing(name string, now time.Duration) {
	if w.missingSince == nil {
		w.missingSince = make(map[string]time.Duration)
	}
	if _, known := w.missingSince[name]; !known {
		w.missingSince[name] = now
	}
}

// removeExpired removes replicas that have been missing for the grace period.
func (w *Watcher) removeExpired(next *fuchsiaspoke.PublishedState) {
	for name, since := range w.missingSince {
		if w.Clock()-since >= missingReplicaGrace {
			w.Log("replica gone", "replica", name, "reason", "not published again within the grace period after the platform's outage")
			delete(next.Replicas, name)
			delete(w.missingSince, name)
		}
	}
}

// applyPublication applies one publication to next and adds it to the change log. One that cannot be decoded removes its replica.
func (w *Watcher) applyPublication(next *fuchsiaspoke.PublishedState, p fuchsiaspoke.Publication) {
	w.changeLog.add(p)
	switch {
	case p.Evacuation != "":
		w.applyEvacuation(next, p)
	case p.Fault != nil:
		w.Log("publication not usable", "name", p.Name, "revision", p.Revision.String(), "error", p.Fault.Error())
		delete(next.Replicas, p.Name)
	case p.Withdrawn:
		if r, known := next.Replicas[p.Name]; known {
			w.Log("replica gone", "replica", p.Name, "revision", p.Revision.String())
			w.withdrawals.add(w.Clock(), r.Incarnation())
		}
		delete(next.Replicas, p.Name)
		delete(w.missingSince, p.Name)
	case p.Contract != nil:
		w.applyContract(next, p.Contract, p.Raw, "platform")
	case p.Replica != nil:
		w.applyReplica(next, p)
	case p.Adapter != nil:
		applyAdapterVersion(next, p.Adapter.Model, p.Adapter.Adapter)
	}
}

func (w *Watcher) applyReplica(next *fuchsiaspoke.PublishedState, p fuchsiaspoke.Publication) {
	old, known := next.Replicas[p.Name]
	r := w.drainNotices.mark(w.learnWarmUp(next.Contract, *p.Replica, old, known, true))
	if next.Replicas == nil {
		next.Replicas = make(map[string]fuchsiaspoke.Replica)
	}
	if !known || old.State != r.State || old.StartedAtMs != r.StartedAtMs || old.Address != r.Address {
		w.Log("replica published", "replica", r.ID, "state", string(r.State), "address", r.Address, "born", r.StartedAtMs,
			"software", r.SoftwareVersion, "revision", p.Revision.String())
	}
	next.Replicas[p.Name] = r
	delete(w.missingSince, p.Name)
}

// applyAdapterVersion records an announced adapter version; the newest version announced is kept.
func applyAdapterVersion(next *fuchsiaspoke.PublishedState, model string, a fuchsiaspoke.Adapter) {
	if next.Versions == nil {
		next.Versions = make(map[string]map[string]int64)
	}
	versions := maps.Clone(next.Versions[model])
	if versions == nil {
		versions = make(map[string]int64)
	}
	versions[a.Name] = max(versions[a.Name], a.Version)
	next.Versions[model] = versions
}

// applyContract puts a contract in force if it is newer than the current one. The version in force never decreases. The log tells how
// long this VM knew that a peer has the version, and how old the state was that it replaces.
func (w *Watcher) applyContract(next *fuchsiaspoke.PublishedState, c *fuchsiaspoke.Contract, raw []byte, from string) {
	if next.Contract != nil && c.Version <= next.Contract.Version {
		return
	}
	var heard time.Duration
	if w.newestPeerContract >= c.Version {
		heard = w.Clock() - w.peerContractAt
	}
	w.Log("contract in force", "version", c.Version, "from", from, "heard_ms_ago", heard.Milliseconds(),
		"confirmed_ms_ago", (w.Clock() - next.ReadAt).Milliseconds())
	next.Contract, next.ContractRaw = c, raw
}

// store puts next in force, as read from the platform at readAt.
func (w *Watcher) store(next fuchsiaspoke.PublishedState, revision fuchsiaspoke.Revision, readAt time.Duration) {
	if revision.NewerThan(next.Revision) {
		next.Revision = revision
	}
	w.endExpiredEvacuations(&next)
	w.recordEvacuations(&next, "platform")
	w.lastRead++
	own := fuchsiaspoke.Reading{Reader: w.reader(), Number: w.lastRead}
	w.readings.observe(w.Clock(), own.WithAge(w.Clock()-readAt))
	if revision == next.Revision && readAt > next.ReadAt || next.Reading.IsZero() {
		next.Reading, next.ReadAt = own, readAt
	}
	w.state.Store(&next)
}
