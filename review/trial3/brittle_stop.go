package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// brittleLimit is how many requests a brittle replica turns away in a second without falling over, and brittlePlaces how many it lets wait.
	brittleLimit  = 5
	brittlePlaces = 4
	// brittleSlots is the batch of the engines, and brittleEvents the length of their streams.
	brittleSlots  = 16
	brittleEvents = 50
	brittleCount  = 12
	// brittleLoad is the share of what the engines can serve that is asked for.
	brittleLoad = 0.9
	// brittleFrom is when the engines begin to say that they are brittle, stopAt when the first VM is stopped, stopGap the time to the next one,
	// and brittleUntil the end, since the VMs are ready.
	brittleFrom  = 4 * time.Second
	stopAt       = 12 * time.Second
	stopGap      = 18 * time.Second
	brittleUntil = 70 * time.Second
)

// brittleness is the state of a replica that falls over if it turns many requests away.
type brittleness struct {
	mu       sync.Mutex
	from     time.Duration
	rejected []rejection
}

// rejection is one request that was turned away, and whether it came from a VM in touch.
type rejection struct {
	at      time.Duration
	inTouch bool
}

func (b *brittleness) isOn(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.from > 0 && now >= b.from
}

func (b *brittleness) letsFewerWait(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.from > 0 && now >= b.from+contactLimit*time.Millisecond
}

// reject reports whether the replica falls over as it turns one more request away, and whether most of those came from VMs in touch.
func (b *brittleness) reject(last rejection) (falls, counts bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rejected = append(b.rejected, last)
	for last.at-b.rejected[0].at > time.Second {
		b.rejected = b.rejected[1:]
	}
	if b.from == 0 || last.at < b.from+contactLimit*time.Millisecond || len(b.rejected) <= brittleLimit {
		return false, false
	}
	inTouch := 0
	for _, r := range b.rejected {
		if r.inTouch {
			inTouch++
		}
	}
	counts = 2*inTouch > len(b.rejected)
	b.rejected = nil
	return true, counts
}

// brittleStop has the engines say that they are brittle, and stops one VM as planned. By the rule LIMIT they fall over no more often than 2 + a
// tenth of their number.
func brittleStop(t *trial) (bool, error) {
	var all []*brittleness
	engines, err := t.startReplicas(brittleCount, func(r *replica) {
		r.slots, r.places, r.events = brittleSlots, 3*brittleSlots, brittleEvents
		r.brittle = &brittleness{}
		all = append(all, r.brittle)
	})
	if err != nil {
		return false, err
	}
	t.engineSlots = brittleSlots
	t.configure(5000)
	if err := t.startVMs(3); err != nil {
		return false, err
	}
	began := t.now()
	for _, b := range all {
		b.mu.Lock()
		b.from = began + brittleFrom
		b.mu.Unlock()
	}
	capacity := brittleCount * brittleSlots / (brittleEvents * eventInterval).Seconds()
	interval := time.Duration(float64(time.Second) / (brittleLoad * capacity))
	var callers sync.WaitGroup
	var mu sync.Mutex
	asked, served, stopped := 0, 0, 0
	for n := 0; t.now()-began < brittleUntil; n++ {
		if t.trouble && stopped < len(t.vms) && t.now()-began > stopAt+time.Duration(stopped)*stopGap {
			if err := t.stop(t.vms[stopped]); err != nil {
				return false, err
			}
			stopped++
		}
		v := t.vms[n%len(t.vms)]
		if v.away.Load() {
			v = t.vms[(n+1)%len(t.vms)]
		}
		callers.Go(func() {
			got := t.ask(v, call{
				id: fmt.Sprintf("sound-%d-%s", n, v.name), method: http.MethodPost, path: "/text/x", tokens: "300,100",
				parts: fmt.Sprintf("5c1e07a2:200,%08x:100", 0x10000000+n), deadline: 5 * time.Second,
			})
			mu.Lock()
			defer mu.Unlock()
			asked++
			if got.served() {
				served++
			}
		})
		t.sleepUntil(began + time.Duration(n+1)*interval)
	}
	callers.Wait()
	falls := 0
	for _, e := range engines {
		falls += int(e.countedFalls.Load())
	}
	allowed := 2 + 0.1*float64(len(engines))
	t.logf("%.0f requests a second asked, %.0f can be served; served %s; %d counted falls of %d brittle engines, %.1f are allowed", brittleLoad*capacity, capacity,
		share(served, asked), falls, len(engines), allowed)
	return float64(falls) <= allowed, nil
}
