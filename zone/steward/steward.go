// Package steward decides for which engines this VM gives orders, so that two VMs never order one engine in turns.
//
// It answers VMs that vanish, freeze, restart or are cut off, with no majority to ask: a VM takes an engine only after the
// engine's own count of orders stood still for longer than the lease, and stops by itself as soon as it may be cut off.
package steward

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

const (
	// maxPause is the longest gap between two ticks after which a VM still trusts what it held; five ticks.
	maxPause = 500 * time.Millisecond
	// silence is how long a peer may be silent before it may be cut off.
	silence = time.Second
	// suspicion is how long a silent peer may still be alive elsewhere; no cut is taken to last longer.
	suspicion = 2 * time.Minute
	// lapse is how long an unused hold lasts while a peer may be cut off; shorter than a watch.
	lapse = 2 * time.Second
	// probation is how long the hold of an engine lasts that was taken while a peer may be cut off, until its first order.
	probation = 900 * time.Millisecond
	// slotTime is a VM's turn to take an engine while a peer may be cut off: an unused hold ends, or its order is seen.
	slotTime = probation + reportLag
	// maxSlots is the number of turns in a cycle: the VMs that should order for an engine first have one each, all others the
	// last one. Two sides of a cut share a turn only where that many of the first ones are gone.
	maxSlots = 6
	// slotWindow is the part of its turn within which a VM begins to take an engine.
	slotWindow = 400 * time.Millisecond
	// aloneTime is how long a VM that lost all its peers gives no orders; longer than the restart of a process.
	aloneTime = 8 * time.Second
	// unmetTime is the same for a VM that never heard those that it was told of.
	unmetTime = 30 * time.Second
	// reportLag is how far an engine's report may lag behind its orders.
	reportLag = 600 * time.Millisecond
	// lookEvery is the time between two looks at an engine.
	lookEvery = 1100 * time.Millisecond
	// lookAge is how old the last look may be when an engine is taken; three ticks.
	lookAge = 300 * time.Millisecond
	// freshWatch is how long the count of an engine must stand still that nobody has ever ordered.
	freshWatch = 400 * time.Millisecond
	// fenceShift leaves room for the holder's mark below the platform's revision in a fencing number.
	fenceShift = 16
)

// Peer is another VM as it was last heard.
type Peer struct {
	ID    string
	Heard time.Duration
	// Ready peers may be given engines.
	Ready bool
	// Leaving peers give no orders any more.
	Leaving bool
	// Told peers were not heard by this VM, but told of by others.
	Told bool
}

// World is what the decision rests on.
type World struct {
	Self string
	// Settled VMs know what is published and have listened for claims.
	Settled bool
	// SettlesIn is how long the VM still listens before it is settled.
	SettlesIn time.Duration
	// Leaving VMs were told to stop, and hold nothing.
	Leaving bool
	// Others says that there should be other VMs.
	Others bool
	Peers  []Peer
	Claims map[string]fuchsiaspoke.EngineClaim
	// Engines are the ids of all engines.
	Engines []string
	// Revision is the platform's count of changes.
	Revision int64
	// Silence is how long a VM may be silent before it may be cut off; 0 is a second.
	Silence time.Duration
	// Wall is the time of day; if it jumps, two sides of a cut may take an engine in the same turn.
	Wall time.Duration
}

func (w World) silence() time.Duration { return cmp.Or(w.Silence, silence) }

// Steward holds the decision's memory; its zero value works with no lease.
type Steward struct {
	// Lease is how long two holders of one engine must keep apart.
	Lease time.Duration

	ticked     time.Duration
	began      bool
	aloneSince time.Duration
	holds      map[string]*hold
	watches    map[string]*watch
}

type hold struct {
	fence   int64
	ordered time.Duration
	// proven holds gave an order, or were taken while no peer was silent.
	proven bool
}

type watch struct {
	born   int64
	orders int64
	// since is when the count was first seen as it is; looked is when the engine was last asked.
	since  time.Duration
	seen   time.Duration
	known  bool
	looked time.Duration
}

