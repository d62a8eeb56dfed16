package proof

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// cutter forwards the datagrams between VMs and drops those of links that are cut.
type cutter struct {
	mu    sync.Mutex
	names map[string]string
	cut   map[[2]string]bool
	conns []net.PacketConn
	bytes atomic.Int64
}

func newCutter() *cutter {
	return &cutter{names: map[string]string{}, cut: map[[2]string]bool{}}
}

// add returns the address at which the VM that listens at the given one is reached through the cutter.
func (c *cutter) add(t *testing.T, id, listen string) string {
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	must(t, err)
	to, err := net.ResolveUDPAddr("udp", listen)
	must(t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.names[listen] = id
	c.conns = append(c.conns, front)
	go c.forward(front, to, id)
	return front.LocalAddr().String()
}

// block cuts the link from one VM to another, in that direction alone.
func (c *cutter) block(from, to string, blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[[2]string{from, to}] = blocked
}

// split cuts all links between the two sides, or joins them again.
func (c *cutter) split(a, b []*machine, blocked bool) {
	for _, x := range a {
		for _, y := range b {
			c.block(x.vm.ID, y.vm.ID, blocked)
			c.block(y.vm.ID, x.vm.ID, blocked)
		}
	}
}

func (c *cutter) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}

func (c *cutter) blocked(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[[2]string{from, to}]
}

func (c *cutter) name(address string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.names[address]
}

func (c *cutter) forward(front net.PacketConn, to *net.UDPAddr, id string) {
	backs := map[string]*net.UDPConn{}
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := front.ReadFrom(buffer)
		if err != nil {
			return
		}
		source := c.name(from.String())
		back := backs[from.String()]
		if back == nil {
			back, err = net.DialUDP("udp", nil, to)
			if err != nil {
				return
			}
			backs[from.String()] = back
			c.mu.Lock()
			c.conns = append(c.conns, back)
			c.mu.Unlock()
			go c.answer(front, back, from, id, source)
		}
		c.bytes.Add(int64(n))
		if !c.blocked(source, id) {
			_, _ = back.Write(buffer[:n])
		}
	}
}

func (c *cutter) answer(front net.PacketConn, back *net.UDPConn, to net.Addr, id, source string) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := back.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The VM's socket is closed at the moment; datagrams get lost.
			time.Sleep(time.Millisecond)
			continue
		}
		c.bytes.Add(int64(n))
		if !c.blocked(id, source) {
			_, _ = front.WriteTo(buffer[:n], to)
		}
	}
}
