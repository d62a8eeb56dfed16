package driver_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/standin/engine"
)

// pausingProxy forwards connections to one address, and holds all data back during a pause.
type pausingProxy struct{ gate sync.RWMutex }

func (p *pausingProxy) start(t *testing.T, to string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns sync.WaitGroup
	conns.Go(func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			engine, err := net.Dial("tcp", to)
			if err != nil {
				_ = from.Close()
				continue
			}
			conns.Go(func() { p.forward(engine, from) })
			conns.Go(func() { p.forward(from, engine) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		conns.Wait()
	})
	return l.Addr().String()
}

func (p *pausingProxy) forward(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		p.gate.RLock()
		_, writeErr := to.Write(buffer[:n])
		p.gate.RUnlock()
		if err != nil || writeErr != nil {
			return
		}
	}
}

// pause holds back all data for the time d.
func (p *pausingProxy) pause(d time.Duration) {
	p.gate.Lock()
	time.AfterFunc(d, p.gate.Unlock)
}

// A sound engine is silent for longer than the time without progress and one probe take, and goes on. Its run is the only one that the
// request has, and the request has most of its time left.
func TestGenerationOfSilentEngineIsNotCancelledBeforeItsDeadline(t *testing.T) {
	fx := startEngine(t, &engine.Engine{})
	p := &pausingProxy{}
	fx.Upstream.Address = p.start(t, fx.Upstream.Address)
	fx.ProbeTimeout = 150 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	n, err := fx.generate(ctx, t, generation("silent", 20), func(n int) {
		if n == 3 {
			p.pause(900 * time.Millisecond)
		}
	})
	if err != nil {
		t.Errorf("%d chunks of 20, error %v", n, err)
	}
	fx.transport.CloseIdleConnections()
}
