// Package minter limits one client account to its token rate and burst.
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
	// nanotokensPerToken is the resolution of all counts, which are integers so that no token is gained by rounding.
	nanotokensPerToken = 1_000_000_000
	nanosPerSecond     = uint64(time.Second)
	maxTokens          = math.MaxInt64 / 4 / nanotokensPerToken
	maxEstimate        = 24 * time.Hour
	minAdvanceDelay    = time.Nanosecond
)

// Minter is the token bucket (Turner 1986) of one client account. It runs on the one VM that holds the account's lease.
//
// It guarantees that in every window from s to e the tokens consumed are at most burst + rate*(e-s), to the nanotoken.
// The sum of the level and the outstanding reservations never exceeds the burst; filling stops when it reaches the
// burst. Consumption is deducted from the outstanding reservations, and only filling adds to the sum, at the rate. So
// the tokens consumed in a window were either in the sum at s, which is at most the burst, or filled since. A
// reservation that is released early returns its remaining tokens to the level at once.
//
// The guarantee holds across a takeover of the lease under four conditions. The old holder neither fills nor grants
// after its lease ends, and work that it granted is not sent after that. The new holder opens an empty bucket, after
// the old lease has ended. Before it grants anything, it adopts the reservations whose work was sent earlier and is
// still running; otherwise these and a full burst of its own could be consumed in one window. No work runs for longer
// than its reservation's MaxAge.
//
// Reservations are queued, so that small ones do not starve a large one. Methods take the time since the process
// started. They are not safe for concurrent use. A time before that of an earlier call fills nothing.
type Minter struct {
	// MaxAge is the time after the grant at which a reservation's remainder counts as consumed; zero means 10 min.
	MaxAge time.Duration
	// MaxWaiting is the maximum number of waiting reservations; further ones are refused. Zero means 1024.
	MaxWaiting int

	account fuchsiaspoke.ClientAccount
	fence   int64
	open    bool

	updatedAt   time.Duration
	rate        int64 // nanotokens per second
	burst       int64
	level       int64 // negative after an overrun
	outstanding int64
	remainder   uint64 // fraction of a nanotoken not yet filled, in units of 1/nanosPerSecond

	// virtualTime and finishTags (by group) order the waiting reservations by start-time fair queueing.
	virtualTime int64
	finishTags  map[string]int64

	reservations map[string]*reservation
	granted      []*reservation // ordered by grant time
	waiting      []*reservation // ordered by start tag, then by arrival
}

// reservation holds nanotokens for one piece of work.
type reservation struct {
	id        string
	remaining int64
	granted   bool
	released  bool
	// startTag is the start tag of start-time fair queueing, in nanotokens of virtual time.
	startTag int64
	// expiresAt is the end of the maximum wait while it is queued, and of MaxAge once it is granted.
	expiresAt time.Duration
}

// Open resets the bucket to empty, under the fencing token of a newly acquired lease.
func (m *Minter) Open(now time.Duration, account fuchsiaspoke.ClientAccount, fence int64) error {
	rate, burst, err := limitsInNanotokens(account)
	if err != nil {
		return errors.Wrapf(err, "open token bucket of client account %s", account.Name)
	}
	*m = Minter{
		MaxAge: m.MaxAge, MaxWaiting: m.MaxWaiting,
		account: account, fence: fence, open: true,
		updatedAt: now, rate: rate, burst: burst, reservations: map[string]*reservation{},
	}
	return nil
}

// Close stops filling and granting when the lease ends. It removes the waiting reservations and returns their IDs.
func (m *Minter) Close() []string {
	var ids []string
	for _, r := range m.waiting {
		ids = append(ids, r.id)
		delete(m.reservations, r.id)
	}
	m.waiting = nil
	m.open = false
	m.rate = 0
	return ids
}

// Outstanding returns the remaining tokens of each granted reservation by ID, for the next lease holder to adopt.
func (m *Minter) Outstanding() map[string]int64 {
	unspent := map[string]int64{}
	for id, r := range m.reservations {
		if r.granted {
			unspent[id] = r.remaining / nanotokensPerToken
		}
	}
	return unspent
}

