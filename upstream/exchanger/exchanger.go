// Package exchanger sends HTTP/1.1 requests to replicas over kept connections, each request exactly once.
package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds a new connection; a replica on the same network answers within milliseconds.
	dialTimeout = 700 * time.Millisecond
	// maxIdlePerReplica bounds the kept connections of one replica.
	maxIdlePerReplica = 16
	// defaultIdleLifetime is how long a connection is kept whose replica names no time.
	defaultIdleLifetime = 4 * time.Second
	// idleLifetimeMargin is what is taken off the time that a replica names, for packets on their way.
	idleLifetimeMargin = 700 * time.Millisecond
	// maxForeignResponses bounds the answers to other requests that are read past on one connection.
	maxForeignResponses = 2
	// maxForeignBytes bounds how much of an answer to another request is read past.
	maxForeignBytes = 1 << 20
	// readBufferBytes is the size of a connection's read buffer, in bytes.
	readBufferBytes = 4096
)

// Exchanger keeps connections to replicas; its zero value is ready.
type Exchanger struct {
	mu        sync.Mutex
	idleConns map[string][]*conn
}

// Send writes the message to the replica once and returns the head of the answer.
//
// An error of type *fuchsiaspoke.SendError says whether the replica may have received anything. mine tells the answer
// to this message from one to an earlier message that came late.
func (e *Exchanger) Send(
	ctx context.Context, address string, m fuchsiaspoke.Message, isOwnResponse func(http.Header) bool,
) (*Answer, error) {
	c, err := e.acquire(ctx, address)
	if err != nil {
		return nil, &fuchsiaspoke.SendError{Peer: address, Step: "connect", NotSent: true, Cause: err}
	}
	stop := context.AfterFunc(ctx, c.close)
	a := &Answer{exchanger: e, conn: c, address: address, stopCancelWatch: stop}
	if err := a.exchange(m, isOwnResponse); err != nil {
		a.Close()
		return nil, &fuchsiaspoke.SendError{Peer: address, Step: "exchange", Cause: err}
	}
	return a, nil
}

// Forget closes the kept connections of an address.
func (e *Exchanger) Forget(address string) {
	e.mu.Lock()
	conns := e.idleConns[address]
	delete(e.idleConns, address)
	e.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// Close closes all kept connections.
func (e *Exchanger) Close() {
	e.mu.Lock()
	all := e.idleConns
	e.idleConns = nil
	e.mu.Unlock()
	for _, conns := range all {
		for _, c := range conns {
			c.close()
		}
	}
}

func (e *Exchanger) acquire(ctx context.Context, address string) (*conn, error) {
	for c := e.popIdle(address); c != nil; c = e.popIdle(address) {
		if c.usable(time.Now()) {
			return c, nil
		}
		c.close()
	}
	d := net.Dialer{Timeout: dialTimeout}
	netConn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{netConn: netConn, reader: bufio.NewReaderSize(netConn, readBufferBytes)}, nil
}

func (e *Exchanger) popIdle(address string) *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	conns := e.idleConns[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	e.idleConns[address] = conns[:len(conns)-1]
	return c
}

func (e *Exchanger) putIdle(address string, c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.idleConns == nil {
		e.idleConns = make(map[string][]*conn)
	}
	if len(e.idleConns[address]) >= maxIdlePerReplica {
		c.close()
		return
	}
	e.idleConns[address] = append(e.idleConns[address], c)
}

// encode writes the message as it goes over the wire; the body always has a length.
func encode(m fuchsiaspoke.Message) []byte {
	var b bytes.Buffer
	b.Grow(len(m.Body) + 1024)
	b.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	_ = m.Header.Write(&b)
	if len(m.Body) > 0 || m.Method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(m.Body)
	return b.Bytes()
}

func (a *Answer) exchange(m fuchsiaspoke.Message, isOwnResponse func(http.Header) bool) error {
	written := make(chan error, 1)
	encoded := encode(m)
	go func() {
		_, err := a.conn.netConn.Write(encoded)
		written <- err
	}()
	a.writeResult = written
	for range maxForeignResponses + 1 {
		response, err := a.readHead(m.Method) //nolint:bodyclose // the body ends with the connection, which Answer owns
		if err != nil {
			return err
		}
		if isOwnResponse(response.Header) {
			a.Status, a.Header, a.response = response.StatusCode, response.Header, response
			return nil
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxForeignBytes); err != io.EOF {
			return errors.New("an answer to another request came")
		}
		a.foreignResponseRead = true
	}
	return errors.New("too many answers to other requests came")
}

func (a *Answer) readHead(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(a.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}
