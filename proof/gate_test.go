package proof

import (
	"io"
	"net"
	"sync"
	"testing"
)

// gate forwards one VM's connections to the platform and can be shut.
type gate struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	shut  bool
	conns map[net.Conn]bool
}

func newGate(t *testing.T, to string) *gate {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	g := &gate{listener: l, to: to, conns: map[net.Conn]bool{}}
	go g.run()
	t.Cleanup(func() { l.Close(); g.set(true) })
	return g
}

func (g *gate) address() string { return g.listener.Addr().String() }

// set shuts the gate, which also breaks the open connections, or opens it.
func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
	if !shut {
		return
	}
	for conn := range g.conns {
		conn.Close()
	}
	clear(g.conns)
}

func (g *gate) run() {
	for {
		in, err := g.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", g.to)
		if err != nil {
			in.Close()
			continue
		}
		if !g.keep(in, out) {
			continue
		}
		go pipe(in, out)
		go pipe(out, in)
	}
}

func (g *gate) keep(conns ...net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, conn := range conns {
		if g.shut {
			conn.Close()
			continue
		}
		g.conns[conn] = true
	}
	return !g.shut
}

func pipe(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	to.Close()
	from.Close()
}
