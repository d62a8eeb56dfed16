// Package recorder keeps the most recent timeline events of one process in a ring buffer.
package recorder

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/clock"
)

const defaultCapacityEvents = 1 << 16

// Recorder is a ring buffer of events that overwrites the oldest one when it is full. Its zero value holds 65,536
// events, and its methods are safe for concurrent use.
type Recorder struct {
	// VM is the id of this VM, set on each event.
	VM string
	// Clock timestamps the events; nil means a clock that only this recorder uses.
	Clock *clock.Clock
	// Capacity is the size of the ring buffer in events; 0 means 65,536.
	Capacity int

	once         sync.Once
	defaultClock clock.Clock
	ring         []atomic.Pointer[entry]
	nextSequence atomic.Uint64
}

type entry struct {
	sequence uint64
	event    fuchsiaspoke.Event
}

// Record stores the event with this VM's id and a clock reading. It never waits for a reader or a full ring buffer.
// Long strings are truncated, control characters become spaces, and likely key material in Detail is redacted.
func (r *Recorder) Record(e fuchsiaspoke.Event) {
	r.once.Do(r.initialize)
	e.VM = r.VM
	e.WallNanos, e.Logical = r.clock().Now()
	e.RequestID = sanitize(e.RequestID)
	e.Account = sanitize(e.Account)
	e.Upstream = sanitize(e.Upstream)
	e.Detail = redact(e.Detail)
	r.store(&entry{sequence: r.nextSequence.Add(1) - 1, event: e})
}

// store writes the entry to its slot unless a newer entry is already there, which happens when this goroutine is delayed
// for a whole round of the ring buffer.
func (r *Recorder) store(e *entry) {
	slot := &r.ring[e.sequence%uint64(len(r.ring))]
	for {
		old := slot.Load()
		if old != nil && old.sequence > e.sequence {
			return
		}
		if slot.CompareAndSwap(old, e) {
			return
		}
	}
}

// Events returns the stored events that match the filter, ordered by clock reading.
func (r *Recorder) Events(filter fuchsiaspoke.EventFilter) []fuchsiaspoke.Event {
	r.once.Do(r.initialize)
	var events []fuchsiaspoke.Event
	for i := range r.ring {
		e := r.ring[i].Load()
		if e != nil && filter.Matches(e.event) {
			events = append(events, e.event)
		}
	}
	slices.SortFunc(events, func(a, b fuchsiaspoke.Event) int {
		return cmp.Or(cmp.Compare(a.WallNanos, b.WallNanos), cmp.Compare(a.Logical, b.Logical))
	})
	return events
}

// Dropped returns the number of events that newer ones replaced in the ring buffer.
func (r *Recorder) Dropped() uint64 {
	r.once.Do(r.initialize)
	recorded, capacity := r.nextSequence.Load(), uint64(len(r.ring))
	if recorded <= capacity {
		return 0
	}
	return recorded - capacity
}

func (r *Recorder) clock() *clock.Clock {
	if r.Clock != nil {
		return r.Clock
	}
	return &r.defaultClock
}

func (r *Recorder) initialize() {
	capacity := r.Capacity
	if capacity <= 0 {
		capacity = defaultCapacityEvents
	}
	r.ring = make([]atomic.Pointer[entry], capacity)
}
