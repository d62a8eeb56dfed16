// Package lingerer listens for callers up to the moment in which nobody comes any more.
package lingerer

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// drainTime is how long no connection may have come before the listener is closed: those that the kernel has accepted by then would be reset
// with the requests on them.
const drainTime = 2 * time.Millisecond

// Lingerer is a listener that accepts what has come before it closes. It is created with New.
type Lingerer struct {
	*net.TCPListener
	drained chan struct{}

	mu         sync.Mutex
	lastAccept time.Time
	draining   bool
}

// New listens on a TCP address.
func New(address string) (*Lingerer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return &Lingerer{TCPListener: listener.(*net.TCPListener), drained: make(chan struct{})}, nil
}

// Accept returns the next connection. While the listener is drained, it returns net.ErrClosed once there is none.
func (l *Lingerer) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.lastAccept = time.Now()
		if l.draining {
			err = l.SetDeadline(l.lastAccept.Add(drainTime))
		}
		return conn, err
	case l.draining && errors.Is(err, os.ErrDeadlineExceeded):
		err = l.Close()
		close(l.drained)
		if err == nil {
			err = net.ErrClosed
		}
	}
	return nil, err
}

// SinceAccept returns the time since the last connection was accepted.
func (l *Lingerer) SinceAccept() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastAccept)
}

// Drain closes the listener once no more connection comes. The channel is closed after that; it needs somebody who calls Accept.
func (l *Lingerer) Drain() (<-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	return l.drained, l.SetDeadline(time.Now().Add(drainTime))
}
