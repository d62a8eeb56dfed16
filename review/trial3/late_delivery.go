package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// cutTime is how long one replica of four is cut off from all VMs.
	cutTime = 9400 * time.Millisecond
	// leaveAfterCut is when that replica begins to leave, since the end of the cut, and staysFor how long it serves on.
	leaveAfterCut = time.Second
	staysFor      = 8 * time.Second
	// drainLimit is drainMs of the settings.
	drainLimit = 2 * time.Second
	lateUntil  = 32 * time.Second
	cutAfter   = 6 * time.Second
)

// isReset reports whether an error is that of a connection which its peer has reset.
func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

// lateDelivery cuts one replica off from all VMs for some seconds. A second after the cut, the replica leaves as planned. By the rule DRAIN no
// request reaches it later than drainMs after that, but for what is held up: up to contactMs after the cut.
func lateDelivery(t *trial) (bool, error) {
	var mu sync.Mutex
	arrivals := map[string]time.Duration{}
	answers := map[string]string{}
	var links []*link
	var leaving *replica
	engines, err := t.startReplicas(4, func(r *replica) {
		r.onRun = func(q *http.Request, replica string) {
			id := q.Header.Get("X-Attempt-Id")
			t.notef("%s reaches %s", id, replica)
			if leaving != nil && replica == leaving.name {
				mu.Lock()
				defer mu.Unlock()
				arrivals[id] = t.now()
			}
		}
		l, err := t.startLink("link to "+r.name, r.address)
		if err != nil {
			t.logf("%v", err)
			return
		}
		r.published = l.listener.Addr().String()
		links = append(links, l)
	})
	if err != nil {
		return false, err
	}
	t.configure(5000)
	if err := t.startVMs(3); err != nil {
		return false, err
	}
	mu.Lock()
	leaving = engines[0]
	mu.Unlock()
	began := t.now()
	cutEnd := began + cutAfter + cutTime
	var acknowledged time.Duration
	time.AfterFunc(cutAfter, func() {
		if t.trouble {
			links[0].cut(cutTime)
			t.logf("%s is cut off from all VMs for %v", leaving.name, cutTime)
		}
	})
	time.AfterFunc(cutAfter+cutTime+leaveAfterCut, func() {
		leaving.leave()
		mu.Lock()
		acknowledged = t.now()
		mu.Unlock()
		t.logf("%s is leaving: acknowledged by the store", leaving.name)
	})
	var callers sync.WaitGroup
	for n := 0; t.now()-began < lateUntil; n++ {
		v := t.vms[n%len(t.vms)]
		id := fmt.Sprintf("sound-%d", n)
		callers.Go(func() {
			got := t.ask(v, call{
				id: id, method: http.MethodPost, path: "/text/x", tokens: "300,30",
				parts: fmt.Sprintf("5c1e07a2:200,%08x:100", 0x10000000+n), deadline: 5 * time.Second,
			})
			mu.Lock()
			defer mu.Unlock()
			answers[id] = fmt.Sprintf("%s at %.3f s", got, t.now().Seconds())
		})
		time.Sleep(30 * time.Millisecond)
	}
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for id, at := range arrivals {
		if at > acknowledged+drainLimit && at > cutEnd+contactLimit*time.Millisecond {
			late++
			t.notef("LATE: %s reached the leaving replica at %.3f s, %.3f s after the acknowledgement and %.3f s after the cut; its caller got: %s", id,
				at.Seconds(), (at - acknowledged).Seconds(), (at - cutEnd).Seconds(), answers[id])
		}
	}
	t.logf("requests that reached the leaving replica later than %v after the acknowledgement, and later than %d ms after the cut: %d", drainLimit,
		contactLimit, late)
	return late == 0, nil
}
