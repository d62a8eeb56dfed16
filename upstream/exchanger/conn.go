package exchanger

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is one connection to a replica, which serves one request at a time.
type conn struct {
	raw       net.Conn
	reader    *bufio.Reader
	idleUntil time.Time
	once      sync.Once
}

func (c *conn) close() {
	c.once.Do(func() { _ = c.raw.Close() })
}

// usable reports whether the idle connection may carry a request: not timed out, not closed, and nothing unasked came.
func (c *conn) usable(now time.Time) bool {
	if now.After(c.idleUntil) || c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var quiet bool
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
