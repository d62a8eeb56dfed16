// Package rampgranter grants tokens of replicas that start or recover, at the rates that their rampers find.
//
// One VM grants the tokens of a replica, which the caller chooses. It is made for some 100 replicas at once and 1,000 requests per second each.
package rampgranter

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/ramper"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

const (
	// savedTime is the time whose tokens may be saved: VMs that were denied one ask again after minWait, and two tokens, as in warm-up, would
	// leave tokens unused above 40 a second.
	savedTime = 100 * time.Millisecond
	minSaved  = 1
	// minWait and maxWait bound the time that a VM waits before it asks again: what it saw comes with that request.
	minWait = 50 * time.Millisecond
	maxWait = 250 * time.Millisecond
	// asksPerToken is how often VMs that compete for tokens ask while one is filled in.
	asksPerToken = 4
	// minPerSecond bounds the rate by which that time is computed.
	minPerSecond = 0.25
	// cautionTime is how long a VM that takes over leaves room for the granter before it, which may not know yet, and cautionShare the share of
	// the rate that it grants meanwhile: both together stay within 1.3 times the rate.
	cautionTime  = 1200 * time.Millisecond
	cautionShare = 0.3
	// beginTime is the time after a replica began within which no other VM has found a rate for it.
	beginTime = time.Second
	// learnTime is how much later than others a VM may learn that a replica has started.
	learnTime = 5 * time.Second
	// staleTime is how much later the rate of another VM must have been used for this VM to have lost the replica meanwhile.
	staleTime = time.Second
	// rateRetention is how long a rate in heartbeats is of use: longer than any change of granters takes.
	rateRetention = 5 * time.Second
	// freeRetention is how long heartbeats repeat that a replica is free.
	freeRetention = time.Minute
	// maxReported bounds the rates in one heartbeat, which is one datagram.
	maxReported = 8
	// maxReplicas bounds the replicas that are known from heartbeats.
	maxReplicas = 1024
)

// RampGranter decides and grants. Its exported fields must be set before the first call.
type RampGranter struct {
	// Name returns the id of a replica for logs.
	Name func(process uint64) string
	Log  func(event string, keysAndValues ...any)
	// Count counts an event by its name.
	Count func(event string)

	mu       sync.Mutex
	replicas map[uint64]*replica
	reported int
}

// replica is what is known of one replica.
type replica struct {
	// begun is whether this VM saw the replica start or recover, at beganAt.
	begun   bool
	beganAt time.Duration
	// ramper is nil while this VM has granted no token. usedAt is the time of the last request for one.
	ramper        *ramper.Ramper
	startedAt     time.Duration
	usedAt        time.Duration
	cautiousUntil time.Duration
	tokens        float64
	filledAt      time.Duration
	askers        map[string]time.Duration
	// heard is the latest rate of another VM, used at heardAt on this VM's clock.
	heard   *fuchsiaspoke.RampRate
	heardAt time.Duration
	freed   bool
	freedAt time.Duration
}

// Begin records that a replica starts or recovers. What was known of its rate is dropped, unless other VMs have begun shortly before.
func (g *RampGranter) Begin(now time.Duration, process uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replica(process)
	if !r.freed && (r.ramper != nil && now-r.startedAt <= learnTime || r.heard != nil && now-r.heardAt <= learnTime) {
		r.begun, r.beganAt = true, min(now, r.startedAt)
		return
	}
	*r = replica{begun: true, beganAt: now}
}

// Limited reports whether tokens are needed for a replica, as far as this VM knows by itself or from heartbeats.
func (g *RampGranter) Limited(now time.Duration, process uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replicas[process]
	return r != nil && !r.freed && (r.begun || r.isHeard(now))
}

// Since returns the time in milliseconds since the replica began, or the largest number if this VM did not see that.
func (g *RampGranter) Since(now time.Duration, process uint64) uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.replicas[process]; r != nil && r.begun {
		return fuchsiaspoke.Milliseconds(now - r.beganAt)
	}
	return math.MaxUint32
}

