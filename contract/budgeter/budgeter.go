// Package budgeter keeps adapter loads within what the weight store allows.
package budgeter

import (
	"slices"
	"time"
)

const (
	defaultPerSecond   = 3
	defaultMaxInFlight = 8
	defaultMaxLoadTime = 2 * time.Second
	pollInterval       = 50 * time.Millisecond
)

// Budgeter says when an adapter load may start; it is run by the one VM that holds the store's lease.
//
// In no second do more than PerSecond loads start, and no more than MaxInFlight are in flight, a load counting as ended
// once it is older than MaxLoadTime. A Budgeter that was just opened knows nothing of what its predecessor started. It
// takes the second before as full, and allows no load until MaxLoadTime has passed, so both bounds hold over a takeover.
// It is no minter.Minter: a load takes from the rate when it starts, but from those in flight until it ends.
type Budgeter struct {
	// PerSecond bounds the starts in any one second; zero means 3.
	PerSecond int
	// MaxInFlight bounds the loads that run; zero means 8.
	MaxInFlight int
	// MaxLoadTime is the age at which a load counts as ended; zero means 2 s.
	MaxLoadTime time.Duration

	open    bool
	fence   int64
	from    time.Duration
	starts  []time.Duration
	running map[string]time.Duration
}

// Open begins anew under the fencing number of the lease that was taken.
func (b *Budgeter) Open(now time.Duration, fence int64) {
	b.open = true
	b.fence = fence
	b.from = now + max(b.maxLoadTime(), time.Second)
	b.starts = nil
	b.running = map[string]time.Duration{}
}

// Close ends starting, as the lease's end does.
func (b *Budgeter) Close() {
	b.open = false
}

// Fence returns the fencing number that the budget was opened with.
func (b *Budgeter) Fence() int64 {
	return b.fence
}

// Start begins the load and returns zero, or how long to wait before asking again. Asked again for a load that runs, it
// returns zero; a Budgeter that isn't open answers with the wait after which one that is may be found.
func (b *Budgeter) Start(now time.Duration, id string) time.Duration {
	if !b.open {
		return time.Second
	}
	b.expire(now)
	if _, ok := b.running[id]; ok {
		return 0
	}
	if now < b.from {
		return b.from - now
	}
	if len(b.starts) >= orElse(b.PerSecond, defaultPerSecond) {
		return b.starts[0] + time.Second - now
	}
	if len(b.running) >= orElse(b.MaxInFlight, defaultMaxInFlight) {
		return pollInterval
	}
	b.starts = append(b.starts, now)
	b.running[id] = now
	return 0
}

// Finish ends the load, done or failed.
func (b *Budgeter) Finish(id string) {
	delete(b.running, id)
}

func (b *Budgeter) expire(now time.Duration) {
	b.starts = slices.DeleteFunc(b.starts, func(at time.Duration) bool { return at+time.Second <= now })
	for id, at := range b.running {
		if at+b.maxLoadTime() <= now {
			delete(b.running, id)
		}
	}
}

func (b *Budgeter) maxLoadTime() time.Duration {
	return orElse(b.MaxLoadTime, defaultMaxLoadTime)
}

func orElse[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
