// Package recorder keeps the latest events of one process for the time line.
package recorder

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/clock"
)

const defaultCapacity = 1 << 16

// Recorder is a bounded ring of events that drops the oldest one when it is full; its zero value holds 65,536
// events, and several goroutines may use it.
type Recorder struct {
	// VM is the name that each event gets.
	VM string
	// Clock stamps the events; nil means a clock of the recorder's own.
	Clock *clock.Clock
	// Capacity is the number of events kept; 0 means 65,536.
	Capacity int

	once sync.Once
	own  clock.Clock
	ring []atomic.Pointer[entry]
	next atomic.Uint64
}

type entry struct {
	number uint64
	event  fuchsiaspoke.Event
}

// Record stamps the event with the VM and the clock and keeps it; it never waits for a reader or a full ring.
// What may be key material is taken out of Detail, and long strings are cut.
func (r *Recorder) Record(e fuchsiaspoke.Event) {
	r.once.Do(r.start)
	e.VM = r.VM
	e.WallNanos, e.Logical = r.clock().Now()
	e.RequestID = cut(e.RequestID)
	e.Account = cut(e.Account)
	e.Upstream = cut(e.Upstream)
	e.Detail = scrub(e.Detail)
	r.put(&entry{number: r.next.Add(1) - 1, event: e})
}

// put leaves a slot alone that a later event has taken while this goroutine was held up.
func (r *Recorder) put(e *entry) {
	slot := &r.ring[e.number%uint64(len(r.ring))]
	for {
		old := slot.Load()
		if old != nil && old.number > e.number {
			return
		}
		if slot.CompareAndSwap(old, e) {
			return
		}
	}
}

// Events returns the events kept that the filter selects, in the order of the clock.
func (r *Recorder) Events(filter fuchsiaspoke.EventFilter) []fuchsiaspoke.Event {
	r.once.Do(r.start)
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

// Dropped returns the number of events that later ones have pushed out of the ring.
func (r *Recorder) Dropped() uint64 {
	r.once.Do(r.start)
	total, kept := r.next.Load(), uint64(len(r.ring))
	if total <= kept {
		return 0
	}
	return total - kept
}

func (r *Recorder) clock() *clock.Clock {
	if r.Clock != nil {
		return r.Clock
	}
	return &r.own
}

func (r *Recorder) start() {
	capacity := r.Capacity
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	r.ring = make([]atomic.Pointer[entry], capacity)
}
