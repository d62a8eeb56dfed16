// Package permitter decides whether this VM may send to a replica now, and if not, from when on. All senders ask it: requests,
// retries, orders and reports.
//
// Limits of requests that replicas name hold for requests alone: orders and reports are few, and an engine's owner must follow its state.
package permitter

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// limits keeps the limits that replicas name, for all VMs together.
type limits interface {
	Name(r fuchsiaspoke.Replica, perSecond float64)
	// NameBrittle records that a replica of the service is brittle.
	NameBrittle(service string)
	End(r fuchsiaspoke.Replica, sentAt time.Duration)
	Limited(i fuchsiaspoke.ReplicaIncarnation) bool
	// Take asks for the right to send one request; wait is the time until this VM may ask again.
	Take(ctx context.Context, i fuchsiaspoke.ReplicaIncarnation) (granted bool, wait time.Duration)
}

// warmUps decides which replicas are in warm-up, and restricts them in limits.
type warmUps interface {
	// Check decides anew of a published replica before a request is sent to it.
	Check(now time.Duration, r fuchsiaspoke.Replica)
	// Observe records that a replica stated how much longer it is in warm-up.
	Observe(now time.Duration, r fuchsiaspoke.Replica, remaining time.Duration)
}

// Permitter knows which replicas drain, which have asked this VM to pause and which have a limit. All exported fields must be set before
// the first call.
type Permitter struct {
	Published func() *fuchsiaspoke.PublishedState
	// MarkDraining records that a replica drains; Published then shows it as draining.
	MarkDraining func(fuchsiaspoke.ReplicaIncarnation)
	Limits       limits
	// WarmUps is nil where no replica has a warm-up.
	WarmUps warmUps
	Clock   func() time.Duration
	Log     func(event string, keysAndValues ...any)
	// Count counts an event by its name.
	Count func(event string)

	mu sync.Mutex
	// pausedUntil ends with a replica's process: another one at its address is not in it.
	pausedUntil map[fuchsiaspoke.ReplicaIncarnation]time.Duration
	// deniedUntil is when this VM may ask again for the right to send a request to a limited replica.
	deniedUntil map[fuchsiaspoke.ReplicaIncarnation]time.Duration
}

// ObserveAnswer records what a replica said of itself in the response to a request that was sent at a time.
func (p *Permitter) ObserveAnswer(r fuchsiaspoke.Replica, n fuchsiaspoke.ReplicaNotice, sentAt time.Duration) {
	p.Observe(r, n)
	if n.Limit == nil && !n.LimitUnreadable {
		p.Limits.End(r, sentAt)
	}
}

// Observe records what a replica said of itself in a response to this VM, which may be that to an order or a report call: those need not
// name a limit.
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
		p.Limits.Name(r, *n.Limit)
	}
	if n.Brittle {
		p.Limits.NameBrittle(r.Service)
	}
	if n.WarmUp > 0 && p.WarmUps != nil {
		p.WarmUps.Observe(p.Clock(), r, n.WarmUp)
	}
}

// pause extends the pause of a replica.
func (p *Permitter) pause(r fuchsiaspoke.Replica, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until(p.pausedUntil, r) <= p.Clock() {
		p.Count("replica_paused")
		p.Log("replica paused", "replica", r.ID, "address", r.Address, "pause_ms", d.Milliseconds())
	}
	extend(&p.pausedUntil, r, p.Clock(), d)
}

// extend has a time in times last for d at least. It forgets those that have ended.
func extend(times *map[fuchsiaspoke.ReplicaIncarnation]time.Duration, r fuchsiaspoke.Replica, now, d time.Duration) {
	maps.DeleteFunc(*times, func(_ fuchsiaspoke.ReplicaIncarnation, until time.Duration) bool { return until <= now })
	if *times == nil {
		*times = make(map[fuchsiaspoke.ReplicaIncarnation]time.Duration)
	}
	(*times)[r.Incarnation()] = max(until(*times, r), now+d)
}

func until(times map[fuchsiaspoke.ReplicaIncarnation]time.Duration, r fuchsiaspoke.Replica) time.Duration {
	return times[r.Incarnation()]
}

