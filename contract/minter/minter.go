// Package minter holds one client account to its rate and burst.
package minter

import (
	"math"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

const (
	defaultMaxAge     = 10 * time.Minute
	defaultMaxWaiting = 1024
	// nanotokens is the number of units in a token; all counting is in whole units, so that nothing is rounded up.
	nanotokens   = 1_000_000_000
	nanosPerSec  = uint64(time.Second)
	maxTokens    = math.MaxInt64 / 4 / nanotokens
	longestWait  = 24 * time.Hour
	shortestWait = time.Nanosecond
)

// Minter is the token bucket (Turner 1986) of one client account, run by the one VM that holds the account's lease.
//
// It promises that in every window from s to e the tokens consumed are at most burst + rate*(e-s), to the unit. Level and
// outstanding reservations together never exceed the burst, and filling stops where they reach it. What is consumed
// leaves the outstanding ones, and only filling adds to the sum, at the rate. So whatever is consumed in a window was in
// the sum at s, at most the burst, or was filled since. A reservation that ends early gives its rest back at once.
//
// The promise holds over a takeover if four things are seen to. The old holder neither fills nor grants after its lease
// ends, and what it granted isn't sent after that. The successor opens empty, after that end. Reservations whose work
// was sent before and still goes on are adopted by the successor before it grants anything: a successor that can't know
// of them could let them and a whole burst of its own be consumed in one window. Work outlives no reservation's MaxAge.
//
// Reservations wait in order, so that small ones don't starve a large one. Methods take the time since the process
// started and must not be called at once. Time that goes back counts as standing still.
type Minter struct {
	// MaxAge is the age at which a reservation's rest counts as consumed; zero means 10 min.
	MaxAge time.Duration
	// MaxWaiting bounds the waiting reservations; beyond it they are refused. Zero means 1024.
	MaxWaiting int

	account fuchsiaspoke.ClientAccount
	fence   int64
	open    bool

	at          time.Duration
	rate        int64 // nanotokens a second
	burst       int64
	level       int64 // below zero after an overrun
	outstanding int64
	remainder   uint64 // of a nanotoken, in nanoseconds times nanotokens a second

	// turn and finished order waiting reservations of several groups by start-time fair queueing.
	turn     int64
	finished map[string]int64

	reserved map[string]*reservation
	granted  []*reservation // by grant time
	waiting  []*reservation // first come first
}

// reservation is a claim on tokens, in nanotokens.
type reservation struct {
	id      string
	rest    int64
	granted bool
	ended   bool
	// start is the virtual time from which on its group may be served.
	start int64
	// until is the end of the patience while waiting, of the age once granted.
	until time.Duration
}

// Open starts the bucket anew and empty, under the fencing number of the lease that was taken.
func (m *Minter) Open(now time.Duration, account fuchsiaspoke.ClientAccount, fence int64) error {
	rate, burst, err := units(account)
	if err != nil {
		return errors.Wrapf(err, "open client account %s", account.Name)
	}
	*m = Minter{
		MaxAge: m.MaxAge, MaxWaiting: m.MaxWaiting,
		account: account, fence: fence, open: true,
		at: now, rate: rate, burst: burst, reserved: map[string]*reservation{},
	}
	return nil
}

// Close ends filling and granting, as the lease's end does, and returns the ids that were waiting; none of them will be granted.
func (m *Minter) Close() []string {
	var ids []string
	for _, r := range m.waiting {
		ids = append(ids, r.id)
		delete(m.reserved, r.id)
	}
	m.waiting = nil
	m.open = false
	m.rate = 0
	return ids
}

// Outstanding returns what is left of each granted reservation, in tokens, for a successor to adopt.
func (m *Minter) Outstanding() map[string]int64 {
	left := map[string]int64{}
	for id, r := range m.reserved {
		if r.granted {
			left[id] = r.rest / nanotokens
		}
	}
	return left
}

// Level returns the whole tokens of the level, for a holder that closed to hand to its successor.
func (m *Minter) Level() int64 {
	return max(0, m.level/nanotokens)
}

// Restore adds the level that an earlier holder handed over after it closed. It must come before the first Reserve, and
// what was filled meanwhile counts against it, so that no more than the burst is ever held.
func (m *Minter) Restore(now time.Duration, tokens int64) {
	m.advance(now)
	m.level += min(max(0, tokens), maxTokens) * nanotokens
	m.clamp()
}

// Fence returns the fencing number that the bucket was opened with.
func (m *Minter) Fence() int64 {
	return m.fence
}

// Adopt takes over a reservation that an earlier holder granted and whose work was sent; tokens is what is left of it.
// It must come before the first Reserve, and adopts an id once.
func (m *Minter) Adopt(now time.Duration, id string, tokens int64) error {
	if !m.open {
		return notOpen()
	}
	if tokens < 0 || tokens > maxTokens {
		return errors.Errorf("adopt reservation %s: %d tokens are out of range", id, tokens)
	}
	m.advance(now)
	if r, ok := m.reserved[id]; ok && r.granted {
		return nil
	}
	m.Finish(now, id)
	r := &reservation{id: id, rest: tokens * nanotokens}
	if m.outstanding > maxTokens*nanotokens-r.rest {
		return errors.Errorf("adopt reservation %s: %d tokens are out of range", id, tokens)
	}
	m.reserved[id] = r
	m.outstanding += r.rest
	m.hold(r)
	m.clamp()
	return nil
}

// Reserve claims tokens, the bound on what id will consume. It returns zero when they are granted, or an estimate of the
// wait when the claim was queued: Advance then grants it or, once patience is over, gives it up. It returns a
// *fuchsiaspoke.Refusal at once for more than the burst, and when patience would be too short even if all that is
// outstanding came back now. Reserve may be called again for an id.
func (m *Minter) Reserve(now time.Duration, id string, tokens int64, patience time.Duration) (time.Duration, error) {
	return m.ReserveFor(now, "", id, tokens, patience)
}

// ReserveFor is Reserve for one of several groups that share the bucket; waiting groups are served in turn.
func (m *Minter) ReserveFor(now time.Duration, group, id string, tokens int64, patience time.Duration) (time.Duration, error) {
	if !m.open {
		return 0, notOpen()
	}
	if tokens < 0 || tokens > m.burst/nanotokens {
		return 0, m.neverGranted(tokens)
	}
	m.advance(now)
	if r, ok := m.reserved[id]; ok {
		return m.waitOf(r), nil
	}
	r := &reservation{id: id, rest: tokens * nanotokens, until: m.at + patience}
	if len(m.waiting) == 0 && r.rest <= m.level {
		m.reserved[id] = r
		m.grant(r)
		return 0, nil
	}
	r.start = m.startOf(group)
	ahead := m.ahead(r)
	wait := m.fillTime(ahead + r.rest - m.level)
	if m.fillTime(ahead+r.rest-m.level-m.outstanding) > patience || len(m.waiting) >= m.maxWaiting() {
		return 0, m.rateExceeded().WithRetryAfter(wait)
	}
	m.reserved[id] = r
	m.queue(r, group)
	return wait, nil
}

// startOf is the virtual time from which on a new reservation of the group may be served.
func (m *Minter) startOf(group string) int64 {
	if m.finished == nil || len(m.waiting) == 0 {
		m.finished = map[string]int64{}
		m.turn = 0
	}
	return max(m.turn, m.finished[group])
}

// queue puts the reservation behind those that start no later: first come first served within a group, and the groups in
// turn (start-time fair queueing, Goyal, Vin and Cheng 1996).
func (m *Minter) queue(r *reservation, group string) {
	m.finished[group] = r.start + r.rest
	at := len(m.waiting)
	for at > 0 && m.waiting[at-1].start > r.start {
		at--
	}
	m.waiting = slices.Insert(m.waiting, at, r)
}

// Advance grants waiting reservations in order and gives up those whose patience is over, or that can't be granted since
// the burst was lowered. It returns their ids and the time until it should be called again, zero if nothing waits.
func (m *Minter) Advance(now time.Duration) (granted, refused []string, next time.Duration) {
	m.advance(now)
	refused = m.giveUp()
	for len(m.waiting) > 0 && m.waiting[0].rest <= m.level {
		r := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.turn = r.start
		m.grant(r)
		granted = append(granted, r.id)
	}
	return granted, refused, m.next()
}

// Cancel withdraws a reservation whose work wasn't sent, waiting or granted.
func (m *Minter) Cancel(now time.Duration, id string) {
	m.Finish(now, id)
}

// Settle counts tokens of a reservation as consumed. It returns an error for more than is left of the reservation, and
// takes the overrun from the level, below zero if need be.
func (m *Minter) Settle(now time.Duration, id string, consumed int64) error {
	m.advance(now)
	if consumed < 0 || consumed > maxTokens {
		return errors.Errorf("settle reservation %s: %d tokens are out of range", id, consumed)
	}
	units := consumed * nanotokens
	r, ok := m.reserved[id]
	if ok && r.granted {
		paid := min(units, r.rest)
		r.rest -= paid
		m.outstanding -= paid
		units -= paid
	}
	if units == 0 {
		return nil
	}
	m.level = max(m.level-units, -maxTokens*nanotokens)
	return errors.Errorf("settle reservation %s: %d tokens consumed, %.3f too many", id, consumed, float64(units)/nanotokens)
}

// Finish ends a reservation and returns its rest to the level at once; an unknown id is passed over.
func (m *Minter) Finish(now time.Duration, id string) {
	m.advance(now)
	r, ok := m.reserved[id]
	if !ok {
		return
	}
	delete(m.reserved, id)
	r.ended = true
	if !r.granted {
		m.waiting = without(m.waiting, r)
		return
	}
	m.outstanding -= r.rest
	m.level += r.rest
	m.clamp()
}

// Change puts a new rate and burst in force; what is granted stays so, and the level keeps within the new burst.
func (m *Minter) Change(now time.Duration, account fuchsiaspoke.ClientAccount) error {
	rate, burst, err := units(account)
	if err != nil {
		return errors.Wrapf(err, "change client account %s", account.Name)
	}
	if !m.open {
		return notOpen()
	}
	m.advance(now)
	m.account = account
	m.rate = rate
	m.burst = burst
	m.remainder = 0
	m.clamp()
	return nil
}

func (m *Minter) maxAge() time.Duration {
	if m.MaxAge <= 0 {
		return defaultMaxAge
	}
	return m.MaxAge
}

func (m *Minter) maxWaiting() int {
	if m.MaxWaiting <= 0 {
		return defaultMaxWaiting
	}
	return m.MaxWaiting
}

// units returns rate and burst in nanotokens, rounded down.
func units(account fuchsiaspoke.ClientAccount) (rate, burst int64, err error) {
	for _, tokens := range []float64{account.RateTokensPerSecond, account.BurstTokens} {
		if !(tokens >= 1.0/nanotokens && tokens <= maxTokens) {
			return 0, 0, errors.Errorf("rate or burst of %v tokens is out of range", tokens)
		}
	}
	return int64(account.RateTokensPerSecond * nanotokens), int64(account.BurstTokens * nanotokens), nil
}

func without(waiting []*reservation, r *reservation) []*reservation {
	for n, w := range waiting {
		if w == r {
			return append(waiting[:n], waiting[n+1:]...)
		}
	}
	return waiting
}
