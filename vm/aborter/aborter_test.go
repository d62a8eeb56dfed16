package aborter_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke/vm/aborter"
)

// An HTTP/1.0 response ends with its connection, one of HTTP/1.1 with a last chunk: neither may come when the response is aborted.
func TestAbortedResponseDoesNotLookComplete(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "data: begun\n\n")
		_ = http.NewResponseController(w).Flush()
		aborter.Abort(w, r)
	}))
	defer server.Close()
	for _, version := range []string{"1.0", "1.1"} {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := fmt.Fprintf(c, "GET / HTTP/%s\r\nHost: h\r\n\r\n", version); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			continue
		}
		if body, err := io.ReadAll(response.Body); err == nil {
			t.Errorf("HTTP/%s: %q was received as a complete response", version, body)
		}
		response.Body.Close()
	}
}
