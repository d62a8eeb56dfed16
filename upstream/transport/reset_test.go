package transport_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/transport"
)

const (
	// uploadBytes is the size of a request's body that the kernel's buffers do not hold.
	uploadBytes = 8 << 20
	// arrivalTime is how long what a replica has sent takes to arrive, and to end a write that waits.
	arrivalTime = 50 * time.Millisecond
	partOfBody  = "part of the body"
)

// earlyReplica answers a request before it has read its body, with a response that has neither a length nor chunks.
type earlyReplica struct {
	// end ends the response, and rest handles the rest of the request.
	end, rest func(*net.TCPConn)
}

// serve answers one request, and closes the channel once the response has ended.
func (r earlyReplica) serve(listener net.Listener, ended chan<- struct{}) {
	accepted, err := listener.Accept()
	if err != nil {
		return
	}
	defer accepted.Close()
	c := accepted.(*net.TCPConn)
	_, _ = c.Read(make([]byte, 1))
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+partOfBody)
	time.Sleep(arrivalTime)
	r.end(c)
	close(ended)
	r.rest(c)
}

// exchange uploads a body to the replica and returns its response's body, which is read once the connection was ended.
func (r earlyReplica) exchange(t *testing.T, bodyBytes int) (string, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ended := make(chan struct{})
	go r.serve(listener, ended)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var sender transport.Transport
	defer sender.Close()
	m := fuchsiaspoke.Message{Method: http.MethodPost, Target: "/", Host: "replica", Header: http.Header{}, Body: make([]byte, bodyBytes)}
	response, err := sender.Send(ctx, listener.Addr().String(), m, func(http.Header) fuchsiaspoke.ResponseMatch { return fuchsiaspoke.ResponseOwn })
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	<-ended
	time.Sleep(arrivalTime)
	body, err := io.ReadAll(response)
	if _, again := response.Read(make([]byte, 1)); again == io.EOF && err != nil {
		t.Error("a read after the error returned the end of the body")
	}
	return string(body), err
}

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func closeOneSide(c *net.TCPConn) { _ = c.CloseWrite() }

func nothing(*net.TCPConn) {}

// The write of a request received the reset, and the read of the response then found an end like that of a close.
func TestResetThatTheWriteReceivesIsNoEndOfBody(t *testing.T) {
	for name, replica := range map[string]earlyReplica{
		"reset":                          {end: resetConn, rest: nothing},
		"close with unread data":         {end: func(c *net.TCPConn) { _ = c.Close() }, rest: nothing},
		"close of one side, then of all": {end: func(c *net.TCPConn) { closeOneSide(c); time.Sleep(arrivalTime); resetConn(c) }, rest: nothing},
	} {
		if body, err := replica.exchange(t, uploadBytes); err == nil {
			t.Errorf("%s: body %q without an error", name, body)
		}
	}
}

// A reset after a request was written is received by the read.
func TestResetAfterRequestIsNoEndOfBody(t *testing.T) {
	for _, bodyBytes := range []int{1000, 600 << 10} {
		if body, err := (earlyReplica{end: resetConn, rest: nothing}).exchange(t, bodyBytes); err == nil {
			t.Errorf("request of %d bytes: body %q without an error", bodyBytes, body)
		}
	}
}

// A response that ends with a close while its request is still being written is whole.
func TestEarlyResponseThatEndsWithCloseIsWhole(t *testing.T) {
	for name, rest := range map[string]func(*net.TCPConn){
		"reads on": func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"reads on slowly": func(c *net.TCPConn) {
			for {
				if _, err := io.CopyN(io.Discard, c, 1<<10); err != nil {
					return
				}
				time.Sleep(arrivalTime)
			}
		},
	} {
		if body, err := (earlyReplica{end: closeOneSide, rest: rest}).exchange(t, uploadBytes); err != nil || body != partOfBody {
			t.Errorf("%s: body %q, error %v", name, body, err)
		}
	}
}
