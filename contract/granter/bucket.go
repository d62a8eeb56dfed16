package granter

import (
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/minter"
)

// announcement is work that waits elsewhere and has no reservation yet.
type announcement struct {
	tokens int64
	until  time.Duration
}

// bucket is the token bucket of one client account under one lease.
type bucket struct {
	name  string
	fence int64
	clock func() time.Duration

	mu     sync.Mutex
	minter minter.Minter
	// opened is closed once the bucket has adopted what other VMs still use.
	opened  chan struct{}
	closed  bool
	waiters map[string]chan bool
	account fuchsiaspoke.ClientAccount
	// announced are the tokens that will be reserved later, by request.
	announced map[string]announcement
	// consumed is the use already settled of each reservation, since reports carry the sum and may come out of order.
	consumed map[string]int64
	timer    *time.Timer
}

func newBucket(name string, fence int64, clock func() time.Duration) *bucket {
	return &bucket{
		name: name, fence: fence, clock: clock,
		opened: make(chan struct{}), waiters: make(map[string]chan bool), announced: make(map[string]announcement), consumed: make(map[string]int64),
	}
}

// open starts the bucket empty, but for what its predecessor handed over, and adopts what still runs.
func (b *bucket) open(account fuchsiaspoke.ClientAccount, credit int64, running []fuchsiaspoke.TokenUse) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	if err := b.minter.Open(now, account, b.fence); err != nil {
		return err
	}
	b.account = account
	b.minter.Restore(now, credit)
	for _, use := range running {
		if err := b.minter.Adopt(now, use.ID, use.Tokens-use.Consumed); err != nil {
			return err
		}
		b.consumed[use.ID] = use.Consumed
	}
	close(b.opened)
	return nil
}

// reserve returns whether the tokens are granted; otherwise the channel tells, and false on it means that they were not.
func (b *bucket) reserve(ask fuchsiaspoke.TokenAsk) (granted bool, later chan bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false, nil, notHeld(b.name)
	}
	wait, err := b.minter.ReserveFor(b.clock(), ask.Group, ask.ID, ask.Tokens, ask.Patience)
	if err == nil && wait == 0 {
		delete(b.announced, ask.ID)
	}
	if err != nil || wait == 0 {
		return err == nil, nil, err
	}
	later = make(chan bool, 1)
	b.waiters[ask.ID] = later
	b.advance()
	return false, later, nil
}

// announce forecasts when the tokens could be reserved, after all that were announced before, and refuses what comes too late.
func (b *bucket) announce(ask fuchsiaspoke.TokenAsk) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return notHeld(b.name)
	}
	now := b.clock()
	b.minter.Advance(now)
	ahead := ask.Likely
	for id, other := range b.announced {
		if other.until <= now {
			delete(b.announced, id)
			continue
		}
		ahead += other.tokens
	}
	if ask.Likely > int64(b.account.BurstTokens) {
		return neverGranted(b.name)
	}
	short := float64(ahead - b.minter.Level())
	wait := time.Duration(short / b.account.RateTokensPerSecond * float64(time.Second))
	if wait > ask.Patience {
		return rateExceeded(b.name, wait)
	}
	b.announced[ask.ID] = announcement{tokens: ask.Likely, until: now + ask.Patience}
	return nil
}

func (b *bucket) cancel(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiters, id)
	b.minter.Cancel(b.clock(), id)
	b.advance()
}

func (b *bucket) update(update fuchsiaspoke.TokenUpdate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	if update.Unsent {
		delete(b.announced, update.ID)
		return
	}
	now := b.clock()
	if more := update.Consumed - b.consumed[update.ID]; more > 0 {
		// An overrun is taken from the level by the minter.
		_ = b.minter.Settle(now, update.ID, more)
		b.consumed[update.ID] = update.Consumed
	}
	if update.Finished {
		b.minter.Finish(now, update.ID)
		delete(b.consumed, update.ID)
	}
	b.advance()
}

func (b *bucket) change(account fuchsiaspoke.ClientAccount) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || !b.isOpen() {
		return nil
	}
	b.account = account
	err := b.minter.Change(b.clock(), account)
	b.advance()
	return err
}

// close ends the bucket and returns the level that a successor may be credited with.
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
	b.minter.Advance(b.clock())
	level := b.minter.Level()
	b.minter.Close()
	for id, later := range b.waiters {
		later <- false
		delete(b.waiters, id)
	}
	return level
}

func (b *bucket) state() fuchsiaspoke.AccountState {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := fuchsiaspoke.AccountState{Account: b.name, Waiting: len(b.waiters)}
	if b.closed || !b.isOpen() {
		return state
	}
	state.LevelTokens = b.minter.Level()
	for _, rest := range b.minter.Outstanding() {
		state.OutstandingTokens += rest
	}
	return state
}

func (b *bucket) isOpen() bool {
	select {
	case <-b.opened:
		return true
	default:
		return false
	}
}

// advance tells those whose turn has come, and sets the timer for the next; mu is held.
func (b *bucket) advance() {
	if b.closed {
		return
	}
	granted, refused, next := b.minter.Advance(b.clock())
	b.tell(granted, true)
	b.tell(refused, false)
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

func (b *bucket) tell(ids []string, granted bool) {
	for _, id := range ids {
		if later, ok := b.waiters[id]; ok {
			later <- granted
			delete(b.waiters, id)
		}
	}
}
