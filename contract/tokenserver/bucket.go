package tokenserver

import (
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/tokenbucket"
)

// announcement is the likely cost of a request that is still queued and has no reservation yet.
type announcement struct {
	tokens    int64
	expiresAt time.Duration
}

// bucket is the token bucket of one client account for the term of one lease.
type bucket struct {
	name  string
	fence int64
	clock func() time.Duration

	mu          sync.Mutex
	tokenBucket tokenbucket.TokenBucket
	// adopted is closed once the bucket has adopted the unfinished reservations of all VMs and may grant.
	adopted chan struct{}
	closed  bool
	// waiters are the channels of waiting reservations by ID; each receives whether the reservation was granted.
	waiters map[string]chan bool
	account fuchsiaspoke.ClientAccount
	// announcements holds the tokens that requests will reserve later, by ID.
	announcements map[string]announcement
	// consumed is the consumption deducted so far by reservation: updates carry totals and may arrive out of order.
	consumed map[string]int64
	timer    *time.Timer
}

func newBucket(name string, fence int64, clock func() time.Duration) *bucket {
	return &bucket{
		name: name, fence: fence, clock: clock,
		adopted: make(chan struct{}), waiters: make(map[string]chan bool),
		announcements: make(map[string]announcement), consumed: make(map[string]int64),
	}
}

// open opens the bucket with the level that the previous holder handed over, zero if none, and adopts the reservations
// whose work is still running.
func (b *bucket) open(account fuchsiaspoke.ClientAccount, handedOverTokens int64, unfinished []fuchsiaspoke.OpenReservation) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	if err := b.tokenBucket.Open(now, account, b.fence); err != nil {
		return err
	}
	b.account = account
	b.tokenBucket.Restore(now, handedOverTokens)
	for _, reservation := range unfinished {
		if err := b.tokenBucket.Adopt(now, reservation.ID, reservation.Tokens-reservation.Consumed); err != nil {
			return err
		}
		b.consumed[reservation.ID] = reservation.Consumed
	}
	close(b.adopted)
	return nil
}

// reserve reports whether the tokens are granted at once. If not, the reservation is queued, and the returned channel
// receives true when it is granted or false when it is refused.
func (b *bucket) reserve(req fuchsiaspoke.TokenRequest) (granted bool, outcome chan bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false, nil, leaseNotHeld(b.name)
	}
	wait, err := b.tokenBucket.ReserveForGroup(b.clock(), req.Group, req.ID, req.Tokens, req.MaxWait)
	if err == nil && wait == 0 {
		delete(b.announcements, req.ID)
	}
	if err != nil || wait == 0 {
		return err == nil, nil, err
	}
	outcome = make(chan bool, 1)
	b.waiters[req.ID] = outcome
	b.advance()
	return false, outcome, nil
}

// announce records the request's likely cost. It refuses the request if the tokens of all announcements together with
// its own will not be available within its maximum wait, or if its own exceed the burst.
func (b *bucket) announce(req fuchsiaspoke.TokenRequest) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return leaseNotHeld(b.name)
	}
	now := b.clock()
	b.tokenBucket.Advance(now)
	announcedTokens := req.LikelyTokens
	for id, other := range b.announcements {
		if other.expiresAt <= now {
			delete(b.announcements, id)
			continue
		}
		announcedTokens += other.tokens
	}
	if req.LikelyTokens > int64(b.account.BurstTokens) {
		return exceedsBurst(b.name)
	}
	shortfall := float64(announcedTokens - b.tokenBucket.Level())
	estimatedWait := time.Duration(shortfall / b.account.RateTokensPerSecond * float64(time.Second))
	if estimatedWait > req.MaxWait {
		return rateExceeded(b.name, estimatedWait)
	}
	b.announcements[req.ID] = announcement{tokens: req.LikelyTokens, expiresAt: now + req.MaxWait}
	return nil
}

// cancel withdraws a reservation whose caller has stopped waiting.
func (b *bucket) cancel(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiters, id)
	b.tokenBucket.Cancel(b.clock(), id)
	b.advance()
}

// update deducts what the update's total adds to the consumption so far, and releases a finished reservation. An update
// that cancels an announcement only removes that.
func (b *bucket) update(update fuchsiaspoke.TokenUpdate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	if update.CancelAnnouncement {
		delete(b.announcements, update.ID)
		return
	}
	now := b.clock()
	if newlyConsumed := update.Consumed - b.consumed[update.ID]; newlyConsumed > 0 {
		// An overrun is not an error here: Consume deducts it from the level.
		_ = b.tokenBucket.Consume(now, update.ID, newlyConsumed)
		b.consumed[update.ID] = update.Consumed
	}
	if update.Finished {
		b.tokenBucket.Release(now, update.ID)
		delete(b.consumed, update.ID)
	}
	b.advance()
}

// setLimits applies the client account's rate and burst if the bucket is open.
func (b *bucket) setLimits(account fuchsiaspoke.ClientAccount) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || !b.isOpen() {
		return nil
	}
	b.account = account
	err := b.tokenBucket.SetLimits(b.clock(), account)
	b.advance()
	return err
}

// close closes the bucket, refuses waiting reservations, and returns the tokens to hand over to the next lease holder:
// zero if it was already closed.
func (b *bucket) close() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0
	}
	b.closed = true
	if b.timer != nil {
		b.timer.Stop()
	}
	b.tokenBucket.Advance(b.clock())
	level := b.tokenBucket.Level()
	b.tokenBucket.Close()
	for id, outcome := range b.waiters {
		outcome <- false
		delete(b.waiters, id)
	}
	return level
}

// state returns the number of waiting reservations, and the level and outstanding tokens if the bucket is open.
func (b *bucket) state() fuchsiaspoke.AccountState {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := fuchsiaspoke.AccountState{Account: b.name, Waiting: len(b.waiters)}
	if b.closed || !b.isOpen() {
		return state
	}
	state.LevelTokens = b.tokenBucket.Level()
	for _, tokens := range b.tokenBucket.Outstanding() {
		state.OutstandingTokens += tokens
	}
	return state
}

// isOpen reports whether the bucket was opened; it stays true after close.
func (b *bucket) isOpen() bool {
	select {
	case <-b.adopted:
		return true
	default:
		return false
	}
}

// advance grants or refuses waiting reservations that are due and sets the timer for the next. The caller must hold mu.
func (b *bucket) advance() {
	if b.closed {
		return
	}
	granted, refused, next := b.tokenBucket.Advance(b.clock())
	b.notify(granted, true)
	b.notify(refused, false)
	if next <= 0 {
		return
	}
	if b.timer != nil {
		b.timer.Stop()
	}
	b.timer = time.AfterFunc(next, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.advance()
	})
}

// notify sends the outcome to the waiters of the given reservations.
func (b *bucket) notify(ids []string, granted bool) {
	for _, id := range ids {
		if outcome, ok := b.waiters[id]; ok {
			outcome <- granted
			delete(b.waiters, id)
		}
	}
}
