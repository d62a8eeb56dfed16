// Package permitter decides whether this VM may send to a replica now, and if not, from when on. All senders ask it: requests,
// retries, orders and reports.
package permitter

import (
	"maps"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// Permitter knows which replicas drain and which have asked this VM to pause. All fields must be set before the first call.
type Permitter struct {
	Published func() *fuchsiaspoke.PublishedState
	// MarkDraining records that a replica drains; Published then shows it as draining.
	MarkDraining func(fuchsiaspoke.ReplicaIncarnation)
	Clock        func() time.Duration
	Log          func(event string, keysAndValues ...any)
	// Count counts an event by its name.
	Count func(event string)

	mu sync.Mutex
	// pausedUntil ends with a replica's process: another one at its address is not in it.
	pausedUntil map[fuchsiaspoke.ReplicaIncarnation]time.Duration
}

// Observe records what a replica said of itself in a response to this VM.
func (p *Permitter) Observe(r fuchsiaspoke.Replica, n fuchsiaspoke.ReplicaNotice) {
	if n.Fault != nil {
		p.Log("replica notice not usable", "replica", r.ID, "address", r.Address, "error", n.Fault.Error())
	}
	if n.Draining {
		p.MarkDraining(r.Incarnation())
	}
	if n.Pause > 0 {
		p.pause(r, n.Pause)
	}
	if n.Limit != nil {
		p.Count("replica_limit_named")
		p.Log("replica names a limit", "replica", r.ID, "address", r.Address, "per_second", *n.Limit)
	}
}

// pause extends the pause of a replica. It forgets pauses that have ended.
func (p *Permitter) pause(r fuchsiaspoke.Replica, d time.Duration) {
	now := p.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.pausedUntil, func(_ fuchsiaspoke.ReplicaIncarnation, until time.Duration) bool { return until <= now })
	if p.pausedUntil == nil {
		p.pausedUntil = make(map[fuchsiaspoke.ReplicaIncarnation]time.Duration)
	}
	known := p.pausedUntil[r.Incarnation()]
	if known == 0 {
		p.Count("replica_paused")
		p.Log("replica paused", "replica", r.ID, "address", r.Address, "pause_ms", d.Milliseconds())
	}
	p.pausedUntil[r.Incarnation()] = max(known, now+d)
}

// MaySend reports whether this VM may send to the replica now: it is published as ready, has neither restarted nor moved, has not
// reported that it drains, and has not asked this VM to pause.
func (p *Permitter) MaySend(r fuchsiaspoke.Replica) bool {
	return p.isReady(r) && p.Pause(r) == 0
}

func (p *Permitter) isReady(r fuchsiaspoke.Replica) bool {
	for _, current := range p.Published().Replicas {
		if current.ID == r.ID {
			return current.State == fuchsiaspoke.ReplicaReady && current.Address == r.Address && current.StartedAtMs == r.StartedAtMs
		}
	}
	return false
}

// Pause returns how much longer the replica wants no requests from this VM.
func (p *Permitter) Pause(r fuchsiaspoke.Replica) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.pausedUntil[r.Incarnation()]-p.Clock(), 0)
}

// Ready returns the replicas of a service to which this VM may send now, in no particular order.
func (p *Permitter) Ready(service string) []fuchsiaspoke.Replica {
	var out []fuchsiaspoke.Replica
	for _, r := range p.Published().ReadyReplicas(service) {
		if p.Pause(r) == 0 {
			out = append(out, r)
		}
	}
	return out
}

// ResumesIn returns the time until the first replica of a service ends its pause; 0 if this VM may send to one now, or if none is
// ready.
func (p *Permitter) ResumesIn(service string) time.Duration {
	soonest := time.Duration(0)
	for _, r := range p.Published().ReadyReplicas(service) {
		pause := p.Pause(r)
		if pause == 0 {
			return 0
		}
		if soonest == 0 || pause < soonest {
			soonest = pause
		}
	}
	return soonest
}
