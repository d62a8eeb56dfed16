package invoker_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/invoker"
)

// Guards against a call that runs and whose reply is a copy of the refusal of the call before, which has the same id or names none.
func TestCopyOfRefusalIsNoReplyToNextCall(t *testing.T) {
	for name, idLine := range map[string]string{"no id": "", "id used again": "X-Request-Id: a\r\n"} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			refusal := "HTTP/1.1 503 Service Unavailable\r\n" + idLine + "Content-Length: 0\r\n\r\n"
			go serveRefusalTwice(listener, refusal, "HTTP/1.1 200 OK\r\n"+idLine+"Content-Length: 2\r\n\r\nok")
			c := &invoker.Invoker{Address: listener.Addr().String()}
			defer c.Close()
			for n, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
				reply, err := c.Send(t.Context(), fuchsiaspoke.Call{Method: http.MethodPost, Path: "/pay", RequestID: "a", Body: []byte("x")}, nil)
				if err == nil && reply.Status != want {
					t.Errorf("call %d: status %d, that of a copy; it ran with %d", n, reply.Status, want)
				}
			}
		})
	}
}

// serveRefusalTwice refuses the first request of all connections, runs the others, and sends a copy of the refusal before the next answer on its
// connection.
func serveRefusalTwice(listener net.Listener, refusal, answer string) {
	refusals := make(chan string, 1)
	refusals <- refusal
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			refused := false
			for reader := bufio.NewReader(c); ; {
				q, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, q.Body)
				if refused {
					_, _ = io.WriteString(c, refusal)
					time.Sleep(20 * time.Millisecond)
				}
				out := answer
				select {
				case out = <-refusals:
					refused = true
				default:
				}
				if _, err := io.WriteString(c, out); err != nil {
					return
				}
			}
		}()
	}
}
