package fuchsiaspoke

import (
	"math"
	"time"
)

// Milliseconds returns a duration for a message, rounded down, from 0 to the largest number that it holds.
func Milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d/time.Millisecond, 0), math.MaxUint32))
}
