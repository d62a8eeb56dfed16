// Package headerwaiter waits for requests that have begun to arrive before an HTTP server is shut down.
package headerwaiter

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// pollInterval is how often Await checks whether a header is missing.
const pollInterval = 10 * time.Millisecond

// HeaderWaiter knows the connections of an HTTP server whose first header has not arrived. http.Server.Shutdown drops the request of such a
// connection. Its zero value is ready to use.
type HeaderWaiter struct {
	mu     sync.Mutex
	unread map[net.Conn]bool
}

// Observe is the server's ConnState hook.
func (w *HeaderWaiter) Observe(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if state != http.StateNew {
		delete(w.unread, c)
		return
	}
	if w.unread == nil {
		w.unread = make(map[net.Conn]bool)
	}
	w.unread[c] = true
}

// Await returns when no connection lacks its first header, or after the timeout.
func (w *HeaderWaiter) Await(timeout time.Duration) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for began := time.Now(); w.missing() && time.Since(began) < timeout; {
		<-t.C
	}
}

func (w *HeaderWaiter) missing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.unread) > 0
}
