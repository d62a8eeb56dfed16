package transport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/bytelimiter"
	"github.com/pkg/errors"
)

// repeatingReader reads start and then part again and again, and counts what was taken.
type repeatingReader struct {
	start, part []byte
	taken       int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	if len(r.start) == 0 {
		r.start = r.part
	}
	n := copy(p, r.start)
	r.start = r.start[n:]
	r.taken += n
	return n, nil
}

func FuzzResponseHead(f *testing.F) {
	for _, seed := range [][2]string{
		{"", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		{"HTTP/1.1 200 ", "OK"},
		{"HTTP/1.1 200 OK\r\nX-Attempt-Id: ", "a"},
		{"HTTP/1.1 200 OK\r\n", "X-More: more\r\n"},
		{"HTTP/1.1 200 OK\r\nX-More: a\r\n", " more\r\n"},
		{"", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"", "HTTP/1.1 000 Odd\r\n\r\n"},
		{"HTTP/1.1 101 Odd\r\n\r\n", "HTTP/1.1 600 Odd\r\n\r\n"},
		{"HTTP/1.1 103 Early Hints\r\n", "Link: </a>\r\n\r\nHTTP/1.1 103 Early Hints\r\n"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;a=b\r\nx\r\n"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n", "3\r\nodd\r\n"},
		{"HTTP/1.1 200 OK\r\nX-A: a\r\n Content-Length: 3\r\n\r\n", "odd"},
		{"", "\r\n"},
		{"", "\x00\xff"},
	} {
		f.Add([]byte(seed[0]), []byte(seed[1]))
	}
	f.Fuzz(func(t *testing.T, start, part []byte) {
		if len(part) == 0 {
			part = []byte{0}
		}
		endless := &repeatingReader{start: start, part: part}
		limiter := &bytelimiter.Limiter{Reader: endless}
		c := &conn{limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes)}
		response, err := c.readHead(http.MethodGet) //nolint:bodyclose // the body is never read; there is no connection
		if err == nil && (response.StatusCode < http.StatusOK || response.StatusCode > 599) {
			t.Errorf("status %d is no response", response.StatusCode)
		}
		if err == nil {
			expectTokens(t, response.Header)
		}
		if endless.taken > maxHeadBytes+1 {
			t.Errorf("%d bytes were taken for a head, want at most %d", endless.taken, maxHeadBytes+1)
		}
	})
}

// expectTokens fails the test if the name of a field is no token.
func expectTokens(t *testing.T, h http.Header) {
	t.Helper()
	for name := range h {
		if strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c >= 0x7f || c == ':' }) {
			t.Errorf("field name %q is no token", name)
		}
	}
}

// A response was read from received bytes beyond the reader's buffer, and more of them were left: the connection must not be reused.
func TestBytesBehindLongHeadAreNotForgotten(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Long: " + strings.Repeat("a", 2*readBufferBytes) + "\r\n\r\n"
	for extra := range readBufferBytes {
		text := head + "ok" + strings.Repeat("x", extra)
		limiter := &bytelimiter.Limiter{Reader: strings.NewReader(text)}
		c := &conn{limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes)}
		response, err := c.readHead(http.MethodGet)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if string(body) != "ok" || err != nil {
			t.Fatalf("body %q, error %v", body, err)
		}
		rest, _ := io.ReadAll(c.reader)
		if len(rest) != extra {
			t.Fatalf("%d bytes are left, want %d", len(rest), extra)
		}
	}
}

// Garbage in place of a head, after which nothing comes, is given up at its first line.
func TestGarbageIsGivenUpAtItsFirstLine(t *testing.T) {
	for _, text := range []string{
		"garbage\n", "\x00\xff\r\n", "\r\n", "HTTP/1.1 2x0 OK\r\n", "HTTP/1.1 20 OK\r\n", "HTTP/1.1\r\n", "ICY 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nX A: a\r\n", "HTTP/1.1 200 OK\r\nX-A\r\n", "HTTP/1.1 200 OK\r\nX-A: \x00\r\n", "HTTP/1.1 200 OK\r\n a\r\n",
	} {
		silent, replica := net.Pipe()
		go func() { _, _ = io.WriteString(replica, text) }()
		_ = silent.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := newConn(silent, 1).readHead(http.MethodGet); err == nil || errors.Is(err, os.ErrDeadlineExceeded) { //nolint:bodyclose // there is no body
			t.Errorf("%q: error %v, want one at the line", text, err)
		}
		_ = silent.Close()
		_ = replica.Close()
	}
}
