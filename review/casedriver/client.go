package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const hostName = "ficu95.example"

// call is one attempt of a client.
type call struct {
	method, path, key, adapter string
	// parts lists the parts of the prompt as ID:TOKENS; promptTokens is their sum.
	parts                   string
	promptTokens, outTokens int
	body                    []byte
	deadline                time.Duration
	lastEvent, resumes      string
}

// answer is what a client saw of an attempt.
type answer struct {
	attempt string
	vm      *vm
	sentAt  time.Time
	endedAt time.Time
	// status is 0 without an answer.
	status     int
	retryAfter string
	// complete means that the whole answer came.
	complete bool
	// refused means that no connection was established.
	refused bool
	body    string
	err     error
}

func (a answer) String() string {
	text := fmt.Sprintf("client: attempt %s at %s answered %d, complete %v, after %v", a.attempt, a.vm.name, a.status, a.complete, a.endedAt.Sub(a.sentAt).Round(time.Millisecond))
	if a.err != nil {
		text += ", error: " + a.err.Error()
	}
	return text
}

var attempts atomic.Int64

func newAttempt() string { return fmt.Sprintf("9c41d07b%08x", attempts.Add(1)) }

// send makes one attempt on a connection of its own. It is given up at its deadline.
func send(ctx context.Context, rec *recorder, v *vm, attempt string, c call) answer {
	a := answer{attempt: attempt, vm: v, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	defer func() { a.endedAt = time.Now() }()
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", v.at(frontPort))
	if err != nil {
		a.refused, a.err, a.endedAt = true, err, time.Now()
		rec.log("client: attempt %s at %s: no connection", attempt, v.name)
		return a
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	rec.log("client: attempt %s sent to %s: %s %s adapter %s, deadline %v", attempt, v.name, c.method, c.path, c.adapter, c.deadline)
	if _, err := conn.Write(c.encode(attempt)); err != nil {
		a.err, a.endedAt = err, time.Now()
		rec.log("%s", a)
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err == nil {
		a.status, a.retryAfter = response.StatusCode, response.Header.Get("Retry-After")
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.body, a.complete = string(body), err == nil
	}
	a.err, a.endedAt = err, time.Now()
	rec.log("%s", a)
	return a
}

// encode returns the request as it is sent.
func (c call) encode(attempt string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		c.method, c.path, hostName, attempt, c.deadline.Milliseconds(), c.key)
	if c.promptTokens > 0 {
		model := modelName
		if c.adapter != "" {
			model += "/" + c.adapter
		}
		fmt.Fprintf(&b, "X-Model: %s\r\nX-Token-Count: %d,%d\r\nX-Prompt-Prefix: %s\r\n", model, c.promptTokens, c.outTokens, c.parts)
	}
	if c.lastEvent != "" {
		fmt.Fprintf(&b, "Last-Event-Id: %s\r\nResumes: %s\r\n", c.lastEvent, c.resumes)
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(c.body)) + "\r\n\r\n")
	b.Write(c.body)
	return b.Bytes()
}
