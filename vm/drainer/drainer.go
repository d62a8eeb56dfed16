// Package drainer ends the requests of a VM that stops in an order in which each of them is answered.
package drainer

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

// ErrDraining is the cause with which a context of WithWaits or WithRuns ends when the VM stops.
var ErrDraining = errors.New("the VM is stopping")

// Drainer knows in which phase of its stop a VM is. Its zero value is that of a VM that does not stop, and so is nil.
type Drainer struct {
	mu      sync.Mutex
	began   time.Time
	phases  fuchsiaspoke.StopPhases
	waiting phase
	running phase
}

// phase ends once.
type phase struct {
	ctx context.Context
	end context.CancelFunc
}

// init prepares the phases. The caller holds mu.
func (d *Drainer) init() {
	if d.waiting.ctx != nil {
		return
	}
	d.waiting.ctx, d.waiting.end = context.WithCancel(context.Background())
	d.running.ctx, d.running.end = context.WithCancel(context.Background())
}

// Begin begins the stop. Later calls have no effect.
func (d *Drainer) Begin(p fuchsiaspoke.StopPhases) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.began.IsZero() {
		return
	}
	d.init()
	d.began, d.phases = time.Now(), p
	time.AfterFunc(p.Waits, d.waiting.end)
	time.AfterFunc(p.Runs, d.running.end)
}

// Draining reports whether the stop has begun.
func (d *Drainer) Draining() bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.began.IsZero()
}

// Since returns for how long the VM has been stopping; 0 if it isn't.
func (d *Drainer) Since() time.Duration {
	if !d.Draining() {
		return 0
	}
	return max(time.Since(d.began), 1)
}

// Takes reports whether a new request is still accepted that may last for the time longest, and mostly ends within the time usual; 0 is not
// known. It is refused early if it would probably be cut, as another VM can complete it.
func (d *Drainer) Takes(longest, usual time.Duration) bool {
	since := d.Since()
	return since == 0 || since < d.phases.Waits && d.Outlasts(longest) || since < d.phases.Accepts && d.Outlasts(usual)
}

// Outlasts reports whether the VM goes on for as long as a request may last that begins now.
func (d *Drainer) Outlasts(longest time.Duration) bool { return longest <= d.RunLeft(longest) }

// Left returns how long the process goes on, at most the time most.
func (d *Drainer) Left(most time.Duration) time.Duration {
	return d.until(most, func(p fuchsiaspoke.StopPhases) time.Duration { return p.End })
}

// CloseLeft returns how much longer links from other VMs may stay open, at most the time most.
func (d *Drainer) CloseLeft(most time.Duration) time.Duration {
	return d.until(most, func(p fuchsiaspoke.StopPhases) time.Duration { return p.Closes })
}

// WaitLeft returns how much longer a request may wait to be sent, at most the time most.
func (d *Drainer) WaitLeft(most time.Duration) time.Duration {
	return d.until(most, func(p fuchsiaspoke.StopPhases) time.Duration { return p.Waits })
}

// RunLeft returns how much longer a request may run, at most the time most.
func (d *Drainer) RunLeft(most time.Duration) time.Duration {
	return d.until(most, func(p fuchsiaspoke.StopPhases) time.Duration { return p.Runs })
}

// until returns the time left of a phase that lasts until end, at most the time most.
func (d *Drainer) until(most time.Duration, end func(fuchsiaspoke.StopPhases) time.Duration) time.Duration {
	if !d.Draining() {
		return most
	}
	return min(most, max(end(d.phases)-time.Since(d.began), 0))
}

// WithWaits returns a context that ends with ErrDraining as its cause once requests may no longer wait to be sent.
func (d *Drainer) WithWaits(ctx context.Context) (context.Context, context.CancelFunc) {
	return d.with(ctx, func() phase { return d.waiting })
}

// WithRuns returns a context that ends with ErrDraining as its cause once requests may no longer run.
func (d *Drainer) WithRuns(ctx context.Context) (context.Context, context.CancelFunc) {
	return d.with(ctx, func() phase { return d.running })
}

func (d *Drainer) with(ctx context.Context, of func() phase) (context.Context, context.CancelFunc) {
	if d == nil {
		return context.WithCancel(ctx)
	}
	d.mu.Lock()
	d.init()
	ends := of().ctx
	d.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(ends, func() { cancel(ErrDraining) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}
