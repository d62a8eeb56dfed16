package minter

import (
	"math/bits"
	"time"
)

// advance fills the bucket for the time since the last call and counts what is left of granted reservations older than
// MaxAge as consumed.
func (m *Minter) advance(now time.Duration) {
	for len(m.granted) > 0 && (m.granted[0].released || m.granted[0].expiresAt <= now) {
		r := m.granted[0]
		m.granted = m.granted[1:]
		if r.released {
			continue
		}
		m.fill(r.expiresAt)
		m.outstanding -= r.remaining
		delete(m.reservations, r.id)
	}
	m.fill(now)
}

// fill adds the tokens of the time since updatedAt to the level, up to the burst less the outstanding reservations.
func (m *Minter) fill(now time.Duration) {
	if now <= m.updatedAt {
		return
	}
	hi, lo := bits.Mul64(uint64(now-m.updatedAt), uint64(m.rate))
	m.updatedAt = now
	lo, carry := bits.Add64(lo, m.remainder, 0)
	hi += carry
	headroom := max(0, m.burst-m.outstanding-m.level)
	if hi >= nanosPerSecond {
		m.level += headroom
		m.remainder = 0
		return
	}
	gain, remainder := bits.Div64(hi, lo, nanosPerSecond)
	if gain >= uint64(headroom) {
		m.level += headroom
		m.remainder = 0
		return
	}
	m.level += int64(gain)
	m.remainder = remainder
}

// clampLevel lowers the level so that its sum with the outstanding reservations does not exceed the burst.
func (m *Minter) clampLevel() {
	m.level = min(m.level, max(0, m.burst-m.outstanding))
}

func (m *Minter) grant(r *reservation) {
	m.level -= r.remaining
	m.outstanding += r.remaining
	m.addGranted(r)
}

// addGranted marks the reservation as granted and starts its MaxAge.
func (m *Minter) addGranted(r *reservation) {
	r.granted = true
	r.expiresAt = m.updatedAt + m.maxAge()
	m.granted = append(m.granted, r)
}

// refuseOverdue removes waiting reservations whose maximum wait is over or that exceed the burst, and returns their
// IDs.
func (m *Minter) refuseOverdue() []string {
	var refused []string
	kept := m.waiting[:0]
	for _, r := range m.waiting {
		if r.expiresAt < m.updatedAt || r.remaining > m.burst {
			delete(m.reservations, r.id)
			refused = append(refused, r.id)
			continue
		}
		kept = append(kept, r)
	}
	m.waiting = kept
	return refused
}

// nextAdvance returns the time until the first waiting reservation can be granted or any of them is overdue.
func (m *Minter) nextAdvance() time.Duration {
	if len(m.waiting) == 0 {
		return 0
	}
	nextAdvance := m.timeToFill(m.waiting[0].remaining - m.level)
	for _, r := range m.waiting {
		nextAdvance = min(nextAdvance, r.expiresAt-m.updatedAt+minAdvanceDelay)
	}
	return max(nextAdvance, minAdvanceDelay)
}

func (m *Minter) estimateWait(r *reservation) time.Duration {
	if r.granted {
		return 0
	}
	return m.timeToFill(m.queuedAhead(r) + r.remaining - m.level)
}

// queuedAhead returns the sum, in nanotokens, of the reservations ahead of r in the queue; r need not be queued yet.
func (m *Minter) queuedAhead(r *reservation) int64 {
	var sum int64
	for _, queued := range m.waiting {
		if queued == r || queued.startTag > r.startTag {
			break
		}
		sum = min(sum+queued.remaining, maxTokens*nanotokensPerToken)
	}
	return sum
}

// timeToFill returns how long the rate takes to fill the given nanotokens, rounded up and at most maxEstimate.
func (m *Minter) timeToFill(nanotokenCount int64) time.Duration {
	if nanotokenCount <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(nanotokenCount), nanosPerSecond)
	lo, carry := bits.Add64(lo, uint64(m.rate)-1, 0)
	hi += carry
	if hi >= uint64(m.rate) {
		return maxEstimate
	}
	wait, _ := bits.Div64(hi, lo, uint64(m.rate))
	return time.Duration(min(wait, uint64(maxEstimate)))
}
