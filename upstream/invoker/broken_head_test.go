package invoker_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/invoker"
)

// expectNoReply sends calls, with an idempotency key and without one, to a service that answers with a text, and fails the test unless their outcome
// is unknown.
func expectNoReply(t *testing.T, text string) {
	t.Helper()
	expectNoReplyTo(t, []byte("x"), text)
}

// A body with neither a length nor chunks is no reply, also if it is reset while the call is being written.
func TestReplyResetDuringUploadIsNoReply(t *testing.T) {
	for _, text := range []string{"", "part of the body"} {
		expectNoReplyTo(t, make([]byte, 8<<20), "HTTP/1.1 200 OK\r\n\r\n"+text)
	}
}

// expectNoReplyTo is expectNoReply for calls with a body, which is not read before the answer if it is long; the connection is reset then.
func expectNoReplyTo(t *testing.T, body []byte, text string) {
	t.Helper()
	for _, key := range []string{"", "key"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			_, _ = c.Read(make([]byte, 64<<10))
			_, _ = io.WriteString(c, text)
			time.Sleep(30 * time.Millisecond)
		}()
		c := &invoker.Invoker{Address: listener.Addr().String()}
		call := fuchsiaspoke.Call{Method: http.MethodPost, Path: "/pay", RequestID: "a", Body: body, IdempotencyKey: key}
		reply, err := c.Send(t.Context(), call, nil)
		var refusal *fuchsiaspoke.Refusal
		if !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.RunUnknown {
			t.Errorf("answered with %q, key %q: reply %+v, error %v, want an unknown outcome", text, key, reply, err)
		}
		c.Close()
		listener.Close()
	}
}

// A head with a blank in the name of a field was accepted.
func TestResponseWithOddFieldNameIsNoReply(t *testing.T) {
	for _, line := range []string{"X-Odd Name: odd", "X-Odd : odd", "Content-Encoding : gzip", "X-Odd\t: odd", "X-\x00Odd: odd"} {
		expectNoReply(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 2\r\n\r\nok")
	}
	expectNoReply(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
}

// A status that HTTP does not have reached the caller.
func TestResponseWithStatusOutsideOfHTTPIsNoReply(t *testing.T) {
	for _, status := range []string{"000", "101", "600", "999"} {
		expectNoReply(t, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\nok")
	}
}
