package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// killVMs and killEngines are the numbers of VMs and engines, and killAdapters that of the adapters that are asked for in turn.
	killVMs      = 4
	killEngines  = 5
	killAdapters = 150
	killInterval = 25 * time.Millisecond
	// killCalm is the time before the disruption, and killAfter the time from there to the end.
	killCalm  = 10 * time.Second
	killAfter = 18 * time.Second
	// findOrder bounds the wait for an order, with which the cut begins. killDelay later its sender is killed. killCut is the length of the cut.
	findOrder = time.Second
	killDelay = 300 * time.Millisecond
	killCut   = 6500 * time.Millisecond
	// leaseTime is leaseMs of the settings, and freezeSlack freezeSlackMs.
	leaseTime   = 3 * time.Second
	freezeSlack = 300 * time.Millisecond
)

// killedOrder cuts the VM that orders for an engine off from all engines, and kills it while an order is on its way. By the rule ONE the engine
// never gets an order with a lower fencing token after one with a higher one, nor orders of two VMs by turns.
func killedOrder(t *trial) (bool, error) {
	engines, err := t.startReplicas(killEngines, func(*replica) {})
	if err != nil {
		return false, err
	}
	links := make([][]*link, killVMs)
	for n := range links {
		addresses := map[string]string{}
		for _, e := range engines {
			l, err := t.startLink(fmt.Sprintf("link of VM %d to %s", n+1, e.name), e.address)
			if err != nil {
				return false, err
			}
			links[n] = append(links[n], l)
			addresses[e.address] = l.listener.Addr().String()
		}
		t.addresses = append(t.addresses, addresses)
	}
	t.configure(5000)
	if err := t.startVMs(killVMs); err != nil {
		return false, err
	}
	began := t.now()
	var callers, disruption sync.WaitGroup
	var healed time.Duration
	var failure error
	disruption.Go(func() {
		t.sleepUntil(began + killCalm)
		if t.trouble {
			healed, failure = t.killOwner(engines[0], links)
		}
	})
	for n := 0; t.now()-began < killCalm+killAfter; n++ {
		v := t.vms[n%len(t.vms)]
		if !v.away.Load() {
			callers.Go(func() {
				t.ask(v, call{
					id: fmt.Sprintf("sound-%d", n), method: http.MethodPost, path: "/text/x", tokens: "300,30", adapter: fmt.Sprintf("a%d", 1+n%killAdapters),
					parts: fmt.Sprintf("5c1e07a2:200,%08x:100", 0x10000000+n), deadline: 5 * time.Second,
				})
			})
		}
		time.Sleep(killInterval)
	}
	callers.Wait()
	disruption.Wait()
	if failure != nil {
		return false, failure
	}
	return t.judgeOrders(engines[0], healed), nil
}

// killOwner cuts the VM that orders for an engine off from all engines, kills it as an order is held up, and returns when the cut has ended.
// The VM is started again.
func (t *trial) killOwner(engine *replica, links [][]*link) (time.Duration, error) {
	before := engine.adapters.orders()
	if len(before) == 0 {
		return 0, errors.New("no VM orders for the engine")
	}
	holder := before[len(before)-1].Holder
	owner := slices.IndexFunc(t.vms, func(v *vm) bool { return v.ip == holder })
	if owner < 0 {
		return 0, fmt.Errorf("the holder %s is no VM", holder)
	}
	held := make(chan []byte, 1)
	var first sync.Once
	path, v := links[owner][0], t.vms[owner]
	path.mu.Lock()
	path.onSend = func(text []byte) {
		if !bytes.HasPrefix(text, []byte("POST /v1/order")) {
			return
		}
		first.Do(func() {
			for _, l := range links[owner] {
				l.cut(killCut)
			}
			held <- text
		})
	}
	path.mu.Unlock()
	var order []byte
	select {
	case order = <-held:
	case <-time.After(findOrder):
		return 0, errors.New("no order was on its way")
	}
	healed := t.now() + killCut
	t.logf("%s (%s), which orders for %s, is cut off from all engines; an order of it is held up: %s", v.name, v.ip, engine.name,
		order[bytes.LastIndexByte(order, '\n')+1:])
	time.Sleep(killDelay)
	v.away.Store(true)
	t.logf("%s is killed", v.name)
	if err := v.signal(syscall.SIGKILL); err != nil {
		return 0, err
	}
	go t.restartWhenEnded(v)
	t.sleepUntil(healed)
	t.logf("the cut has ended")
	return healed, nil
}

// judgeOrders reports whether an engine got its orders from one holder at a time. Those that arrived within freezeSlack after the cut don't count.
func (t *trial) judgeOrders(engine *replica, healed time.Duration) bool {
	held := true
	var counted []receivedOrder
	for _, o := range engine.adapters.orders() {
		t.notef("%s: %s %s of %s with token %d, answered %d, at %.3f s", engine.name, o.Operation, o.Adapter, o.Holder, o.FencingToken, o.status, o.at.Seconds())
		if since := o.at - healed; healed > 0 && since >= 0 && since < freezeSlack {
			continue
		}
		if fault := faultOf(counted, o); fault != "" {
			t.logf("%s: order of %s with token %d, answered %d, %.2f s after the cut: %s", engine.name, o.Holder, o.FencingToken, o.status,
				(o.at - healed).Seconds(), fault)
			held = false
		}
		counted = append(counted, o)
	}
	t.logf("orders to %s that count: %d", engine.name, len(counted))
	return held
}

// faultOf returns what is wrong with an order after those before it; "" is nothing.
func faultOf(before []receivedOrder, o receivedOrder) string {
	n := len(before)
	if n == 0 {
		return ""
	}
	last := before[n-1]
	if o.FencingToken < last.FencingToken {
		return fmt.Sprintf("a lower token after %d of %s, %.2f s later", last.FencingToken, last.Holder, (o.at - last.at).Seconds())
	}
	if o.Holder == last.Holder {
		return ""
	}
	if o.FencingToken == last.FencingToken {
		return "the token of " + last.Holder
	}
	for _, p := range before {
		if p.Holder == o.Holder && o.at-p.at < leaseTime {
			return "turns with " + last.Holder
		}
	}
	return ""
}
