package transport_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/transport"
)

const (
	// testTimeout is the time left of a test's request, and quickly the time in which an endless response must have ended.
	testTimeout = 4 * time.Second
	quickly     = 2 * time.Second
	// maxTaken is how much of an endless head may leave the replica: the limit, and what the kernel's buffers hold.
	maxTaken = 16 << 20
)

// endlessReplica accepts connections and writes start and then repeats part on each, every interval, until the connection is closed.
type endlessReplica struct {
	start, part string
	interval    time.Duration
	// taken counts the bytes that the kernel has taken, and closed the connections that the other end has closed.
	taken, closed atomic.Int64
}

func (r *endlessReplica) listen(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return l.Addr().String()
}

func (r *endlessReplica) serve(c net.Conn) {
	defer c.Close()
	_, _ = c.Read(make([]byte, 4096))
	part := []byte(r.part)
	if r.interval == 0 {
		part = bytes.Repeat(part, 1+4096/max(len(part), 1))
	}
	n, err := c.Write([]byte(r.start))
	r.taken.Add(int64(n))
	for err == nil {
		n, err = c.Write(part)
		r.taken.Add(int64(n))
		time.Sleep(r.interval)
	}
	r.closed.Add(1)
}

// exchange sends a request to the replica and reads the whole response. It returns the time it took and the error.
func (r *endlessReplica) exchange(t *testing.T) (time.Duration, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var sender transport.Transport
	defer sender.Close()
	began := time.Now()
	m := fuchsiaspoke.Message{Method: http.MethodGet, Target: "/", Host: "replica", Header: http.Header{}}
	response, err := sender.Send(ctx, r.listen(t), m, func(h http.Header) bool { return h.Get("X-Attempt-Id") != "foreign" })
	if err == nil {
		_, err = io.Copy(io.Discard, response)
		response.Close()
	}
	return time.Since(began), err
}

// expectClosed fails the test if the replica's connection is not closed.
func (r *endlessReplica) expectClosed(t *testing.T) {
	t.Helper()
	for range 100 {
		if r.closed.Load() == 1 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("the connection is still open")
}

// expectHeadLimit fails the test unless the head of the replica's response is given up at its limit.
func (r *endlessReplica) expectHeadLimit(t *testing.T) {
	t.Helper()
	took, err := r.exchange(t)
	var sendErr *fuchsiaspoke.SendError
	var exceeded *fuchsiaspoke.LimitError
	if !errors.As(err, &sendErr) || sendErr.NotSent || !errors.As(err, &exceeded) || took > quickly {
		t.Errorf("after %v: error %v, want a send error at the head's limit", took, err)
	}
	if taken := r.taken.Load(); taken > maxTaken {
		t.Errorf("%d bytes were taken, want at most %d", taken, maxTaken)
	}
	r.expectClosed(t)
}

func TestEndlessHeadIsGivenUpAtItsLimit(t *testing.T) {
	for name, r := range map[string]*endlessReplica{
		"status line without an end": {start: "HTTP/1.1 200 ", part: "OK"},
		"no response at all":         {part: "\x00\xff garbage "},
		"header line without an end": {start: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ", part: "a"},
		"header lines without end":   {start: "HTTP/1.1 200 OK\r\n", part: "X-More: more\r\n"},
		"continued header line":      {start: "HTTP/1.1 200 OK\r\nX-More: a\r\n", part: " more\r\n"},
	} {
		t.Run(name, r.expectHeadLimit)
	}
}

func TestEndlessInformationalResponsesAreGivenUpAtTheHeadsLimit(t *testing.T) {
	for name, r := range map[string]*endlessReplica{
		"continue":    {part: "HTTP/1.1 100 Continue\r\n\r\n"},
		"early hints": {part: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	} {
		t.Run(name, r.expectHeadLimit)
	}
}

// Responses to another request are discarded within a limit of bytes and of time.
func TestEndlessForeignResponsesAreGivenUp(t *testing.T) {
	const foreign = "HTTP/1.1 200 OK\r\nX-Attempt-Id: foreign\r\n"
	for name, r := range map[string]*endlessReplica{
		"chunks without end":     {start: foreign + "Transfer-Encoding: chunked\r\n\r\n", part: "4\r\nmore\r\n"},
		"body without end":       {start: foreign + "\r\n", part: "more"},
		"trickled chunks":        {start: foreign + "Transfer-Encoding: chunked\r\n\r\n", part: "4\r\nmore\r\n", interval: 100 * time.Millisecond},
		"trickled body":          {start: foreign + "Content-Length: 100000\r\n\r\n", part: "m", interval: 100 * time.Millisecond},
		"one after the other":    {part: foreign + "Content-Length: 4\r\n\r\nmore"},
		"bodies on other bodies": {start: foreign + "Content-Length: 4\r\n\r\nmore" + foreign + "\r\n", part: "m", interval: 100 * time.Millisecond},
	} {
		t.Run(name, r.expectGivenUp)
	}
}

// What a response may have besides the content of its body.
func TestEndlessFramingOfBodyIsGivenUp(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, r := range map[string]*endlessReplica{
		"chunk extension":  {start: chunked + "4;", part: "a=b;"},
		"chunk extensions": {start: chunked, part: "1;" + strings.Repeat("a", 1000) + "\r\nx\r\n"},
		"chunk size":       {start: chunked, part: "0"},
		"trailer":          {start: chunked + "0\r\nX-More: ", part: "more"},
		"trailers":         {start: chunked + "0\r\n", part: "X-More: more\r\n"},
	} {
		t.Run(name, r.expectGivenUp)
	}
}

// expectGivenUp fails the test unless the exchange fails soon, with few bytes taken, and closes the connection.
func (r *endlessReplica) expectGivenUp(t *testing.T) {
	t.Helper()
	took, err := r.exchange(t)
	if err == nil || errors.Is(err, context.DeadlineExceeded) || took > quickly {
		t.Errorf("after %v: error %v, want the exchange to be given up soon", took, err)
	}
	if taken := r.taken.Load(); taken > maxTaken {
		t.Errorf("%d bytes were taken, want at most %d", taken, maxTaken)
	}
	r.expectClosed(t)
}
