package proof

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// linkProxy forwards datagrams between VMs and drops those of blocked links.
type linkProxy struct {
	mu            sync.Mutex
	vmIDs         map[string]string
	blockedLinks  map[[2]string]bool
	conns         []net.PacketConn
	receivedBytes atomic.Int64
}

func newLinkProxy() *linkProxy {
	return &linkProxy{vmIDs: map[string]string{}, blockedLinks: map[[2]string]bool{}}
}

// addVM starts a proxy for the VM that listens on linkListen, and returns the address at which peers reach it.
func (c *linkProxy) addVM(t *testing.T, id, linkListen string) string {
	proxyConn, err := net.ListenPacket("udp", "127.0.0.1:0")
	requireNoError(t, err)
	to, err := net.ResolveUDPAddr("udp", linkListen)
	requireNoError(t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vmIDs[linkListen] = id
	c.conns = append(c.conns, proxyConn)
	go c.forward(proxyConn, to, id)
	return proxyConn.LocalAddr().String()
}

// setBlocked blocks or unblocks the link from one VM to another, in that direction only.
func (c *linkProxy) setBlocked(from, to string, blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blockedLinks[[2]string{from, to}] = blocked
}

// setPartitioned blocks all links between the two sides in both directions, or unblocks them.
func (c *linkProxy) setPartitioned(sideA, sideB []*vmProcess, blocked bool) {
	for _, x := range sideA {
		for _, y := range sideB {
			c.setBlocked(x.vm.ID, y.vm.ID, blocked)
			c.setBlocked(y.vm.ID, x.vm.ID, blocked)
		}
	}
}

func (c *linkProxy) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}

func (c *linkProxy) isBlocked(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blockedLinks[[2]string{from, to}]
}

func (c *linkProxy) vmIDAt(address string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vmIDs[address]
}

func (c *linkProxy) forward(proxyConn net.PacketConn, to *net.UDPAddr, id string) {
	connBySource := map[string]*net.UDPConn{}
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := proxyConn.ReadFrom(buffer)
		if err != nil {
			return
		}
		sourceID := c.vmIDAt(from.String())
		vmConn := connBySource[from.String()]
		if vmConn == nil {
			vmConn, err = net.DialUDP("udp", nil, to)
			if err != nil {
				return
			}
			connBySource[from.String()] = vmConn
			c.mu.Lock()
			c.conns = append(c.conns, vmConn)
			c.mu.Unlock()
			go c.forwardReplies(proxyConn, vmConn, from, id, sourceID)
		}
		c.receivedBytes.Add(int64(n))
		if !c.isBlocked(sourceID, id) {
			_, _ = vmConn.Write(buffer[:n])
		}
	}
}

func (c *linkProxy) forwardReplies(proxyConn net.PacketConn, vmConn *net.UDPConn, to net.Addr, id, sourceID string) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := vmConn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The VM's link port is closed while its process is down, so datagrams are lost.
			time.Sleep(time.Millisecond)
			continue
		}
		c.receivedBytes.Add(int64(n))
		if !c.isBlocked(id, sourceID) {
			_, _ = proxyConn.WriteTo(buffer[:n], to)
		}
	}
}
