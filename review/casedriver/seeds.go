package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// leaseLimit is leaseMs of the settings.
	leaseLimit = 3 * time.Second
	// outage is how long the machines that come back have no power.
	outage = 1500 * time.Millisecond
	// watched is how long the orders are watched after that.
	watched = 55 * time.Second
	// usedAdapters is the number of adapters for which requests come.
	usedAdapters = 40
)

// orderWatch checks ONE by the orders that arrive at engines.
type orderWatch struct {
	rec *recorder

	mu     sync.Mutex
	last   map[*engine][]seenOrder
	tokens map[*engine]map[int64]string
	broken []string
}

// seenOrder is an order that arrived at an engine.
type seenOrder struct {
	at     time.Time
	holder string
	token  int64
}

// observe checks an order as it arrives: two holders with one token, a lower token after a higher one, and holders that take turns.
func (o *orderWatch) observe(e *engine, holder string, token int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.tokens[e] == nil {
		o.tokens[e] = map[int64]string{}
	}
	now := seenOrder{time.Now(), holder, token}
	if other, known := o.tokens[e][token]; known && other != holder {
		o.add("two holders, %s and %s, with token %d at engine %s", other, holder, token, e.id)
	}
	for _, before := range o.last[e] {
		if before.token > token {
			o.add("holder %s has token %d at engine %s, %v after holder %s with token %d", holder, token, e.id,
				now.at.Sub(before.at).Round(time.Millisecond), before.holder, before.token)
			break
		}
	}
	o.checkTurns(e, now)
	o.tokens[e][token] = holder
	o.last[e] = append(o.last[e], now)
}

// checkTurns checks whether the holder had the engine before another one within the lease. The caller holds mu.
func (o *orderWatch) checkTurns(e *engine, now seenOrder) {
	between := ""
	for i := len(o.last[e]) - 1; i >= 0; i-- {
		before := o.last[e][i]
		switch {
		case now.at.Sub(before.at) > leaseLimit:
			return
		case before.holder != now.holder:
			between = before.holder
		case between != "":
			o.add("holders %s and %s take turns at engine %s within %v", now.holder, between, e.id, now.at.Sub(before.at).Round(time.Millisecond))
			return
		}
	}
}

func (o *orderWatch) add(format string, args ...any) {
	o.broken = append(o.broken, "ONE: "+fmt.Sprintf(format, args...))
}

// playSeedsStayDown has all machines lose power at once; those that the settings name as seeds stay down, the others are back soon. ONE: one
// machine alone orders an engine at a time.
func playSeedsStayDown(ctx context.Context, w *world, trouble bool) ([]string, error) {
	watch := &orderWatch{rec: w.rec, last: map[*engine][]seenOrder{}, tokens: map[*engine]map[int64]string{}}
	w.onOrder = watch.observe
	if err := w.start(ctx, 4, 7, configuration(), func(e *engine, attempt, adapter string, _ int64) {
		w.rec.log("engine %s: attempt %s from %s begins on adapter %s", e.id, attempt, w.vmOf(attempt).name, adapter)
	}); err != nil {
		return nil, err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	w.sendSteadily(traffic, 100*time.Millisecond, func() call {
		return note(largeKey, fmt.Sprintf("a%d", 1+rand.IntN(usedAdapters)))
	})
	if !sleep(ctx, 6*time.Second) {
		return nil, ctx.Err()
	}
	if trouble {
		if err := w.losePower(ctx); err != nil {
			return nil, err
		}
	}
	if !sleep(ctx, watched) {
		return nil, ctx.Err()
	}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if len(watch.last) == 0 {
		return nil, fmt.Errorf("no engine got an order")
	}
	return watch.broken, nil
}

// losePower kills all processes at once, and starts those again that are no seeds.
func (w *world) losePower(ctx context.Context) error {
	var ends sync.WaitGroup
	for _, v := range w.vms {
		ends.Go(v.kill)
	}
	ends.Wait()
	w.rec.log("trouble: all machines lose power")
	if !sleep(ctx, outage) {
		return ctx.Err()
	}
	for _, v := range w.vms[seedCount:] {
		if err := v.start(); err != nil {
			return err
		}
		w.rec.log("%s is back", v.name)
	}
	return waitReady(ctx, w.vms[seedCount:])
}
