package poller_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke/configuration/poller"
)

// read answers a read of a document with a text, and returns the read's error.
func read(t *testing.T, text string) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 4096))
		_, _ = io.WriteString(c, text)
	}()
	p := &poller.Poller{URL: "http://" + listener.Addr().String(), Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	_, err = p.Read(t.Context(), "profiles")
	return err
}

// A head with a blank in the name of a field was accepted.
func TestResponseWithBrokenHeadIsNoDocument(t *testing.T) {
	const rest = "Content-Length: 2\r\n\r\n{}"
	if err := read(t, "HTTP/1.1 200 OK\r\n"+rest); err != nil {
		t.Errorf("sound response: %v", err)
	}
	for _, head := range []string{"000 Odd\r\n", "600 Odd\r\n", "200 OK\r\nX-Odd Name: odd\r\n", "200 OK\r\nX-Odd : odd\r\n"} {
		if err := read(t, "HTTP/1.1 "+head+rest); err == nil {
			t.Errorf("head %q is accepted", head)
		}
	}
}
