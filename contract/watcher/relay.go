package watcher

import (
	"maps"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// maxChanges bounds the changes kept for peers; a peer that is further behind is sent the whole state.
	maxChanges = 256
	// overdueAnswer is the time for the platform to answer before other VMs are asked for the same; a healthy one responds within 4 ms.
	overdueAnswer = 100 * time.Millisecond
)

// changeLog holds the latest changes; it has every change after the revision completeAfter.
type changeLog struct {
	completeAfter fuchsiaspoke.Revision
	entries       []fuchsiaspoke.PublicationChange
}

// add appends a change and drops the oldest one above the bound.
func (c *changeLog) add(p fuchsiaspoke.Publication) {
	change := fuchsiaspoke.PublicationChange{
		Name: p.Name, Revision: p.Revision, Withdrawn: p.Withdrawn || p.Fault != nil, Replica: p.Replica, Adapter: p.Adapter,
	}
	if p.Evacuation != "" {
		change.Evacuation, change.Withdrawn = p.Evacuation, p.Withdrawn
	}
	c.entries = append(c.entries, change)
	if len(c.entries) > maxChanges {
		c.completeAfter = c.entries[0].Revision
		c.entries = c.entries[1:]
	}
}

// reset drops all entries after a whole state was taken over at a revision; the changes before it are not known.
func (c *changeLog) reset(revision fuchsiaspoke.Revision) {
	c.completeAfter, c.entries = revision, nil
}

// since returns the changes after a revision; false means that the log does not hold all of them, or that the revision is zero.
func (c *changeLog) since(revision fuchsiaspoke.Revision) ([]fuchsiaspoke.PublicationChange, bool) {
	if c.completeAfter.NewerThan(revision) || revision == (fuchsiaspoke.Revision{}) {
		return nil, false
	}
	var out []fuchsiaspoke.PublicationChange
	for _, change := range c.entries {
		if change.Revision.NewerThan(revision) {
			out = append(out, change)
		}
	}
	return out, true
}

// Overdue returns for how long news of the platform has been overdue on this VM, and the query by which it should ask other VMs for it. News
// is overdue where the platform does not answer this VM's call within overdueAnswer: one that it makes as its state is stale, or as a
// peer has a newer contract. A VM without a contract asks only if its last call failed.
func (w *Watcher) Overdue() (fuchsiaspoke.PublicationQuery, time.Duration) {
	p := w.Published()
	query := fuchsiaspoke.PublicationQuery{Revision: p.Revision, Contract: true}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock()
	if p.Contract == nil {
		if w.failing {
			return query, now - w.lastReadStart
		}
		return query, 0
	}
	query.ContractVersion = p.Contract.Version
	overdue := now - p.ReadAt - w.staleAge()
	if p.Contract.Version < w.newestPeerContract {
		overdue = max(overdue, now-w.peerContractAt)
	}
	return query, overdue - overdueAnswer
}

// ChangesFor returns the publications that a peer lacks: the changes since its revision, or the whole state where the change log
// does not reach back that far.
func (w *Watcher) ChangesFor(query fuchsiaspoke.PublicationQuery) fuchsiaspoke.PublicationRelay {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.Published()
	r := fuchsiaspoke.PublicationRelay{Revision: p.Revision, Since: query.Revision, Reading: p.Reading.WithAge(w.Clock() - p.ReadAt).Report()}
	if p.Contract != nil {
		r.ContractVersion = p.Contract.Version
	}
	if query.Contract && r.ContractVersion > query.ContractVersion {
		r.ContractRaw = p.ContractRaw
	}
	var complete bool
	if r.Changes, complete = w.changeLog.since(query.Revision); complete {
		r.Changes = withChangedWarmUps(r.Changes, p.Replicas, w.Clock())
		return r
	}
	r.Whole, r.Replicas, r.Versions = true, withRelayedWarmUps(p.Replicas, w.Clock()), p.Versions
	r.Evacuations, r.EvacuationEnds = evacuationReports(p, w.Clock())
	r.Missing = make(map[string]time.Duration, len(w.missingSince))
	for name, since := range w.missingSince {
		r.Missing[name] = w.Clock() - since
	}
	return r
}

