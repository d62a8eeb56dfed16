package transport

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection to a replica. It carries one request at a time.
type conn struct {
	netConn   net.Conn
	reader    *bufio.Reader
	idleUntil time.Time
	closeOnce sync.Once
}

func (c *conn) close() {
	c.closeOnce.Do(func() { _ = c.netConn.Close() })
}

// usable reports whether the idle connection may carry a request: its idle lifetime has not expired,
// the replica has not closed it, and no unsolicited bytes were received.
func (c *conn) usable(now time.Time) bool {
	if now.After(c.idleUntil) || c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.netConn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	var noData bool
	err = rawConn.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN
		return true
	})
	return err == nil && noData
}
