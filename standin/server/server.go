// Package server serves the stand-ins over connections that can be made silent.
package server

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Server serves an HTTP handler and can make its open connections silent while new ones work.
type Server struct {
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Serve answers on l until ctx ends, then closes every connection; it returns the listener's error or nil.
func (s *Server) Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	srv := &http.Server{Handler: h, BaseContext: func(net.Listener) context.Context { return ctx }}
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ctx.Done()
		srv.Close() //nolint:errcheck // The connections end with the process that they stand in for.
	}()
	err := srv.Serve(&listener{Listener: l, server: s})
	cancel()
	<-done
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve on %s", l.Addr())
}

// Silence makes each connection that is open now swallow what is written and deliver nothing, without closing it.
func (s *Server) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silence()
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
	c := &conn{Conn: inner, server: l.server, silent: make(chan struct{}), closed: make(chan struct{})}
	l.server.add(c)
	return c, nil
}

type conn struct {
	net.Conn
	server      *Server
	silenceOnce sync.Once
	closeOnce   sync.Once
	silent      chan struct{}
	closed      chan struct{}
}

func (c *conn) silence() {
	c.silenceOnce.Do(func() { close(c.silent) })
}

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.isSilent() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.server.remove(c)
	return c.Conn.Close()
}
