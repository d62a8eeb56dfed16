package transport

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/bytelimiter"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// conn is a connection to a replica. It carries one request at a time.
type conn struct {
	netConn net.Conn
	// number is that of the connection in its transport, and requests counts the requests that it has carried.
	number   uint64
	requests int
	// carried holds the hashes of those requests' ids, and alone means that it may carry no other one.
	carried []uint64
	alone   bool
	// limiter bounds what reader reads from netConn.
	limiter *bytelimiter.Limiter
	reader  *bufio.Reader
	// again holds received bytes that reader reads once more.
	again     bytes.Buffer
	idleUntil time.Time
	closeOnce sync.Once
}

func newConn(netConn net.Conn, number uint64) *conn {
	limiter := &bytelimiter.Limiter{Reader: netConn}
	return &conn{netConn: netConn, number: number, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes)}
}

// discard reads a body to its end, which comes within maxDiscardBytes and discardTimeout.
func (c *conn) discard(body io.Reader) error {
	if err := c.netConn.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return err
	}
	limiter := bytelimiter.Limiter{Reader: body}
	limiter.Limit("discarded body", maxDiscardBytes)
	if _, err := io.Copy(io.Discard, &limiter); err != nil {
		return err
	}
	return c.netConn.SetReadDeadline(time.Time{})
}

// mayCarry reports whether a message may be sent on the connection, which has carried others: a late copy of the response to one with the same id could
// not be told from its own.
func (c *conn) mayCarry(m fuchsiaspoke.Message) bool {
	return !isAlone(m) && (m.ID == "" || !slices.Contains(c.carried, xxhash.Sum64String(m.ID)))
}

// isAlone reports whether a message goes out on a connection of its own. The length of a response to HEAD depends on the method, so that the end of a
// late copy is not found by those who sent another one.
func isAlone(m fuchsiaspoke.Message) bool { return m.Alone || m.Method == http.MethodHead }

// record records that the connection carries a message.
func (c *conn) record(m fuchsiaspoke.Message) {
	c.requests++
	c.alone = isAlone(m)
	if m.ID != "" {
		c.carried = append(c.carried, xxhash.Sum64String(m.ID))
	}
}

// mayCarryMore reports whether the connection may carry another message: the last one need not be alone, and its ids are not too many to remember.
func (c *conn) mayCarryMore() bool {
	return !c.alone && len(c.carried) < maxRequestsPerConnection
}

func (c *conn) close() {
	c.closeOnce.Do(func() { _ = c.netConn.Close() })
}

// buffered returns the number of bytes that were received and not yet read.
func (c *conn) buffered() int { return c.reader.Buffered() + c.again.Len() }

// usable reports whether the idle connection may carry a request: its idle lifetime has not expired,
// the replica has not closed it, and no unsolicited bytes were received.
func (c *conn) usable(now time.Time) bool {
	if now.After(c.idleUntil) || c.buffered() > 0 {
		return false
	}
	rawConn, err := c.rawConn()
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

// closedByPeer reports whether the replica has ended its side of the connection, which is still open on this side. It is false if the kernel
// doesn't tell.
func (c *conn) closedByPeer() bool {
	rawConn, err := c.rawConn()
	if err != nil {
		return false
	}
	var closed bool
	err = rawConn.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && closed
}

// rawConn returns access to the connection's socket.
func (c *conn) rawConn() (syscall.RawConn, error) {
	syscallConn, ok := c.netConn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no socket")
	}
	return syscallConn.SyscallConn()
}
