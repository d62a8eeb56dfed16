// Package tokenbucket limits one client account to its token rate and burst.
package tokenbucket

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
	// maxTokens bounds rates, bursts and reservations to a quarter of the int64 range, so that sums of a few fit into it.
	maxTokens = math.MaxInt64 / 4 / nanotokensPerToken
	// maxEstimate bounds estimated waits.
	maxEstimate = 24 * time.Hour
	// minAdvanceDelay keeps nextAdvance above zero while reservations wait, as zero means that none waits.
	minAdvanceDelay = time.Nanosecond
)

// TokenBucket is the token bucket (Turner 1986) of one client account. It runs on the one VM that holds the account's lease.
//
// It guarantees that in every window from s to e the tokens consumed are at most burst + rate*(e-s), to the nanotoken.
// While the limits do not change, the sum of the level and the outstanding reservations never exceeds the burst;
// filling stops when it reaches the burst. Consumption is deducted from the outstanding reservations, and only filling
// adds to the sum, at the rate. So the tokens consumed in a window were either in the sum at s, which is at most the
// burst, or filled since. A reservation that is released early returns its remaining tokens to the level at once.
//
// The guarantee holds across a takeover of the lease under four conditions. The old holder neither fills nor grants
// after its lease ends, and work that it granted is not sent after that. The new holder opens an empty bucket, after
// the old lease has ended. Before it grants anything, it adopts the reservations whose work was sent earlier and is
// still running; otherwise these and a full burst of its own could be consumed in one window. No work runs for longer
// than its reservation's MaxAge.
//
// Reservations are queued, so that small ones do not starve a large one. Methods take the time since the process
// started. They are not safe for concurrent use. A time before that of an earlier call fills nothing.
type TokenBucket struct {
	// MaxAge is the time after the grant at which a reservation's remainder counts as consumed; zero means 10 min.
	MaxAge time.Duration
	// MaxWaiting is the maximum number of waiting reservations; further ones are refused. Zero means 1024.
	MaxWaiting int

	account fuchsiaspoke.ClientAccount
	fence   int64
	open    bool

	updatedAt   time.Duration
	rate        int64  // nanotokens per second
	burst       int64  // nanotokens, as are level and outstanding
	level       int64  // negative after an overrun
	outstanding int64  // sum of what remains of the granted reservations
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
func (b *TokenBucket) Open(now time.Duration, account fuchsiaspoke.ClientAccount, fence int64) error {
	rate, burst, err := limitsInNanotokens(account)
	if err != nil {
		return errors.Wrapf(err, "open token bucket of client account %s", account.Name)
	}
	*b = TokenBucket{
		MaxAge: b.MaxAge, MaxWaiting: b.MaxWaiting,
		account: account, fence: fence, open: true,
		updatedAt: now, rate: rate, burst: burst, reservations: map[string]*reservation{},
	}
	return nil
}

// Close stops filling and granting when the lease ends. It removes the waiting reservations and returns their IDs.
func (b *TokenBucket) Close() []string {
	var ids []string
	for _, r := range b.waiting {
		ids = append(ids, r.id)
		delete(b.reservations, r.id)
	}
	b.waiting = nil
	b.open = false
	b.rate = 0
	return ids
}

// Outstanding returns the remaining tokens of each granted reservation by ID, for the next lease holder to adopt.
func (b *TokenBucket) Outstanding() map[string]int64 {
	tokensByID := map[string]int64{}
	for id, r := range b.reservations {
		if r.granted {
			tokensByID[id] = r.remaining / nanotokensPerToken
		}
	}
	return tokensByID
}

// Level returns the available tokens, rounded down. After Close it is what may be handed over to the next lease holder.
func (b *TokenBucket) Level() int64 {
	return max(0, b.level/nanotokensPerToken)
}

// Restore adds the level that the previous lease holder handed over after it closed its bucket. It must be called
// before the first Reserve. Together with the tokens filled since Open the level is capped at the burst.
func (b *TokenBucket) Restore(now time.Duration, tokens int64) {
	b.advance(now)
	b.level += min(max(0, tokens), maxTokens) * nanotokensPerToken
	b.clampLevel()
}

// Fence returns the fencing token that the bucket was opened with.
func (b *TokenBucket) Fence() int64 {
	return b.fence
}

// Adopt adds a reservation that an earlier lease holder granted and whose work was sent, with its remaining tokens. It
// must be called before the first Reserve. Adopting the same ID again has no effect.
func (b *TokenBucket) Adopt(now time.Duration, id string, tokens int64) error {
	if !b.open {
		return notOpen()
	}
	if tokens < 0 || tokens > maxTokens {
		return errors.Errorf("adopt reservation %s: %d tokens are out of range", id, tokens)
	}
	b.advance(now)
	if r, ok := b.reservations[id]; ok && r.granted {
		return nil
	}
	b.Release(now, id)
	r := &reservation{id: id, remaining: tokens * nanotokensPerToken}
	if b.outstanding > maxTokens*nanotokensPerToken-r.remaining {
		return errors.Errorf("adopt reservation %s: %d tokens are out of range", id, tokens)
	}
	b.reservations[id] = r
	b.outstanding += r.remaining
	b.addGranted(r)
	b.clampLevel()
	return nil
}

// Reserve reserves tokens, an upper bound of what the work with this ID will consume. It returns zero when they are
// granted at once, or an estimate of the wait when the reservation is queued. Advance then grants it, or refuses it
// after maxWait. It returns a *fuchsiaspoke.Refusal when tokens exceed the burst, when the queue is full, and when
// maxWait would be too short even if all outstanding reservations were returned unused now. Calling it again for an ID
// returns the present estimate for the existing reservation.
func (b *TokenBucket) Reserve(now time.Duration, id string, tokens int64, maxWait time.Duration) (time.Duration, error) {
	return b.ReserveForGroup(now, "", id, tokens, maxWait)
}

// ReserveForGroup is Reserve for one of several groups that share the bucket. Waiting groups are granted equal shares
// of tokens by start-time fair queueing.
func (b *TokenBucket) ReserveForGroup(now time.Duration, group, id string, tokens int64, maxWait time.Duration) (time.Duration, error) {
	if !b.open {
		return 0, notOpen()
	}
	if tokens < 0 || tokens > b.burst/nanotokensPerToken {
		return 0, b.exceedsBurst(tokens)
	}
	b.advance(now)
	if r, ok := b.reservations[id]; ok {
		return b.estimateWait(r), nil
	}
	r := &reservation{id: id, remaining: tokens * nanotokensPerToken, expiresAt: b.updatedAt + maxWait}
	if len(b.waiting) == 0 && r.remaining <= b.level {
		b.reservations[id] = r
		b.grant(r)
		return 0, nil
	}
	r.startTag = b.nextStartTag(group)
	queuedAhead := b.queuedAhead(r)
	wait := b.timeToFill(queuedAhead + r.remaining - b.level)
	if b.timeToFill(queuedAhead+r.remaining-b.level-b.outstanding) > maxWait || len(b.waiting) >= b.maxWaiting() {
		return 0, b.rateExceeded().WithRetryAfter(wait)
	}
	b.reservations[id] = r
	b.enqueue(r, group)
	return wait, nil
}

// nextStartTag returns the start tag of a new reservation of the group. It resets virtual time if no reservation waits.
func (b *TokenBucket) nextStartTag(group string) int64 {
	if b.finishTags == nil || len(b.waiting) == 0 {
		b.finishTags = map[string]int64{}
		b.virtualTime = 0
	}
	return max(b.virtualTime, b.finishTags[group])
}

// enqueue inserts the reservation after those with an equal or smaller start tag: in order of arrival within a group,
// and fairly between groups (start-time fair queueing, Goyal, Vin and Cheng 1996).
func (b *TokenBucket) enqueue(r *reservation, group string) {
	b.finishTags[group] = r.startTag + r.remaining
	position := len(b.waiting)
	for position > 0 && b.waiting[position-1].startTag > r.startTag {
		position--
	}
	b.waiting = slices.Insert(b.waiting, position, r)
}

// Advance refuses waiting reservations whose maximum wait is over or that exceed a lowered burst, and grants the others
// in order as the level allows. It returns their IDs and the time until it should be called again, zero if none waits.
func (b *TokenBucket) Advance(now time.Duration) (granted, refused []string, nextAdvance time.Duration) {
	b.advance(now)
	refused = b.refuseOverdue()
	for len(b.waiting) > 0 && b.waiting[0].remaining <= b.level {
		r := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.virtualTime = r.startTag
		b.grant(r)
		granted = append(granted, r.id)
	}
	return granted, refused, b.nextAdvance()
}

// Cancel releases a waiting or granted reservation whose work was not sent.
func (b *TokenBucket) Cancel(now time.Duration, id string) {
	b.Release(now, id)
}

// Consume deducts consumed tokens from a reservation. Tokens beyond the reservation are deducted from the level, which
// may become negative, and an error is returned.
func (b *TokenBucket) Consume(now time.Duration, id string, consumed int64) error {
	b.advance(now)
	if consumed < 0 || consumed > maxTokens {
		return errors.Errorf("consume from reservation %s: %d tokens are out of range", id, consumed)
	}
	uncovered := consumed * nanotokensPerToken
	r, ok := b.reservations[id]
	if ok && r.granted {
		covered := min(uncovered, r.remaining)
		r.remaining -= covered
		b.outstanding -= covered
		uncovered -= covered
	}
	if uncovered == 0 {
		return nil
	}
	b.level = max(b.level-uncovered, -maxTokens*nanotokensPerToken)
	return errors.Errorf("consume from reservation %s: %d tokens consumed, %.3f more than were reserved", id, consumed, float64(uncovered)/nanotokensPerToken)
}

// Release removes a reservation and returns its remaining tokens to the level at once; an unknown ID is ignored.
func (b *TokenBucket) Release(now time.Duration, id string) {
	b.advance(now)
	r, ok := b.reservations[id]
	if !ok {
		return
	}
	delete(b.reservations, id)
	r.released = true
	if !r.granted {
		b.waiting = remove(b.waiting, r)
		return
	}
	b.outstanding -= r.remaining
	b.level += r.remaining
	b.clampLevel()
}

// SetLimits applies a new rate and burst. Granted reservations stay; the level is capped at the new burst less these.
func (b *TokenBucket) SetLimits(now time.Duration, account fuchsiaspoke.ClientAccount) error {
	rate, burst, err := limitsInNanotokens(account)
	if err != nil {
		return errors.Wrapf(err, "set limits of client account %s", account.Name)
	}
	if !b.open {
		return notOpen()
	}
	b.advance(now)
	b.account = account
	b.rate = rate
	b.burst = burst
	b.remainder = 0
	b.clampLevel()
	return nil
}

func (b *TokenBucket) maxAge() time.Duration {
	if b.MaxAge <= 0 {
		return defaultMaxAge
	}
	return b.MaxAge
}

func (b *TokenBucket) maxWaiting() int {
	if b.MaxWaiting <= 0 {
		return defaultMaxWaiting
	}
	return b.MaxWaiting
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

// remove returns the queue without r.
func remove(waiting []*reservation, r *reservation) []*reservation {
	for n, w := range waiting {
		if w == r {
			return append(waiting[:n], waiting[n+1:]...)
		}
	}
	return waiting
}