// MaySend reports whether this VM may send to the replica now: it is published as ready, has neither restarted nor moved, has not
// reported that it drains, has not asked this VM to pause, and its limit has not kept a request of this VM back a moment ago. Its
// availability zone is not evacuated.
func (p *Permitter) MaySend(r fuchsiaspoke.Replica) bool {
	return p.isReady(r) && !p.isEvacuated(r) && p.wait(r) == 0
}

// MayCall reports whether this VM may send reports and orders to the replica now, for which its limit does not count. Reports go to
// evacuated zones too, since the owner of an engine there may change.
func (p *Permitter) MayCall(r fuchsiaspoke.Replica) bool {
	return p.isReady(r) && p.Pause(r) == 0
}

// Take reports whether this VM may send one request to the replica now. If the replica has a limit, that uses a part of it.
func (p *Permitter) Take(ctx context.Context, r fuchsiaspoke.Replica) bool {
	current, ready := p.ready(r)
	if !ready || p.wait(r) > 0 {
		return false
	}
	if current.WarmUp != nil && p.WarmUps != nil {
		p.WarmUps.Check(p.Clock(), current)
	}
	granted, wait := p.Limits.Take(ctx, r.Incarnation())
	if !granted {
		p.mu.Lock()
		defer p.mu.Unlock()
		extend(&p.deniedUntil, r, p.Clock(), wait)
	}
	// The evacuation of the zone may have become known while the token was requested.
	return granted && !p.isEvacuated(r)
}

func (p *Permitter) isEvacuated(r fuchsiaspoke.Replica) bool { return p.Published().Evacuated(r.Zone) }

// LimitWait returns how much longer the replica's limit keeps back requests of this VM, as far as it is known.
func (p *Permitter) LimitWait(r fuchsiaspoke.Replica) time.Duration {
	p.mu.Lock()
	wait := max(until(p.deniedUntil, r)-p.Clock(), 0)
	p.mu.Unlock()
	if wait > 0 && !p.Limits.Limited(r.Incarnation()) {
		return 0
	}
	return wait
}

// AnyLimitReached reports whether the limit of any replica has kept back requests of this VM lately.
func (p *Permitter) AnyLimitReached() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.deniedUntil) > 0
}

// wait returns how much longer this VM may send no request to the replica.
func (p *Permitter) wait(r fuchsiaspoke.Replica) time.Duration {
	return max(p.Pause(r), p.LimitWait(r))
}

func (p *Permitter) isReady(r fuchsiaspoke.Replica) bool {
	_, ready := p.ready(r)
	return ready
}

// ready returns the replica as it is published now, and whether that is as ready, at the same address and with the same process.
func (p *Permitter) ready(r fuchsiaspoke.Replica) (current fuchsiaspoke.Replica, ready bool) {
	for _, current := range p.Published().Replicas {
		if current.ID == r.ID {
			return current, current.State == fuchsiaspoke.ReplicaReady && current.Address == r.Address && current.StartedAtMs == r.StartedAtMs
		}
	}
	return fuchsiaspoke.Replica{}, false
}

// Pause returns how much longer the replica wants no requests from this VM.
func (p *Permitter) Pause(r fuchsiaspoke.Replica) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(until(p.pausedUntil, r)-p.Clock(), 0)
}

// Ready returns the replicas of a service to which this VM may send now, in no particular order.
func (p *Permitter) Ready(service string) []fuchsiaspoke.Replica {
	var out []fuchsiaspoke.Replica
	for _, r := range p.Published().ReadyReplicas(service) {
		if p.wait(r) == 0 {
			out = append(out, r)
		}
	}
	return out
}

// ResumesIn returns the time until the first replica of a service takes requests of this VM again; 0 if this VM may send to one now, or if
// none is ready.
func (p *Permitter) ResumesIn(service string) time.Duration {
	return p.SoonestOf(p.Published().ReadyReplicas(service))
}

// SoonestOf returns the time until the first of the replicas takes requests of this VM again; 0 if this VM may send to one now, or if there
// is none.
func (p *Permitter) SoonestOf(replicas []fuchsiaspoke.Replica) time.Duration {
	soonest := time.Duration(0)
	for _, r := range replicas {
		wait := p.wait(r)
		if wait == 0 {
			return 0
		}
		if soonest == 0 || wait < soonest {
			soonest = wait
		}
	}
	return soonest
}
