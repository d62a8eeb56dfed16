// Package server serves HTTP for the stand-ins and can simulate stalled connections.
package server

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Server serves an HTTP handler and can stall its open connections; connections accepted later work normally.
type Server struct {
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Serve serves h on l until ctx ends and then closes every connection. It returns nil, or the error of the listener.
func (s *Server) Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	srv := &http.Server{Handler: h, BaseContext: func(net.Listener) context.Context { return ctx }}
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ctx.Done()
		srv.Close() //nolint:errcheck // Simulates the end of a process, so close errors are irrelevant.
	}()
	err := srv.Serve(&listener{Listener: l, server: s})
	cancel()
	<-done
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve on %s", l.Addr())
}

// StallOpenConnections stalls each connection that is open now: it stays open, but written data is discarded and reads block
// until it is closed.
func (s *Server) StallOpenConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.stall()
	}
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.conns[c] = struct{}{}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

type listener struct {
	net.Listener
	server *Server
}

func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, server: l.server, stalled: make(chan struct{}), closed: make(chan struct{})}
	l.server.add(c)
	return c, nil
}

// conn is an accepted connection that can be stalled.
type conn struct {
	net.Conn
	server    *Server
	stallOnce sync.Once
	closeOnce sync.Once
	stalled   chan struct{}
	closed    chan struct{}
}

func (c *conn) stall() {
	c.stallOnce.Do(func() { close(c.stalled) })
}

func (c *conn) isStalled() bool {
	select {
	case <-c.stalled:
		return true
	default:
		return false
	}
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.isStalled() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

func (c *conn) Write(p []byte) (int, error) {
	if c.isStalled() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.server.remove(c)
	return c.Conn.Close()
}
