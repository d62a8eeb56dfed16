package watcher

import (
	"maps"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// wallClockTolerance is the most by which the wall clocks of a VM and a replica differ.
const wallClockTolerance = 2 * time.Second

// learnWarmUp returns a replica whose entry this VM learns of now, with what is known of its warm-up. before is the replica as it was
// published before; known is whether it was. assume is whether a replica that was not published before may be in warm-up if its entry does
// not say.
func (w *Watcher) learnWarmUp(c *fuchsiaspoke.Contract, r, before fuchsiaspoke.Replica, known, assume bool) fuchsiaspoke.Replica {
	switch {
	case c == nil || !c.Services[r.Service].WarmUp.Limits():
		r.WarmUp = nil
	case r.WarmUp != nil:
		r.WarmUp = r.WarmUp.Learned(w.Clock())
	case known && before.Incarnation() == r.Incarnation():
		r.WarmUp = before.WarmUp
	case known || assume:
		r = assumeWarmUp(r, w.Clock())
	}
	return r
}

// assumeWarmUp returns a replica that may be in warm-up from now on.
func assumeWarmUp(r fuchsiaspoke.Replica, now time.Duration) fuchsiaspoke.Replica {
	r.WarmUp = &fuchsiaspoke.ReplicaWarmUp{Assumed: true, At: now}
	return r
}

// assumeWarmUps marks the replicas of a zone whose evacuation has ended: they may be in warm-up until their next entries say otherwise.
func (w *Watcher) assumeWarmUps(next *fuchsiaspoke.PublishedState, zone fuchsiaspoke.Zone) {
	if next.Contract == nil {
		return
	}
	now := w.Clock()
	replicas := maps.Clone(next.Replicas)
	for name, r := range replicas {
		service := next.Contract.Services[r.Service].WarmUp
		if r.Zone == zone && service.Limits() && r.WarmUp.Ends(service.Length) < now+service.Length {
			replicas[name] = assumeWarmUp(r, now)
		}
	}
	next.Replicas = replicas
}

// learnListedWarmUps sets what is known of the warm-ups of listed replicas. An entry that was known already says nothing new. In the first
// list of this VM, replicas are new if their processes are.
func (w *Watcher) learnListedWarmUps(next *fuchsiaspoke.PublishedState, old fuchsiaspoke.PublishedState, items []fuchsiaspoke.Publication) {
	first := old.Revision == (fuchsiaspoke.Revision{})
	for _, p := range items {
		r, listed := next.Replicas[p.Name]
		if p.Replica == nil || !listed {
			continue
		}
		before, known := old.Replicas[p.Name]
		if known && before.Incarnation() == r.Incarnation() && !p.Revision.NewerThan(old.Revision) {
			r.WarmUp = before.WarmUp
		} else {
			r.WarmUp = p.Replica.WarmUp
			r = w.learnWarmUp(next.Contract, r, before, known, !first || w.mayBeNew(next.Contract, r))
		}
		next.Replicas[p.Name] = r
	}
}

// mayBeNew reports whether a replica that this VM finds in its first list may have started within the warm-up of its service.
func (w *Watcher) mayBeNew(c *fuchsiaspoke.Contract, r fuchsiaspoke.Replica) bool {
	if c == nil || r.StartedAtMs <= 0 {
		return true
	}
	age := time.Duration(w.unixMs()-r.StartedAtMs) * time.Millisecond
	return age < c.Services[r.Service].WarmUp.Length+wallClockTolerance
}

// unixMs returns the wall clock's time in Unix milliseconds.
func (w *Watcher) unixMs() int64 {
	if w.UnixMs != nil {
		return w.UnixMs()
	}
	return time.Now().UnixMilli()
}

// learnRelayedWarmUps sets what is known of the warm-ups of replicas that a peer relayed as a whole. The peer knows which are new.
func (w *Watcher) learnRelayedWarmUps(next *fuchsiaspoke.PublishedState, old map[string]fuchsiaspoke.Replica) {
	var learned map[string]fuchsiaspoke.Replica
	for name, r := range next.Replicas {
		before, known := old[name]
		if r.WarmUp == nil && (!known || before.WarmUp == nil || before.Incarnation() != r.Incarnation()) {
			continue
		}
		if learned == nil {
			learned = maps.Clone(next.Replicas)
		}
		learned[name] = w.learnWarmUp(next.Contract, r, before, known, false)
	}
	if learned != nil {
		next.Replicas = learned
	}
}

// keepLaterWarmUps keeps warm-ups that end later than a backup from which the platform was restored says; the next entries decide again.
func keepLaterWarmUps(next *fuchsiaspoke.PublishedState, old map[string]fuchsiaspoke.Replica) {
	if next.Contract == nil {
		return
	}
	for name, r := range next.Replicas {
		before, known := old[name]
		length := next.Contract.Services[r.Service].WarmUp.Length
		if known && before.WarmUp != nil && before.Incarnation() == r.Incarnation() && before.WarmUp.Ends(length) > r.WarmUp.Ends(length) {
			r.WarmUp = before.WarmUp
			next.Replicas[name] = r
		}
	}
}

// withRelayedWarmUps returns replicas as they are relayed now.
func withRelayedWarmUps(replicas map[string]fuchsiaspoke.Replica, now time.Duration) map[string]fuchsiaspoke.Replica {
	var out map[string]fuchsiaspoke.Replica
	for name, r := range replicas {
		if r.WarmUp == nil {
			continue
		}
		if out == nil {
			out = maps.Clone(replicas)
		}
		r.WarmUp = r.WarmUp.Relayed(now)
		out[name] = r
	}
	if out == nil {
		return replicas
	}
	return out
}

// withChangedWarmUps returns changes as they are relayed now: each of a published process carries what is known of its warm-up.
func withChangedWarmUps(changes []fuchsiaspoke.PublicationChange, published map[string]fuchsiaspoke.Replica, now time.Duration) []fuchsiaspoke.PublicationChange {
	for n, change := range changes {
		if change.Replica == nil {
			continue
		}
		current, known := published[change.Name]
		if !known || current.Incarnation() != change.Replica.Incarnation() || current.WarmUp == nil && change.Replica.WarmUp == nil {
			continue
		}
		r := *change.Replica
		r.WarmUp = current.WarmUp.Relayed(now)
		changes[n].Replica = &r
	}
	return changes
}
