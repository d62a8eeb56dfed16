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
func (p *linkProxy) addVM(t *testing.T, id, linkListen string) string {
	proxyConn, err := net.ListenPacket("udp", "127.0.0.1:0")
	requireNoError(t, err)
	to, err := net.ResolveUDPAddr("udp", linkListen)
	requireNoError(t, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmIDs[linkListen] = id
	p.conns = append(p.conns, proxyConn)
	go p.forward(proxyConn, to, id)
	return proxyConn.LocalAddr().String()
}

// setBlocked blocks or unblocks the link from one VM to another, in that direction only.
func (p *linkProxy) setBlocked(from, to string, blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blockedLinks[[2]string{from, to}] = blocked
}

// setPartitioned blocks all links between the two sides in both directions, or unblocks them.
func (p *linkProxy) setPartitioned(sideA, sideB []*vmProcess, blocked bool) {
	for _, from := range sideA {
		for _, to := range sideB {
			p.setBlocked(from.vm.ID, to.vm.ID, blocked)
			p.setBlocked(to.vm.ID, from.vm.ID, blocked)
		}
	}
}

func (p *linkProxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.Close()
	}
}

func (p *linkProxy) isBlocked(from, to string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blockedLinks[[2]string{from, to}]
}

func (p *linkProxy) vmIDAt(address string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vmIDs[address]
}

func (p *linkProxy) forward(proxyConn net.PacketConn, to *net.UDPAddr, id string) {
	connBySource := map[string]*net.UDPConn{}
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := proxyConn.ReadFrom(buffer)
		if err != nil {
			return
		}
		sourceID := p.vmIDAt(from.String())
		vmConn := connBySource[from.String()]
		if vmConn == nil {
			vmConn, err = net.DialUDP("udp", nil, to)
			if err != nil {
				return
			}
			connBySource[from.String()] = vmConn
			p.mu.Lock()
			p.conns = append(p.conns, vmConn)
			p.mu.Unlock()
			go p.forwardReplies(proxyConn, vmConn, from, id, sourceID)
		}
		p.receivedBytes.Add(int64(n))
		if !p.isBlocked(sourceID, id) {
			_, _ = vmConn.Write(buffer[:n])
		}
	}
}

func (p *linkProxy) forwardReplies(proxyConn net.PacketConn, vmConn *net.UDPConn, to net.Addr, id, sourceID string) {
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
		p.receivedBytes.Add(int64(n))
		if !p.isBlocked(id, sourceID) {
			_, _ = proxyConn.WriteTo(buffer[:n], to)
		}
	}
}
