package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// maxLoads is the number of loads under way at once on one engine.
	maxLoads = 2
	// maxLoadTries is how often a failing load is tried before the work that waits for it is refused.
	maxLoadTries = 4
	// firstBackoff and maxBackoff bound the wait between two tries of one load.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// failureMemory is how long after a failure its tries count.
	failureMemory = time.Minute
	// maxDoublings bounds the exponent of a backoff.
	maxDoublings = 6
	// forceAfter is how long a request waits before its load may evict an adapter that other work waits for.
	forceAfter = 500 * time.Millisecond
	// reserveAfter is how long a request waits before a slot in use is closed to new work for its adapter.
	reserveAfter = time.Second
	// unloadMargin is how much of the lease must be left for an unload order, which ends with the lease.
	unloadMargin = 500 * time.Millisecond
)

var (
	errLeaseLost = errors.New("lease lost before the order")
	errInUse     = errors.New("engine still runs the adapter")
	errRestarted = errors.New("engine restarted")
)

// loaderState is the duty's view of loads.
type loaderState struct {
	// acquiring names the client accounts for whom a permit is awaited, so that none waits behind another's turn.
	acquiring map[string]bool
	loads     int
	failures  map[fuchsiaspoke.Adapter]failure
	// ahead lists the adapters with a slot that work before the one to load for waits for.
	ahead []fuchsiaspoke.Adapter
	// retryAt keeps permits from being asked for while the budget fails.
	retryAt time.Duration
}

// failure counts the failed tries of one load.
type failure struct {
	tries   int
	retryAt time.Duration
}

// order is one load, with the eviction that makes room for it.
type order struct {
	number  int64
	fence   int64
	adapter fuchsiaspoke.Adapter
	victim  fuchsiaspoke.Adapter
	evict   bool
	// incarnation is the engine's at the time of the decision.
	incarnation string
	release     func(used bool)
}

// need is an adapter to load and the one to evict for it.
type need struct {
	account string
	adapter fuchsiaspoke.Adapter
	victim  fuchsiaspoke.Adapter
	evict   bool
}

// load asks for a permit where an adapter can be loaded; the adapter is chosen when the permit is there.
func (d *Dispatcher) load(now time.Duration) {
	if !d.tenure.active || d.loader.loads >= maxLoads || now < d.loader.retryAt {
		return
	}
	n, ok := d.nextNeed(now, func(account string) bool { return !d.loader.acquiring[account] })
	if !ok {
		return
	}
	d.loader.acquiring[n.account] = true
	d.spawn(func(ctx context.Context) message {
		if d.Permits == nil {
			return permitted{account: n.account, release: func(bool) {}}
		}
		release, err := d.Permits.Acquire(ctx, n.account)
		return permitted{account: n.account, release: release, err: err}
	})
}

// nextNeed finds the adapter to load next for the client accounts asked for, in the queue's order, and room for it.
func (d *Dispatcher) nextNeed(now time.Duration, of func(account string) bool) (need, bool) {
	var found need
	ok := false
	d.loader.ahead = d.loader.ahead[:0]
	d.queue.Wanted(func(g fuchsiaspoke.Generation, since time.Duration) bool {
		if !d.slots.NeedLoad(g.Adapter) {
			d.loader.ahead = append(d.loader.ahead, g.Adapter)
			return true
		}
		if !of(g.Account) || now < d.loader.failures[g.Adapter].retryAt {
			return true
		}
		found.adapter = g.Adapter
		found.account = g.Account
		if d.slots.Free() > 0 {
			ok = true
			return false
		}
		waited := now - since
		var keep func(fuchsiaspoke.Adapter) bool
		if waited >= forceAfter {
			keep = d.isAhead
		}
		found.victim, ok = d.slots.PickVictim(now, d.isWanted, keep)
		found.evict = ok
		if !ok && waited >= reserveAfter {
			d.slots.Reserve(now)
		}
		return !ok
	})
	return found, ok
}

func (d *Dispatcher) isWanted(a fuchsiaspoke.Adapter) bool {
	return d.queue.Waiting(a) > 0
}

// isAhead reports whether work that comes before the one to load for waits for the adapter.
func (d *Dispatcher) isAhead(a fuchsiaspoke.Adapter) bool {
	return slices.Contains(d.loader.ahead, a)
}

// permitted brings a permit, or the failure to get one.
type permitted struct {
	account string
	release func(used bool)
	err     error
}

func (m permitted) apply(d *Dispatcher, now time.Duration) {
	delete(d.loader.acquiring, m.account)
	if m.err != nil {
		d.loader.retryAt = now + jittered(firstBackoff)
		return
	}
	if !d.tenure.active || d.workers.Err() != nil || d.loader.loads >= maxLoads {
		m.release(false)
		return
	}
	// The permit serves whoever is first in the queue now, not whoever it was asked for.
	n, ok := d.nextNeed(now, func(string) bool { return true })
	if !ok {
		m.release(false)
		return
	}
	if n.evict {
		d.slots.StartUnload(n.victim)
	} else {
		d.slots.StartLoad(n.adapter)
	}
	d.loader.loads++
	o := order{
		number:      d.tenure.number,
		fence:       d.tenure.fence,
		adapter:     n.adapter,
		victim:      n.victim,
		evict:       n.evict,
		incarnation: d.slots.Incarnation(),
		release:     m.release,
	}
	d.spawn(o.first(d))
}

