// Package accountant keeps virtual token counters, by which client accounts share a resource fairly.
package accountant

// Account is the counter of one account. Value is what the counter belongs to.
type Account[T any] struct {
	Value T
	// Tokens is the virtual token counter: what the account was charged, in weighted tokens.
	Tokens int64

	index int
}

// Accountant orders the accounts that wait by their counters; its zero value is ready.
//
// The method is that of Sheng et al., Fairness in Serving Large Language Models, OSDI 2024: the account with the lowest counter is
// served first, and an account that becomes active again is lifted to the lowest active counter, so that it earns no credit while
// idle. An Accountant is not safe for concurrent use.
type Accountant[T any] struct {
	active []*Account[T]
	// lastDeactivated is the counter of the account that was deactivated last.
	lastDeactivated int64
}

// Active returns the active accounts, lowest counter first. The caller must not modify the slice, nor use it after a change.
func (c *Accountant[T]) Active() []*Account[T] { return c.active }

// Activate adds an account that begins to wait. It lifts the account's counter to the lowest active counter or, if no account is
// active, to the counter of the account that was deactivated last.
func (c *Accountant[T]) Activate(a *Account[T]) {
	floor := c.lastDeactivated
	if len(c.active) > 0 {
		floor = c.active[0].Tokens
	}
	a.Tokens = max(a.Tokens, floor)
	a.index = len(c.active)
	c.active = append(c.active, a)
	c.reposition(a)
}

// Deactivate removes an active account that no longer waits.
func (c *Accountant[T]) Deactivate(a *Account[T]) {
	copy(c.active[a.index:], c.active[a.index+1:])
	c.active[len(c.active)-1] = nil
	c.active = c.active[:len(c.active)-1]
	for i := a.index; i < len(c.active); i++ {
		c.active[i].index = i
	}
	c.lastDeactivated = a.Tokens
}

// Charge adds weighted tokens to the counter of an account, and restores the order if the account is active.
func (c *Accountant[T]) Charge(a *Account[T], tokens int64, active bool) {
	a.Tokens += tokens
	if active {
		c.reposition(a)
	}
}

// LiftLagging raises the counters of the active accounts to at least the limit, and returns the lowest of them; nil if no account is
// active.
func (c *Accountant[T]) LiftLagging(limit int64) *Account[T] {
	for _, a := range c.active {
		if a.Tokens >= limit {
			break
		}
		a.Tokens = limit
	}
	if len(c.active) == 0 {
		return nil
	}
	return c.active[0]
}

// reposition restores the order of the active accounts after one counter changed.
func (c *Accountant[T]) reposition(a *Account[T]) {
	for a.index > 0 && c.active[a.index-1].Tokens > a.Tokens {
		c.swapWithNext(a.index - 1)
	}
	for a.index+1 < len(c.active) && c.active[a.index+1].Tokens <= a.Tokens {
		c.swapWithNext(a.index)
	}
}

// swapWithNext swaps the active accounts at i and i+1.
func (c *Accountant[T]) swapWithNext(i int) {
	c.active[i], c.active[i+1] = c.active[i+1], c.active[i]
	c.active[i].index = i
	c.active[i+1].index = i + 1
}
