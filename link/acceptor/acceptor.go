// Package acceptor serves the calls that other VMs make over QUIC.
package acceptor

import (
	"cmp"
	"context"
	"crypto/tls"
	"io"
	"runtime/debug"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/keyring"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"k8s.io/klog/v2"
)

const (
	// defaultIdleTimeout is how long a connection may receive nothing before it is closed.
	defaultIdleTimeout = 2 * time.Second
	// maxStreams is the maximum number of concurrent calls on one connection.
	maxStreams = 10_000
	// maxRequestBytes bounds a request, which holds at most one request of a caller.
	maxRequestBytes = 8 << 20
	// requestTimeout bounds how long a request takes to arrive.
	requestTimeout = 5 * time.Second
	// requestRejectedCode is the QUIC stream error code of requests that could not be read.
	requestRejectedCode = quic.StreamErrorCode(2)
	// noErrorCode is the QUIC application error code of connections that the acceptor closes.
	noErrorCode = quic.ApplicationErrorCode(0)
)

// Acceptor dispatches calls from authenticated VMs to the handlers of their methods.
type Acceptor struct {
	// TLS is the mutual TLS configuration of this process.
	TLS *tls.Config
	// Clock timestamps sent frames and is advanced by the timestamps of received frames; nil disables both.
	Clock clock
	// IdleTimeout is how long a connection may receive nothing before it is closed; 0 is 2 s. The shorter one of both ends counts.
	IdleTimeout time.Duration
	// CloseTime returns, once Serve ends, how long connections may stay open until all responses are acknowledged; nil is 1 s.
	CloseTime func() time.Duration

	handlers map[string]handler
}

type clock interface {
	Now() (wallNanos int64, logical uint32)
	Observe(wallNanos int64, logical uint32) bool
}

type handler func(ctx context.Context, peer string, request frame.Frame, send func(any) error) error

// Handle registers the handler of a method. All handlers must be registered before Serve is called.
//
// The handler's context is canceled when the caller cancels the call or the connection is lost.
func (a *Acceptor) Handle(method string, handle func(ctx context.Context, peer string, request frame.Frame, send func(any) error) error) {
	if a.handlers == nil {
		a.handlers = make(map[string]handler)
	}
	a.handlers[method] = handle
}

// Serve accepts connections on the transport's socket until ctx is done or accepting fails, then waits for running calls and their
// responses to arrive. It returns the context's error or the cause.
func (a *Acceptor) Serve(ctx context.Context, transport *quic.Transport) error {
	cfg := &quic.Config{MaxIdleTimeout: cmp.Or(a.IdleTimeout, defaultIdleTimeout), MaxIncomingStreams: maxStreams}
	listener, err := transport.Listen(a.TLS, cfg)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", transport.Conn.LocalAddr())
	}
	defer listener.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return errors.Wrap(cmp.Or(ctx.Err(), err), "accept link")
		}
		wg.Go(func() { a.serveConn(ctx, conn) })
	}
}

func (a *Acceptor) serveConn(ctx context.Context, conn *quic.Conn) {
	vm, _, err := keyring.PeerIdentity(conn.ConnectionState().TLS)
	if err != nil {
		klog.ErrorS(err, "Connection rejected: peer certificate has no VM identity", "peer", conn.RemoteAddr().String())
		_ = conn.CloseWithError(noErrorCode, "unknown peer")
		return
	}
	defer func() {
		if ctx.Err() != nil && conn.Context().Err() == nil {
			awaitQuiet(conn, a.closeTime())
		}
		_ = conn.CloseWithError(noErrorCode, "closed")
	}()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		wg.Go(func() { a.serveStream(stream, vm) })
	}
}

func (a *Acceptor) closeTime() time.Duration {
	if a.CloseTime == nil {
		return maxCloseDelay
	}
	return a.CloseTime()
}

// readRequest reads a request, which ends within maxRequestBytes and requestTimeout.
func (a *Acceptor) readRequest(stream *quic.Stream) (frame.Frame, error) {
	if err := stream.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
		return frame.Frame{}, err
	}
	request, err := frame.Reader(io.LimitReader(stream, maxRequestBytes), a.Clock)()
	if err != nil {
		return frame.Frame{}, err
	}
	return request, stream.SetReadDeadline(time.Time{})
}

func (a *Acceptor) serveStream(stream *quic.Stream, vm string) {
	defer stream.Close()
	request, err := a.readRequest(stream)
	if err != nil {
		klog.V(1).InfoS("Request frame could not be read", "peer", vm, "err", err)
		stream.CancelRead(requestRejectedCode)
		return
	}
	handle, ok := a.handlers[request.Method]
	if !ok {
		_ = frame.Frame{}.WithErr(errors.Errorf("unknown method %q", request.Method)).Write(stream, a.Clock)
		return
	}
	send := func(value any) error {
		response, err := frame.New("", value)
		if err != nil {
			return err
		}
		return response.Write(stream, a.Clock)
	}
	err = callHandler(handle, stream.Context(), vm, request, send)
	_ = frame.Frame{}.WithErr(err).Write(stream, a.Clock)
}

// callHandler calls a handler and returns a panic of it as an error, so that one request can't end the process.
func callHandler(handle handler, ctx context.Context, vm string, request frame.Frame, send func(any) error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Errorf("handler of %q panicked", request.Method)
			klog.ErrorS(err, "Request not served", "peer", vm, "panic", cause, "stack", string(debug.Stack()))
		}
	}()
	return handle(ctx, vm, request, send)
}