// Level returns the available tokens, rounded down. After Close it is what may be handed over to the next lease holder.
func (m *Minter) Level() int64 {
	return max(0, m.level/nanotokensPerToken)
}

// Restore adds the level that the previous lease holder handed over after it closed its bucket. It must be called
// before the first Reserve. Together with the tokens filled since Open the level is capped at the burst.
func (m *Minter) Restore(now time.Duration, tokens int64) {
	m.advance(now)
	m.level += min(max(0, tokens), maxTokens) * nanotokensPerToken
	m.clampLevel()
}

// Fence returns the fencing token that the bucket was opened with.
func (m *Minter) Fence() int64 {
	return m.fence
}

// Adopt adds a reservation that an earlier lease holder granted and whose work was sent, with its remaining tokens. It
// must be called before the first Reserve. Adopting the same ID again has no effect.
func (m *Minter) Adopt(now time.Duration, id string, tokens int64) error {
	if !m.open {
		return notOpen()
	}
	if tokens < 0 || tokens > maxTokens {
		return errors.Errorf("adopt reservation %s: %d tokens are out of range", id, tokens)
	}
	m.advance(now)
	if r, ok := m.reservations[id]; ok && r.granted {
		return nil
	}
	m.Release(now, id)
	r := &reservation{id: id, remaining: tokens * nanotokensPerToken}
	if m.outstanding > maxTokens*nanotokensPerToken-r.remaining {
		return errors.Errorf("adopt reservation %s: %d tokens are out of range", id, tokens)
	}
	m.reservations[id] = r
	m.outstanding += r.remaining
	m.addGranted(r)
	m.clampLevel()
	return nil
}

// Reserve reserves tokens, an upper bound of what the work with this ID will consume. It returns zero when they are
// granted at once, or an estimate of the wait when the reservation is queued. Advance then grants it, or refuses it
// after maxWait. It returns a *fuchsiaspoke.Refusal when tokens exceed the burst, when the queue is full, and when
// maxWait would be too short even if all outstanding reservations were returned unused now. Calling it again for an ID
// returns the present estimate for the existing reservation.
func (m *Minter) Reserve(now time.Duration, id string, tokens int64, maxWait time.Duration) (time.Duration, error) {
	return m.ReserveForGroup(now, "", id, tokens, maxWait)
}

// ReserveForGroup is Reserve for one of several groups that share the bucket. Waiting groups are granted equal shares
// of tokens by start-time fair queueing.
func (m *Minter) ReserveForGroup(now time.Duration, group, id string, tokens int64, maxWait time.Duration) (time.Duration, error) {
	if !m.open {
		return 0, notOpen()
	}
	if tokens < 0 || tokens > m.burst/nanotokensPerToken {
		return 0, m.exceedsBurst(tokens)
	}
	m.advance(now)
	if r, ok := m.reservations[id]; ok {
		return m.estimateWait(r), nil
	}
	r := &reservation{id: id, remaining: tokens * nanotokensPerToken, expiresAt: m.updatedAt + maxWait}
	if len(m.waiting) == 0 && r.remaining <= m.level {
		m.reservations[id] = r
		m.grant(r)
		return 0, nil
	}
	r.startTag = m.nextStartTag(group)
	queuedAhead := m.queuedAhead(r)
	wait := m.timeToFill(queuedAhead + r.remaining - m.level)
	if m.timeToFill(queuedAhead+r.remaining-m.level-m.outstanding) > maxWait || len(m.waiting) >= m.maxWaiting() {
		return 0, m.rateExceeded().WithRetryAfter(wait)
	}
	m.reservations[id] = r
	m.enqueue(r, group)
	return wait, nil
}

// nextStartTag returns the start tag of a new reservation of the group. It resets virtual time if no reservation waits.
func (m *Minter) nextStartTag(group string) int64 {
	if m.finishTags == nil || len(m.waiting) == 0 {
		m.finishTags = map[string]int64{}
		m.virtualTime = 0
	}
	return max(m.virtualTime, m.finishTags[group])
}

