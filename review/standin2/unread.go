package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// unreadOpening is for how long connections are opened whose clients send requests and read no answers, and unreadDialers how many are opened
	// at once.
	unreadOpening = 25 * time.Second
	unreadDialers = 60
	// unreadEnough is the number of connections closed by the VM, one after the other, after which no more are opened.
	unreadEnough = 3000
	// unreadBlocked is the time after which a write that does not go on shows that the VM reads no more requests of a connection.
	unreadBlocked = 400 * time.Millisecond
	// unreadIDBytes is the length of such a client's X-Attempt-Id, which answers repeat. A header may have 16,384 bytes.
	unreadIDBytes = 15000
	// unreadSegment and unreadWindow are the segment size and the receive buffer of such a client, as on a path that is no loopback.
	unreadSegment = 536
	unreadWindow  = 4096
	// unreadCallers is the number of ordinary clients, which try each unreadPause for unreadTime.
	unreadCallers = 8
	unreadPause   = 250 * time.Millisecond
	unreadTime    = 12 * time.Second
	// unreadContact is contactMs.
	unreadContact = 3 * time.Second
)

// siteBounds are the bounds of the site liuteria-commesse.
var siteBounds = bounds{
	"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
	"configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 54,
	"quotaWindowS": 8, "quotaOverage": 0.25, "quotaSlack": 72000, "recoveryS": 12, "leaseMs": 3000, "freezeSlackMs": 300, "version_ms": 5000,
	"ttl_max_s": 5,
}

// siteMachine is a machine of the site liuteria-commesse.
var siteMachine = machine{cpuShare: 0.4, memoryMB: 284, maxFDs: 4100}

// plainConfiguration returns a configuration with one plain service.
func plainConfiguration() map[string]any {
	return map[string]any{
		"version": 1, "routes": []any{route("/same/", "idempotent", "desk", nil)}, "services": []any{plainService("desk")}, "limits": limits(),
		"tenants": []any{tenant("school", "key-kept")},
	}
}

// playUnread has clients send requests to a VM and read no answers, and checks that it takes new connections of ordinary clients.
func playUnread(e *environment, trouble bool) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	if _, err := s.put("op/config", plainConfiguration()); err != nil {
		return false, err
	}
	for n := range 3 {
		if _, err := startReplica(s, fmt.Sprint("i-desk-", n), "desk", false, 5*time.Millisecond, 6); err != nil {
			return false, err
		}
	}
	vms, err := e.startVMs(2, s.address, siteMachine, siteBounds)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	v := vms[0]
	var held []net.Conn
	if trouble {
		held = e.holdUnread(v)
	}
	longest, served := e.tryOrdinary(v, unreadTime)
	for _, c := range held {
		c.Close()
	}
	time.Sleep(time.Second)
	after := send(v, request{method: "GET", path: "/same/x", key: "key-kept", deadline: 2500 * time.Millisecond})
	e.record("after the other clients have left: status %d, error %v", after.status, after.err)
	e.record("%d ordinary requests were served; the longest time without one, while the VM said that it is ready, was %.1f s", served, longest.Seconds())
	return longest > unreadContact, nil
}

// holdUnread opens connections whose clients send requests until the VM reads no more, and read nothing.
func (e *environment) holdUnread(v *vm) []net.Conn {
	var mu sync.Mutex
	var held []net.Conn
	var sent, refused, closed, closedInRow atomic.Int64
	e.record("connections of clients that read no answers are opened to %s for up to %v", v.front, unreadOpening)
	next := make(chan int)
	var dialers sync.WaitGroup
	for range unreadDialers {
		dialers.Go(func() {
			for n := range next {
				c, err := dialSlow(v.front)
				if err != nil {
					refused.Add(1)
					continue
				}
				bytes, blocked := sendUntilBlocked(c, n)
				sent.Add(int64(bytes))
				if !blocked {
					closed.Add(1)
					closedInRow.Add(1)
					c.Close()
					continue
				}
				closedInRow.Store(0)
				mu.Lock()
				held = append(held, c)
				mu.Unlock()
			}
		})
	}
	for began, n := time.Now(), 0; time.Since(began) < unreadOpening && closedInRow.Load() < unreadEnough; n++ {
		next <- n
	}
	close(next)
	dialers.Wait()
	e.record("%d connections are held; the VM has closed %d, and %d could not be opened; %d bytes of requests were taken", len(held), closed.Load(),
		refused.Load(), sent.Load())
	return held
}

// dialSlow opens a connection of a client with a small window.
func dialSlow(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, unreadWindow)
			if failure == nil {
				failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, unreadSegment)
			}
		})
		if err != nil {
			return err
		}
		return failure
	}}
	return d.DialContext(context.Background(), "tcp", address)
}

// sendUntilBlocked sends requests until the VM reads no more of them, and returns how many bytes were sent. A connection that the VM has closed is
// not blocked.
func sendUntilBlocked(c net.Conn, n int) (sent int, blocked bool) {
	for i := 0; ; i++ {
		id := fmt.Sprintf("%06d-%06d-", n, i)
		text := "GET /same/x HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + strings.Repeat("a", unreadIDBytes-len(id)) +
			"\r\nX-Deadline-Ms: 2500\r\n\r\n"
		if err := c.SetWriteDeadline(time.Now().Add(unreadBlocked)); err != nil {
			return sent, false
		}
		written, err := c.Write([]byte(text))
		sent += written
		if err != nil {
			return sent, errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
}

// tryOrdinary has ordinary clients try the VM on new connections. It returns the longest time without a success while the VM said that it is
// ready, and the number of successes.
func (e *environment) tryOrdinary(v *vm, during time.Duration) (longest time.Duration, served int) {
	var mu sync.Mutex
	last := time.Now()
	end := last.Add(during)
	var callers sync.WaitGroup
	for n := range unreadCallers {
		callers.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(unreadPause)
				a := send(v, request{method: "GET", path: "/same/x", key: "key-kept", deadline: 2500 * time.Millisecond})
				e.note("ordinary client %d: status %d, error %v", n, a.status, a.err)
				mu.Lock()
				if a.status == 200 {
					served++
					last = time.Now()
				}
				mu.Unlock()
			}
		})
	}
	callers.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(unreadPause)
			ready := isReady(v)
			mu.Lock()
			e.note("the VM says that it is ready: %t", ready)
			if !ready {
				last = time.Now()
			}
			longest = max(longest, time.Since(last))
			mu.Unlock()
		}
	})
	callers.Wait()
	return longest, served
}
