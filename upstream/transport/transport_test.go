package transport_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/endless"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/transport"
)

const (
	// testTimeout is the time left of a test's request, and quickly the time in which an endless response must have ended.
	testTimeout = 4 * time.Second
	quickly     = 2 * time.Second
	// maxTaken is how much of an endless head may leave the replica: the limit, and what the kernel's buffers hold.
	maxTaken = 16 << 20
)

// endlessReplica is a replica whose responses do not end.
type endlessReplica struct{ *endless.Endless }

// exchange sends a request to the replica and reads the whole response. It returns the time it took and the error.
func (r endlessReplica) exchange(t *testing.T) (time.Duration, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var sender transport.Transport
	defer sender.Close()
	address, err := r.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	began := time.Now()
	m := fuchsiaspoke.Message{Method: http.MethodGet, Target: "/", Host: "replica", Header: http.Header{}}
	response, err := sender.Send(ctx, address, m, func(h http.Header) fuchsiaspoke.ResponseMatch {
		if h.Get("X-Attempt-Id") == "foreign" {
			return fuchsiaspoke.ResponseForeign
		}
		return fuchsiaspoke.ResponseOwn
	})
	if err == nil {
		_, err = io.Copy(io.Discard, response)
		response.Close()
	}
	return time.Since(began), err
}

// expectClosed fails the test if the replica's connection is not closed.
func (r endlessReplica) expectClosed(t *testing.T) {
	t.Helper()
	for range 100 {
		if r.Closed() == 1 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("the connection is still open")
}

// expectHeadLimit fails the test unless the head of the replica's response is given up at its limit.
func (r endlessReplica) expectHeadLimit(t *testing.T) {
	t.Helper()
	took, err := r.exchange(t)
	var sendErr *fuchsiaspoke.SendError
	var exceeded *fuchsiaspoke.LimitError
	if !errors.As(err, &sendErr) || sendErr.NotSent || !errors.As(err, &exceeded) || took > quickly {
		t.Errorf("after %v: error %v, want a send error at the head's limit", took, err)
	}
	if taken := r.Taken(); taken > maxTaken {
		t.Errorf("%d bytes were taken, want at most %d", taken, maxTaken)
	}
	r.expectClosed(t)
}

func TestEndlessHeadIsGivenUpAtItsLimit(t *testing.T) {
	for name, r := range map[string]*endless.Endless{
		"status line without an end": {Start: "HTTP/1.1 200 ", Part: "OK"},
		"no response at all":         {Part: "\x00\xff garbage "},
		"header line without an end": {Start: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ", Part: "a"},
		"header lines without end":   {Start: "HTTP/1.1 200 OK\r\n", Part: "X-More: more\r\n"},
	} {
		t.Run(name, endlessReplica{r}.expectHeadLimit)
	}
}

// A header line that is continued without end is malformed from its first continuation on.
func TestEndlessContinuedHeaderLineIsGivenUp(t *testing.T) {
	r := endlessReplica{&endless.Endless{Start: "HTTP/1.1 200 OK\r\nX-More: a\r\n", Part: " more\r\n"}}
	r.expectGivenUp(t)
	if _, err := r.exchange(t); err == nil || !strings.Contains(err.Error(), "malformed header line") {
		t.Errorf("error %v, want one about the line", err)
	}
}

func TestEndlessInformationalResponsesAreGivenUpAtTheHeadsLimit(t *testing.T) {
	for name, r := range map[string]*endless.Endless{
		"continue":    {Part: "HTTP/1.1 100 Continue\r\n\r\n"},
		"early hints": {Part: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	} {
		t.Run(name, endlessReplica{r}.expectHeadLimit)
	}
}

// Responses to another request are discarded within a limit of bytes and of time.
func TestEndlessForeignResponsesAreGivenUp(t *testing.T) {
	const foreign = "HTTP/1.1 200 OK\r\nX-Attempt-Id: foreign\r\n"
	for name, r := range map[string]*endless.Endless{
		"chunks without end":     {Start: foreign + "Transfer-Encoding: chunked\r\n\r\n", Part: "4\r\nmore\r\n"},
		"body without end":       {Start: foreign + "\r\n", Part: "more"},
		"trickled chunks":        {Start: foreign + "Transfer-Encoding: chunked\r\n\r\n", Part: "4\r\nmore\r\n", Interval: 100 * time.Millisecond},
		"trickled body":          {Start: foreign + "Content-Length: 100000\r\n\r\n", Part: "m", Interval: 100 * time.Millisecond},
		"one after the other":    {Part: foreign + "Content-Length: 4\r\n\r\nmore"},
		"bodies on other bodies": {Start: foreign + "Content-Length: 4\r\n\r\nmore" + foreign + "\r\n", Part: "m", Interval: 100 * time.Millisecond},
	} {
		t.Run(name, endlessReplica{r}.expectGivenUp)
	}
}

// What a response may have besides the content of its body.
func TestEndlessFramingOfBodyIsGivenUp(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, r := range map[string]*endless.Endless{
		"chunk extension":  {Start: chunked + "4;", Part: "a=b;"},
		"chunk extensions": {Start: chunked, Part: "1;" + strings.Repeat("a", 1000) + "\r\nx\r\n"},
		"chunk size":       {Start: chunked, Part: "0"},
		"trailer":          {Start: chunked + "0\r\nX-More: ", Part: "more"},
		"trailers":         {Start: chunked + "0\r\n", Part: "X-More: more\r\n"},
	} {
		t.Run(name, endlessReplica{r}.expectGivenUp)
	}
}

// expectGivenUp fails the test unless the exchange fails soon, with few bytes taken, and closes the connection.
func (r endlessReplica) expectGivenUp(t *testing.T) {
	t.Helper()
	took, err := r.exchange(t)
	if err == nil || errors.Is(err, context.DeadlineExceeded) || took > quickly {
		t.Errorf("after %v: error %v, want the exchange to be given up soon", took, err)
	}
	if taken := r.Taken(); taken > maxTaken {
		t.Errorf("%d bytes were taken, want at most %d", taken, maxTaken)
	}
	r.expectClosed(t)
}
