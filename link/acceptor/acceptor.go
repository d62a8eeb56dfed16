// Package acceptor answers the calls that other VMs make over QUIC.
package acceptor

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/keyring"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"k8s.io/klog/v2"
)

const (
	// idleTimeout is how long a connection may be silent before it is given up.
	idleTimeout = 2 * time.Second
	// maxStreams bounds the calls that one peer may have open.
	maxStreams = 10_000
	// closed is the QUIC error code of a process that ends.
	closed = quic.ApplicationErrorCode(0)
)

// Acceptor dispatches the calls of authenticated VMs to their handlers.
type Acceptor struct {
	// TLS is the process's key material.
	TLS *tls.Config
	// Clock stamps what leaves and learns from what comes; nil does neither.
	Clock clock

	handlers map[string]handler
}

type clock interface {
	Now() (wallNanos int64, logical uint32)
	Observe(wallNanos int64, logical uint32) bool
}

type handler func(ctx context.Context, peer string, request frame.Frame, send func(any) error) error

// Handle names the function that answers a method; all are named before Serve.
//
// The function's context ends when the caller gives up or the connection is lost.
func (a *Acceptor) Handle(method string, answer func(ctx context.Context, peer string, request frame.Frame, send func(any) error) error) {
	if a.handlers == nil {
		a.handlers = make(map[string]handler)
	}
	a.handlers[method] = answer
}

// Serve answers calls on the transport's socket until the context ends.
func (a *Acceptor) Serve(ctx context.Context, transport *quic.Transport) error {
	settings := &quic.Config{MaxIdleTimeout: idleTimeout, MaxIncomingStreams: maxStreams}
	listener, err := transport.Listen(a.TLS, settings)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", transport.Conn.LocalAddr())
	}
	defer listener.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		peer, err := listener.Accept(ctx)
		if err != nil {
			return errors.Wrap(ctx.Err(), "accept")
		}
		wg.Go(func() { a.serveConn(ctx, peer) })
	}
}

func (a *Acceptor) serveConn(ctx context.Context, conn *quic.Conn) {
	vm, _, err := keyring.Peer(conn.ConnectionState().TLS)
	if err != nil {
		klog.ErrorS(err, "Refused connection", "peer", conn.RemoteAddr().String())
		_ = conn.CloseWithError(closed, "unknown peer")
		return
	}
	defer func() { _ = conn.CloseWithError(closed, "closed") }()
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

func (a *Acceptor) serveStream(stream *quic.Stream, vm string) {
	defer stream.Close()
	request, err := frame.Reader(stream, a.Clock)()
	if err != nil {
		klog.V(1).InfoS("Unreadable request", "peer", vm, "err", err)
		return
	}
	answer, ok := a.handlers[request.Method]
	if !ok {
		_ = frame.Frame{}.WithErr(errors.Errorf("unknown method %q", request.Method)).Write(stream, a.Clock)
		return
	}
	send := func(value any) error {
		part, err := frame.New("", value)
		if err != nil {
			return err
		}
		return part.Write(stream, a.Clock)
	}
	err = answer(stream.Context(), vm, request, send)
	_ = frame.Frame{}.WithErr(err).Write(stream, a.Clock)
}
