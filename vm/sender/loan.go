package sender

import (
	"sync/atomic"

	"github.com/fuchsiaspoke/fuchsiaspoke/vm/bytelender"
)

// loan is what the whole responses and incomplete events of one request have borrowed. Copies of the request's state share it, as their attempts
// run at once. A nil loan borrows without a bound.
type loan struct {
	lender *bytelender.Lender
	bytes  atomic.Int64
}

// borrow reports whether n more bytes may be held.
func (l *loan) borrow(n int64) bool {
	if l == nil || l.lender == nil {
		return true
	}
	if !l.lender.Lend(n) {
		return false
	}
	l.bytes.Add(n)
	return true
}

// giveBack ends the loan of n bytes.
func (l *loan) giveBack(n int64) {
	if l == nil || l.lender == nil {
		return
	}
	l.bytes.Add(-n)
	l.lender.TakeBack(n)
}

// end gives back everything. The request must have ended, with all of its attempts.
func (l *loan) end() { l.giveBack(l.bytes.Load()) }
