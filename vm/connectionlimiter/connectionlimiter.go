// Package connectionlimiter bounds the connections of an HTTP server.
package connectionlimiter

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// spareShare is the share of the limit by which connections may exceed it while others are being closed.
const spareShare = 0.25

// ConnectionLimiter keeps the number of an HTTP server's connections near a limit. Beyond it, the connection that has waited longest without a request is
// closed for each new one; if none waits, the server is asked to end another. Its zero value limits nothing.
type ConnectionLimiter struct {
	// Limit is the number of connections; 0 is any.
	Limit int
	// MakeRoom has a connection end soon on which a request is arriving, if there is one; nil ends none.
	MakeRoom func()

	mu   sync.Mutex
	open int
	// waiting holds the connections without a request, and since when they are.
	waiting map[net.Conn]time.Time
}

// Listener returns a listener that accepts the connections of another one within the limit. A connection beyond its spare share is closed unread.
func (l *ConnectionLimiter) Listener(from net.Listener) net.Listener {
	return &listener{Listener: from, limiter: l}
}

type listener struct {
	net.Listener
	limiter *ConnectionLimiter
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.limiter.admit(conn) {
			return conn, err
		}
		_ = conn.Close()
	}
}

// admit counts a new connection, and reports whether it may be served.
func (l *ConnectionLimiter) admit(conn net.Conn) bool {
	if l.Limit <= 0 {
		return true
	}
	longest, admitted, full := l.count(conn)
	switch {
	case longest != nil:
		_ = longest.Close()
	case full && l.MakeRoom != nil:
		l.MakeRoom()
	}
	return admitted
}

// count counts a new connection if it may be served. Beyond the limit it returns the one that has waited longest, which then doesn't count as waiting.
func (l *ConnectionLimiter) count(conn net.Conn) (longest net.Conn, admitted, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if full = l.open >= l.Limit; full {
		longest = l.takeLongest()
	}
	if longest == nil && float64(l.open) >= float64(l.Limit)*(1+spareShare) {
		return nil, false, full
	}
	l.open++
	l.wait(conn)
	return longest, true, full
}

// takeLongest removes the connection that has waited longest from those that wait, and returns it; nil if none waits.
func (l *ConnectionLimiter) takeLongest() net.Conn {
	var longest net.Conn
	for conn, since := range l.waiting {
		if longest == nil || since.Before(l.waiting[longest]) {
			longest = conn
		}
	}
	delete(l.waiting, longest)
	return longest
}

func (l *ConnectionLimiter) wait(conn net.Conn) {
	if l.waiting == nil {
		l.waiting = make(map[net.Conn]time.Time)
	}
	l.waiting[conn] = time.Now()
}

// Observe is the server's ConnState hook.
func (l *ConnectionLimiter) Observe(conn net.Conn, state http.ConnState) {
	if l.Limit <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		delete(l.waiting, conn)
	case http.StateIdle:
		l.wait(conn)
	case http.StateClosed, http.StateHijacked:
		delete(l.waiting, conn)
		l.open--
	}
}
