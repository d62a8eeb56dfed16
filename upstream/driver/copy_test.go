package driver_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/driver"
)

// Guards against a generation that runs and counts as not run, as a copy of the refusal of the one before is taken for its response.
func TestCopyOfRefusalIsNoAnswerToNextGeneration(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var served sync.WaitGroup
	served.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			served.Go(func() { serveRefusalTwice(c) })
		}
	})
	transport := &http.Transport{}
	defer served.Wait()
	defer transport.CloseIdleConnections()
	defer listener.Close()
	d := &driver.Driver{
		Client: &http.Client{Transport: transport}, Upstream: fuchsiaspoke.Upstream{ID: "e", Address: listener.Addr().String()},
		ProgressTimeout: 300 * time.Millisecond,
	}
	for _, id := range []string{"first", "second"} {
		g := fuchsiaspoke.Generation{RequestID: id, Adapter: adapter, MaxOutputTokens: 9, Body: []byte(`{"prompt":"x"}`)}
		err := d.Generate(t.Context(), g, func(fuchsiaspoke.Chunk) error { return nil })
		var refusal *fuchsiaspoke.Refusal
		if id == "second" && errors.As(err, &refusal) && refusal.Run == fuchsiaspoke.NotRun {
			t.Errorf("the engine runs the second generation, and it counts as not run: %v", err)
		}
	}
}

// serveRefusalTwice refuses the generation "first", runs all others, and sends a copy of that refusal before the next answer on its connection.
func serveRefusalTwice(c net.Conn) {
	defer c.Close()
	body := `{"error":{"code":"overloaded","message":"full","run":"` + string(fuchsiaspoke.NotRun) + `"}}`
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	refused := false
	for reader := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		if q.Header.Get("X-Request-Id") == "first" {
			refused = true
			_, _ = io.WriteString(c, refusal)
			continue
		}
		if refused {
			_, _ = io.WriteString(c, refusal)
			time.Sleep(20 * time.Millisecond)
		}
		event := fmt.Sprintf(`data: {"request_id":%q,"index":0,"text":"x","tokens":1,"finish_reason":"stop","adapter":{"name":"violin","version":3}}`,
			q.Header.Get("X-Request-Id")) + "\n\n"
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(event), event)
	}
}
