package watcher

import (
	"maps"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// readingRetention is how long the last read of a VM is remembered.
	readingRetention = time.Minute
	// spreadTolerance is the time between two reads within which their order is uncertain, as reports of reads are delayed.
	spreadTolerance = 50 * time.Millisecond
	// spreadRate is the part of the way to the middle between its neighbours by which a reader moves its next read.
	spreadRate = 0.3
)

// observedReading is the last known read of a VM, and the time at which it was made by this VM's clock.
type observedReading struct {
	number uint32
	readAt time.Duration
}

// readings holds the last known read of each VM that reads the platform.
type readings struct {
	byReader map[uint16]observedReading
}

// observe records a reading and returns the time at which it was made; false means that it is none, or that a later one of the reader
// is known. A report that was under way for some time makes a read look younger than it is, so the earliest time reported of a read counts.
func (r *readings) observe(now time.Duration, reading fuchsiaspoke.Reading) (time.Duration, bool) {
	if reading.IsZero() {
		return 0, false
	}
	if r.byReader == nil {
		r.byReader = make(map[uint16]observedReading)
	}
	readAt := now - reading.Age()
	known, seen := r.byReader[reading.Reader]
	switch {
	case seen && reading.Number < known.number:
		return 0, false
	case seen && reading.Number == known.number:
		readAt = min(readAt, known.readAt)
	}
	if !seen {
		maps.DeleteFunc(r.byReader, func(_ uint16, o observedReading) bool { return now-o.readAt > readingRetention })
	}
	r.byReader[reading.Reader] = observedReading{reading.Number, readAt}
	return readAt, true
}

// spreadDelay returns how much later than after the interval a VM that has just read should read again, to be in the middle between the
// reads of others before and after it. Without others, or where it is in the middle already, this is 0. Method: DESYNC (Degesys, Rose,
// Patel, Nagpal, 2007), with moves to later times only.
func (r *readings) spreadDelay(self uint16, interval time.Duration) time.Duration {
	before, after := interval, interval
	own := r.byReader[self].readAt
	for reader, o := range r.byReader {
		age := own - o.readAt
		if reader == self || age > 2*interval {
			continue
		}
		phase := (age%interval + interval) % interval
		if min(phase, interval-phase) < spreadTolerance {
			phase = simultaneousPhase(reader, self, interval)
		}
		before, after = min(before, phase), min(after, interval-phase)
	}
	return time.Duration(spreadRate * float64(max(after-before, 0)) / 2)
}

// simultaneousPhase returns the time since the read of another VM that read at the same time: of two VMs, the one with the lower number
// counts as the earlier one.
func simultaneousPhase(reader, self uint16, interval time.Duration) time.Duration {
	if reader < self {
		return 0
	}
	return interval
}