// Free records that a replica needs no limit any more, and from where that is known.
func (g *RampGranter) Free(now time.Duration, process uint64, from string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.replicas[process]; r != nil {
		g.free(now, process, r, from)
	}
}

// Retain forgets the replicas that are not published any more.
func (g *RampGranter) Retain(published func(process uint64) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.replicas, func(process uint64, _ *replica) bool { return !published(process) })
}

func (g *RampGranter) replica(process uint64) *replica {
	if g.replicas == nil {
		g.replicas = make(map[uint64]*replica)
	}
	r := g.replicas[process]
	if r == nil {
		r = &replica{}
		g.replicas[process] = r
	}
	return r
}

// Check decides whether a VM that reports what it saw since its last request may send one request now. share is the part of the rate that this
// VM may grant. A request that is sent is recorded by Spend.
func (g *RampGranter) Check(now time.Duration, process uint64, vm string, report fuchsiaspoke.RampReport, share float64) fuchsiaspoke.RampDecision {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replica(process)
	if r.freed {
		return fuchsiaspoke.RampDecision{Granted: true, Free: true}
	}
	if !r.begun && report.SinceMs < math.MaxUint32 {
		r.begun, r.beganAt = true, now-time.Duration(report.SinceMs)*time.Millisecond
	}
	g.prepare(now, process, r)
	for _, o := range report.Outcomes {
		r.ramper.Observe(now, outcome(now, o))
	}
	limit := r.ramper.Limit(now)
	r.usedAt = now
	if limit.Free {
		g.free(now, process, r, "responses")
		return fuchsiaspoke.RampDecision{Granted: true, Free: true, PerSecond: limit.PerSecond}
	}
	wait := r.check(now, limit.PerSecond, share, vm)
	return fuchsiaspoke.RampDecision{Granted: wait == 0, Wait: wait, PerSecond: limit.PerSecond}
}

// Spend records that a request is sent to a replica.
func (g *RampGranter) Spend(now time.Duration, process uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.replicas[process]; r != nil && r.ramper != nil {
		r.ramper.Send(now)
		r.tokens = max(r.tokens-1, -minSaved)
	}
}

func outcome(now time.Duration, o fuchsiaspoke.RampOutcomeReport) fuchsiaspoke.RampOutcome {
	return fuchsiaspoke.RampOutcome{
		SentAt: now - time.Duration(o.AgeMs)*time.Millisecond, Took: time.Duration(o.TookUs) * time.Microsecond, Refused: o.Refused, Failed: o.Failed,
		Waiting: int(o.Waiting), Slots: int(o.Slots),
	}
}

func (r *replica) isHeard(now time.Duration) bool {
	return r.heard != nil && now-r.heardAt <= rateRetention
}

// prepare begins to grant, or takes over from a VM whose rate is known.
func (g *RampGranter) prepare(now time.Duration, process uint64, r *replica) {
	isHeard := r.isHeard(now)
	if r.ramper != nil && (!isHeard || r.heardAt-r.usedAt < staleTime) {
		return
	}
	r.ramper, r.startedAt, r.tokens, r.filledAt, r.askers = &ramper.Ramper{}, now, 0, now, nil
	from, isFirst := "start", r.begun && now-r.beganAt <= beginTime
	if isHeard {
		r.ramper.Resume(now, r.heard.PerSecond)
		from = "heartbeat"
	}
	if !isFirst || isHeard {
		r.cautiousUntil = now + cautionTime
	}
	g.Count("replica_ramp_began")
	g.Log("replica rate begins", "replica", g.Name(process), "per_second", r.ramper.Limit(now).PerSecond, "from", from,
		"cautious", now < r.cautiousUntil, "heard_ms_ago", fuchsiaspoke.Milliseconds(now-r.heardAt))
}

