// Package clock stamps events so that causes come before effects over all VMs.
package clock

import (
	"math"
	"sync"
	"time"
)

const defaultMaxAhead = 10 * time.Second

// Clock is a hybrid logical clock (Kulkarni, Demirbas, Madappa, Avva and Leone 2014); its zero value reads the
// system's wall clock, and several goroutines may use it.
type Clock struct {
	// Wall returns the wall clock in nanoseconds since 1970; nil means time.Now.
	Wall func() int64
	// MaxAhead is how far a peer's reading may be ahead of Wall before it is ignored; 0 means 10 s.
	MaxAhead time.Duration

	mu      sync.Mutex
	wall    int64
	logical uint32
}

// Now returns a reading above every earlier one: nanoseconds since 1970 and a logical count.
func (c *Clock) Now() (wallNanos int64, logical uint32) {
	now := c.read()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now > c.wall {
		c.wall, c.logical = now, 0
	} else {
		c.next()
	}
	return c.wall, c.logical
}

// Observe puts the clock above a peer's reading, and reports false if it ignored one that is too far ahead.
func (c *Clock) Observe(wallNanos int64, logical uint32) bool {
	now := c.read()
	c.mu.Lock()
	defer c.mu.Unlock()
	// One VM with a wrong wall clock would otherwise carry the whole fleet with it.
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
	c.next()
	return true
}

func (c *Clock) next() {
	if c.logical == math.MaxUint32 {
		c.wall, c.logical = c.wall+1, 0
		return
	}
	c.logical++
}

func (c *Clock) read() int64 {
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
