// Package sleeper waits for a time that a context can cut short.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, and reports whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
