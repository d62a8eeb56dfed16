package listener

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// connectionPollInterval is how often a server that stops checks whether its connections have ended.
const connectionPollInterval = 10 * time.Millisecond

// connections counts the open connections of a server.
type connections struct {
	open atomic.Int64
}

// observe is the server's ConnState hook.
func (c *connections) observe(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// awaitEnd returns when no connection is open, or after the timeout.
func (c *connections) awaitEnd(timeout time.Duration) {
	t := time.NewTicker(connectionPollInterval)
	defer t.Stop()
	for began := time.Now(); c.open.Load() > 0 && time.Since(began) < timeout; {
		<-t.C
	}
}
