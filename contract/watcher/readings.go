package watcher

import (
	"maps"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// readingRetention is how long the last read of a VM is remembered.
const readingRetention = time.Minute

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
