// Package lingerer listens for callers up to the moment in which nobody comes any more.
package lingerer

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// drainInterval is the time between two checks whether the kernel still holds connections, which would be reset with the requests on them if the
// listener were closed.
const drainInterval = 2 * time.Millisecond

const (
	// quietTime is for how long no caller may have connected before Finish closes the listener, and quietPollInterval how often that is checked.
	quietTime         = 300 * time.Millisecond
	quietPollInterval = 20 * time.Millisecond
)

// Lingerer is a listener that accepts what has come before it closes. It is created with New.
type Lingerer struct {
	*net.TCPListener
	drained chan struct{}

	mu         sync.Mutex
	lastAccept time.Time
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
	for {
		conn, err := l.TCPListener.Accept()
		if err == nil {
			l.recordAccept()
			return conn, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if l.holdsConnections() {
			if err := l.SetDeadline(time.Now().Add(drainInterval)); err != nil {
				return nil, err
			}
			continue
		}
		err = l.Close()
		close(l.drained)
		if err == nil {
			err = net.ErrClosed
		}
		return nil, err
	}
}

func (l *Lingerer) recordAccept() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAccept = time.Now()
}

// holdsConnections reports whether the kernel holds connections that were not accepted yet. A deadline may pass before a busy process comes to
// accept them.
func (l *Lingerer) holdsConnections() bool {
	holds := false
	err := l.control(func(fd uintptr) error {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		holds = n > 0
		return err
	})
	return err == nil && holds
}

// control calls f with the listener's descriptor.
func (l *Lingerer) control(f func(fd uintptr) error) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	if err := raw.Control(func(fd uintptr) { failure = f(fd) }); err != nil {
		return err
	}
	return failure
}

// limitHandshakes has the kernel establish hardly any further connection: none while one waits to be accepted.
func (l *Lingerer) limitHandshakes() error {
	return l.control(func(fd uintptr) error { return unix.Listen(int(fd), 0) })
}

// SinceAccept returns the time since the last connection was accepted.
func (l *Lingerer) SinceAccept() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastAccept)
}

// Drain closes the listener once no connection waits to be accepted. The channel is closed after that; it needs somebody who calls Accept. After
// an error many callers that still come may keep it open.
func (l *Lingerer) Drain() (<-chan struct{}, error) {
	err := l.limitHandshakes()
	if deadlineErr := l.SetDeadline(time.Now().Add(drainInterval)); deadlineErr != nil {
		return l.drained, deadlineErr
	}
	return l.drained, errors.Wrap(err, "limit handshakes")
}

// Finish accepts callers until none has connected for quietTime, or for the time most, and then those that have connected by that moment. It
// needs somebody who calls Accept. After an error the latter may be cut off.
func (l *Lingerer) Finish(most time.Duration) error {
	l.awaitQuiet(most)
	drained, err := l.Drain()
	select {
	case <-drained:
	case <-time.After(quietTime):
	}
	return err
}

// awaitQuiet returns when no caller has connected for quietTime, or after the time most.
func (l *Lingerer) awaitQuiet(most time.Duration) {
	began := time.Now()
	t := time.NewTicker(quietPollInterval)
	defer t.Stop()
	for l.SinceAccept() < quietTime && time.Since(began) < most {
		<-t.C
	}
}
