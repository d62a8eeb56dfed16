package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// stormRoutes is the number of routes by which the configuration has grown in two steps, stormGap and stormTime are the pause between two
	// changes and how long they come.
	stormRoutes = 2 * 1400
	stormGap    = 80 * time.Millisecond
	stormTime   = 2 * time.Second
	// stormApply is configApplyMs.
	stormApply = 3 * time.Second
	// stormWatch is for how long requests are sent after the last change, and stormPause the pause between two of them at one VM.
	stormWatch = 30 * time.Second
	stormPause = 200 * time.Millisecond
)

// stormConfiguration returns a configuration with many routes. Its last version moves a route to another service and drops a key.
func stormConfiguration(version int, last bool) map[string]any {
	moved, keys := "desk-old", []string{"key-kept", "key-dropped"}
	if last {
		moved, keys = "desk-new", []string{"key-kept"}
	}
	routes := []any{
		route("/moved/", "idempotent", moved, nil), route("/same/", "idempotent", "desk-old", nil),
	}
	for n := range stormRoutes {
		routes = append(routes, splitRoute(fmt.Sprintf("/grown%05d/", n), version))
	}
	return map[string]any{
		"version": version, "routes": routes, "services": []any{plainService("desk-old"), plainService("desk-new")}, "limits": limits(),
		"tenants": []any{tenant("school", keys...)},
	}
}

// splitRoute returns a route that is split between two services, with all fields that such routes have on the users' page.
func splitRoute(prefix string, version int) map[string]any {
	r := route(prefix, "streaming", "", map[string]any{"timeoutMs": 5000 + version%7, "sticky": true, "gapAimMs": 400, "maxAttempts": 1})
	delete(r, "service")
	r["weightedServices"] = []any{
		map[string]any{"service": "desk-old", "weight": 90}, map[string]any{"service": "desk-new", "weight": 10},
	}
	return r
}

// stormBounds are the bounds of the site.
var stormBounds = bounds{
	"seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackMs": 6000, "catchUpS": 6, "drainMs": 3000, "graceS": 8, "lossSlackMs": 200,
	"configApplyMs": 3000, "rollbackSlackMs": 250, "maxStretchMs": 6000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 158,
	"quotaWindowS": 8, "quotaOverage": 0.25, "quotaSlack": 72000, "recoveryS": 15, "leaseMs": 3000, "freezeSlackMs": 300, "version_ms": 5000,
	"ttl_max_s": 5,
}

// outdated counts the requests that were handled as only an older version allows, later than the bound.
type outdated struct {
	mu sync.Mutex
	// dropped counts those that ran with the dropped key, and moved those that the old service ran.
	dropped, moved, sent int
	last                 time.Duration
}

// playStorm has a large configuration change in quick succession, and checks that its last version is in force in time.
func playStorm(e *environment, trouble bool) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	if _, err := s.put("op/config", stormConfiguration(1, false)); err != nil {
		return false, err
	}
	for n := range 4 {
		service := []string{"desk-old", "desk-new"}[n%2]
		if _, err := startReplica(s, fmt.Sprintf("i-%s-%d", service, n), service, false, 5*time.Millisecond, 6); err != nil {
			return false, err
		}
	}
	vms, err := e.startVMs(3, s.address, machine{cpuShare: 0.8, memoryMB: 536, maxFDs: 8192}, stormBounds)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	version := 4
	if trouble {
		e.record("the configuration changes each %v for %v", stormGap, stormTime)
		for began := time.Now(); time.Since(began) < stormTime; time.Sleep(stormGap) {
			size, err := s.put("op/config", stormConfiguration(version, false))
			if err != nil {
				return false, err
			}
			e.note("version %d of %d bytes is acknowledged", version, size)
			version += 3
		}
	}
	size, err := s.put("op/config", stormConfiguration(version, true))
	if err != nil {
		return false, err
	}
	acknowledged := time.Now()
	e.record("version %d of %d bytes is acknowledged; it drops a key and moves a route", version, size)
	total := e.watchOutdated(vms, acknowledged)
	e.record("answers to watches: the largest has %d bytes, %d are above 4 MiB", s.largestWatch, s.watchesAbove)
	for _, v := range vms {
		for _, line := range v.logLines("platform lost", 2) {
			e.note("log of %s: %s", v.ip, line)
		}
		for _, line := range v.logLines("contract in force", 1) {
			e.note("log of %s: %s", v.ip, line)
		}
	}
	e.record("of %d requests sent later than %v after the acknowledgement, %d ran with the dropped key and %d at the old service; the last one was sent %.1f s after it",
		total.sent, stormApply, total.dropped, total.moved, total.last.Seconds())
	return total.dropped+total.moved > 0, nil
}

// watchOutdated sends requests to all VMs after a change, and counts those that are handled by an older version.
func (e *environment) watchOutdated(vms []*vm, acknowledged time.Time) *outdated {
	total := &outdated{}
	var callers sync.WaitGroup
	for _, v := range vms {
		callers.Go(func() {
			for time.Since(acknowledged) < stormWatch {
				time.Sleep(stormPause)
				sent := time.Since(acknowledged)
				dropped := send(v, request{method: "GET", path: "/same/x", key: "key-dropped", deadline: 2500 * time.Millisecond})
				moved := send(v, request{method: "GET", path: "/moved/x", key: "key-kept", deadline: 2500 * time.Millisecond})
				e.note("%s: sent %.2f s after: dropped key %d (%s); moved route %d (%s)", v.ip, sent.Seconds(), dropped.status, dropped.body,
					moved.status, moved.body)
				total.add(sent, dropped, moved)
			}
		})
	}
	callers.Wait()
	return total
}

func (o *outdated) add(sent time.Duration, dropped, moved answer) {
	if sent <= stormApply {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent += 2
	if dropped.status == 200 {
		o.dropped++
		o.last = max(o.last, sent)
	}
	if moved.status == 200 && strings.Contains(moved.body, "of desk-old ") {
		o.moved++
		o.last = max(o.last, sent)
	}
}
