package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// unreadConnections is the number of connections of the client that reads no answers.
	unreadConnections = 2600
	// idBytes is the size of the ids of its requests, with which a header is within maxHeaderBytes.
	idBytes = 14000
	// receiveBuffer is the size of its receive buffers, and fillTime how long it sends before ordinary clients come.
	receiveBuffer = 4096
	// segmentSize is the size of a segment on a usual network; that of the loopback interface is far larger.
	segmentSize = 1460
	fillTime    = 10 * time.Second
	// reopenInterval is the time after which it replaces a connection that was closed.
	reopenInterval = 500 * time.Millisecond
	// unreadTime is how long ordinary clients come.
	unreadTime = 30 * time.Second
	// newCallers is the number of ordinary clients that try to connect at a time, in each interval.
	newCallers  = 8
	newInterval = 250 * time.Millisecond
)

// unreadAnswers has one client send requests on many connections and read none of the answers. By the rule RECOVER a machine that says it is
// ready takes new connections: it must not refuse all of seven clients or more for contactMs.
func unreadAnswers(t *trial) (bool, error) {
	if _, err := t.startReplicas(deskService, 3, func(*replica) {}); err != nil {
		return false, err
	}
	t.configure(2500)
	if err := t.startVMs(1); err != nil {
		return false, err
	}
	v := t.vms[0]
	if t.trouble {
		t.logf("a client that reads no answers has opened %d connections", t.sendUnread(v))
	}
	var mu sync.Mutex
	var callers sync.WaitGroup
	asked, served := 0, 0
	lastServed, longest := t.now(), time.Duration(0)
	began := t.now()
	ready := 0
	for n := 0; t.now()-began < unreadTime; n++ {
		for i := range newCallers {
			callers.Go(func() {
				got := t.ask(v, call{id: fmt.Sprintf("ordinary-%d-%d", n, i), method: http.MethodGet, path: "/read/x", deadline: 2500 * time.Millisecond})
				mu.Lock()
				defer mu.Unlock()
				asked++
				if got.whole {
					served++
					longest, lastServed = max(longest, t.now()-lastServed), t.now()
				}
			})
		}
		if v.isReady() {
			ready++
		}
		time.Sleep(newInterval)
	}
	callers.Wait()
	longest = max(longest, t.now()-lastServed)
	t.logf("ordinary requests on new connections: %d, answered %d; longest time without any answer: %.1f s; health checks that succeeded: %d", asked,
		served, longest.Seconds(), ready)
	return longest < contactLimit*time.Millisecond, nil
}

// sendUnread opens the connections of the client that reads nothing, and returns how many it has opened. It sends as long as it can, and opens
// another connection for one that is closed.
func (t *trial) sendUnread(v *vm) int {
	id := strings.Repeat("a", idBytes)
	request := []byte("GET /none/x HTTP/1.1\r\nHost: " + callerHost + "\r\nX-Attempt-Id: " + id + "\r\n\r\n")
	ended := make(chan struct{})
	t.atEnd(func() { close(ended) })
	var opened atomic.Int64
	for range unreadConnections {
		go func() {
			for isOpen(ended) {
				if sendUnreadOn(v, request, ended, &opened) != nil {
					time.Sleep(reopenInterval)
				}
			}
		}()
	}
	time.Sleep(fillTime)
	return int(opened.Load())
}

func isOpen(ended <-chan struct{}) bool {
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// sendUnreadOn opens one connection and sends requests on it until it is closed.
func sendUnreadOn(v *vm, request []byte, ended <-chan struct{}, opened *atomic.Int64) error {
	conn, err := (&net.Dialer{Timeout: time.Second, Control: withSmallBuffer}).Dial("tcp", v.callers())
	if err != nil {
		return err
	}
	defer conn.Close()
	opened.Add(1)
	closed := make(chan struct{})
	defer close(closed)
	go func() {
		select {
		case <-ended:
			_ = conn.Close()
		case <-closed:
		}
	}()
	for {
		if _, err := conn.Write(request); err != nil {
			return err
		}
	}
}

// withSmallBuffer has a connection receive little that is not read.
func withSmallBuffer(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		if failure == nil {
			failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentSize)
		}
	})
	if err != nil {
		return err
	}
	return failure
}
