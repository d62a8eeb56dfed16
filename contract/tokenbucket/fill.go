package tokenbucket

import (
	"math/bits"
	"time"
)

// advance fills the bucket for the time since the last call and counts what is left of granted reservations older than
// MaxAge as consumed.
func (b *TokenBucket) advance(now time.Duration) {
	for len(b.granted) > 0 && (b.granted[0].released || b.granted[0].expiresAt <= now) {
		r := b.granted[0]
		b.granted = b.granted[1:]
		if r.released {
			continue
		}
		b.fill(r.expiresAt)
		b.outstanding -= r.remaining
		delete(b.reservations, r.id)
	}
	b.fill(now)
}

// fill adds the tokens of the time since updatedAt to the level, up to the burst less the outstanding reservations.
func (b *TokenBucket) fill(now time.Duration) {
	if now <= b.updatedAt {
		return
	}
	hi, lo := bits.Mul64(uint64(now-b.updatedAt), uint64(b.rate))
	b.updatedAt = now
	lo, carry := bits.Add64(lo, b.remainder, 0)
	hi += carry
	headroom := max(0, b.burst-b.outstanding-b.level)
	if hi >= nanosPerSecond {
		b.level += headroom
		b.remainder = 0
		return
	}
	gain, remainder := bits.Div64(hi, lo, nanosPerSecond)
	if gain >= uint64(headroom) {
		b.level += headroom
		b.remainder = 0
		return
	}
	b.level += int64(gain)
	b.remainder = remainder
}

// clampLevel lowers the level so that its sum with the outstanding reservations does not exceed the burst, or to zero if
// these alone exceed it, as they may after SetLimits or Adopt.
func (b *TokenBucket) clampLevel() {
	b.level = min(b.level, max(0, b.burst-b.outstanding))
}

// grant moves the reservation's tokens from the level to the outstanding reservations.
func (b *TokenBucket) grant(r *reservation) {
	b.level -= r.remaining
	b.outstanding += r.remaining
	b.addGranted(r)
}

// addGranted marks the reservation as granted and starts its MaxAge.
func (b *TokenBucket) addGranted(r *reservation) {
	r.granted = true
	r.expiresAt = b.updatedAt + b.maxAge()
	b.granted = append(b.granted, r)
}

// refuseOverdue removes waiting reservations whose maximum wait is over or that exceed the burst, and returns their
// IDs.
func (b *TokenBucket) refuseOverdue() []string {
	var refused []string
	kept := b.waiting[:0]
	for _, r := range b.waiting {
		if r.expiresAt < b.updatedAt || r.remaining > b.burst {
			delete(b.reservations, r.id)
			refused = append(refused, r.id)
			continue
		}
		kept = append(kept, r)
	}
	b.waiting = kept
	return refused
}

// nextAdvance returns the time until the first waiting reservation can be granted or any of them is overdue.
func (b *TokenBucket) nextAdvance() time.Duration {
	if len(b.waiting) == 0 {
		return 0
	}
	nextAdvance := b.timeToFill(b.waiting[0].remaining - b.level)
	for _, r := range b.waiting {
		nextAdvance = min(nextAdvance, r.expiresAt-b.updatedAt+minAdvanceDelay)
	}
	return max(nextAdvance, minAdvanceDelay)
}

// estimateWait returns the time until the rate has filled the waiting reservation and those ahead of it; zero if it is
// granted.
func (b *TokenBucket) estimateWait(r *reservation) time.Duration {
	if r.granted {
		return 0
	}
	return b.timeToFill(b.queuedAhead(r) + r.remaining - b.level)
}

// queuedAhead returns the sum, in nanotokens, of the reservations ahead of r in the queue; r need not be queued yet.
func (b *TokenBucket) queuedAhead(r *reservation) int64 {
	var sum int64
	for _, queued := range b.waiting {
		if queued == r || queued.startTag > r.startTag {
			break
		}
		sum = min(sum+queued.remaining, maxTokens*nanotokensPerToken)
	}
	return sum
}

// timeToFill returns how long the rate takes to fill the given nanotokens, rounded up and at most maxEstimate.
func (b *TokenBucket) timeToFill(nanotokenCount int64) time.Duration {
	if nanotokenCount <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(nanotokenCount), nanosPerSecond)
	lo, carry := bits.Add64(lo, uint64(b.rate)-1, 0)
	hi += carry
	if hi >= uint64(b.rate) {
		return maxEstimate
	}
	wait, _ := bits.Div64(hi, lo, uint64(b.rate))
	return time.Duration(min(wait, uint64(maxEstimate)))
}