// enqueue inserts the reservation after those with an equal or smaller start tag: in order of arrival within a group,
// and fairly between groups (start-time fair queueing, Goyal, Vin and Cheng 1996).
func (m *Minter) enqueue(r *reservation, group string) {
	m.finishTags[group] = r.startTag + r.remaining
	position := len(m.waiting)
	for position > 0 && m.waiting[position-1].startTag > r.startTag {
		position--
	}
	m.waiting = slices.Insert(m.waiting, position, r)
}

// Advance refuses waiting reservations whose maximum wait is over or that exceed a lowered burst, and grants the others
// in order as the level allows. It returns their IDs and the time until it should be called again, zero if none waits.
func (m *Minter) Advance(now time.Duration) (granted, refused []string, nextAdvance time.Duration) {
	m.advance(now)
	refused = m.refuseOverdue()
	for len(m.waiting) > 0 && m.waiting[0].remaining <= m.level {
		r := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.virtualTime = r.startTag
		m.grant(r)
		granted = append(granted, r.id)
	}
	return granted, refused, m.nextAdvance()
}

// Cancel releases a waiting or granted reservation whose work was not sent.
func (m *Minter) Cancel(now time.Duration, id string) {
	m.Release(now, id)
}

// Consume deducts consumed tokens from a reservation. Tokens beyond the reservation are deducted from the level, which
// may become negative, and an error is returned.
func (m *Minter) Consume(now time.Duration, id string, consumed int64) error {
	m.advance(now)
	if consumed < 0 || consumed > maxTokens {
		return errors.Errorf("consume from reservation %s: %d tokens are out of range", id, consumed)
	}
	uncovered := consumed * nanotokensPerToken
	r, ok := m.reservations[id]
	if ok && r.granted {
		covered := min(uncovered, r.remaining)
		r.remaining -= covered
		m.outstanding -= covered
		uncovered -= covered
	}
	if uncovered == 0 {
		return nil
	}
	m.level = max(m.level-uncovered, -maxTokens*nanotokensPerToken)
	return errors.Errorf("consume from reservation %s: %d tokens consumed, %.3f more than were reserved", id, consumed, float64(uncovered)/nanotokensPerToken)
}

// Release removes a reservation and returns its remaining tokens to the level at once; an unknown ID is ignored.
func (m *Minter) Release(now time.Duration, id string) {
	m.advance(now)
	r, ok := m.reservations[id]
	if !ok {
		return
	}
	delete(m.reservations, id)
	r.released = true
	if !r.granted {
		m.waiting = remove(m.waiting, r)
		return
	}
	m.outstanding -= r.remaining
	m.level += r.remaining
	m.clampLevel()
}

// SetLimits applies a new rate and burst. Granted reservations stay; the level is capped at the new burst less these.
func (m *Minter) SetLimits(now time.Duration, account fuchsiaspoke.ClientAccount) error {
	rate, burst, err := limitsInNanotokens(account)
	if err != nil {
		return errors.Wrapf(err, "set limits of client account %s", account.Name)
	}
	if !m.open {
		return notOpen()
	}
	m.advance(now)
	m.account = account
	m.rate = rate
	m.burst = burst
	m.remainder = 0
	m.clampLevel()
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

// limitsInNanotokens returns the client account's rate and burst in nanotokens, rounded down.
func limitsInNanotokens(account fuchsiaspoke.ClientAccount) (rate, burst int64, err error) {
	for _, tokens := range []float64{account.RateTokensPerSecond, account.BurstTokens} {
		if !(tokens >= 1.0/nanotokensPerToken && tokens <= maxTokens) {
			return 0, 0, errors.Errorf("token rate or burst of %v is out of range", tokens)
		}
	}
	return int64(account.RateTokensPerSecond * nanotokensPerToken), int64(account.BurstTokens * nanotokensPerToken), nil
}

func remove(waiting []*reservation, r *reservation) []*reservation {
	for n, w := range waiting {
		if w == r {
			return append(waiting[:n], waiting[n+1:]...)
		}
	}
	return waiting
}
