// Package usagecounter counts requests and tokens by client account, outcome and cause, for a bounded number of accounts.
package usagecounter

import (
	"cmp"
	"slices"
	"sync"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// MaxAccounts is the number of accounts with counters of their own; all others are counted together.
	MaxAccounts = 20
	// Other is the name under which the remaining accounts are counted.
	Other = "other"
	// promotionRatio is how much larger than the smallest named account another one must be to take its place, so that two
	// accounts of about the same size do not take turns.
	promotionRatio = 1.25
	// sizeHalfLife is the number of requests after which the sizes of all accounts are halved, so that accounts that were large
	// long ago give their places up.
	sizeHalfLife = 1 << 16
	// maxSizes bounds the accounts whose size is known.
	maxSizes = 1024
)

// UsageCounter counts for the MaxAccounts largest accounts and, together, for all others. An account that is no longer among the
// largest is added to the others, so that no counter decreases and the sums over all accounts stay right. Its zero value is ready,
// and several goroutines may use it.
type UsageCounter struct {
	mu     sync.Mutex
	named  map[string]map[series]Count
	others map[series]Count
	// sizes holds the charged tokens and the number of requests of each account, halved at each half-life.
	sizes map[string]float64
	// sinceHalved is the number of requests since sizes was last halved.
	sinceHalved int
}

type series struct {
	outcome fuchsiaspoke.UseOutcome
	cause   fuchsiaspoke.RefusalCode
}

// Count is the number of requests of an account with one outcome and cause, and their tokens.
type Count struct {
	Account  string
	Outcome  fuchsiaspoke.UseOutcome
	Cause    fuchsiaspoke.RefusalCode
	Requests int64
	Tokens   float64
}

// Record counts one request.
func (u *UsageCounter) Record(use fuchsiaspoke.AccountUse) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.named == nil {
		u.named, u.others, u.sizes = make(map[string]map[series]Count), make(map[series]Count), make(map[string]float64)
	}
	if use.Outcome == fuchsiaspoke.UseRequested {
		u.grow(use)
	}
	counts := u.counts(use.Account)
	key := series{use.Outcome, use.Cause}
	c := counts[key]
	c.Requests++
	c.Tokens += use.Tokens
	counts[key] = c
}

// Counts returns all counts, by account, outcome and cause.
func (u *UsageCounter) Counts() []Count {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []Count
	add := func(account string, counts map[series]Count) {
		for key, c := range counts {
			c.Account, c.Outcome, c.Cause = account, key.outcome, key.cause
			out = append(out, c)
		}
	}
	for account, counts := range u.named {
		add(account, counts)
	}
	add(Other, u.others)
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// counts returns the counts to which the account's requests are added. A further account gets counts of its own while there are
// fewer than MaxAccounts, and otherwise if it is larger than the smallest of them.
func (u *UsageCounter) counts(account string) map[series]Count {
	if counts := u.named[account]; counts != nil {
		return counts
	}
	if account == Other {
		return u.others
	}
	if len(u.named) >= MaxAccounts && !u.evictSmallerThan(u.sizes[account]/promotionRatio) {
		return u.others
	}
	counts := make(map[series]Count)
	u.named[account] = counts
	return counts
}

// evictSmallerThan adds the counts of the smallest named account to those of the others, if its size is below the given one.
func (u *UsageCounter) evictSmallerThan(size float64) bool {
	smallest := ""
	found := false
	for account := range u.named {
		if !found || u.sizes[account] < u.sizes[smallest] || u.sizes[account] == u.sizes[smallest] && account < smallest {
			smallest, found = account, true
		}
	}
	if u.sizes[smallest] >= size {
		return false
	}
	for key, c := range u.named[smallest] {
		sum := u.others[key]
		sum.Requests += c.Requests
		sum.Tokens += c.Tokens
		u.others[key] = sum
	}
	delete(u.named, smallest)
	return true
}

// grow adds a request to the size of its account.
func (u *UsageCounter) grow(use fuchsiaspoke.AccountUse) {
	if _, known := u.sizes[use.Account]; !known && len(u.sizes) >= maxSizes {
		u.forgetUnnamed()
	}
	u.sizes[use.Account] += 1 + use.Tokens
	if u.sinceHalved++; u.sinceHalved < sizeHalfLife {
		return
	}
	u.sinceHalved = 0
	for account := range u.sizes {
		u.sizes[account] /= 2
	}
}

// forgetUnnamed drops the sizes of all accounts without counters of their own.
func (u *UsageCounter) forgetUnnamed() {
	for account := range u.sizes {
		if u.named[account] == nil {
			delete(u.sizes, account)
		}
	}
}
