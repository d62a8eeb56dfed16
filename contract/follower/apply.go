package follower

import (
	"maps"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// applyChanges applies the result of a watch to the published state.
func (f *Follower) applyChanges(list fuchsiaspoke.PublicationList) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.Published()
	next.Replicas = maps.Clone(next.Replicas)
	next.Versions = maps.Clone(next.Versions)
	for _, p := range list.Items {
		if p.Revision > next.Revision {
			f.applyPublication(&next, p)
		}
	}
	f.removeExpired(&next)
	f.store(next, list.Revision)
}

// applySnapshot replaces the published state by a full list. Replicas that the list lacks are removed, except during and
// shortly after an outage of the platform, when replicas may not be published again yet.
func (f *Follower) applySnapshot(list fuchsiaspoke.PublicationList) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.Published()
	if list.Revision < next.Revision {
		return
	}
	old := next.Replicas
	next.Replicas = make(map[string]fuchsiaspoke.Replica, len(list.Items))
	next.Versions = make(map[string]map[string]int64)
	for _, p := range list.Items {
		f.applyPublication(&next, p)
	}
	now := f.Clock()
	for name, r := range old {
		if _, listed := next.Replicas[name]; listed || !f.retainsMissing(now) {
			continue
		}
		next.Replicas[name] = r
		f.markMissing(name, now)
	}
	f.changeLog.reset(list.Revision)
	f.store(next, list.Revision)
}

// retainsMissing reports whether replicas that a full list lacks are kept for now.
func (f *Follower) retainsMissing(now time.Duration) bool {
	return f.failing || f.recoveredAt > 0 && now-f.recoveredAt < missingReplicaGrace
}

func (f *Follower) markMissing(name string, now time.Duration) {
	if f.missingSince == nil {
		f.missingSince = make(map[string]time.Duration)
	}
	if _, known := f.missingSince[name]; !known {
		f.missingSince[name] = now
	}
}

// removeExpired removes replicas that have been missing for the grace period.
func (f *Follower) removeExpired(next *fuchsiaspoke.Published) {
	for name, since := range f.missingSince {
		if f.Clock()-since >= missingReplicaGrace {
			f.Log("replica gone", "replica", name, "reason", "not published again within the grace period after the platform's outage")
			delete(next.Replicas, name)
			delete(f.missingSince, name)
		}
	}
}

func (f *Follower) applyPublication(next *fuchsiaspoke.Published, p fuchsiaspoke.Publication) {
	f.changeLog.add(p)
	switch {
	case p.Fault != nil:
		f.Log("publication not usable", "name", p.Name, "revision", p.Revision, "error", p.Fault.Error())
		delete(next.Replicas, p.Name)
	case p.Withdrawn:
		if _, known := next.Replicas[p.Name]; known {
			f.Log("replica gone", "replica", p.Name, "revision", p.Revision)
		}
		delete(next.Replicas, p.Name)
		delete(f.missingSince, p.Name)
	case p.Contract != nil:
		if f.applyContract(next, p.Contract, p.Raw) {
			f.Log("contract in force", "version", p.Contract.Version, "from", "platform")
		}
	case p.Replica != nil:
		f.applyReplica(next, p)
	case p.Adapter != nil:
		f.applyAdapterVersion(next, p)
	}
}

func (f *Follower) applyReplica(next *fuchsiaspoke.Published, p fuchsiaspoke.Publication) {
	old, known := next.Replicas[p.Name]
	if next.Replicas == nil {
		next.Replicas = make(map[string]fuchsiaspoke.Replica)
	}
	if !known || old.State != p.Replica.State || old.Born != p.Replica.Born || old.Address != p.Replica.Address {
		f.Log("replica published", "replica", p.Replica.ID, "state", string(p.Replica.State),
			"address", p.Replica.Address, "born", p.Replica.Born, "revision", p.Revision)
	}
	next.Replicas[p.Name] = *p.Replica
	delete(f.missingSince, p.Name)
}

// applyAdapterVersion records an announced adapter version; the newest version announced is kept.
func (f *Follower) applyAdapterVersion(next *fuchsiaspoke.Published, p fuchsiaspoke.Publication) {
	if next.Versions == nil {
		next.Versions = make(map[string]map[string]int64)
	}
	versions := maps.Clone(next.Versions[p.Adapter.Model])
	if versions == nil {
		versions = make(map[string]int64)
	}
	versions[p.Adapter.Adapter.Name] = max(versions[p.Adapter.Adapter.Name], p.Adapter.Adapter.Version)
	next.Versions[p.Adapter.Model] = versions
}

// applyContract puts a contract in force if it is newer than the current one, and reports whether it did. The version in
// force never decreases.
func (f *Follower) applyContract(next *fuchsiaspoke.Published, c *fuchsiaspoke.Contract, raw []byte) bool {
	if next.Contract != nil && c.Version <= next.Contract.Version {
		return false
	}
	next.Contract, next.ContractRaw = c, raw
	return true
}

// store puts next in force, as read from the platform now.
func (f *Follower) store(next fuchsiaspoke.Published, revision int64) {
	next.Revision = max(next.Revision, revision)
	next.ReadAt = f.Clock()
	f.state.Store(&next)
}
