package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// hotAdapters are more than the engines of the case hold at once.
	hotAdapters = 24
	// hotInterval is the time between two requests for one hot adapter, which is in use all the time then.
	hotInterval = 700 * time.Millisecond
	// coldRequests is the number of requests for rare adapters, half of them in the two seconds before the SIGTERM and half in the two after it.
	coldRequests = 160
	// lossSlack is lossSlackMs of the settings.
	lossSlack = 200 * time.Millisecond
)

// playCutWhileQueued stops one VM with SIGTERM while requests that it has read wait for room for their adapters. LOST: around planned work,
// no request that was read ends without a complete answer.
func playCutWhileQueued(ctx context.Context, w *world, trouble bool) ([]string, error) {
	if err := w.start(ctx, 2, 5, configuration(), func(e *engine, attempt, adapter string, _ int64) {
		w.rec.log("engine %s: attempt %s from %s begins on adapter %s", e.id, attempt, w.vmOf(attempt).name, adapter)
	}); err != nil {
		return nil, err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	for n := range hotAdapters {
		w.sendSteadily(traffic, hotInterval, func() call { return note(largeKey, fmt.Sprintf("a%d", n+1)) })
		sleep(ctx, hotInterval/hotAdapters)
	}
	if !sleep(ctx, 5*time.Second) {
		return nil, ctx.Err()
	}
	stopped := w.withoutOrders()
	if stopped == nil {
		return nil, fmt.Errorf("each VM orders an engine")
	}
	var mu sync.Mutex
	var answers []answer
	var notes sync.WaitGroup
	var termAt time.Time
	for i := range coldRequests {
		if i == coldRequests/2 {
			termAt = time.Now()
			if trouble {
				stopped.signal(syscall.SIGTERM)
				w.rec.log("trouble: %s gets SIGTERM", stopped.name)
				w.running.Go(func() {
					stopped.wait()
					w.rec.log("the process of %s has ended", stopped.name)
				})
			}
		}
		notes.Go(func() {
			a := w.send(ctx, stopped, note(smallKey, fmt.Sprintf("a%d", 1000+i)))
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		})
		if !sleep(ctx, 4*time.Second/coldRequests) {
			return nil, ctx.Err()
		}
	}
	notes.Wait()
	return w.judgeStop(answers, termAt), nil
}

// note returns a request of the class wood-note.
func note(key, adapter string) call {
	return call{
		method: "POST", path: woodNote + "2f", key: key, adapter: adapter, promptTokens: 826, outTokens: 290,
		parts: fmt.Sprintf("5c1e07a2:198,%x:628", rand.Uint32()), body: make([]byte, 1700), deadline: 15 * time.Second,
	}
}

// withoutOrders returns a VM that has given the last order to no engine.
func (w *world) withoutOrders() *vm {
	holders := map[string]bool{}
	for _, e := range w.engines {
		e.mu.Lock()
		holders[e.holder] = true
		e.mu.Unlock()
	}
	for _, v := range w.vms {
		if !holders[v.ip] {
			return v
		}
	}
	return nil
}

// judgeStop returns the requests that a stopped machine had read, that no replica ever accepted, and that ended without a complete answer later
// than lossSlackMs after they were sent. Those that a replica accepted are left out, as the rule excuses some of them.
func (w *world) judgeStop(answers []answer, termAt time.Time) []string {
	var broken []string
	for _, a := range answers {
		if a.refused || a.complete || a.endedAt.Sub(a.sentAt) < lossSlack || w.wasAccepted(a.attempt) {
			continue
		}
		broken = append(broken, fmt.Sprintf("LOST: attempt %s, sent %v after SIGTERM to %s, ended without an answer %v after it was sent",
			a.attempt, a.sentAt.Sub(termAt).Round(time.Millisecond), a.vm.name, a.endedAt.Sub(a.sentAt).Round(time.Millisecond)))
	}
	return broken
}