// check fills the bucket and returns 0 if it holds a token, or the time after which the VM may ask again.
func (r *replica) check(now time.Duration, perSecond, share float64, vm string) time.Duration {
	perSecond *= share
	saved := max(minSaved, perSecond*savedTime.Seconds())
	if now < r.cautiousUntil {
		perSecond, saved = perSecond*cautionShare, minSaved
	}
	r.tokens = min(r.tokens+max(now-r.filledAt, 0).Seconds()*perSecond, saved)
	r.filledAt = now
	if r.tokens >= 1 && share > 0 {
		return 0
	}
	maps.DeleteFunc(r.askers, func(_ string, at time.Duration) bool { return now-at > maxWait })
	if r.askers == nil {
		r.askers = make(map[string]time.Duration)
	}
	r.askers[vm] = now
	seconds := float64(len(r.askers)) / max(perSecond, minPerSecond) / asksPerToken * variation(vm, now)
	return min(max(time.Duration(seconds*float64(time.Second)), minWait), maxWait)
}

// variation returns a number from 0.5 to 1.5 that differs between VMs and times, so that VMs do not ask at once.
func variation(vm string, now time.Duration) float64 {
	return 0.5 + float64(ranker.Weight(vm, strconv.FormatInt(int64(now), 10)))/math.MaxUint64
}

func (g *RampGranter) free(now time.Duration, process uint64, r *replica, from string) {
	if r.freed {
		return
	}
	r.freed, r.freedAt, r.ramper, r.askers = true, now, nil, nil
	g.Count("replica_ramp_ended")
	g.Log("replica needs no limit any more", "replica", g.Name(process), "from", from)
}

// Merge records what another VM reports in a heartbeat.
func (g *RampGranter) Merge(now time.Duration, rates []fuchsiaspoke.RampRate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, one := range rates {
		if g.replicas[one.Process] == nil && len(g.replicas) >= maxReplicas {
			continue
		}
		r, at := g.replica(one.Process), now-time.Duration(one.AgeMs)*time.Millisecond
		switch {
		case r.freed || r.begun && at < r.beganAt:
			// What was found before the replica began anew says nothing of it now.
		case one.Free:
			g.free(at, one.Process, r, "heartbeat")
		case r.heard == nil || at > r.heardAt:
			r.heard, r.heardAt = &one, at
		}
	}
}

// Rates returns the rates for the next heartbeat: those that this VM uses and those that it has heard. If there are more than fit, they are
// named in turn.
func (g *RampGranter) Rates(now time.Duration) []fuchsiaspoke.RampRate {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []fuchsiaspoke.RampRate
	for process, r := range g.replicas {
		if one, known := r.latest(now); known {
			one.Process = process
			out = append(out, one)
		}
	}
	if len(out) == 0 {
		return nil
	}
	g.reported++
	slices.SortFunc(out, func(a, b fuchsiaspoke.RampRate) int { return cmp.Compare(a.Process, b.Process) })
	return fuchsiaspoke.InTurn(out, g.reported, maxReported)
}

func (r *replica) latest(now time.Duration) (fuchsiaspoke.RampRate, bool) {
	switch {
	case r.freed:
		return fuchsiaspoke.RampRate{Free: true, AgeMs: fuchsiaspoke.Milliseconds(now - r.freedAt)}, now-r.freedAt <= freeRetention
	case r.ramper != nil && (r.heard == nil || r.usedAt >= r.heardAt) && now-r.usedAt <= rateRetention:
		return fuchsiaspoke.RampRate{PerSecond: r.ramper.Limit(now).PerSecond, AgeMs: fuchsiaspoke.Milliseconds(now - r.usedAt)}, true
	case r.heard != nil && now-r.heardAt <= rateRetention:
		return fuchsiaspoke.RampRate{PerSecond: r.heard.PerSecond, AgeMs: fuchsiaspoke.Milliseconds(now - r.heardAt)}, true
	}
	return fuchsiaspoke.RampRate{}, false
}