// Verdict is what changed in one tick.
type Verdict struct {
	// Look names engines whose count of orders is to be read now.
	Look []string
	Take []string
	Drop []Drop
}

// Drop is an engine that this VM orders for no more, with the reason.
type Drop struct {
	Engine string
	Reason string
}

// Holds returns the fencing number under which this VM orders for the engine.
func (s *Steward) Holds(engine string) (int64, bool) {
	h := s.holds[engine]
	if h == nil {
		return 0, false
	}
	return h.fence, true
}

// Ordered notes that an order was given.
func (s *Steward) Ordered(now time.Duration, engine string) {
	if h := s.holds[engine]; h != nil {
		h.ordered, h.proven = now, true
	}
}

// Release drops an engine, as when another VM was seen to order it.
func (s *Steward) Release(engine string) {
	delete(s.holds, engine)
	delete(s.watches, engine)
}

// Looked notes an engine's own count of orders, asked for at a time.
func (s *Steward) Looked(asked time.Duration, engine string, born, orders int64) {
	w := s.watches[engine]
	if w == nil {
		return
	}
	if !w.known || w.born != born || w.orders != orders {
		*w = watch{born: born, orders: orders, since: asked, known: true, looked: w.looked}
	}
	w.seen = asked
}

// Tick decides anew; it is to be called ten times a second.
func (s *Steward) Tick(now time.Duration, w World) Verdict {
	var v Verdict
	if s.holds == nil {
		s.holds = make(map[string]*hold)
		s.watches = make(map[string]*watch)
	}
	paused := s.began && now-s.ticked > maxPause
	s.ticked, s.began = now, true
	if paused {
		return s.dropAll("the process was paused")
	}
	if s.alone(now, w) {
		return s.dropAll("no other VM is heard")
	}
	if w.Leaving {
		return s.dropAll("this VM is about to stop")
	}
	contested := s.contested(now, w)
	for _, engine := range w.Engines {
		s.judge(now, w, engine, contested, &v)
	}
	for engine := range s.holds {
		if !slices.Contains(w.Engines, engine) {
			v.Drop = append(v.Drop, Drop{engine, "the engine is gone"})
			delete(s.holds, engine)
		}
	}
	return v
}

func (s *Steward) judge(now time.Duration, w World, engine string, contested bool, v *Verdict) {
	claim, claimed := w.Claims[engine]
	live := claimed && !claim.Over && now-claim.Heard <= w.silence() && !leaves(w, claim.VM)
	h := s.holds[engine]
	switch {
	case h != nil && live:
		s.drop(engine, "VM "+claim.VM+" orders for it too", v)
	case h != nil && contested && now-h.ordered > h.lapse():
		s.drop(engine, "unused while another VM may be cut off", v)
	case h != nil:
	case live || !s.first(now, w, engine):
		delete(s.watches, engine)
	default:
		s.watch(now, w, engine, claim, claimed, contested, v)
	}
}

func (s *Steward) drop(engine, reason string, v *Verdict) {
	delete(s.holds, engine)
	v.Drop = append(v.Drop, Drop{engine, reason})
}

func (s *Steward) watch(
	now time.Duration, w World, engine string, claim fuchsiaspoke.EngineClaim, claimed, contested bool, v *Verdict,
) {
	o := s.watches[engine]
	if o == nil {
		o = &watch{looked: -lookEvery}
		s.watches[engine] = o
	}
	if w.Settled && s.still(o, claimed, contested) && now-o.seen <= lookAge && (!contested || o.seen >= s.turn(now, w, engine)) {
		fence := max(w.Revision<<fenceShift|int64(mark(w.Self)), claim.Fence+1)
		s.holds[engine] = &hold{fence: fence, ordered: now, proven: !contested}
		delete(s.watches, engine)
		v.Take = append(v.Take, engine)
		return
	}
	if s.due(now, w, engine, o, claimed, contested) {
		o.looked = now
		v.Look = append(v.Look, engine)
	}
}