// ConfirmRevision records that, according to a peer, a reading found nothing newer than the revision. If the state in force has a
// contract and is at that revision, it counts as read then, and missing replicas whose grace period is over are removed from it. VMs
// that repeat each other's reports don't make a reading younger.
func (w *Watcher) ConfirmRevision(revision fuchsiaspoke.Revision, reading fuchsiaspoke.Reading) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := *w.Published()
	if revision != next.Revision || next.Contract == nil {
		w.readings.observe(w.Clock(), reading)
		return
	}
	if len(w.missingSince) > 0 {
		next.Replicas = maps.Clone(next.Replicas)
		w.removeExpired(&next)
	}
	w.endExpiredEvacuations(&next)
	w.recordEvacuations(&next, "platform")
	w.applyReading(&next, reading)
	w.state.Store(&next)
}

// applyReading records that a reading found nothing newer than next, unless a later one did or the reader has made another one since.
func (w *Watcher) applyReading(next *fuchsiaspoke.PublishedState, reading fuchsiaspoke.Reading) {
	readAt, isLast := w.readings.observe(w.Clock(), reading)
	switch {
	case !isLast:
	case reading.SameRead(next.Reading):
		next.ReadAt = min(next.ReadAt, readAt)
	case readAt > next.ReadAt:
		next.Reading, next.ReadAt = reading, readAt
	}
}

// ApplyRelay applies publications received from a peer. It ignores revisions that are not newer than the one in force, changes
// that leave a gap after it, and publications that depend on a contract that this VM does not have.
func (w *Watcher) ApplyRelay(c *fuchsiaspoke.Contract, r fuchsiaspoke.PublicationRelay, from string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := *w.Published()
	if c != nil {
		w.applyContract(&next, c, r.ContractRaw, from)
	}
	switch {
	case !r.Revision.NewerThan(next.Revision):
	case next.Contract == nil || next.Contract.Version < r.ContractVersion:
		w.Log("publications not taken", "from", from, "reason", "they depend on a contract version that this VM does not have",
			"version", r.ContractVersion, "revision", r.Revision.String())
	case r.Whole:
		w.changeLog.reset(r.Revision)
		w.missingSince = make(map[string]time.Duration, len(r.Missing))
		for name, age := range r.Missing {
			w.missingSince[name] = w.Clock() - age
		}
		w.applyWholeRelay(&next, r)
		w.recordRelay(&next, r, from)
	case !r.Since.NewerThan(next.Revision):
		next.Replicas, next.Versions = maps.Clone(next.Replicas), maps.Clone(next.Versions)
		for _, change := range r.Changes {
			if change.Revision.NewerThan(next.Revision) {
				w.applyPublication(&next, change.Publication())
			}
		}
		w.recordRelay(&next, r, from)
	}
	w.recordEvacuations(&next, from)
	w.state.Store(&next)
}

// applyWholeRelay replaces the replicas and adapter versions by those of a peer.
func (w *Watcher) applyWholeRelay(next *fuchsiaspoke.PublishedState, r fuchsiaspoke.PublicationRelay) {
	old := *next
	next.Replicas, next.Versions = w.drainNotices.markAll(r.Replicas), r.Versions
	w.applyEvacuationReports(next, r)
	w.retainEvacuations(next, old.Evacuations, r.Revision.Epoch > old.Revision.Epoch)
	w.learnRelayedWarmUps(next, old.Replicas)
	if r.Revision.Epoch > old.Revision.Epoch {
		w.startEpoch(r.Revision)
		next.Replicas, next.Versions = maps.Clone(next.Replicas), maps.Clone(next.Versions)
		w.retainMissing(next, old.Replicas)
		w.keepNewerThanBackup(next, old)
	}
}

// recordRelay logs an applied relay, and takes over its revision and the reading that found it.
func (w *Watcher) recordRelay(next *fuchsiaspoke.PublishedState, r fuchsiaspoke.PublicationRelay, from string) {
	next.Revision = r.Revision
	if r.Reading != nil {
		w.applyReading(next, *r.Reading)
	}
	w.Log("publications relayed", "from", from, "revision", r.Revision.String(), "changes", len(r.Changes), "whole", r.Whole,
		"read_ms_ago", (w.Clock() - next.ReadAt).Milliseconds())
}
