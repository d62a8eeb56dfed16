package watcher

import (
	"maps"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// leaverRetention is how long it is remembered that a replica which is no longer published has said that it leaves.
const leaverRetention = time.Minute

// leavers holds the replicas that have said in a response that they leave, with the time at which this VM heard of it. It ends with
// the replica's process: another one at its address is not in it.
type leavers struct {
	heardAt map[fuchsiaspoke.ReplicaIncarnation]time.Duration
}

// mark returns the replica, as draining if it has said that it leaves.
func (l *leavers) mark(r fuchsiaspoke.Replica) fuchsiaspoke.Replica {
	if _, leaving := l.heardAt[r.Incarnation()]; leaving {
		return r.WithState(fuchsiaspoke.ReplicaDraining)
	}
	return r
}

// markAll returns the replicas by name, with those draining that have said that they leave.
func (l *leavers) markAll(replicas map[string]fuchsiaspoke.Replica) map[string]fuchsiaspoke.Replica {
	if len(l.heardAt) == 0 {
		return replicas
	}
	out := maps.Clone(replicas)
	for name, r := range out {
		out[name] = l.mark(r)
	}
	return out
}

// add records a replica and reports whether it is new. It forgets those that are not published any more.
func (l *leavers) add(now time.Duration, i fuchsiaspoke.ReplicaIncarnation, published map[string]fuchsiaspoke.Replica) bool {
	if _, known := l.heardAt[i]; known {
		return false
	}
	alive := make(map[fuchsiaspoke.ReplicaIncarnation]bool, len(published))
	for _, r := range published {
		alive[r.Incarnation()] = true
	}
	maps.DeleteFunc(l.heardAt, func(i fuchsiaspoke.ReplicaIncarnation, at time.Duration) bool {
		return !alive[i] && now-at > leaverRetention
	})
	if l.heardAt == nil {
		l.heardAt = make(map[fuchsiaspoke.ReplicaIncarnation]time.Duration)
	}
	l.heardAt[i] = now
	return true
}

// MarkLeaving records that a replica has said in a response that it leaves; from is the VM that received the response. The replica is
// draining from now on, whatever is published of it, until its process ends.
func (w *Watcher) MarkLeaving(i fuchsiaspoke.ReplicaIncarnation, from string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.leavers.add(w.Clock(), i, w.Published().Replicas) {
		return
	}
	w.count("replica_leaving")
	w.Log("replica leaving", "replica", i.ID, "born", i.StartedAtMs, "from", from)
	next := *w.Published()
	next.Replicas = w.leavers.markAll(next.Replicas)
	w.state.Store(&next)
}

// Leaving returns the published replicas that have said that they leave.
func (w *Watcher) Leaving() []fuchsiaspoke.ReplicaIncarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.leavers.heardAt) == 0 {
		return nil
	}
	var out []fuchsiaspoke.ReplicaIncarnation
	for _, r := range w.Published().Replicas {
		if _, leaving := w.leavers.heardAt[r.Incarnation()]; leaving {
			out = append(out, r.Incarnation())
		}
	}
	return out
}
