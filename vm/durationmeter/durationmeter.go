// Package durationmeter knows how long requests of a kind take.
package durationmeter

import (
	"slices"
	"sync"
	"time"
)

const (
	// keptDurations is the number of requests of a kind that are remembered, and leastDurations the number from which they tell anything.
	keptDurations  = 32
	leastDurations = 8
	// maxKinds bounds the kinds that are remembered; further ones are unknown.
	maxKinds = 4096
	// usualShare is the share of the requests that take no longer than the result of Usual.
	usualShare = 0.9
)

// DurationMeter remembers how long the last requests of each kind took. Its zero value is ready to use. It is safe for concurrent use.
type DurationMeter struct {
	mu    sync.Mutex
	kinds map[string]*durations
}

// durations is a ring of the last durations.
type durations struct {
	last [keptDurations]time.Duration
	n    int
}

// Record adds a request that was completed.
func (m *DurationMeter) Record(kind string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.kinds[kind]
	if d == nil {
		if len(m.kinds) >= maxKinds {
			return
		}
		if m.kinds == nil {
			m.kinds = make(map[string]*durations)
		}
		d = &durations{}
		m.kinds[kind] = d
	}
	d.last[d.n%keptDurations] = took
	d.n++
}

// Usual returns the time within which nine of ten requests of a kind end; 0 is not known.
func (m *DurationMeter) Usual(kind string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.kinds[kind]
	if d == nil || d.n < leastDurations {
		return 0
	}
	sorted := slices.Clone(d.last[:min(d.n, keptDurations)])
	slices.Sort(sorted)
	return sorted[int(usualShare*float64(len(sorted)-1)+0.5)]
}
