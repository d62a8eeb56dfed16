package transport

import (
	"bufio"
	"net/http"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/bytelimiter"
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
		if endless.taken > maxHeadBytes+1 {
			t.Errorf("%d bytes were taken for a head, want at most %d", endless.taken, maxHeadBytes+1)
		}
	})
}
