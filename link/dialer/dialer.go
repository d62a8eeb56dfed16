// Package dialer makes calls to other VMs over QUIC.
package dialer

import (
	"cmp"
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
	// handshakeTimeout bounds the QUIC handshake of a new connection.
	handshakeTimeout = time.Second
	// defaultIdleTimeout is how long a connection may receive nothing before it is closed.
	defaultIdleTimeout = 2 * time.Second
	// keepAlives is the number of keep-alive packets within the idle timeout.
	keepAlives = 4
	// callCanceledCode is the QUIC stream error code of a call that was canceled on this side.
	callCanceledCode = quic.StreamErrorCode(1)
)

// ErrNotSent is among the causes of a call that failed because no connection or stream to the VM could be opened. No byte of
// the request was sent.
var ErrNotSent = errors.New("request not sent")

// Dialer makes calls to VMs and keeps one connection to each VM that it has called.
type Dialer struct {
	// TLS is the mutual TLS configuration of this process.
	TLS *tls.Config
	// Transport is the UDP socket for all connections; with nil each connection opens its own socket.
	Transport *quic.Transport
	// Clock timestamps sent frames and is advanced by the timestamps of received frames; nil disables both.
	Clock clock
	// IdleTimeout is how long a connection may receive nothing before it is closed; 0 is 2 s. A fleet whose VMs notice the end of
	// another by its heartbeats uses a longer one and CloseVM, as each connection costs keep-alive packets.
	IdleTimeout time.Duration

	mu    sync.Mutex
	conns map[string]*peerConn
}

type clock interface {
	Now() (wallNanos int64, logical uint32)
	Observe(wallNanos int64, logical uint32) bool
}

// peerConn is the connection to one VM.
type peerConn struct {
	// connecting holds a value while a call connects, for which other calls wait no longer than their contexts.
	connecting chan struct{}
	mu         sync.Mutex
	conn       *quic.Conn
}

// Call sends one request and passes the body of each response frame to receive, which may be nil.
//
// Errors of the connection and of the VM name the VM. ErrNotSent is among their causes if the connection or the stream could
// not be opened. If ctx ends after that, the cause is that of ctx, unless the VM has already responded with a refusal.
func (d *Dialer) Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error {
	requestFrame, err := frame.New(method, request)
	if err != nil {
		return err
	}
	conn, err := d.conn(ctx, vm)
	if err != nil {
		return errors.Wrapf(notSentError{err}, "connect to VM %s at %s", vm.ID, vm.LinkAddress)
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		if ctx.Err() == nil {
			d.closeConn(vm, conn)
		}
		return errors.Wrapf(notSentError{err}, "open stream to VM %s at %s", vm.ID, vm.LinkAddress)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(callCanceledCode)
		stream.CancelWrite(callCanceledCode)
	})
	defer stop()
	err = d.roundTrip(stream, requestFrame, receive)
	if err == nil {
		return nil
	}
	if ctx.Err() != nil && !isRefusal(err) {
		return errors.Wrapf(context.Cause(ctx), "%s at VM %s", method, vm.ID)
	}
	return errors.Wrapf(err, "%s at VM %s", method, vm.ID)
}

// Incarnation connects to the VM if necessary and returns the incarnation of the process that runs there.
func (d *Dialer) Incarnation(ctx context.Context, vm fuchsiaspoke.VM) (string, error) {
	conn, err := d.conn(ctx, vm)
	if err != nil {
		return "", errors.Wrapf(err, "connect to VM %s at %s", vm.ID, vm.LinkAddress)
	}
	_, incarnation, err := keyring.PeerIdentity(conn.ConnectionState().TLS)
	return incarnation, err
}

// CloseVM closes the connection to a VM, if there is one; calls on it fail. It does not wait for a call that connects.
func (d *Dialer) CloseVM(vm fuchsiaspoke.VM) {
	d.peerConn(vm).close("VM unreachable")
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, peer := range d.conns {
		peer.connecting <- struct{}{}
		peer.close("closed")
		<-peer.connecting
	}
	d.conns = nil
}

// close closes the connection, if there is one, and tells the peer the reason.
func (p *peerConn) close(reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.CloseWithError(0, reason)
		p.conn = nil
	}
}

func (d *Dialer) roundTrip(stream *quic.Stream, request frame.Frame, receive func(cbor.RawMessage) error) error {
	if err := request.Write(stream, d.Clock); err != nil {
		return errors.Wrap(err, "write request")
	}
	if err := stream.Close(); err != nil {
		return errors.Wrap(err, "close request stream")
	}
	readFrame := frame.Reader(stream, d.Clock)
	for {
		response, err := readFrame()
		if err != nil {
			return errors.Wrap(eofAsUnexpected(err), "read response")
		}
		if response.End {
			return response.Err()
		}
		if receive == nil {
			continue
		}
		if err := receive(response.Body); err != nil {
			stream.CancelRead(callCanceledCode)
			return err
		}
	}
}

func eofAsUnexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func isRefusal(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	return errors.As(err, &refusal)
}

func (d *Dialer) peerConn(vm fuchsiaspoke.VM) *peerConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns == nil {
		d.conns = make(map[string]*peerConn)
	}
	key := vm.ID + "@" + vm.LinkAddress
	peer := d.conns[key]
	if peer == nil {
		peer = &peerConn{connecting: make(chan struct{}, 1)}
		d.conns[key] = peer
	}
	return peer
}

func (d *Dialer) conn(ctx context.Context, vm fuchsiaspoke.VM) (*quic.Conn, error) {
	peer := d.peerConn(vm)
	if conn := peer.open(); conn != nil {
		return conn, nil
	}
	select {
	case peer.connecting <- struct{}{}:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	defer func() { <-peer.connecting }()
	if conn := peer.open(); conn != nil {
		return conn, nil
	}
	conn, err := d.dial(ctx, vm)
	if err != nil {
		return nil, err
	}
	peer.mu.Lock()
	defer peer.mu.Unlock()
	peer.conn = conn
	return conn, nil
}

// open returns the connection if it is open, or nil.
func (p *peerConn) open() *quic.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || p.conn.Context().Err() != nil {
		return nil
	}
	return p.conn
}

func (d *Dialer) dial(ctx context.Context, vm fuchsiaspoke.VM) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	idleTimeout := cmp.Or(d.IdleTimeout, defaultIdleTimeout)
	cfg := &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      idleTimeout / keepAlives,
	}
	conn, err := d.connect(ctx, vm.LinkAddress, cfg)
	if err != nil {
		return nil, err
	}
	peer, _, err := keyring.PeerIdentity(conn.ConnectionState().TLS)
	if err != nil {
		_ = conn.CloseWithError(0, "unknown peer")
		return nil, err
	}
	if peer != vm.ID {
		_ = conn.CloseWithError(0, "wrong VM")
		return nil, errors.Errorf("the peer at this address identifies itself as VM %s", peer)
	}
	return conn, nil
}

func (d *Dialer) connect(ctx context.Context, address string, cfg *quic.Config) (*quic.Conn, error) {
	if d.Transport == nil {
		return quic.DialAddr(ctx, address, d.TLS, cfg)
	}
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return d.Transport.Dial(ctx, addr, d.TLS, cfg)
}

func (d *Dialer) closeConn(vm fuchsiaspoke.VM, conn *quic.Conn) {
	peer := d.peerConn(vm)
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.conn == conn {
		peer.conn = nil
	}
	_ = conn.CloseWithError(0, "failed")
}

type notSentError struct{ error }

func (n notSentError) Unwrap() []error {
	return []error{ErrNotSent, n.error}
}
