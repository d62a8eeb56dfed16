package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// maxConcurrentLoads is the maximum number of concurrent adapter loads on one engine.
	maxConcurrentLoads = 2
	// maxLoadAttempts is how often a failing load is attempted before the requests that wait for it are refused.
	maxLoadAttempts = 4
	// firstBackoff and maxBackoff bound the wait between two attempts of one load.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// failureExpiry is how long after its backoff an adapter's failed attempts still count.
	failureExpiry = time.Minute
	// maxBackoffExponent bounds the exponent of a backoff.
	maxBackoffExponent = 6
	// evictWantedAfter is how long a request waits before its load may evict an adapter that only requests behind it
	// in the queue wait for.
	evictWantedAfter = 500 * time.Millisecond
	// drainSlotAfter is how long a request waits before the least used slot stops accepting new requests, so that it
	// becomes free for the request's adapter.
	drainSlotAfter = time.Second
	// minLeaseForUnload is the minimum remaining lease for sending an unload, whose context ends with the lease.
	minLeaseForUnload = 500 * time.Millisecond
)

var (
	errLeaseLost       = errors.New("lease lost or about to expire before the load or unload was sent")
	errVictimInUse     = errors.New("engine still runs requests on the adapter to unload")
	errEngineRestarted = errors.New("engine restarted since the unload was decided")
)

// loaderState is the state of adapter loads and permits.
type loaderState struct {
	// permitPending holds the client accounts with a pending permit request. Each account has its own request, so that
	// a slow permit for one account does not delay the others. A permit is used for the load that
	// nextLoad returns when it arrives, for any account.
	permitPending map[string]bool
	// activeLoads is the number of load operations in progress, including those that still unload their victim.
	activeLoads int
	failures    map[fuchsiaspoke.Adapter]loadFailure
	// adaptersAhead lists the adapters with a slot that requests ahead of the one nextLoad looks at need.
	adaptersAhead []fuchsiaspoke.Adapter
	// nextPermitAt is the earliest time of the next permit request; it is set after a permit request or an unload failed.
	nextPermitAt time.Duration
}

// loadFailure counts the failed load attempts of one adapter.
type loadFailure struct {
	attempts int
	retryAt  time.Duration
}

// loadOperation is one adapter load, preceded by the unload of victim if evict is set.
type loadOperation struct {
	termNumber int64
	fence      int64
	adapter    fuchsiaspoke.Adapter
	victim     fuchsiaspoke.Adapter
	evict      bool
	// incarnation is the engine's incarnation when the load was decided.
	incarnation string
	// release releases the load permit.
	release func(used bool)
}

// loadCandidate is an adapter to load and, if evict is set, the victim to evict for it.
type loadCandidate struct {
	account string
	adapter fuchsiaspoke.Adapter
	victim  fuchsiaspoke.Adapter
	evict   bool
}

// requestLoadPermit requests a permit if an adapter can be loaded; the adapter is chosen when the permit arrives.
func (d *Dispatcher) requestLoadPermit(now time.Duration) {
	if !d.term.active || d.loader.activeLoads >= maxConcurrentLoads || now < d.loader.nextPermitAt {
		return
	}
	candidate, ok := d.nextLoad(now, func(account string) bool { return !d.loader.permitPending[account] })
	if !ok {
		return
	}
	d.loader.permitPending[candidate.account] = true
	d.spawn(func(ctx context.Context) message {
		if d.Permits == nil {
			return permitResult{account: candidate.account, release: func(bool) {}}
		}
		release, err := d.Permits.Acquire(ctx, candidate.account)
		return permitResult{account: candidate.account, release: release, err: err}
	})
}

