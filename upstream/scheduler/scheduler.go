// Package scheduler decides, for one engine, what waits, what starts, what is refused, and which adapter is loaded next.
//
// It answers demand that exceeds the engine's places and its speed of reading prompts: urgent work first, then what can
// still be on time, then what is late; what can't be served is refused when it comes.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// startWindow bounds the prompts that an engine has been given and not read, in reading time; half of a usual prompt.
	startWindow = 150 * time.Millisecond
	// firstEvent is the least time from the end of a prompt to the first event: one step of the engine and the way back.
	firstEvent = 60 * time.Millisecond
	// initialSpeed is the reading speed that is assumed at first, in tokens a millisecond.
	initialSpeed = 36.0
	// cacheShare is the part of an engine's memory that granted requests may fill.
	cacheShare = 0.92
	// maxComing is the number of adapters on their way that an engine accepts.
	maxComing = 4
	// coldLoad and warmLoad are the first estimates for adapters from the weight store and for those held lately.
	coldLoad = 260 * time.Millisecond
	warmLoad = 30 * time.Millisecond
	// placeTurn is the first estimate of how long an adapter in use keeps its place.
	placeTurn = 1200 * time.Millisecond
	// servable is the part of the time left within which the first event must be predicted for work to be taken on.
	servable = 0.6
	// replaceAfter is how long a replaced version may still be in use before the new one is ordered all the same.
	replaceAfter = time.Second
)

// Scheduler is the state of one engine; its methods take the time since the process started and do no input or output.
type Scheduler struct {
	Limits fuchsiaspoke.EngineLimits

	waiting []*ask
	runs    map[string]*run
	places  map[string]*place
	prompts promptMemory
	// lately is when an adapter was last held.
	lately   map[string]time.Duration
	starting int64
	// speed is the reading speed in tokens a millisecond.
	speed float64
	// coldTime and warmTime are the usual times of loads from the weight store, and of adapters held lately.
	coldTime time.Duration
	warmTime time.Duration
	// lastFirst is when the last first event came, since when the engine read for the next request.
	lastFirst time.Duration
}

type ask struct {
	fuchsiaspoke.EngineAsk
	came     time.Duration
	due      time.Duration
	deadline time.Duration
	unread   int64
}

type run struct {
	demand  fuchsiaspoke.Demand
	unread  int64
	since   time.Duration
	started bool
}

type placeState int

const (
	resident placeState = iota
	coming
	leaving
)

type place struct {
	state   placeState
	version int64
	inUse   int
	used    time.Duration
	since   time.Duration
	ready   time.Duration
	warm    bool
	// stale is since when a newer version is known; 0 while there is none.
	stale  time.Duration
	newest int64
}

// Offer takes an ask on, with the predicted time to its first event, or refuses it with a time to come back. An ask for which
// that wait is too long isn't taken on either, and isn't refused: another engine may be faster.
func (s *Scheduler) Offer(now time.Duration, e fuchsiaspoke.EngineAsk) (time.Duration, *fuchsiaspoke.Refusal) {
	s.init()
	a := &ask{EngineAsk: e, came: now, due: now + e.DueIn, deadline: now + e.LeftIn, unread: s.prompts.unread(e.Demand)}
	wait := s.predict(now, a)
	if e.Slower(wait) {
		return wait, nil
	}
	if limit := time.Duration(float64(e.LeftIn) * servable); wait > max(limit, e.DueIn) || wait > e.LeftIn {
		return wait, overloaded(wait - e.DueIn/2)
	}
	s.waiting = append(s.waiting, a)
	return wait, nil
}

// Cancel takes back an ask that waits, or a granted one that ended; it reports whether it was known.
func (s *Scheduler) Cancel(now time.Duration, id string) bool {
	for i, a := range s.waiting {
		if a.ID == id {
			s.waiting = slices.Delete(s.waiting, i, i+1)
			return true
		}
	}
	r := s.runs[id]
	if r == nil {
		return false
	}
	s.started(r)
	delete(s.runs, id)
	if p := s.places[r.demand.Adapter]; p != nil {
		p.inUse = max(p.inUse-1, 0)
		p.used = now
	}
	return true
}

// First notes that the first event of a granted request came, so its prompt was read.
func (s *Scheduler) First(now time.Duration, id string) {
	r := s.runs[id]
	if r == nil || r.started {
		return
	}
	s.learnSpeed(now, r)
	s.started(r)
	s.prompts.add(r.demand, now)
}

// started takes the run's prompt off what the engine has still to read.
func (s *Scheduler) started(r *run) {
	if r.started {
		return
	}
	r.started = true
	s.starting -= r.unread
}

// learnSpeed follows the engine's reading speed from requests that were alone or behind others all the while.
func (s *Scheduler) learnSpeed(now time.Duration, r *run) {
	began := max(r.since, s.lastFirst)
	s.lastFirst = now
	took := now - began - firstEvent/2
	if r.unread < 500 || took < time.Millisecond {
		return
	}
	seen := float64(r.unread) / float64(took.Milliseconds()+1)
	const weight = 0.1
	s.speed += weight * (min(seen, 2*s.speed) - s.speed)
	s.speed = max(s.speed, 2)
}

// Granted is one ask whose request may be sent now.
type Granted struct {
	ID      string
	Version int64
	Wait    time.Duration
}

