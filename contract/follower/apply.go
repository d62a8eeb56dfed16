package follower

import (
	"maps"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

func (f *Follower) apply(list fuchsiaspoke.PublicationList) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.Published()
	next.Replicas = maps.Clone(next.Replicas)
	next.Versions = maps.Clone(next.Versions)
	for _, p := range list.Items {
		if p.Revision > next.Revision {
			f.one(&next, p)
		}
	}
	f.expire(&next)
	f.store(next, list.Revision)
}

// replace applies a whole list: what it lacks is gone, but for replicas that may not be back yet after an outage.
func (f *Follower) replace(list fuchsiaspoke.PublicationList) {
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
		f.one(&next, p)
	}
	now := f.Clock()
	for name, r := range old {
		if _, listed := next.Replicas[name]; listed || !f.mayReturn(now) {
			continue
		}
		next.Replicas[name] = r
		f.miss(name, now)
	}
	f.changes.reset(list.Revision)
	f.store(next, list.Revision)
}

func (f *Follower) mayReturn(now time.Duration) bool {
	return f.failing || f.healed > 0 && now-f.healed < returnTime
}

func (f *Follower) miss(name string, now time.Duration) {
	if f.missing == nil {
		f.missing = make(map[string]time.Duration)
	}
	if _, known := f.missing[name]; !known {
		f.missing[name] = now
	}
}

func (f *Follower) expire(next *fuchsiaspoke.Published) {
	for name, since := range f.missing {
		if f.Clock()-since >= returnTime {
			f.Log("replica gone", "replica", name, "reason", "not back after the platform's outage")
			delete(next.Replicas, name)
			delete(f.missing, name)
		}
	}
}

func (f *Follower) one(next *fuchsiaspoke.Published, p fuchsiaspoke.Publication) {
	f.changes.add(p)
	switch {
	case p.Fault != nil:
		f.Log("publication not usable", "name", p.Name, "revision", p.Revision, "error", p.Fault.Error())
		delete(next.Replicas, p.Name)
	case p.Withdrawn:
		if _, known := next.Replicas[p.Name]; known {
			f.Log("replica gone", "replica", p.Name, "revision", p.Revision)
		}
		delete(next.Replicas, p.Name)
		delete(f.missing, p.Name)
	case p.Contract != nil:
		if f.take(next, p.Contract, p.Raw) {
			f.Log("contract in force", "version", p.Contract.Version, "from", "platform")
		}
	case p.Replica != nil:
		f.replica(next, p)
	case p.Adapter != nil:
		f.version(next, p)
	}
}

func (f *Follower) replica(next *fuchsiaspoke.Published, p fuchsiaspoke.Publication) {
	old, known := next.Replicas[p.Name]
	if next.Replicas == nil {
		next.Replicas = make(map[string]fuchsiaspoke.Replica)
	}
	if !known || old.State != p.Replica.State || old.Born != p.Replica.Born || old.Address != p.Replica.Address {
		f.Log("replica published", "replica", p.Replica.ID, "state", string(p.Replica.State),
			"address", p.Replica.Address, "born", p.Replica.Born, "revision", p.Revision)
	}
	next.Replicas[p.Name] = *p.Replica
	delete(f.missing, p.Name)
}

func (f *Follower) version(next *fuchsiaspoke.Published, p fuchsiaspoke.Publication) {
	if next.Versions == nil {
		next.Versions = make(map[string]map[string]int64)
	}
	model := maps.Clone(next.Versions[p.Adapter.Model])
	if model == nil {
		model = make(map[string]int64)
	}
	model[p.Adapter.Adapter.Name] = max(model[p.Adapter.Adapter.Name], p.Adapter.Adapter.Version)
	next.Versions[p.Adapter.Model] = model
}

// take puts a contract in force where it is newer; a process never goes back.
func (f *Follower) take(next *fuchsiaspoke.Published, c *fuchsiaspoke.Contract, raw []byte) bool {
	if next.Contract != nil && c.Version <= next.Contract.Version {
		return false
	}
	next.Contract, next.ContractRaw = c, raw
	return true
}

func (f *Follower) store(next fuchsiaspoke.Published, revision int64) {
	next.Revision = max(next.Revision, revision)
	next.ReadAt = f.Clock()
	f.state.Store(&next)
}
