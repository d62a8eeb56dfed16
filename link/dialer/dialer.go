// Package dialer makes calls to other VMs over QUIC.
package dialer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/keyring"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

const (
	// handshakeTimeout bounds how long a new connection may take.
	handshakeTimeout = time.Second
	// idleTimeout is how long a connection may be silent before it is given up.
	idleTimeout = 2 * time.Second
	// keepAlive is how often an idle connection shows that it lives.
	keepAlive = 500 * time.Millisecond
	// canceled is the QUIC error code of a call that its caller gave up.
	canceled = quic.StreamErrorCode(1)
)

// ErrNotSent is the cause of a call whose request surely never left this process.
var ErrNotSent = errors.New("request not sent")

// Dialer keeps one connection to each VM that it was asked to call.
type Dialer struct {
	// TLS is the process's key material.
	TLS *tls.Config
	// Transport is the socket that calls leave from; nil means one of their own for each connection.
	Transport *quic.Transport
	// Clock stamps what leaves and learns from what comes; nil does neither.
	Clock clock

	mu    sync.Mutex
	conns map[string]*entry
}

type clock interface {
	Now() (wallNanos int64, logical uint32)
	Observe(wallNanos int64, logical uint32) bool
}

type entry struct {
	mu   sync.Mutex
	conn *quic.Conn
}

// Call sends one request and hands each part of the answer to receive, which may be nil.
//
// Errors carry the peer; ErrNotSent is among their causes where the request never left.
func (d *Dialer) Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error {
	call, err := frame.New(method, request)
	if err != nil {
		return err
	}
	conn, err := d.conn(ctx, vm)
	if err != nil {
		return errors.Wrapf(notSent{err}, "connect to VM %s at %s", vm.ID, vm.LinkAddress)
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		d.drop(vm, conn)
		return errors.Wrapf(notSent{err}, "open stream to VM %s at %s", vm.ID, vm.LinkAddress)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(canceled)
		stream.CancelWrite(canceled)
	})
	defer stop()
	err = d.exchange(stream, call, receive)
	if err == nil {
		return nil
	}
	if ctx.Err() != nil && !isRefusal(err) {
		return errors.Wrapf(context.Cause(ctx), "%s at VM %s", method, vm.ID)
	}
	return errors.Wrapf(err, "%s at VM %s", method, vm.ID)
}

// Incarnation returns the incarnation of the process that answers for the VM.
func (d *Dialer) Incarnation(ctx context.Context, vm fuchsiaspoke.VM) (string, error) {
	conn, err := d.conn(ctx, vm)
	if err != nil {
		return "", errors.Wrapf(err, "connect to VM %s at %s", vm.ID, vm.LinkAddress)
	}
	_, incarnation, err := keyring.Peer(conn.ConnectionState().TLS)
	return incarnation, err
}

// Close ends all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.conns {
		e.mu.Lock()
		if e.conn != nil {
			_ = e.conn.CloseWithError(0, "closed")
		}
		e.mu.Unlock()
	}
	d.conns = nil
}

func (d *Dialer) exchange(stream *quic.Stream, call frame.Frame, receive func(cbor.RawMessage) error) error {
	if err := call.Write(stream, d.Clock); err != nil {
		return errors.Wrap(err, "write request")
	}
	if err := stream.Close(); err != nil {
		return errors.Wrap(err, "end request")
	}
	next := frame.Reader(stream, d.Clock)
	for {
		part, err := next()
		if err != nil {
			return errors.Wrap(cutShort(err), "read answer")
		}
		if part.End {
			return part.Err()
		}
		if receive == nil {
			continue
		}
		if err := receive(part.Body); err != nil {
			stream.CancelRead(canceled)
			return err
		}
	}
}

func cutShort(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func isRefusal(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	return errors.As(err, &refusal)
}

func (d *Dialer) entry(vm fuchsiaspoke.VM) *entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns == nil {
		d.conns = make(map[string]*entry)
	}
	name := vm.ID + "@" + vm.LinkAddress
	e := d.conns[name]
	if e == nil {
		e = &entry{}
		d.conns[name] = e
	}
	return e
}

func (d *Dialer) conn(ctx context.Context, vm fuchsiaspoke.VM) (*quic.Conn, error) {
	e := d.entry(vm)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil && e.conn.Context().Err() == nil {
		return e.conn, nil
	}
	conn, err := d.dial(ctx, vm)
	if err != nil {
		return nil, err
	}
	e.conn = conn
	return conn, nil
}

func (d *Dialer) dial(ctx context.Context, vm fuchsiaspoke.VM) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	settings := &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlive,
	}
	conn, err := d.connect(ctx, vm.LinkAddress, settings)
	if err != nil {
		return nil, err
	}
	peer, _, err := keyring.Peer(conn.ConnectionState().TLS)
	if err != nil {
		return nil, err
	}
	if peer != vm.ID {
		_ = conn.CloseWithError(0, "wrong VM")
		return nil, errors.Errorf("the address is answered by VM %s", peer)
	}
	return conn, nil
}

func (d *Dialer) connect(ctx context.Context, address string, settings *quic.Config) (*quic.Conn, error) {
	if d.Transport == nil {
		return quic.DialAddr(ctx, address, d.TLS, settings)
	}
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return d.Transport.Dial(ctx, to, d.TLS, settings)
}

func (d *Dialer) drop(vm fuchsiaspoke.VM, conn *quic.Conn) {
	e := d.entry(vm)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == conn {
		e.conn = nil
	}
	_ = conn.CloseWithError(0, "failed")
}

type notSent struct{ error }

func (n notSent) Unwrap() []error {
	return []error{ErrNotSent, n.error}
}
