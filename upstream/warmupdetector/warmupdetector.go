// Package warmupdetector decides which replicas are in warm-up, from what is published of them and what they state in responses.
package warmupdetector

import (
	"math"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/pacer"
)

const (
	// maxUpdateGap is the time between two updates above which this VM was suspended, so that what it knows may be out of date.
	maxUpdateGap = time.Second
	// unlimited is the end of a restriction that this package ends.
	unlimited = time.Duration(math.MaxInt64)
)

// limits restricts the rates of replicas.
type limits interface {
	// Restrict limits a replica for a source to a number of requests per second over all VMs, until a time on this VM's clock. A time
	// that has passed ends the restriction.
	Restrict(r fuchsiaspoke.Replica, s pacer.Source, perSecond float64, until time.Duration)
}

// WarmupDetector restricts replicas while they are in warm-up. Its exported fields must be set before the first call.
type WarmupDetector struct {
	Published func() *fuchsiaspoke.PublishedState
	Limits    limits
	Log       func(event string, keysAndValues ...any)
	// Count counts an event by its name.
	Count func(event string)

	mu sync.Mutex
	// known holds the replicas that are in warm-up, or have stated in a response that they are.
	known map[fuchsiaspoke.ReplicaIncarnation]*warmUp
	// updatedAt is the time of the last update, and resumedAt that of the first one after the last suspension of this VM.
	updatedAt time.Duration
	resumedAt time.Duration
}

// warmUp is the warm-up of one replica.
type warmUp struct {
	replica fuchsiaspoke.Replica
	// perSecond is the rate to which the replica is restricted, in requests per second; 0 while it is not.
	perSecond float64
	// statedEnd is the latest end by what the replica stated in responses.
	statedEnd time.Duration
}

// Update decides anew of all published replicas. It must be called several times a second, and reports whether any service has a warm-up.
func (d *WarmupDetector) Update(now time.Duration) bool {
	p := d.Published()
	active := hasWarmUps(p.Contract)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeTime(now)
	if !active && len(d.known) == 0 {
		return false
	}
	present := make(map[fuchsiaspoke.ReplicaIncarnation]bool)
	for _, r := range p.Replicas {
		i := r.Incarnation()
		if r.WarmUp != nil || d.known[i] != nil {
			present[i] = true
			d.decide(now, p, r)
		}
	}
	for i, w := range d.known {
		if !present[i] {
			d.end(now, w, "replica is not published any more")
			delete(d.known, i)
		}
	}
	return active
}

// Check decides anew of one replica before a request is sent to it; r is the replica as it is published.
func (d *WarmupDetector) Check(now time.Duration, r fuchsiaspoke.Replica) {
	if r.WarmUp == nil {
		return
	}
	p := d.Published()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeTime(now)
	d.decide(now, p, r)
}

// Observe records that a replica stated in a response how much longer it is in warm-up. A response can lengthen a warm-up and never ends
// it, as it may be older than the entry.
func (d *WarmupDetector) Observe(now time.Duration, r fuchsiaspoke.Replica, remaining time.Duration) {
	p := d.Published()
	if remaining <= 0 || p.Contract == nil || !p.Contract.Services[r.Service].WarmUp.Limits() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeTime(now)
	w := d.warmUp(r)
	w.statedEnd = max(w.statedEnd, now+remaining)
	d.decide(now, p, r)
}

// observeTime records the time of an update or check, and whether this VM was suspended before it.
func (d *WarmupDetector) observeTime(now time.Duration) {
	if d.updatedAt > 0 && now-d.updatedAt > maxUpdateGap {
		d.resumedAt = now
		if len(d.known) > 0 {
			d.Log("warm-ups are kept until the published state is read again", "replicas", len(d.known), "gap_ms", (now - d.updatedAt).Milliseconds())
		}
	}
	d.updatedAt = max(d.updatedAt, now)
}

func hasWarmUps(c *fuchsiaspoke.Contract) bool {
	if c == nil {
		return false
	}
	for _, s := range c.Services {
		if s.WarmUp.Limits() {
			return true
		}
	}
	return false
}

// warmUp returns the state of a replica's warm-up, and adds it to known if it is missing.
func (d *WarmupDetector) warmUp(r fuchsiaspoke.Replica) *warmUp {
	w := d.known[r.Incarnation()]
	if w == nil {
		if d.known == nil {
			d.known = make(map[fuchsiaspoke.ReplicaIncarnation]*warmUp)
		}
		w = &warmUp{replica: r}
		d.known[r.Incarnation()] = w
	}
	return w
}

// decide restricts a replica that is in warm-up, and ends the restriction of one that is not.
func (d *WarmupDetector) decide(now time.Duration, p *fuchsiaspoke.PublishedState, r fuchsiaspoke.Replica) {
	var service fuchsiaspoke.WarmUp
	if p.Contract != nil {
		service = p.Contract.Services[r.Service].WarmUp
	}
	w := d.known[r.Incarnation()]
	if !service.Limits() {
		if w != nil {
			d.end(now, w, "service has no warm-up any more")
			delete(d.known, r.Incarnation())
		}
		return
	}
	end := r.WarmUp.Ends(service.Length)
	if w != nil {
		end = max(end, w.statedEnd)
	}
	switch {
	case now < end:
		d.begin(now, p, d.warmUp(r), service.PerSecond, end, r.WarmUp)
	case w == nil:
	case p.ReadAt < d.resumedAt && now < d.resumedAt+service.Length:
		// The state is from before a suspension of this VM, in which the replica may have begun another warm-up. It would be over by now
		// had the suspension ended a warm-up's length ago.
	default:
		d.end(now, w, "time is over")
		delete(d.known, r.Incarnation())
	}
}

// begin restricts a replica to perSecond requests per second, unless it already is. end is the expected end of the warm-up, for the log.
func (d *WarmupDetector) begin(now time.Duration, p *fuchsiaspoke.PublishedState, w *warmUp, perSecond float64, end time.Duration, entry *fuchsiaspoke.ReplicaWarmUp) {
	if w.perSecond == perSecond {
		return
	}
	w.perSecond = perSecond
	d.Limits.Restrict(w.replica, pacer.WarmUp, perSecond, unlimited)
	source := "response"
	switch {
	case entry != nil && entry.Assumed && end != w.statedEnd:
		source = "assumed"
	case entry != nil && end != w.statedEnd:
		source = "entry"
	}
	d.Count("replica_warm_up_began")
	d.Log("replica in warm-up", "replica", w.replica.ID, "service", w.replica.Service, "born", w.replica.StartedAtMs, "per_second", perSecond,
		"remaining_ms", (end - now).Milliseconds(), "from", source, "read_ms_ago", (now - p.ReadAt).Milliseconds())
}

// end ends the restriction of a replica, if there is one.
func (d *WarmupDetector) end(now time.Duration, w *warmUp, reason string) {
	if w.perSecond == 0 {
		return
	}
	d.Limits.Restrict(w.replica, pacer.WarmUp, 0, 0)
	d.Count("replica_warm_up_ended")
	d.Log("replica warm-up over", "replica", w.replica.ID, "service", w.replica.Service, "reason", reason,
		"read_ms_ago", (now - d.Published().ReadAt).Milliseconds())
}
