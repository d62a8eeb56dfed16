// Package transport sends HTTP/1.1 requests to replicas over pooled connections and never resends a request.
package transport

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the opening of a connection; a replica on the same network accepts within milliseconds.
	dialTimeout = 700 * time.Millisecond
	// refusalTimeout bounds IsRefused: a connection that is not refused by then is not refused at all.
	refusalTimeout = 300 * time.Millisecond
	// maxRequestsPerConnection bounds the requests whose ids a connection remembers, after which it is closed.
	maxRequestsPerConnection = 256
	// maxIdlePerReplica bounds the number of idle connections to one address.
	maxIdlePerReplica = 16
	// defaultIdleLifetime is how long a connection may stay idle if the replica sends no Keep-Alive timeout.
	defaultIdleLifetime = 4 * time.Second
	// idleLifetimeMargin is subtracted from the replica's Keep-Alive timeout, since a request sent shortly before the timeout
	// would arrive after the replica has closed the connection.
	idleLifetimeMargin = 700 * time.Millisecond
	// maxForeignResponses bounds the number of responses to other requests that one exchange discards.
	maxForeignResponses = 2
	// maxDiscardBytes and discardTimeout bound the body of a response that is read only so that the next one can be.
	maxDiscardBytes = 1 << 20
	discardTimeout  = time.Second
	// maxHeadBytes bounds what is received up to the end of a response head. Replicas send back little of a request's header.
	maxHeadBytes    = 64 << 10
	readBufferBytes = 4096
	// maxJoinedBytes is the size up to which a body is copied behind its header, so that one packet may hold both.
	maxJoinedBytes = 64 << 10
	// abandonTimeout bounds the time in which an abandoned response is read to its end.
	abandonTimeout = 2 * time.Second
)

// ErrAbandoned is the cause with which a caller of SendAbandonable ends its context if it does not need the response any more.
var ErrAbandoned = errors.New("the response is not needed any more")

// errUnnamed is the error of a response that names no request on a connection that has carried others: it may be a copy of one of their responses.
var errUnnamed = errors.New("the response names no request, and the connection has carried others")

// contacts learns whether replicas are reached.
type contacts interface {
	// Expect records that a response is waited for, or a connection is opened.
	Expect()
	// Reached records that something was received or a connection was opened, and Unconnected that one could not be opened.
	Reached()
	Unconnected()
}

// Transport pools connections to replicas. Its zero value is ready to use.
type Transport struct {
	// Dial opens a connection to an address; nil means net.Dialer.DialContext.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Contacts is told what shows whether replicas are reached; nil is told nothing.
	Contacts contacts

	// opened counts the connections.
	opened atomic.Uint64

	mu        sync.Mutex
	idleConns map[string][]*conn
}

// Send writes the message to the replica once and returns the response with its head read.
//
// Its error is a *fuchsiaspoke.SendError, whose NotSent says that the replica received nothing. match states whether a head belongs
// to this message; a late response to an earlier message on the same connection is discarded. A message is never sent on a connection that has carried
// its id. A response that names no request counts only on a connection that has carried no other one, which isn't reused then.
func (t *Transport) Send(
	ctx context.Context, address string, m fuchsiaspoke.Message, match func(http.Header) fuchsiaspoke.ResponseMatch,
) (*Response, error) {
	c, err := t.acquire(ctx, address, m)
	if err != nil {
		return nil, &fuchsiaspoke.SendError{Peer: address, Step: "connect", NotSent: true, Cause: err}
	}
	stop := context.AfterFunc(ctx, c.close)
	r := &Response{transport: t, conn: c, address: address, stopCancelWatch: stop}
	if err := r.exchange(m, match); err != nil {
		r.Close()
		return nil, &fuchsiaspoke.SendError{Peer: address, Step: "exchange", Cause: err}
	}
	return r, nil
}

// SendAbandonable is Send for a message whose response may turn out not to be needed. If ctx ends with ErrAbandoned as its cause, it returns
// at once, and the response is read to its end apart from the caller, so that the connection can be reused.
func (t *Transport) SendAbandonable(
	ctx context.Context, address string, m fuchsiaspoke.Message, match func(http.Header) fuchsiaspoke.ResponseMatch,
) (*Response, error) {
	c, err := t.acquire(ctx, address, m)
	if err != nil {
		return nil, &fuchsiaspoke.SendError{Peer: address, Step: "connect", NotSent: true, Cause: err}
	}
	r := &Response{transport: t, conn: c, address: address}
	exchanged := make(chan error, 1)
	go func() { exchanged <- r.exchange(m, match) }()
	select {
	case err = <-exchanged:
	case <-ctx.Done():
		if errors.Is(context.Cause(ctx), ErrAbandoned) {
			go r.finishAbandoned(exchanged)
			return nil, &fuchsiaspoke.SendError{Peer: address, Step: "exchange", Cause: context.Cause(ctx)}
		}
		c.close()
		err = <-exchanged
		if err == nil {
			err = context.Cause(ctx)
		}
	}
	if err != nil {
		r.Close()
		return nil, &fuchsiaspoke.SendError{Peer: address, Step: "exchange", Cause: err}
	}
	r.stopCancelWatch = context.AfterFunc(ctx, c.close)
	return r, nil
}

