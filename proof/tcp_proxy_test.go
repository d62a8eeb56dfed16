package proof

import (
	"io"
	"net"
	"sync"
	"testing"
)

// tcpProxy forwards one VM's connections to the platform, or closes them all while it is set to closed.
type tcpProxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]bool
}

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	p := &tcpProxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.serve()
	t.Cleanup(func() { l.Close(); p.setClosed(true) })
	return p
}

func (p *tcpProxy) address() string { return p.listener.Addr().String() }

// setClosed makes the proxy close all open and new connections (true), or forward new ones again (false).
func (p *tcpProxy) setClosed(closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = closed
	if !closed {
		return
	}
	for conn := range p.conns {
		conn.Close()
	}
	clear(p.conns)
}

func (p *tcpProxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			in.Close()
			continue
		}
		if !p.track(in, out) {
			continue
		}
		go copyAndClose(in, out)
		go copyAndClose(out, in)
	}
}

// track registers a pair of forwarded connections, or closes them and returns false while the proxy is closed.
func (p *tcpProxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		if p.closed {
			conn.Close()
			continue
		}
		p.conns[conn] = true
	}
	return !p.closed
}

func copyAndClose(dst, src net.Conn) {
	_, _ = io.Copy(dst, src)
	dst.Close()
	src.Close()
}
