// Package endless is a stand-in of a peer that sends bytes without end until its connection is closed.
package endless

import (
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// writeBytes is the least size of a write where parts are not trickled.
const writeBytes = 4096

// Endless accepts connections, and on each, after the first bytes of a request, writes Start once and Part without end.
type Endless struct {
	Start, Part string
	// Interval is the time between two parts; 0 writes as fast as the other end reads.
	Interval time.Duration

	listener      net.Listener
	taken, closed atomic.Int64
}

// Listen starts to accept connections on an address of this machine, and returns it.
func (e *Endless) Listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	e.listener = l
	go e.accept()
	return l.Addr().String(), nil
}

// Close ends the listening. Connections go on until the other end closes them.
func (e *Endless) Close() { _ = e.listener.Close() }

// Taken returns how many bytes the kernel has taken, of which the other end may not have read the last ones.
func (e *Endless) Taken() int64 { return e.taken.Load() }

// Closed returns how many connections the other end has closed.
func (e *Endless) Closed() int64 { return e.closed.Load() }

func (e *Endless) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *Endless) serve(c net.Conn) {
	defer c.Close()
	_, _ = c.Read(make([]byte, writeBytes))
	part := e.Part
	if e.Interval == 0 {
		part = strings.Repeat(part, 1+writeBytes/max(len(part), 1))
	}
	err := e.write(c, e.Start)
	for err == nil {
		time.Sleep(e.Interval)
		err = e.write(c, part)
	}
	e.closed.Add(1)
}

func (e *Endless) write(c net.Conn, text string) error {
	n, err := c.Write([]byte(text))
	e.taken.Add(int64(n))
	return err
}
