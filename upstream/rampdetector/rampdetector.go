// Package rampdetector decides for which replicas of plain services a rate must be found, as they start, come back or recover: those whose
// service has a warm-up and whose responses state how long work takes.
package rampdetector

import (
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// learnTime is how long after a replica appeared a VM that learns that the service's responses state how long work takes still begins.
const learnTime = 30 * time.Second

type limits interface {
	BeginRamp(r fuchsiaspoke.Replica)
	EndRamp(r fuchsiaspoke.Replica)
	ObserveRamp(r fuchsiaspoke.Replica, o fuchsiaspoke.RampOutcome)
	ObserveRoom(r fuchsiaspoke.Replica, o fuchsiaspoke.RampOutcome)
}

// RampDetector compares what is published with what was. Its exported fields must be set before the first call.
type RampDetector struct {
	Published func() *fuchsiaspoke.PublishedState
	Limits    limits
	Log       func(event string, keysAndValues ...any)
	// Count counts an event by its name.
	Count func(event string)

	mu sync.Mutex
	// known holds the replicas by id; nil before the first state was read.
	known map[string]presence
	// stating holds the services of which a response has stated how long work takes.
	stating map[string]bool
}

// presence is what is known of one replica.
type presence struct {
	incarnation fuchsiaspoke.ReplicaIncarnation
	available   bool
	warmingUp   bool
	// pending is why the replica's rate must be found, since pendingAt; empty if it need not or has begun.
	pending   string
	pendingAt time.Duration
}

// Update decides anew of all published replicas. It must be called several times a second, and reports whether any rate may have to be found.
func (d *RampDetector) Update(now time.Duration) bool {
	p := d.Published()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !hasRamps(p.Contract) {
		d.known, d.stating = nil, nil
		return false
	}
	if len(p.Replicas) == 0 {
		return false
	}
	isFirst := d.known == nil
	next := make(map[string]presence)
	for id, r := range p.Replicas {
		before, wasKnown := d.known[id]
		current := compare(now, p, r, before, wasKnown)
		if isFirst || !ramps(p.Contract, r.Service) {
			current.pending = ""
		}
		if current.pending != "" && d.stating[r.Service] {
			d.begin(now, p, r, current)
			current.pending = ""
		}
		next[id] = current
	}
	// Replicas that are withdrawn are known as not available, so that they begin anew when they are back.
	d.known = next
	return len(d.stating) > 0
}

// compare returns the presence of a replica that is published, with the reason for which its rate must be found.
func compare(now time.Duration, p *fuchsiaspoke.PublishedState, r fuchsiaspoke.Replica, before presence, wasKnown bool) presence {
	current := before
	current.incarnation = r.Incarnation()
	current.available = r.State == fuchsiaspoke.ReplicaReady && !p.Evacuated(r.Zone)
	current.warmingUp = r.WarmUp != nil && !r.WarmUp.Assumed && now < r.WarmUp.At
	if current.pending != "" && now-current.pendingAt > learnTime {
		current.pending = ""
	}
	switch {
	case !current.available:
		current.pending = ""
		return current
	case !wasKnown:
		current.pending = "published"
	case before.incarnation != current.incarnation:
		current.pending = "restarted"
	case !before.available:
		current.pending = "available again"
	case current.warmingUp && !before.warmingUp:
		current.pending = "in warm-up again"
	default:
		return current
	}
	current.pendingAt = now
	return current
}

func (d *RampDetector) begin(now time.Duration, p *fuchsiaspoke.PublishedState, r fuchsiaspoke.Replica, current presence) {
	d.Limits.BeginRamp(r)
	d.Count("replica_ramp_needed")
	d.Log("replica rate must be found", "replica", r.ID, "service", r.Service, "born", r.StartedAtMs, "reason", current.pending,
		"since_ms", (now - current.pendingAt).Milliseconds(), "read_ms_ago", (now - p.ReadAt).Milliseconds())
}

// Observe records the outcome of a request to a replica. load is what its response stated, or nil; a request without a response states nothing.
func (d *RampDetector) Observe(r fuchsiaspoke.Replica, o fuchsiaspoke.RampOutcome, load *fuchsiaspoke.ReplicaLoad) {
	d.Limits.ObserveRoom(r, o)
	if !ramps(d.Published().Contract, r.Service) {
		return
	}
	switch {
	case o.Failed, o.Refused && load == nil:
	case load == nil || !load.HasWorkPercent:
		d.Limits.EndRamp(r)
		return
	default:
		o.Waiting, o.Slots = load.Waiting, load.Slots
		d.learn(r.Service)
	}
	d.Limits.ObserveRamp(r, o)
}

func (d *RampDetector) learn(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stating == nil {
		d.stating = make(map[string]bool)
	}
	d.stating[service] = true
}

// hasRamps reports whether the rate of any service's replicas is found.
func hasRamps(c *fuchsiaspoke.Contract) bool {
	if c == nil {
		return false
	}
	for name := range c.Services {
		if ramps(c, name) {
			return true
		}
	}
	return false
}

// ramps reports whether the rate of a service's replicas is found: it is a plain one and has a warm-up.
func ramps(c *fuchsiaspoke.Contract, service string) bool {
	if c == nil {
		return false
	}
	s := c.Services[service]
	return s.Engine == nil && s.WarmUp.Length > 0
}