// HasIdle reports whether there is an idle connection to an address.
func (t *Transport) HasIdle(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(t.idleConns[address], func(c *conn) bool { return now.Before(c.idleUntil) })
}

// IsRefused reports whether connections to an address are refused, as nothing listens there any more.
func (t *Transport) IsRefused(ctx context.Context, address string) bool {
	c, err := t.dial(ctx, address, refusalTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return false
}

// CloseIdle closes the idle connections to an address.
func (t *Transport) CloseIdle(address string) {
	t.mu.Lock()
	conns := t.idleConns[address]
	delete(t.idleConns, address)
	t.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// Close closes all idle connections.
func (t *Transport) Close() {
	t.mu.Lock()
	all := t.idleConns
	t.idleConns = nil
	t.mu.Unlock()
	for _, conns := range all {
		for _, c := range conns {
			c.close()
		}
	}
}

// acquire returns an idle connection to the address that is still usable and may carry the message, or opens a new one.
func (t *Transport) acquire(ctx context.Context, address string, m fuchsiaspoke.Message) (*conn, error) {
	for c := t.popIdle(address, m); c != nil; c = t.popIdle(address, m) {
		if c.usable(time.Now()) {
			return c, nil
		}
		c.close()
	}
	t.expect()
	netConn, err := t.dial(ctx, address, dialTimeout)
	if err != nil {
		t.recordDialFailure(ctx)
		return nil, err
	}
	t.reached()
	return newConn(netConn, t.opened.Add(1)), nil
}

func (t *Transport) expect() {
	if t.Contacts != nil {
		t.Contacts.Expect()
	}
}

func (t *Transport) reached() {
	if t.Contacts != nil {
		t.Contacts.Reached()
	}
}

// recordDialFailure records that a connection could not be opened, unless its caller gave up.
func (t *Transport) recordDialFailure(ctx context.Context) {
	if t.Contacts != nil && ctx.Err() == nil {
		t.Contacts.Unconnected()
	}
}

// Connect opens a connection to an address and closes it, which shows that the address is reached. Contacts isn't told.
func (t *Transport) Connect(ctx context.Context, address string) error {
	c, err := t.dial(ctx, address, dialTimeout)
	if err != nil {
		return err
	}
	return c.Close()
}

// dial opens a connection within the timeout.
func (t *Transport) dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if t.Dial != nil {
		return t.Dial(ctx, "tcp", address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// popIdle removes the connection that was used last of those that may carry the message from the idle ones, and returns it; nil if there is none.
func (t *Transport) popIdle(address string, m fuchsiaspoke.Message) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := t.idleConns[address]
	for i, c := range slices.Backward(conns) {
		if c.mayCarry(m) {
			t.idleConns[address] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

func (t *Transport) putIdle(address string, c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.idleConns == nil {
		t.idleConns = make(map[string][]*conn)
	}
	if len(t.idleConns[address]) >= maxIdlePerReplica {
		c.close()
		return
	}
	t.idleConns[address] = append(t.idleConns[address], c)
}

// encode returns the message in HTTP/1.1 wire format, in one part or, if the body is large, in two. The body is sent with Content-Length, never chunked.
func encode(m fuchsiaspoke.Message) net.Buffers {
	joined := len(m.Body) <= maxJoinedBytes
	var b bytes.Buffer
	b.Grow(min(len(m.Body), maxJoinedBytes) + 1024)
	b.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	_ = m.Header.Write(&b)
	if len(m.Body) > 0 || m.Method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if !joined {
		return net.Buffers{b.Bytes(), m.Body}
	}
	b.Write(m.Body)
	return net.Buffers{b.Bytes()}
}

// exchange starts the write of the message and reads response heads until that of the message's own response.
func (r *Response) exchange(m fuchsiaspoke.Message, match func(http.Header) fuchsiaspoke.ResponseMatch) error {
	r.transport.expect()
	r.use = fuchsiaspoke.ConnectionUse{Number: r.conn.number, Before: r.conn.requests}
	r.conn.record(m)
	r.write = startWrite(r.conn.netConn, encode(m))
	for range maxForeignResponses + 1 {
		response, err := r.conn.readHead(m.Method) //nolint:bodyclose // the body is closed with the connection, which Response owns
		if err != nil {
			return err
		}
		r.transport.reached()
		if m := match(response.Header); m != fuchsiaspoke.ResponseForeign {
			r.use.Named = m == fuchsiaspoke.ResponseOwn
			if !r.use.Named && r.use.Before > 0 {
				return errUnnamed
			}
			r.Status, r.Header, r.response = response.StatusCode, response.Header, response
			return nil
		}
		if err := r.conn.discard(response.Body); err != nil {
			return errors.Wrap(err, "discard the response to another request")
		}
		r.foreignResponseRead = true
	}
	return errors.New("received too many responses to other requests on one connection")
}
