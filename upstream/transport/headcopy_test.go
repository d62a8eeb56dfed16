package transport_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/transport"
)

// Guards against bytes of a response's body that are taken for its head, as the copy of a HEAD request's refusal states a length and has no body.
func TestCopyOfRefusedHEADDoesNotSwallowNextResponse(t *testing.T) {
	body := "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: second\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	ownHead := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: second\r\nContent-Length: %d\r\n\r\n", len(body))
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: first\r\nX-Not-Executed: 1\r\nContent-Length: %d\r\n\r\n", len(ownHead))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go answerHEADTwice(c, refusal, ownHead+body)
		}
	}()
	var sender transport.Transport
	defer sender.Close()
	for _, m := range []fuchsiaspoke.Message{{ID: "first", Method: http.MethodHead}, {ID: "second", Method: http.MethodPost}} {
		m.Target, m.Host, m.Header = "/", "replica", http.Header{"X-Attempt-Id": {m.ID}}
		response, err := sender.Send(t.Context(), listener.Addr().String(), m, func(h http.Header) fuchsiaspoke.ResponseMatch {
			if h.Get("X-Attempt-Id") == m.ID {
				return fuchsiaspoke.ResponseOwn
			}
			return fuchsiaspoke.ResponseForeign
		})
		if err != nil {
			continue
		}
		if m.ID == "second" && response.Status != http.StatusOK {
			t.Errorf("status %d is read from the body of the response, which has status 200", response.Status)
		}
		_, _ = io.Copy(io.Discard, response)
		response.Close()
	}
}

// answerHEADTwice refuses HEAD requests, and sends a copy of the refusal before the next answer on its connection.
func answerHEADTwice(c net.Conn, refusal, answer string) {
	defer c.Close()
	refused := false
	for reader := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if q.Method == http.MethodHead {
			refused = true
			_, _ = io.WriteString(c, refusal)
			continue
		}
		if refused {
			_, _ = io.WriteString(c, refusal)
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = io.WriteString(c, answer)
	}
}
