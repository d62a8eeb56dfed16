// Package bytelender bounds the memory that peers make a process hold at once.
package bytelender

import "sync/atomic"

// Lender lends bytes of a bounded memory. Its zero value lends without a bound.
type Lender struct {
	// Limit is the number of bytes that may be lent at once; 0 is any.
	Limit int64

	lent atomic.Int64
}

// Lend reports whether n more bytes may be held, and counts them as lent if so.
func (l *Lender) Lend(n int64) bool {
	if lent := l.lent.Add(n); l.Limit > 0 && lent > l.Limit {
		l.lent.Add(-n)
		return false
	}
	return true
}

// TakeBack ends the loan of n bytes.
func (l *Lender) TakeBack(n int64) { l.lent.Add(-n) }

// Lent returns the number of bytes that are lent.
func (l *Lender) Lent() int64 { return l.lent.Load() }
