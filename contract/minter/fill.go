package minter

import (
	"math/bits"
	"time"
)

// advance fills for the time since the last call, and counts reservations as consumed that are too old.
func (m *Minter) advance(now time.Duration) {
	for len(m.granted) > 0 && (m.granted[0].ended || m.granted[0].until <= now) {
		r := m.granted[0]
		m.granted = m.granted[1:]
		if r.ended {
			continue
		}
		m.fill(r.until)
		m.outstanding -= r.rest
		delete(m.reserved, r.id)
	}
	m.fill(now)
}

func (m *Minter) fill(now time.Duration) {
	if now <= m.at {
		return
	}
	hi, lo := bits.Mul64(uint64(now-m.at), uint64(m.rate))
	m.at = now
	lo, carry := bits.Add64(lo, m.remainder, 0)
	hi += carry
	room := max(0, m.burst-m.outstanding-m.level)
	if hi >= nanosPerSec {
		m.level += room
		m.remainder = 0
		return
	}
	gain, remainder := bits.Div64(hi, lo, nanosPerSec)
	if gain >= uint64(room) {
		m.level += room
		m.remainder = 0
		return
	}
	m.level += int64(gain)
	m.remainder = remainder
}

// clamp keeps level and outstanding reservations together within the burst.
func (m *Minter) clamp() {
	m.level = min(m.level, max(0, m.burst-m.outstanding))
}

func (m *Minter) grant(r *reservation) {
	m.level -= r.rest
	m.outstanding += r.rest
	m.hold(r)
}

func (m *Minter) hold(r *reservation) {
	r.granted = true
	r.until = m.at + m.maxAge()
	m.granted = append(m.granted, r)
}

func (m *Minter) giveUp() []string {
	var refused []string
	kept := m.waiting[:0]
	for _, r := range m.waiting {
		if r.until < m.at || r.rest > m.burst {
			delete(m.reserved, r.id)
			refused = append(refused, r.id)
			continue
		}
		kept = append(kept, r)
	}
	m.waiting = kept
	return refused
}

func (m *Minter) next() time.Duration {
	if len(m.waiting) == 0 {
		return 0
	}
	next := m.fillTime(m.waiting[0].rest - m.level)
	for _, r := range m.waiting {
		next = min(next, r.until-m.at+shortestWait)
	}
	return max(next, shortestWait)
}

func (m *Minter) waitOf(r *reservation) time.Duration {
	if r.granted {
		return 0
	}
	return m.fillTime(m.ahead(r) + r.rest - m.level)
}

// ahead is what the reservations before r wait for, whether r waits already or is about to.
func (m *Minter) ahead(r *reservation) int64 {
	var sum int64
	for _, w := range m.waiting {
		if w == r || w.start > r.start {
			break
		}
		sum = min(sum+w.rest, maxTokens*nanotokens)
	}
	return sum
}

// fillTime is how long filling takes at the rate, rounded up.
func (m *Minter) fillTime(units int64) time.Duration {
	if units <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(units), nanosPerSec)
	lo, carry := bits.Add64(lo, uint64(m.rate)-1, 0)
	hi += carry
	if hi >= uint64(m.rate) {
		return longestWait
	}
	wait, _ := bits.Div64(hi, lo, uint64(m.rate))
	return time.Duration(min(wait, uint64(longestWait)))
}
