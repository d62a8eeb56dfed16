package watcher

import (
	"maps"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// drainNoticeRetention is how long it is remembered that a replica which is no longer published has reported that it drains.
const drainNoticeRetention = time.Minute

// drainNotices holds the replicas that have reported in a response that they drain, with the time at which this VM learned of it. A
// notice holds for one process: another one at the same address is not draining.
type drainNotices struct {
	learnedAt map[fuchsiaspoke.ReplicaIncarnation]time.Duration
}

// mark returns the replica, as draining if it has reported that it drains.
func (n *drainNotices) mark(r fuchsiaspoke.Replica) fuchsiaspoke.Replica {
	if _, draining := n.learnedAt[r.Incarnation()]; draining {
		return r.WithState(fuchsiaspoke.ReplicaDraining)
	}
	return r
}

// markAll returns the replicas by name, with those draining that have reported it.
func (n *drainNotices) markAll(replicas map[string]fuchsiaspoke.Replica) map[string]fuchsiaspoke.Replica {
	if len(n.learnedAt) == 0 {
		return replicas
	}
	out := maps.Clone(replicas)
	for name, r := range out {
		out[name] = n.mark(r)
	}
	return out
}

// add records a replica and reports whether it is new. It forgets those that are not published any more.
func (n *drainNotices) add(now time.Duration, i fuchsiaspoke.ReplicaIncarnation, published map[string]fuchsiaspoke.Replica) bool {
	if _, known := n.learnedAt[i]; known {
		return false
	}
	alive := make(map[fuchsiaspoke.ReplicaIncarnation]bool, len(published))
	for _, r := range published {
		alive[r.Incarnation()] = true
	}
	maps.DeleteFunc(n.learnedAt, func(i fuchsiaspoke.ReplicaIncarnation, at time.Duration) bool {
		return !alive[i] && now-at > drainNoticeRetention
	})
	if n.learnedAt == nil {
		n.learnedAt = make(map[fuchsiaspoke.ReplicaIncarnation]time.Duration)
	}
	n.learnedAt[i] = now
	return true
}

// MarkDraining records that a replica has reported in a response that it drains; from is the VM that received the response. The
// replica is draining from now on, whatever is published of it, until its process ends.
func (w *Watcher) MarkDraining(i fuchsiaspoke.ReplicaIncarnation, from string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.drainNotices.add(w.Clock(), i, w.Published().Replicas) {
		return
	}
	w.count("replica_draining")
	w.Log("replica draining", "replica", i.ID, "born", i.StartedAtMs, "from", from)
	next := *w.Published()
	next.Replicas = w.drainNotices.markAll(next.Replicas)
	w.state.Store(&next)
}

// ReportedDraining returns the published replicas that have reported in a response that they drain.
func (w *Watcher) ReportedDraining() []fuchsiaspoke.ReplicaIncarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.drainNotices.learnedAt) == 0 {
		return nil
	}
	var out []fuchsiaspoke.ReplicaIncarnation
	for _, r := range w.Published().Replicas {
		if _, draining := w.drainNotices.learnedAt[r.Incarnation()]; draining {
			out = append(out, r.Incarnation())
		}
	}
	return out
}
