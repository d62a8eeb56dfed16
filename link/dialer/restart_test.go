package dialer_test

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/acceptor"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/keyring"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

const (
	// restartCallTimeout is the time that calls between VMs have which keep what is published up to date.
	restartCallTimeout = 250 * time.Millisecond
	// restartLimit is the time after which a VM that restarted must be called again: it is ready by then.
	restartLimit = time.Second
	// restartRequestBytes is less than the body of any request between VMs has. QUIC answers no packet of 42 bytes or less with a reset.
	restartRequestBytes = 16
)

// killableConn is a UDP socket of a process that can be killed or suspended: nothing is sent from then on.
type killableConn struct {
	net.PacketConn
	killed atomic.Bool
}

func (c *killableConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if c.killed.Load() {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}

func resetKey(t *testing.T, fleetKey string) *quic.StatelessResetKey {
	t.Helper()
	ring, err := keyring.New(fleetKey)
	if err != nil {
		t.Fatal(err)
	}
	key, err := ring.ResetKey("vm_1")
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// startProcess starts a process of vm_1 at the address, and returns a function that kills it after it has been suspended for a while.
func startProcess(t *testing.T, fleetKey, address string) (fuchsiaspoke.VM, func(suspended time.Duration)) {
	t.Helper()
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	conn := &killableConn{PacketConn: socket}
	a := &acceptor.Acceptor{TLS: tlsConfig(t, fleetKey, "vm_1"), IdleTimeout: time.Minute}
	a.Handle("ping", func(_ context.Context, _ string, _ frame.Frame, send func(any) error) error { return send(true) })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Serve(ctx, &quic.Transport{Conn: conn, StatelessResetKey: resetKey(t, fleetKey)}) }()
	kill := func(suspended time.Duration) {
		if conn.killed.Swap(true) {
			return
		}
		time.Sleep(suspended)
		cancel()
		// The kernel closes the socket of a killed process, whatever its goroutines wait for.
		socket.Close()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}
	t.Cleanup(func() { kill(0) })
	return fuchsiaspoke.VM{ID: "vm_1", LinkAddress: socket.LocalAddr().String()}, kill
}

// The link to the process before is open for as long as its idle timeout, and calls on it get no response.
func TestCallsAreAnsweredSoonAfterRestartOfPeer(t *testing.T) { expectAnswersAfterRestart(t, 0) }

// A process that is suspended before it is killed takes what is sent to it meanwhile.
func TestCallsAreAnsweredSoonAfterRestartOfSuspendedPeer(t *testing.T) {
	for range 5 {
		expectAnswersAfterRestart(t, 50*time.Millisecond)
	}
}

// expectAnswersAfterRestart kills a process that was suspended for a while, and calls the next one.
func expectAnswersAfterRestart(t *testing.T, suspended time.Duration) {
	t.Helper()
	key := strings.Repeat("ab", 32)
	vm, kill := startProcess(t, key, "127.0.0.1:0")
	d := newDialer(t, key)
	d.IdleTimeout = time.Minute
	if err := d.Call(t.Context(), vm, "ping", 1, nil); err != nil {
		t.Fatal(err)
	}
	kill(suspended)
	startProcess(t, key, vm.LinkAddress)
	restarted := time.Now()
	for {
		ctx, cancel := context.WithTimeout(t.Context(), restartCallTimeout)
		err := d.Call(ctx, vm, "ping", make([]byte, restartRequestBytes), nil)
		cancel()
		if err == nil {
			return
		}
		if time.Since(restarted) > restartLimit {
			t.Fatalf("call %v after the restart: %v", time.Since(restarted), err)
		}
	}
}
