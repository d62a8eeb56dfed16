package dispatcher

import (
	"context"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// tenure is one time of holding the lease; a number of its own tells outcomes of earlier tenures apart.
type tenure struct {
	number   int64
	fence    int64
	held     bool
	active   bool
	claiming bool
	claimAt  time.Duration
}

// followLease takes up a lease that is new and gives up one that is gone.
func (d *Dispatcher) followLease(now time.Duration) {
	lease, ok := d.Lease(now)
	if d.tenure.held && (!ok || lease.Fence != d.tenure.fence) {
		d.loseLease()
	}
	if !ok || d.workers.Err() != nil {
		return
	}
	if !d.tenure.held {
		d.tenure = tenure{number: d.tenure.number + 1, fence: lease.Fence, held: true}
	}
	if !d.tenure.active && !d.tenure.claiming && now >= d.tenure.claimAt {
		d.claim(now)
	}
}

// loseLease refuses the queue as not run; outcomes that come later belong to a tenure that is over.
func (d *Dispatcher) loseLease() {
	if !d.tenure.held {
		return
	}
	d.tenure = tenure{number: d.tenure.number + 1}
	d.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventLeaseLost})
	d.refuseQueued(leaseRefusal())
}

// claim orders the engine to follow this tenure's fence and asks what it runs.
func (d *Dispatcher) claim(now time.Duration) {
	d.tenure.claiming = true
	number, fence := d.tenure.number, d.tenure.fence
	d.spawn(func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		report, err := d.Engine.Claim(ctx, fence)
		return claimed{number: number, at: now, report: report, err: err}
	})
}