// first is the order's first step: the unload where there is a victim, or else the load.
func (o order) first(d *Dispatcher) func(ctx context.Context) message {
	if !o.evict {
		return o.load(d)
	}
	return func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		if err := o.confirmIdle(ctx, d); err != nil {
			return unloaded{order: o, err: err}
		}
		left := d.leaseLeft(o.fence)
		if left < unloadMargin {
			return unloaded{order: o, err: errLeaseLost}
		}
		ctx, stop := context.WithTimeout(ctx, left)
		defer stop()
		err := d.Engine.Unload(ctx, o.victim, o.fence)
		return unloaded{order: o, sent: true, err: errors.Wrapf(err, "unload adapter at upstream %s", d.Upstream.ID)}
	}
}

// confirmIdle asks the engine once more that nothing uses the victim, as a VM that woke up late might.
func (o order) confirmIdle(ctx context.Context, d *Dispatcher) error {
	report, err := d.Engine.Report(ctx)
	if err != nil {
		return errors.Wrapf(err, "report before unload at upstream %s", d.Upstream.ID)
	}
	if report.Incarnation != o.incarnation {
		return errRestarted
	}
	for _, use := range report.Running {
		if use.Adapter == o.victim && use.Requests > 0 {
			return errInUse
		}
	}
	return nil
}

func (o order) load(d *Dispatcher) func(ctx context.Context) message {
	return func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		started := d.Clock()
		if d.leaseLeft(o.fence) <= 0 {
			return loaded{o, 0, errLeaseLost}
		}
		err := d.Engine.Load(ctx, o.adapter, o.fence)
		return loaded{o, d.Clock() - started, errors.Wrapf(err, "load adapter at upstream %s", d.Upstream.ID)}
	}
}

// leaseLeft is what is left of the lease with this fence, the last look before an order.
func (d *Dispatcher) leaseLeft(fence int64) time.Duration {
	now := d.Clock()
	lease, ok := d.Lease(now)
	if !ok || lease.Fence != fence {
		return 0
	}
	return lease.Until - now
}

// unloaded is the end of an unload order.
type unloaded struct {
	order order
	// sent says that the order went out, so that it may arrive in spite of the error.
	sent bool
	err  error
}

func (m unloaded) apply(d *Dispatcher, now time.Duration) {
	o := m.order
	if o.number != d.tenure.number || d.workers.Err() != nil {
		o.end(d)
		return
	}
	if m.sent {
		d.slots.EndUnload(now, o.victim, m.err == nil)
	} else {
		d.slots.KeepUnload(now, o.victim, errors.Is(m.err, errInUse))
		d.reporter.next = now
	}
	if m.err != nil {
		o.end(d)
		d.loader.retryAt = now + jittered(firstBackoff)
		return
	}
	d.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventEvicted, Detail: adapterDetail(o.victim)})
	if !d.slots.NeedLoad(o.adapter) || d.slots.Free() == 0 {
		o.end(d)
		return
	}
	d.slots.StartLoad(o.adapter)
	d.spawn(o.load(d))
}

// loaded is the end of a load order.
type loaded struct {
	order order
	taken time.Duration
	err   error
}

func (m loaded) apply(d *Dispatcher, now time.Duration) {
	o := m.order
	o.end(d)
	if o.number != d.tenure.number || d.workers.Err() != nil {
		return
	}
	d.slots.EndLoad(o.adapter, m.taken, m.err == nil)
	if m.err == nil {
		delete(d.loader.failures, o.adapter)
		d.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventLoaded, Detail: adapterDetail(o.adapter)})
		return
	}
	d.record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventLoadFailed, Detail: adapterDetail(o.adapter) + ": " + m.err.Error()})
	d.countFailure(now, o.adapter)
}

// countFailure backs off from the adapter's load, and refuses the work that waits for it when the tries are used up; work
// that comes after that gets one more try. Tries do not count while the engine itself cannot be reached.
func (d *Dispatcher) countFailure(now time.Duration, a fuchsiaspoke.Adapter) {
	f := d.loader.failures[a]
	if now-f.retryAt > failureMemory {
		f.tries = 0
	}
	f.tries++
	wait := min(maxBackoff, firstBackoff<<min(f.tries-1, maxDoublings))
	f.retryAt = now + jittered(wait)
	if d.reporter.failed {
		f.tries = min(f.tries, maxLoadTries-1)
	}
	if f.tries < maxLoadTries {
		d.loader.failures[a] = f
		return
	}
	d.loader.failures[a] = failure{tries: maxLoadTries - 1, retryAt: now + jittered(maxBackoff)}
	for _, g := range d.queue.RemoveAdapter(a) {
		d.refuse(g, loadRefusal())
	}
}

// end gives the order's permit back.
func (o order) end(d *Dispatcher) {
	d.loader.loads--
	o.release(true)
}
