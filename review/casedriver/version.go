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
	// versionLimit is version_ms of the settings, and contactLimit contactMs.
	versionLimit = 5 * time.Second
	contactLimit = 3 * time.Second
	// powerLost is for how long the killed machine stays down, for_s of node_kill in the site file.
	powerLost = 3500 * time.Millisecond
)

// playVersionWithoutOwner has one VM lose power, the one that orders the engine on which an adapter runs, right after a new version of the
// adapter was acknowledged. VERSION: no request, sent on by a machine in touch, begins on an older version later than version_ms after that.
func playVersionWithoutOwner(ctx context.Context, w *world, trouble bool) ([]string, error) {
	const adapter = "a1"
	var mu sync.Mutex
	var broken []string
	served := map[*engine]int{}
	killed := map[*vm]time.Time{}
	began := 0
	onBegin := func(e *engine, attempt, name string, version int64) {
		now, v := time.Now(), w.vmOf(attempt)
		w.mu.Lock()
		newest := w.versions[name]
		w.mu.Unlock()
		w.rec.log("engine %s: attempt %s from %s begins on adapter %s version %d", e.id, attempt, v.name, name, version)
		mu.Lock()
		defer mu.Unlock()
		served[e]++
		began++
		_, wasKilled := killed[v]
		if age := now.Sub(newest.at); version < newest.version && age > versionLimit && !wasKilled {
			broken = append(broken, fmt.Sprintf("VERSION: attempt %s, sent on by %s, begins on version %d of %s, %v after version %d was acknowledged",
				attempt, v.name, version, name, age.Round(time.Millisecond), newest.version))
		}
	}
	if err := w.start(ctx, 4, 7, configuration(), onBegin); err != nil {
		return nil, err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	w.sendSteadily(traffic, 50*time.Millisecond, func() call {
		return call{
			method: "POST", path: woodNote + "2f", key: smallKey, adapter: adapter, promptTokens: 230, outTokens: 150,
			parts: fmt.Sprintf("5c1e07a2:200,%x:30", rand.Uint32()), body: []byte("note"), deadline: 15 * time.Second,
		}
	})
	if !sleep(ctx, 5*time.Second) {
		return nil, ctx.Err()
	}
	mu.Lock()
	var home *engine
	for e, n := range served {
		if home == nil || n > served[home] {
			home = e
		}
	}
	mu.Unlock()
	if home == nil {
		return nil, fmt.Errorf("no request was served")
	}
	home.mu.Lock()
	holder := home.holder
	home.mu.Unlock()
	var owner *vm
	for _, v := range w.vms {
		if v.ip == holder {
			owner = v
		}
	}
	if owner == nil {
		return nil, fmt.Errorf("engine %s has had no order", home.id)
	}
	w.rec.log("the adapter runs on engine %s, which %s orders", home.id, owner.name)
	w.declare(adapter, 2)
	if trouble {
		mu.Lock()
		killed[owner] = time.Now()
		mu.Unlock()
		owner.signal(syscall.SIGKILL)
		w.rec.log("trouble: %s is killed", owner.name)
		owner.wait()
		if !sleep(ctx, powerLost) {
			return nil, ctx.Err()
		}
		if err := owner.start(); err != nil {
			return nil, err
		}
		w.rec.log("%s starts again", owner.name)
	}
	mu.Lock()
	before := began
	mu.Unlock()
	if !sleep(ctx, 16*time.Second) {
		return nil, ctx.Err()
	}
	mu.Lock()
	defer mu.Unlock()
	if began == before {
		return nil, fmt.Errorf("no request was served after the new version")
	}
	return broken, nil
}

// sendSteadily sends a request in each interval until ctx ends, to a VM at random; to another one if the connection is refused.
func (w *world) sendSteadily(ctx context.Context, interval time.Duration, next func() call) {
	w.running.Go(func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				w.running.Go(func() {
					for range 3 {
						if !w.send(ctx, w.vms[rand.IntN(len(w.vms))], next()).refused {
							return
						}
					}
				})
			}
		}
	})
}
