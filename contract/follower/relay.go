package follower

import (
	"maps"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// maxChanges bounds the changes that are kept for peers; a peer that is further behind gets all there is.
const maxChanges = 256

// changes are the last ones, complete from a revision on.
type changes struct {
	after int64
	list  []fuchsiaspoke.PublishedChange
}

func (c *changes) add(p fuchsiaspoke.Publication) {
	change := fuchsiaspoke.PublishedChange{
		Name: p.Name, Revision: p.Revision, Withdrawn: p.Withdrawn || p.Fault != nil, Replica: p.Replica, Adapter: p.Adapter,
	}
	c.list = append(c.list, change)
	if len(c.list) > maxChanges {
		c.after = c.list[0].Revision
		c.list = c.list[1:]
	}
}

// reset forgets the changes: what is known came as a whole, at a revision.
func (c *changes) reset(revision int64) {
	c.after, c.list = revision, nil
}

func (c *changes) since(revision int64) ([]fuchsiaspoke.PublishedChange, bool) {
	if revision < c.after || revision == 0 {
		return nil, false
	}
	var out []fuchsiaspoke.PublishedChange
	for _, change := range c.list {
		if change.Revision > revision {
			out = append(out, change)
		}
	}
	return out, true
}

// Tell returns what a peer lacks.
func (f *Follower) Tell(ask fuchsiaspoke.PublishedAsk) fuchsiaspoke.PublishedRelay {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.Published()
	r := fuchsiaspoke.PublishedRelay{Revision: p.Revision, Since: ask.Revision, Age: f.Clock() - p.ReadAt}
	if p.Contract != nil {
		r.ContractVersion = p.Contract.Version
	}
	if ask.Contract && r.ContractVersion > ask.ContractVersion {
		r.ContractRaw = p.ContractRaw
	}
	var complete bool
	if r.Changes, complete = f.changes.since(ask.Revision); complete {
		return r
	}
	r.Whole, r.Replicas, r.Versions = true, p.Replicas, p.Versions
	r.Missing = make(map[string]time.Duration, len(f.missing))
	for name, since := range f.missing {
		r.Missing[name] = f.Clock() - since
	}
	return r
}

// Confirm notes that a peer knew at some time before now that nothing was newer than a revision.
func (f *Follower) Confirm(revision int64, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.Published()
	if revision != next.Revision || next.Contract == nil {
		return
	}
	if len(f.missing) > 0 {
		next.Replicas = maps.Clone(next.Replicas)
		f.expire(&next)
	}
	next.ReadAt = max(next.ReadAt, f.Clock()-age)
	f.state.Store(&next)
}

// Relay takes what a peer told; what is older than that in force is ignored.
func (f *Follower) Relay(c *fuchsiaspoke.Contract, r fuchsiaspoke.PublishedRelay, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.Published()
	if c != nil && f.take(&next, c, r.ContractRaw) {
		f.Log("contract in force", "version", c.Version, "from", from)
	}
	switch {
	case r.Revision <= next.Revision:
	case next.Contract == nil || next.Contract.Version < r.ContractVersion:
		f.Log("publications not taken", "from", from, "reason", "they came after a contract that isn't known here",
			"version", r.ContractVersion, "revision", r.Revision)
	case r.Whole:
		next.Replicas, next.Versions = r.Replicas, r.Versions
		f.changes.reset(r.Revision)
		f.missing = make(map[string]time.Duration, len(r.Missing))
		for name, age := range r.Missing {
			f.missing[name] = f.Clock() - age
		}
		f.relayed(&next, r, from)
	case r.Since <= next.Revision:
		next.Replicas, next.Versions = maps.Clone(next.Replicas), maps.Clone(next.Versions)
		for _, change := range r.Changes {
			if change.Revision > next.Revision {
				f.one(&next, change.Publication())
			}
		}
		f.relayed(&next, r, from)
	}
	f.state.Store(&next)
}

func (f *Follower) relayed(next *fuchsiaspoke.Published, r fuchsiaspoke.PublishedRelay, from string) {
	f.Log("publications relayed", "from", from, "revision", r.Revision, "changes", len(r.Changes), "whole", r.Whole,
		"read_ms_ago", r.Age.Milliseconds())
	next.Revision = r.Revision
	next.ReadAt = max(next.ReadAt, f.Clock()-r.Age)
}