// nextLoad returns the next adapter to load and reports whether there is one. It is the first adapter in the order of
// OldestPerAdapter that has no slot, is not in backoff, belongs to a request of an eligible client account, and can use a
// free slot or that of a victim. If a request that has waited for drainSlotAfter finds neither, the least used slot starts
// to drain.
func (d *Dispatcher) nextLoad(now time.Duration, isEligible func(account string) bool) (loadCandidate, bool) {
	var found loadCandidate
	ok := false
	d.loader.adaptersAhead = d.loader.adaptersAhead[:0]
	d.queue.OldestPerAdapter(func(g fuchsiaspoke.Generation, since time.Duration) bool {
		if !d.slots.NeedLoad(g.Adapter) {
			d.loader.adaptersAhead = append(d.loader.adaptersAhead, g.Adapter)
			return true
		}
		if !isEligible(g.Account) || now < d.loader.failures[g.Adapter].retryAt {
			return true
		}
		found.adapter = g.Adapter
		found.account = g.Account
		if d.slots.Free() > 0 {
			ok = true
			return false
		}
		waited := now - since
		var protected func(fuchsiaspoke.Adapter) bool
		if waited >= evictWantedAfter {
			protected = d.isWantedAhead
		}
		found.victim, ok = d.slots.PickVictim(now, d.isWanted, protected)
		found.evict = ok
		if !ok && waited >= drainSlotAfter {
			d.slots.DrainLeastUsed(now)
		}
		return !ok
	})
	return found, ok
}

// isWanted reports whether a queued request needs the adapter.
func (d *Dispatcher) isWanted(a fuchsiaspoke.Adapter) bool {
	return d.queue.Waiting(a) > 0
}

// isWantedAhead reports whether a request ahead of the one nextLoad looks at waits for the adapter.
func (d *Dispatcher) isWantedAhead(a fuchsiaspoke.Adapter) bool {
	return slices.Contains(d.loader.adaptersAhead, a)
}

// permitResult is the result of a permit request.
type permitResult struct {
	// account is the client account that the permit was requested for; the load may be for another one.
	account string
	release func(used bool)
	err     error
}

// apply starts the load, or first the unload of a victim, that nextLoad returns now for any account. The permit is released unused
// if there is none, the term is not active or maxConcurrentLoads is reached. An error delays the next permit request.
func (m permitResult) apply(d *Dispatcher, now time.Duration) {
	delete(d.loader.permitPending, m.account)
	if m.err != nil {
		d.loader.nextPermitAt = now + jittered(firstBackoff)
		return
	}
	if !d.term.active || d.workerCtx.Err() != nil || d.loader.activeLoads >= maxConcurrentLoads {
		m.release(false)
		return
	}
	// The permit goes to the request that is first in the queue now, not to the account that requested it.
	candidate, ok := d.nextLoad(now, func(string) bool { return true })
	if !ok {
		m.release(false)
		return
	}
	if candidate.evict {
		d.slots.StartUnload(candidate.victim)
	} else {
		d.slots.StartLoad(candidate.adapter)
	}
	d.loader.activeLoads++
	o := loadOperation{
		termNumber:  d.term.number,
		fence:       d.term.fence,
		adapter:     candidate.adapter,
		victim:      candidate.victim,
		evict:       candidate.evict,
		incarnation: d.slots.Incarnation(),
		release:     m.release,
	}
	d.spawn(o.firstStep(d))
}

// firstStep returns the operation's first step: the unload if a victim must be evicted, otherwise the load.
func (o loadOperation) firstStep(d *Dispatcher) func(ctx context.Context) message {
	if !o.evict {
		return o.loadStep(d)
	}
	return func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, loadStepTimeout)
		defer cancel()
		if err := o.confirmVictimIdle(ctx, d); err != nil {
			return unloadResult{operation: o, err: err}
		}
		remaining := d.remainingLease(o.fence)
		if remaining < minLeaseForUnload {
			return unloadResult{operation: o, err: errLeaseLost}
		}
		ctx, stop := context.WithTimeout(ctx, remaining)
		defer stop()
		err := d.Engine.Unload(ctx, o.victim, o.fence)
		return unloadResult{operation: o, sent: true, err: errors.Wrapf(err, "unload adapter at upstream %s", d.Upstream.ID)}
	}
}

// confirmVictimIdle checks the engine's report for requests that still use the victim. A VM that was suspended beyond its
// lease may have sent some after it resumed.
func (o loadOperation) confirmVictimIdle(ctx context.Context, d *Dispatcher) error {
	report, err := d.Engine.Report(ctx)
	if err != nil {
		return errors.Wrapf(err, "report before unload at upstream %s", d.Upstream.ID)
	}
	if report.Incarnation != o.incarnation {
		return errEngineRestarted
	}
	for _, use := range report.Running {
		if use.Adapter == o.victim && use.Requests > 0 {
			return errVictimInUse
		}
	}
	return nil
}

