// Package retrylimiter limits the retries of one VM, so that retries cannot amplify an outage.
package retrylimiter

import (
	"cmp"
	"sync"
)

const (
	// defaultPerRequest is the number of retries that each first attempt earns.
	defaultPerRequest = 0.2
	// defaultReserve is the largest number of unused retries.
	defaultReserve = 20
)

// RetryLimiter is a retry budget: by default, retries are at most a fifth of first attempts beyond a reserve of 20.
//
// The method follows the retry budgets of Finagle and of Beyer et al., Site Reliability Engineering, 2016, chapter 21.
type RetryLimiter struct {
	// Reserve is the largest number of unused retries, and the budget at the start; 0 means 20.
	Reserve float64
	// PerRequest is the number of retries that each first attempt earns; 0 means a fifth.
	PerRequest float64

	mu sync.Mutex
	// spent is the number of retries taken and not yet earned back by first attempts.
	spent float64
}

// Add credits the budget for a first attempt.
func (l *RetryLimiter) Add() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spent = max(l.spent-cmp.Or(l.PerRequest, defaultPerRequest), 0)
}

// Take reports whether a retry is within the budget, and deducts it if so.
func (l *RetryLimiter) Take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.spent+1 > cmp.Or(l.Reserve, defaultReserve) {
		return false
	}
	l.spent++
	return true
}

// Return gives back a retry that was taken and not made.
func (l *RetryLimiter) Return() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spent = max(l.spent-1, 0)
}