// due reports whether the engine is to be looked at: now and then, when a watch is over, and inside this VM's turn.
func (s *Steward) due(now time.Duration, w World, engine string, o *watch, claimed, contested bool) bool {
	if w.SettlesIn > s.Lease+reportLag {
		return false
	}
	if now-o.looked >= lookEvery {
		return true
	}
	if !o.known || now-o.since < lookEvery {
		// An order right before the first look shows late, and begins the watch anew.
		return now-o.looked >= freshWatch
	}
	if end := o.since + s.length(o, claimed, contested); now >= end && o.looked < end {
		return true
	}
	if !s.still(o, claimed, contested) {
		return false
	}
	if !contested {
		return w.Settled && now-o.looked > lookAge
	}
	turn := s.turn(now, w, engine)
	return turn <= now && o.looked < turn
}

func leaves(w World, vm string) bool {
	return slices.ContainsFunc(w.Peers, func(p Peer) bool { return p.ID == vm && p.Leaving })
}

func (h *hold) lapse() time.Duration {
	if h.proven {
		return lapse
	}
	return probation
}

// still reports whether the count stood still for long enough that no other VM can be within its lease.
func (s *Steward) still(o *watch, claimed, contested bool) bool {
	return o.known && o.seen-o.since >= s.length(o, claimed, contested)
}

// length is how long a count must stand still.
func (s *Steward) length(o *watch, claimed, contested bool) time.Duration {
	if !claimed && !contested && o.orders == 0 {
		return freshWatch
	}
	return s.Lease + reportLag
}

// turn returns when this VM's turn to take the engine began, or a time to come where it isn't its turn.
func (s *Steward) turn(now time.Duration, w World, engine string) time.Duration {
	mine := ranker.Weight(engine, w.Self)
	place, all := 0, 1
	for _, p := range w.Peers {
		if now-p.Heard > suspicion {
			continue
		}
		all++
		if ranker.Weight(engine, p.ID) > mine {
			place++
		}
	}
	slots := min(all, maxSlots)
	cycle := slotTime * time.Duration(slots)
	into := w.Wall%cycle - slotTime*time.Duration(min(place, slots-1))
	if into < 0 || into > slotWindow {
		return now + slotTime
	}
	return now - into
}

// lost reports whether a VM is silent here and may be alive elsewhere.
func lost(now time.Duration, w World, p Peer) bool {
	quiet := now - p.Heard
	return !p.Leaving && (p.Told || quiet > w.silence()) && quiet <= suspicion
}

// first reports whether this VM is the one, of those that are ready, that should order for the engine.
func (s *Steward) first(now time.Duration, w World, engine string) bool {
	mine := ranker.Weight(engine, w.Self)
	for _, p := range w.Peers {
		if p.Ready && !p.Told && now-p.Heard <= w.silence() && ranker.Weight(engine, p.ID) > mine {
			return false
		}
	}
	return true
}

// alone reports whether the VM hears none of the others, so that it may be cut off itself.
func (s *Steward) alone(now time.Duration, w World) bool {
	met := false
	for _, p := range w.Peers {
		if !p.Told && now-p.Heard <= w.silence() {
			s.aloneSince = 0
			return false
		}
		met = met || now-p.Heard <= suspicion
	}
	if !met && !w.Others {
		return false
	}
	if s.aloneSince == 0 {
		s.aloneSince = now
	}
	if met {
		return now-s.aloneSince < aloneTime
	}
	return now-s.aloneSince < unmetTime
}

// contested reports whether a silent peer may be alive and order on its side of a cut.
func (s *Steward) contested(now time.Duration, w World) bool {
	return slices.ContainsFunc(w.Peers, func(p Peer) bool { return lost(now, w, p) })
}

func (s *Steward) dropAll(reason string) Verdict {
	var v Verdict
	for engine := range s.holds {
		v.Drop = append(v.Drop, Drop{engine, reason})
	}
	clear(s.holds)
	clear(s.watches)
	return v
}

func mark(vm string) uint16 {
	return uint16(xxhash.Sum64String(vm))
}

// Fresh reports whether the last decision is recent enough to act on.
func (s *Steward) Fresh(now time.Duration) bool {
	return s.began && now-s.ticked <= maxPause
}