// Start returns the asks that may be sent now, in order.
func (s *Scheduler) Start(now time.Duration) []Granted {
	s.init()
	s.order(now)
	var out []Granted
	kept := s.waiting[:0]
	full := false
	for _, a := range s.waiting {
		p, ready := s.readyPlace(a.Demand.Adapter)
		if full || !ready || !s.fits(a) {
			full = full || ready
			kept = append(kept, a)
			continue
		}
		out = append(out, s.grant(now, a, p))
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	return out
}

// Expired is an ask that waited until it can no longer be served.
type Expired struct {
	ID      string
	Refusal *fuchsiaspoke.Refusal
}

// Expire takes back the asks that can't be served before their callers leave, even if they were next.
func (s *Scheduler) Expire(now time.Duration) []Expired {
	var out []Expired
	s.waiting = slices.DeleteFunc(s.waiting, func(a *ask) bool {
		least := s.readTime(a.unread) + firstEvent
		if _, ready := s.readyPlace(a.Demand.Adapter); !ready {
			least += s.warmTime
		}
		if now+least <= a.deadline {
			return false
		}
		out = append(out, Expired{ID: a.ID, Refusal: overloaded(least)})
		return true
	})
	return out
}

func (s *Scheduler) grant(now time.Duration, a *ask, p *place) Granted {
	a.unread = s.prompts.unread(a.Demand)
	g := Granted{ID: a.ID, Wait: s.readTime(s.starting+a.unread) + firstEvent}
	s.runs[a.ID] = &run{demand: a.Demand, unread: a.unread, since: now}
	s.starting += a.unread
	if p != nil {
		p.inUse++
		p.used = now
		g.Version = p.version
	}
	return g
}

func (s *Scheduler) readyPlace(adapter string) (*place, bool) {
	if adapter == "" {
		return nil, true
	}
	p := s.places[adapter]
	if p == nil || p.state != resident || p.newest > p.version {
		return nil, false
	}
	return p, true
}

func (s *Scheduler) fits(a *ask) bool {
	if len(s.runs) >= s.Limits.Batch {
		return false
	}
	used := a.Demand.Tokens()
	for _, r := range s.runs {
		used += r.demand.Tokens()
	}
	if s.Limits.CacheTokens > 0 && len(s.runs) > 0 && float64(used) > cacheShare*float64(s.Limits.CacheTokens) {
		return false
	}
	return s.starting == 0 || s.readTime(s.starting+a.unread) <= max(startWindow, s.readTime(a.unread)+startWindow/2)
}

func (s *Scheduler) readTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / s.speed * float64(time.Millisecond))
}

// order sorts what waits: what can be on time before what is late, then urgency, then what is due first.
func (s *Scheduler) order(now time.Duration) {
	slices.SortStableFunc(s.waiting, func(a, b *ask) int {
		return cmp.Or(
			cmp.Compare(s.late(now, a), s.late(now, b)),
			cmp.Compare(a.Urgency, b.Urgency),
			cmp.Compare(a.due, b.due),
		)
	})
}

func (s *Scheduler) late(now time.Duration, a *ask) int {
	if now+s.readTime(a.unread)+firstEvent > a.due {
		return 1
	}
	return 0
}

// predict estimates the time to the first event of a new ask.
func (s *Scheduler) predict(now time.Duration, a *ask) time.Duration {
	ahead := s.starting
	adapters := map[string]bool{}
	for _, w := range s.waiting {
		if s.before(now, w, a) {
			ahead += w.unread
			if p := s.places[w.Demand.Adapter]; p == nil && w.Demand.Adapter != "" {
				adapters[w.Demand.Adapter] = true
			}
		}
	}
	delete(adapters, a.Demand.Adapter)
	reading := s.readTime(ahead)
	return max(reading, s.placeWait(now, a.Demand.Adapter, len(adapters))) + s.readTime(a.unread) + firstEvent
}

func (s *Scheduler) before(now time.Duration, a, b *ask) bool {
	return cmp.Or(cmp.Compare(s.late(now, a), s.late(now, b)), cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.due, b.due)) <= 0
}

// placeWait estimates how long until the adapter is held, behind other adapters that wait for places.
func (s *Scheduler) placeWait(now time.Duration, adapter string, ahead int) time.Duration {
	if adapter == "" {
		return 0
	}
	if p := s.places[adapter]; p != nil {
		return max(p.ready-now, 0)
	}
	load := s.loadTime(adapter)
	free := s.Limits.AdapterSlots - len(s.places)
	for name, p := range s.places {
		if p.state == resident && p.inUse == 0 && !s.waitedFor(name) {
			free++
		}
	}
	if ahead < free {
		return load * time.Duration(1+ahead/maxComing)
	}
	turns := 1 + (ahead-free)/max(s.Limits.AdapterSlots, 1)
	return load + placeTurn/2*time.Duration(turns)
}

func (s *Scheduler) waitedFor(adapter string) bool {
	return slices.ContainsFunc(s.waiting, func(a *ask) bool { return a.Demand.Adapter == adapter })
}

func (s *Scheduler) loadTime(adapter string) time.Duration {
	if _, held := s.lately[adapter]; held {
		return s.warmTime
	}
	return s.coldTime
}

func (s *Scheduler) init() {
	if s.runs != nil {
		return
	}
	s.runs = make(map[string]*run)
	s.places = make(map[string]*place)
	s.lately = make(map[string]time.Duration)
	s.speed = initialSpeed
	s.coldTime, s.warmTime = coldLoad, warmLoad
}

func overloaded(wait time.Duration) *fuchsiaspoke.Refusal {
	const least, most = 300 * time.Millisecond, 3 * time.Second
	return fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeOverloaded, Run: fuchsiaspoke.NotRun, Status: 503,
		Message: "the engine's queue is longer than the caller waits",
	}.WithRetryAfter(min(max(wait, least), most))
}
