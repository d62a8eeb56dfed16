// Package aborter ends responses to callers that can't be completed.
package aborter

import (
	"net"
	"net/http"
)

// Abort ends the connection of a response that has begun, so that the caller can't take it for complete. It panics with
// http.ErrAbortHandler and never returns.
//
// In HTTP/1.1 the last chunk is missing then. An HTTP/1.0 response ends with its connection, which is therefore reset.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset discards what the connection has not sent yet and closes it with a reset.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
