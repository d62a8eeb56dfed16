package registrar

import (
	"context"
	"sync"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// departures holds what the platform's change history, read once, tells of replicas from before this process.
type departures struct {
	mu     sync.Mutex
	isRead bool
	// versions holds the software versions by service that the history names.
	versions map[string]map[string]bool
	// unknown means that an entry was removed of which the history names nothing else.
	unknown bool
}

// otherVersionLeft reports whether the service may have had another software version than only before this process started: the history names
// one, an entry of which nothing is known was removed, or the history can't be read.
func (r *Registrar) otherVersionLeft(ctx context.Context, service, only string) bool {
	r.departures.mu.Lock()
	defer r.departures.mu.Unlock()
	if !r.departures.isRead {
		changes, err := r.Changes.Read(ctx)
		if err != nil {
			r.Log("change history not read", "service", service, "error", err.Error())
			return true
		}
		r.departures.record(changes)
		r.Log("change history read", "changes", len(changes), "removal_unknown", r.departures.unknown)
	}
	if r.departures.unknown {
		return true
	}
	for version := range r.departures.versions[service] {
		if version != only {
			return true
		}
	}
	return false
}

// record takes over the changes. The caller holds mu.
func (d *departures) record(changes []fuchsiaspoke.Publication) {
	d.isRead, d.versions = true, make(map[string]map[string]bool)
	described := make(map[string]bool)
	for _, c := range changes {
		switch {
		case c.Replica != nil && c.Fault == nil:
			described[c.Name] = true
			if d.versions[c.Replica.Service] == nil {
				d.versions[c.Replica.Service] = make(map[string]bool)
			}
			d.versions[c.Replica.Service][c.Replica.SoftwareVersion] = true
		case c.Withdrawn && c.Evacuation == "" && !described[c.Name]:
			d.unknown = true
		}
	}
}
