package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// firstRetransmission is the time after which a segment that was lost is sent again; it doubles each time, as on Linux.
const firstRetransmission = 200 * time.Millisecond

// path is the network between one VM and one replica. While it is cut, bytes are held up; they arrive with the first retransmission after the
// path has healed, unless their sender has reset the connection. Connections that are opened meanwhile are lost.
type path struct {
	address string
	to      string

	mu     sync.Mutex
	cut    bool
	healed chan struct{}
	// onHeld is called with the bytes that are held up first on a connection.
	onHeld func(p []byte)
	// dropped counts the connections that were reset with bytes held up, and delivered those whose bytes arrived late.
	dropped, delivered int
}

// newPath listens for a VM's connections to a replica.
func newPath(to string) (*path, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &path{address: l.Addr().String(), to: to, healed: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// setCut cuts the path or has it heal.
func (p *path) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		close(p.healed)
		p.healed = make(chan struct{})
	}
}

// state returns whether the path is cut, and a channel that is closed when it heals.
func (p *path) state() (cut bool, healed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut, p.healed
}

func (p *path) serve(client net.Conn) {
	defer client.Close()
	if cut, healed := p.state(); cut {
		// Its opening packets are lost.
		<-healed
		return
	}
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer server.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.copyBack(client, server)
	}()
	p.copyOn(server, client)
	<-ended
}

// copyBack copies what the replica sends; while the path is cut, it is lost with the connection.
func (p *path) copyBack(client, server net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := server.Read(buffer)
		if cut, _ := p.state(); cut {
			return
		}
		if n > 0 {
			if _, writeErr := client.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// copyOn copies what the VM sends. What it sends while the path is cut is held up.
func (p *path) copyOn(server, client net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := client.Read(buffer)
		if cut, healed := p.state(); cut && n > 0 {
			p.hold(server, client, bytes.Clone(buffer[:n]), healed)
			return
		}
		if n > 0 {
			if _, writeErr := server.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			_ = server.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// hold holds up bytes and all that the VM sends after them, and delivers them with the first retransmission after the path has healed.
func (p *path) hold(server, client net.Conn, held []byte, healed <-chan struct{}) {
	sent := time.Now()
	p.mu.Lock()
	onHeld := p.onHeld
	p.mu.Unlock()
	if onHeld != nil {
		onHeld(held)
	}
	rest := make(chan error, 1)
	go func() {
		more, err := io.ReadAll(client)
		held = append(held, more...)
		rest <- err
	}()
	var err error
	ended := false
	select {
	case err = <-rest:
		ended = true
		if err == nil {
			<-healed
		}
	case <-healed:
	}
	if err == nil {
		at := sent
		for wait := firstRetransmission; at.Before(time.Now()); wait *= 2 {
			at = at.Add(wait)
		}
		time.Sleep(time.Until(at))
		if !ended {
			_ = client.SetReadDeadline(time.Now())
			if err = <-rest; err != nil && isTimeout(err) {
				err = nil
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.dropped++
		return
	}
	p.delivered++
	_, _ = server.Write(held)
	_ = server.(*net.TCPConn).CloseWrite()
}

func isTimeout(err error) bool {
	timeout, is := err.(net.Error)
	return is && timeout.Timeout()
}
