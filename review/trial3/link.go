package main

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// firstRetransmission is the time after which a segment that was lost is sent again; it doubles each time, as on Linux.
const firstRetransmission = 200 * time.Millisecond

// link stands between all VMs and one replica, at the replica's published address. While it is cut it behaves like a network that loses all
// packets: what a VM sends on an open connection stays with the VM's kernel, which sends it again after 0.2 s, 0.6 s, 1.4 s and so on. It is delivered
// by the first of these that comes after the cut, unless the VM has reset the connection. New connections are not established.
type link struct {
	t        *trial
	name     string
	listener *net.TCPListener
	to       string
	// onSend is called with each piece that a VM or the replica sends, before it goes on.
	onSend func(bytes []byte)

	mu       sync.Mutex
	cutFrom  time.Duration
	cutUntil time.Duration
}

// startLink starts the link to a replica, and returns it with its address.
func (t *trial) startLink(name, to string) (*link, error) {
	listener, err := listenOn("127.0.0.1")
	if err != nil {
		return nil, err
	}
	l := &link{t: t, name: name, listener: listener.(*net.TCPListener), to: to}
	t.atEnd(func() { _ = listener.Close() })
	go l.accept()
	return l, nil
}

// cut cuts the link for a time, or until heal is called.
func (l *link) cut(d time.Duration) {
	l.mu.Lock()
	l.cutFrom, l.cutUntil = l.t.now(), l.t.now()+d
	l.mu.Unlock()
	l.setBacklog(0)
	time.AfterFunc(d, l.heal)
}

// heal ends a cut.
func (l *link) heal() {
	l.mu.Lock()
	l.cutUntil = min(l.cutUntil, l.t.now())
	l.mu.Unlock()
	l.setBacklog(128)
}

// setBacklog sets how many connections the kernel establishes that are not accepted.
func (l *link) setBacklog(n int) {
	raw, err := l.listener.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
	}
	if err != nil {
		l.t.logf("%s: %v", l.name, err)
	}
}

// deliver waits until what was sent at a time is delivered: at once, or with the first retransmission after a cut. It returns false if the sender resets
// its connection before that.
func (l *link) deliver(sent time.Duration, reset <-chan struct{}) bool {
	at := sent
	for wait := firstRetransmission; ; wait *= 2 {
		timer := time.NewTimer(at - l.t.now())
		select {
		case <-reset:
			timer.Stop()
			return false
		case <-timer.C:
		}
		if _, cut := l.isCut(); !cut {
			return true
		}
		at += wait
	}
}

// hook returns what is called with each piece that is sent.
func (l *link) hook() func([]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.onSend
}

// isCut reports whether the link is cut, and until when.
func (l *link) isCut() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.t.now()
	return l.cutUntil, now >= l.cutFrom && now < l.cutUntil
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		if until, cut := l.isCut(); cut {
			// The kernel has established it all the same. Nothing that comes on it is delivered.
			l.t.sleepUntil(until)
			_ = conn.Close()
			continue
		}
		go l.carry(conn)
	}
}

// carry carries one connection.
func (l *link) carry(vm net.Conn) {
	replica, err := net.Dial("tcp", l.to)
	if err != nil {
		_ = vm.Close()
		return
	}
	go func() {
		l.pump(replica, vm)
		_ = vm.Close()
	}()
	l.pump(vm, replica)
	_ = replica.Close()
}

// chunk is a piece of what was sent, and when.
type chunk struct {
	bytes []byte
	sent  time.Duration
}

// pump carries one direction. What is under way when the sender resets its connection is lost.
func (l *link) pump(from, to net.Conn) {
	chunks := make(chan chunk, 1024)
	reset := make(chan struct{})
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				if onSend := l.hook(); onSend != nil {
					onSend(buffer[:n])
				}
				chunks <- chunk{buffer[:n], l.t.now()}
			}
			if err != nil && isReset(err) {
				close(reset)
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		if !l.deliver(c.sent, reset) {
			return
		}
		if _, err := to.Write(c.bytes); err != nil {
			return
		}
	}
}
