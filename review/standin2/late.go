package main

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// lateVMs and lateEngines are the numbers of VMs and of engines, and lateAdapters that of the adapters that are asked for, one each latePause in turn.
	lateVMs      = 4
	lateEngines  = 5
	lateAdapters = 150
	latePause    = 25 * time.Millisecond
	// lateCalm is the time before the disruption, and lateAfter the time after the path has healed.
	lateCalm  = 10 * time.Second
	lateAfter = 12 * time.Second
	// lateCut is how long the path between the engine and its owner is cut, and lateStop when the owner is stopped after its order was held up.
	lateCut  = 5 * time.Second
	lateStop = 300 * time.Millisecond
	// lateFindOrder bounds the wait for an order after the path was cut.
	lateFindOrder = 2 * time.Second
	// leaseTime is leaseMs, and freezeSlack freezeSlackMs.
	leaseTime   = 3 * time.Second
	freezeSlack = 300 * time.Millisecond
)

// playLate cuts the path between an engine and the VM that orders for it while an order is on its way, and stops that VM as planned. It checks
// that the engine gets no order of two holders by turns, and none with a lower fencing token after a higher one.
func playLate(e *environment, trouble bool) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	_, err = s.put("op/config", map[string]any{
		"version": 1, "limits": limits(), "services": []any{engineService("texts")},
		"routes": []any{route("/text/", "streaming", "texts", map[string]any{
			"timeoutMs": 5000, "maxAttempts": 1, "sticky": true, "gapAimMs": 400,
		})},
		"tenants": []any{tenant("school", "key-school")},
	})
	if err != nil {
		return false, err
	}
	var engines []*replica
	for n := range lateEngines {
		r, err := startReplica(s, fmt.Sprint("i-texts-", n), "texts", true, 40*time.Millisecond, 96)
		if err != nil {
			return false, err
		}
		engines = append(engines, r)
	}
	stores := make([]string, lateVMs)
	paths := make([][]*path, lateVMs)
	for n := range stores {
		addresses := make(map[string]string)
		for _, r := range engines {
			p, err := newPath(r.address)
			if err != nil {
				return false, err
			}
			paths[n] = append(paths[n], p)
			addresses[r.address] = p.address
		}
		if stores[n], err = s.serveView(addresses); err != nil {
			return false, err
		}
	}
	vms, err := e.startVMsAt(stores, siteMachine, siteBounds)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var stopped atomic.Int64
	stopped.Store(-1)
	callers.Go(func() { e.askLate(vms, &stopped, stop) })
	time.Sleep(lateCalm)
	var healedAt time.Time
	engine := engines[0]
	if trouble {
		healedAt, err = e.cutOwner(vms, paths, engine, &stopped)
	} else {
		time.Sleep(lateCut)
	}
	if err != nil {
		return false, err
	}
	time.Sleep(lateAfter)
	close(stop)
	callers.Wait()
	return e.judgeOrders(engine, healedAt), nil
}

// cutOwner cuts the path between the first engine and the VM that orders for it, and stops the VM once an order is held up. It returns when the path
// has healed.
func (e *environment) cutOwner(vms []*vm, paths [][]*path, engine *replica, stopped *atomic.Int64) (time.Time, error) {
	engine.mu.Lock()
	holder := ""
	if n := len(engine.received); n > 0 {
		holder = engine.received[n-1].holder
	}
	engine.mu.Unlock()
	for n, v := range vms {
		if v.ip != holder {
			continue
		}
		p := paths[n][0]
		held := make(chan struct{}, 16)
		p.mu.Lock()
		p.onHeld = func(text []byte) {
			if bytes.HasPrefix(text, []byte("POST /v1/order")) {
				e.record("an order of %s is held up: %s", holder, text[bytes.LastIndexByte(text, '\n')+1:])
				held <- struct{}{}
			}
		}
		p.mu.Unlock()
		e.record("the path between %s and %s, which orders for it, is cut", engine.id, holder)
		began := time.Now()
		p.setCut(true)
		select {
		case <-held:
		case <-time.After(lateFindOrder):
			return time.Time{}, fmt.Errorf("no order of %s was on its way", holder)
		}
		time.Sleep(lateStop)
		stopped.Store(int64(n))
		e.record("%s is stopped with SIGTERM", holder)
		if err := syscall.Kill(v.process.Process.Pid, syscall.SIGTERM); err != nil {
			return time.Time{}, err
		}
		time.Sleep(time.Until(began.Add(lateCut)))
		p.setCut(false)
		e.record("the path has healed")
		return time.Now(), nil
	}
	return time.Time{}, fmt.Errorf("no VM has ordered %s", engine.id)
}

// askLate sends requests for adapters in turn until stop is closed, none to the VM that is stopped.
func (e *environment) askLate(vms []*vm, stopped *atomic.Int64, stop <-chan struct{}) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(latePause):
		}
		to := n % len(vms)
		if int64(to) == stopped.Load() {
			continue
		}
		pending.Go(func() {
			adapter := fmt.Sprintf("a%d", 1+n%lateAdapters)
			a := send(vms[to], request{
				method: "POST", path: "/text/x", key: "key-school", model: modelName + "/" + adapter, deadline: 5 * time.Second,
			})
			e.note("request for %s at %s: status %d, error %v", adapter, vms[to].ip, a.status, a.err)
		})
	}
}

// judgeOrders reports whether an engine has got orders of two holders by turns, or with falling fencing tokens. Those that arrived within
// freezeSlack after the path has healed don't count.
func (e *environment) judgeOrders(r *replica, healedAt time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := false
	var last receivedOrder
	for _, o := range r.received {
		e.note("%s: order of %s for %s with token %d, answered %d, at %.3f s", r.id, o.holder, o.adapter, o.token, o.status, o.at.Sub(e.began).Seconds())
		if since := o.at.Sub(healedAt); since >= 0 && since < freezeSlack {
			continue
		}
		if last.holder != "" && last.holder != o.holder {
			since := o.at.Sub(last.at)
			e.record("%s: order of %s with token %d, %.2f s after one of %s with token %d; answered %d, %.2f s after the path has healed", r.id, o.holder,
				o.token, since.Seconds(), last.holder, last.token, o.status, o.at.Sub(healedAt).Seconds())
			broken = broken || since < leaseTime || o.token <= last.token
		}
		last = o
	}
	return broken
}