// loadStep returns the step that loads the adapter, if the lease is still held.
func (o loadOperation) loadStep(d *Dispatcher) func(ctx context.Context) message {
	return func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, loadStepTimeout)
		defer cancel()
		started := d.Clock()
		if d.remainingLease(o.fence) <= 0 {
			return loadResult{o, 0, errLeaseLost}
		}
		err := d.Engine.Load(ctx, o.adapter, o.fence)
		return loadResult{o, d.Clock() - started, errors.Wrapf(err, "load adapter at upstream %s", d.Upstream.ID)}
	}
}

// remainingLease returns the remaining time of the lease with this fence, or zero if it is not held; it is the last check
// before a load or unload is sent.
func (d *Dispatcher) remainingLease(fence int64) time.Duration {
	now := d.Clock()
	lease, ok := d.Lease(now)
	if !ok || lease.Fence != fence {
		return 0
	}
	return lease.Until - now
}

// unloadResult is the result of an unload.
type unloadResult struct {
	operation loadOperation
	// sent says that the unload was sent, so that the engine may execute it although err is set.
	sent bool
	err  error
}

// apply updates the victim's slot and, after a successful unload, starts the load if the adapter still needs one and a slot is
// free. Otherwise the operation ends, as it does without any update if it belongs to an earlier term or the workers are canceled.
func (m unloadResult) apply(d *Dispatcher, now time.Duration) {
	o := m.operation
	if o.termNumber != d.term.number || d.workerCtx.Err() != nil {
		o.finish(d)
		return
	}
	if m.sent {
		d.slots.EndUnload(now, o.victim, m.err == nil)
	} else {
		d.slots.CancelUnload(now, o.victim, errors.Is(m.err, errVictimInUse))
		d.reporter.nextAt = now
	}
	if m.err != nil {
		o.finish(d)
		d.loader.nextPermitAt = now + jittered(firstBackoff)
		return
	}
	d.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventEvicted, Detail: adapterDetail(o.victim)})
	if !d.slots.NeedLoad(o.adapter) || d.slots.Free() == 0 {
		o.finish(d)
		return
	}
	d.slots.StartLoad(o.adapter)
	d.spawn(o.loadStep(d))
}

// loadResult is the result of a load.
type loadResult struct {
	operation loadOperation
	duration  time.Duration
	err       error
}

// apply ends the operation and then updates the adapter's slot and its recorded failures, unless the operation belongs to an
// earlier term or the workers are canceled.
func (m loadResult) apply(d *Dispatcher, now time.Duration) {
	o := m.operation
	o.finish(d)
	if o.termNumber != d.term.number || d.workerCtx.Err() != nil {
		return
	}
	d.slots.EndLoad(o.adapter, m.duration, m.err == nil)
	if m.err == nil {
		delete(d.loader.failures, o.adapter)
		d.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventLoaded, Detail: adapterDetail(o.adapter)})
		return
	}
	d.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventLoadFailed, Detail: adapterDetail(o.adapter) + ": " + m.err.Error()})
	d.recordLoadFailure(now, o.adapter)
}

// recordLoadFailure sets the backoff of the adapter's load and, after maxLoadAttempts, refuses the requests that wait for
// it; later requests get one more attempt. The last attempt is not used up while the engine does not respond to report requests.
func (d *Dispatcher) recordLoadFailure(now time.Duration, a fuchsiaspoke.Adapter) {
	f := d.loader.failures[a]
	if now-f.retryAt > failureExpiry {
		f.attempts = 0
	}
	f.attempts++
	wait := min(maxBackoff, firstBackoff<<min(f.attempts-1, maxBackoffExponent))
	f.retryAt = now + jittered(wait)
	if d.reporter.lastFailed {
		f.attempts = min(f.attempts, maxLoadAttempts-1)
	}
	if f.attempts < maxLoadAttempts {
		d.loader.failures[a] = f
		return
	}
	d.loader.failures[a] = loadFailure{attempts: maxLoadAttempts - 1, retryAt: now + jittered(maxBackoff)}
	for _, g := range d.queue.RemoveAdapter(a) {
		d.refuseDequeued(g, loadFailedRefusal())
	}
}

// finish ends the operation and releases its permit as used.
func (o loadOperation) finish(d *Dispatcher) {
	d.loader.activeLoads--
	o.release(true)
}
