package connectionlimiter_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/vm/connectionlimiter"
)

const limit = 8

// serve starts a server whose requests to /held last until the test ends, and returns its address.
func serve(t *testing.T, l *connectionlimiter.ConnectionLimiter) string {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := make(chan struct{})
	server := &http.Server{ConnState: l.Observe, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			<-held
		}
	})}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l.Listener(socket)) }()
	t.Cleanup(func() {
		close(held)
		_ = server.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return socket.Addr().String()
}

// dial opens a connection, and sends a request for a path unless it is "".
func dial(t *testing.T, address, path string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if path != "" {
		_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
	}
	return conn
}

// isClosed reports whether a connection that nothing is sent on is closed.
func isClosed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	timeout, isNet := err.(net.Error)
	return err == io.EOF || isNet && !timeout.Timeout()
}

// Guards against callers that are turned away since others hold connections without a request.
func TestConnectionThatWaitsLongestGivesWay(t *testing.T) {
	address := serve(t, &connectionlimiter.ConnectionLimiter{Limit: limit})
	conns := make([]net.Conn, 0, limit+1)
	for range limit {
		conns = append(conns, dial(t, address, ""))
		time.Sleep(10 * time.Millisecond)
	}
	got, err := http.Get("http://" + address + "/")
	if err != nil {
		t.Fatal(err)
	}
	_ = got.Body.Close()
	if !isClosed(conns[0]) {
		t.Error("the connection that has waited longest is open")
	}
	for i, conn := range conns[1:] {
		if isClosed(conn) {
			t.Errorf("connection %d is closed", i+1)
		}
	}
}

// Guards against requests that are cut as others come, and against more connections than the spare ones.
func TestConnectionsWithRequestsStay(t *testing.T) {
	var asked atomic.Int64
	address := serve(t, &connectionlimiter.ConnectionLimiter{Limit: limit, MakeRoom: func() { asked.Add(1) }})
	conns := make([]net.Conn, 0, limit+limit/4)
	for range limit + limit/4 {
		conns = append(conns, dial(t, address, "/held"))
		time.Sleep(10 * time.Millisecond)
	}
	if !isClosed(dial(t, address, "/held")) {
		t.Error("a connection beyond the spare ones is open")
	}
	for i, conn := range conns {
		if isClosed(conn) {
			t.Errorf("connection %d is closed", i)
		}
	}
	if asked.Load() == 0 {
		t.Error("the server was not asked to make room")
	}
}
