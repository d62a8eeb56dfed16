package dispatcher

import (
	"context"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// leaseTerm is one period of holding the lease, or of not holding it; results that carry the number of an earlier term
// are ignored. held says that this VM holds the lease, claiming that a claim of the engine is in progress, and active that the
// engine has accepted the claim.
type leaseTerm struct {
	number      int64
	fence       int64
	held        bool
	active      bool
	claiming    bool
	nextClaimAt time.Duration
}

// syncLease ends the term when the lease is lost, starts one when a lease is acquired, and claims the engine.
func (d *Dispatcher) syncLease(now time.Duration) {
	lease, ok := d.Lease(now)
	if d.term.held && (!ok || lease.Fence != d.term.fence) {
		d.endTerm()
	}
	if !ok || d.workerCtx.Err() != nil {
		return
	}
	if !d.term.held {
		d.term = leaseTerm{number: d.term.number + 1, fence: lease.Fence, held: true}
	}
	if !d.term.active && !d.term.claiming && now >= d.term.nextClaimAt {
		d.claim(now)
	}
}

// endTerm starts a term without the lease and refuses the queued generations as not run.
func (d *Dispatcher) endTerm() {
	if !d.term.held {
		return
	}
	d.term = leaseTerm{number: d.term.number + 1}
	d.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventLeaseLost})
	d.refuseQueued(leaseLostRefusal())
}

// claim sets this term's fencing token at the engine and requests a report of what it runs.
func (d *Dispatcher) claim(now time.Duration) {
	d.term.claiming = true
	termNumber, fence := d.term.number, d.term.fence
	d.spawn(func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		report, err := d.Engine.Claim(ctx, fence)
		return claimResult{termNumber: termNumber, sentAt: now, report: report, err: err}
	})
}
