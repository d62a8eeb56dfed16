package lingerer_test

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/vm/lingerer"
)

// Connections that the kernel has accepted and the process has not are reset when their listener is closed.
func TestConnectionsThatWaitToBeAcceptedAreNotReset(t *testing.T) {
	l, err := lingerer.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const waiting = 50
	for range waiting {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	drained, err := l.Drain()
	if err != nil {
		t.Fatal(err)
	}
	// The process is busy, and accepts them only after the first deadline.
	time.Sleep(50 * time.Millisecond)
	accepted := 0
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
		accepted++
	}
	<-drained
	if accepted != waiting {
		t.Errorf("%d of %d connections were accepted", accepted, waiting)
	}
	if since := l.SinceAccept(); since > time.Second {
		t.Errorf("the last connection was accepted %v ago", since)
	}
}
