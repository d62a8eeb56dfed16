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
	// versions holds the software versions by service that the history names, and left the replicas by publication name that have left.
	versions map[string]map[string]bool
	left     map[string]fuchsiaspoke.Replica
	// unknown means that an entry was removed of which the history names nothing else.
	unknown bool
}

// otherVersionLeft reports whether the service may have had another software version than only before this process started: the history names
// one, an entry of which nothing is known was removed, or the history can't be read.
func (r *Registrar) otherVersionLeft(ctx context.Context, service, only string) bool {
	r.departures.mu.Lock()
	defer r.departures.mu.Unlock()
	if !r.readDepartures(ctx, service) {
		return true
	}
	for version := range r.departures.versions[service] {
		if version != only {
			return true
		}
	}
	return false
}

// departed returns the replicas of the service that left before this process started, and whether all are known.
func (r *Registrar) departed(ctx context.Context, service string) (left []fuchsiaspoke.Replica, known bool) {
	r.departures.mu.Lock()
	defer r.departures.mu.Unlock()
	if !r.readDepartures(ctx, service) {
		return nil, false
	}
	for _, replica := range r.departures.left {
		if replica.Service == service {
			left = append(left, replica)
		}
	}
	return left, true
}

// readDepartures reads the history, unless that was done, and reports whether it tells of each replica that left. The caller holds the lock of
// departures.
func (r *Registrar) readDepartures(ctx context.Context, service string) bool {
	if !r.departures.isRead {
		changes, err := r.Changes.Read(ctx)
		if err != nil {
			r.Log("change history not read", "service", service, "error", err.Error())
			return false
		}
		r.departures.record(changes)
		r.Log("change history read", "changes", len(changes), "removal_unknown", r.departures.unknown)
	}
	return !r.departures.unknown
}

// record takes over the changes. The caller holds mu.
func (d *departures) record(changes []fuchsiaspoke.Publication) {
	d.isRead, d.versions, d.left = true, make(map[string]map[string]bool), make(map[string]fuchsiaspoke.Replica)
	described := make(map[string]fuchsiaspoke.Replica)
	for _, c := range changes {
		before, known := described[c.Name]
		switch {
		case c.Replica != nil && c.Fault == nil:
			described[c.Name] = *c.Replica
			delete(d.left, c.Name)
			if d.versions[c.Replica.Service] == nil {
				d.versions[c.Replica.Service] = make(map[string]bool)
			}
			d.versions[c.Replica.Service][c.Replica.SoftwareVersion] = true
		case c.Withdrawn && c.Evacuation == "" && !known:
			d.unknown = true
		case c.Withdrawn && c.Evacuation == "":
			d.left[c.Name] = before
		}
	}
}
