// Package historian remembers which software versions the replicas of each service had lately.
package historian

import (
	"maps"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// StreamLifetime is the longest time from the beginning of a stream until its caller resumes it for the last time.
const StreamLifetime = 30 * time.Second

// maxGap is the time without an observation after which versions may have come and gone unseen, as while the process was suspended.
const maxGap = 5 * time.Second

// Historian follows what is published. Its zero value is ready to use.
type Historian struct {
	// FirstStart means that no VM of the fleet has run before, so that no stream began before this process.
	FirstStart bool

	mu sync.Mutex
	// knownSince is the time of the first published state with replicas since the last gap, and observedAt that of the last one.
	knownSince time.Duration
	observedAt time.Duration
	last       *fuchsiaspoke.PublishedState
	current    map[fuchsiaspoke.StreamOrigin]bool
	// lastSeen holds by service and software version when a replica was last published with it.
	lastSeen map[string]map[string]time.Duration
}

// Observe records the published state. It is called several times a second.
func (h *Historian) Observe(now time.Duration, p *fuchsiaspoke.PublishedState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p != h.last {
		h.last, h.current = p, make(map[fuchsiaspoke.StreamOrigin]bool)
		for _, r := range p.Replicas {
			h.current[fuchsiaspoke.StreamOrigin{Service: r.Service, SoftwareVersion: r.SoftwareVersion}] = true
		}
	}
	if h.lastSeen == nil {
		h.lastSeen = make(map[string]map[string]time.Duration)
	}
	if h.observedAt > 0 && now-h.observedAt > maxGap {
		h.knownSince, h.FirstStart = 0, false
	}
	h.observedAt = now
	if h.knownSince == 0 && len(h.current) > 0 {
		h.knownSince = now
	}
	for o := range h.current {
		if h.lastSeen[o.Service] == nil {
			h.lastSeen[o.Service] = make(map[string]time.Duration)
		}
		h.lastSeen[o.Service][o.SoftwareVersion] = now
	}
	h.forget(now)
}

// forget removes versions that no stream can have begun at. The caller holds mu.
func (h *Historian) forget(now time.Duration) {
	for service, versions := range h.lastSeen {
		maps.DeleteFunc(versions, func(_ string, at time.Duration) bool { return now-at > StreamLifetime })
		if len(versions) == 0 {
			delete(h.lastSeen, service)
		}
	}
}

// Serves reports whether the service had any replica within StreamLifetime.
func (h *Historian) Serves(now time.Duration, name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.recent(now, name)) > 0
}

// Mixed reports whether the service had several software versions within StreamLifetime.
func (h *Historian) Mixed(now time.Duration, name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.recent(now, name)) > 1
}

// Only returns the only software version that the service had, and whether it is known for StreamLifetime that there was no other.
func (h *Historian) Only(now time.Duration, name string) (version string, certain bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	versions := h.recent(now, name)
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], h.remembers(now)
}

// Remembers reports whether no stream is under way that began before what this historian knows.
func (h *Historian) Remembers(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.remembers(now)
}

// KnownFor returns for how long replicas have been known without a gap.
func (h *Historian) KnownFor(now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.knownSince == 0 {
		return 0
	}
	return now - h.knownSince
}

// remembers is Remembers; the caller holds mu.
func (h *Historian) remembers(now time.Duration) bool {
	return h.FirstStart || h.knownSince > 0 && now-h.knownSince >= StreamLifetime
}

// recent returns the software versions that the service had within StreamLifetime. The caller holds mu.
func (h *Historian) recent(now time.Duration, name string) []string {
	var out []string
	for version, at := range h.lastSeen[name] {
		if now-at <= StreamLifetime {
			out = append(out, version)
		}
	}
	return out
}
