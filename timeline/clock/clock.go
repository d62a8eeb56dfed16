// Package clock timestamps events so that causality is preserved across VMs.
package clock

import (
	"math"
	"sync"
	"time"
)

const defaultMaxAhead = 10 * time.Second

// Clock is a hybrid logical clock (Kulkarni, Demirbas, Madappa, Avva and Leone 2014). Its zero value reads the
// system's wall clock, and its methods are safe for concurrent use.
type Clock struct {
	// Wall returns the wall clock in nanoseconds since the Unix epoch; nil means time.Now.
	Wall func() int64
	// MaxAhead is the largest lead of a peer's reading over Wall that Observe accepts; 0 means 10 s.
	MaxAhead time.Duration

	mu      sync.Mutex
	wall    int64
	logical uint32
}

// Now returns a reading greater than all earlier ones: nanoseconds since the Unix epoch and a logical counter.
func (c *Clock) Now() (wallNanos int64, logical uint32) {
	now := c.wallNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now > c.wall {
		c.wall, c.logical = now, 0
	} else {
		c.increment()
	}
	return c.wall, c.logical
}

// Observe advances the clock past a peer's reading. It returns false if it ignored the reading because it is more than
// MaxAhead ahead of the wall clock.
func (c *Clock) Observe(wallNanos int64, logical uint32) bool {
	now := c.wallNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	// Otherwise one VM with a wrong wall clock would advance the clocks of all VMs.
	if wallNanos > now && wallNanos-now > int64(c.maxAhead()) {
		return false
	}
	if now > c.wall && now > wallNanos {
		c.wall, c.logical = now, 0
		return true
	}
	if wallNanos > c.wall {
		c.wall, c.logical = wallNanos, logical
	} else if wallNanos == c.wall {
		c.logical = max(c.logical, logical)
	}
	c.increment()
	return true
}

func (c *Clock) increment() {
	if c.logical == math.MaxUint32 {
		c.wall, c.logical = c.wall+1, 0
		return
	}
	c.logical++
}

func (c *Clock) wallNow() int64 {
	if c.Wall != nil {
		return c.Wall()
	}
	return time.Now().UnixNano()
}

func (c *Clock) maxAhead() time.Duration {
	if c.MaxAhead > 0 {
		return c.MaxAhead
	}
	return defaultMaxAhead
}
