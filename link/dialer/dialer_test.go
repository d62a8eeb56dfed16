package dialer_test

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/acceptor"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/dialer"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/keyring"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// tlsConfig returns the TLS configuration of a VM.
func tlsConfig(t *testing.T, fleetKey, vm string) *tls.Config {
	t.Helper()
	ring, err := keyring.New(fleetKey)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := ring.TLS(vm, "one")
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// startVM serves the method count, which sends the numbers below n and then a refusal, as VM vm_1.
func startVM(t *testing.T, fleetKey string) (fuchsiaspoke.VM, context.CancelFunc) {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &acceptor.Acceptor{TLS: tlsConfig(t, fleetKey, "vm_1")}
	a.Handle("count", func(_ context.Context, _ string, request frame.Frame, send func(any) error) error {
		var n int
		if err := request.Decode(&n); err != nil {
			return err
		}
		for i := range n {
			if err := send(i); err != nil {
				return err
			}
		}
		return &fuchsiaspoke.Refusal{Code: fuchsiaspoke.CodeDraining, Run: fuchsiaspoke.NotRun}
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Serve(ctx, &quic.Transport{Conn: conn}) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
		conn.Close()
	})
	return fuchsiaspoke.VM{ID: "vm_1", LinkAddress: conn.LocalAddr().String()}, cancel
}

func newDialer(t *testing.T, fleetKey string) *dialer.Dialer {
	t.Helper()
	d := &dialer.Dialer{TLS: tlsConfig(t, fleetKey, "vm_caller")}
	t.Cleanup(d.Close)
	return d
}

func TestCallReceivesAllPartsThenTheTypedRefusal(t *testing.T) {
	key := strings.Repeat("ab", 32)
	vm, _ := startVM(t, key)
	d := newDialer(t, key)
	sum := 0
	err := d.Call(t.Context(), vm, "count", 5, func(body cbor.RawMessage) error {
		var n int
		err := cbor.Unmarshal(body, &n)
		sum += n
		return err
	})
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) || refusal.Code != fuchsiaspoke.CodeDraining {
		t.Fatalf("got error %v, want a refusal with code draining", err)
	}
	if sum != 10 {
		t.Fatalf("sum of the received parts is %d, want 10", sum)
	}
}

func TestCallWithAnotherFleetKeyIsNotSent(t *testing.T) {
	vm, _ := startVM(t, strings.Repeat("ab", 32))
	d := newDialer(t, strings.Repeat("cd", 32))
	err := d.Call(t.Context(), vm, "count", 1, nil)
	if !errors.Is(err, dialer.ErrNotSent) {
		t.Fatalf("got %v, want ErrNotSent", err)
	}
}

func TestCallToTheAddressOfAnotherVMIsNotSent(t *testing.T) {
	key := strings.Repeat("ab", 32)
	vm, _ := startVM(t, key)
	vm.ID = "vm_2"
	err := newDialer(t, key).Call(t.Context(), vm, "count", 1, nil)
	if !errors.Is(err, dialer.ErrNotSent) {
		t.Fatalf("got %v, want ErrNotSent", err)
	}
}

func TestCallFailsWithinFiveSecondsAfterPeerStops(t *testing.T) {
	key := strings.Repeat("ab", 32)
	vm, cancel := startVM(t, key)
	d := newDialer(t, key)
	_ = d.Call(t.Context(), vm, "count", 1, nil)
	cancel()
	started := time.Now()
	if err := d.Call(t.Context(), vm, "count", 1, nil); err == nil {
		t.Fatal("call to a stopped VM succeeded")
	}
	if waited := time.Since(started); waited > 5*time.Second {
		t.Fatalf("call to a stopped VM failed after %v, want at most 5 s", waited)
	}
}

// The acceptor's socket fails while its context goes on.
func TestServeReturnsWhyAcceptingFailed(t *testing.T) {
	a := &acceptor.Acceptor{TLS: tlsConfig(t, strings.Repeat("ab", 32), "vm_1")}
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- a.Serve(context.Background(), &quic.Transport{Conn: conn}) }()
	time.Sleep(100 * time.Millisecond)
	conn.Close()
	select {
	case err := <-done:
		if err == nil {
			t.Error("accepting failed without an error")
		}
	case <-time.After(5 * time.Second):
		t.Error("Serve goes on although its socket is closed")
	}
}

// A VM that became unreachable is called again later over a new connection.
func TestCallAfterCloseVMConnectsAgain(t *testing.T) {
	key := strings.Repeat("ab", 32)
	vm, _ := startVM(t, key)
	d := newDialer(t, key)
	for range 2 {
		err := d.Call(context.Background(), vm, "count", 1, nil)
		var refusal *fuchsiaspoke.Refusal
		if !errors.As(err, &refusal) {
			t.Fatalf("error %v, want the VM's refusal", err)
		}
		d.CloseVM(vm)
	}
}

// silentVM returns a VM whose address receives datagrams and answers none.
func silentVM(t *testing.T) fuchsiaspoke.VM {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return fuchsiaspoke.VM{ID: "vm_1", LinkAddress: conn.LocalAddr().String()}
}

// While other calls connect to a VM that does not answer, a call ends with its context, and CloseVM does not wait for them.
func TestCallEndsWithItsContextWhileOthersConnect(t *testing.T) {
	const callTimeout, margin = 100 * time.Millisecond, 200 * time.Millisecond
	d := newDialer(t, strings.Repeat("ab", 32))
	vm := silentVM(t)
	others := make(chan error, 3)
	for range cap(others) {
		go func() { others <- d.Call(context.Background(), vm, "count", 1, nil) }()
	}
	time.Sleep(margin)
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	started := time.Now()
	err := d.Call(ctx, vm, "count", 1, nil)
	if waited := time.Since(started); waited > callTimeout+margin {
		t.Errorf("a call with a timeout of %v ended after %v", callTimeout, waited)
	}
	if !errors.Is(err, dialer.ErrNotSent) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v, want ErrNotSent and the context's", err)
	}
	started = time.Now()
	d.CloseVM(vm)
	if waited := time.Since(started); waited > margin {
		t.Errorf("CloseVM took %v", waited)
	}
	for range cap(others) {
		if err := <-others; !errors.Is(err, dialer.ErrNotSent) {
			t.Errorf("error %v of a call to a silent VM, want ErrNotSent", err)
		}
	}
}

// A VM sends the bytes of a request without end, or one at a time.
func TestRequestWithoutEndIsGivenUp(t *testing.T) {
	key := strings.Repeat("ab", 32)
	vm, _ := startVM(t, key)
	for name, c := range map[string]struct {
		part     []byte
		interval time.Duration
	}{
		// Each request begins as a byte string of 2^60 bytes.
		"trickled": {make([]byte, 1), 100 * time.Millisecond},
		"fast":     {make([]byte, 4096), 0},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := quic.DialAddr(t.Context(), vm.LinkAddress, tlsConfig(t, key, "vm_caller"), &quic.Config{KeepAlivePeriod: time.Second / 2})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.CloseWithError(0, "") }()
			stream, err := conn.OpenStreamSync(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			began, sent := time.Now(), 0
			_ = stream.SetWriteDeadline(began.Add(8 * time.Second))
			_, err = stream.Write([]byte{0xa1, 0x02, 0x5b, 0x10, 0, 0, 0, 0, 0, 0, 0})
			for err == nil {
				_, err = stream.Write(c.part)
				sent += len(c.part)
				time.Sleep(c.interval)
			}
			var stopped *quic.StreamError
			if !errors.As(err, &stopped) || sent > 16<<20 || time.Since(began) > 8*time.Second {
				t.Errorf("error %v after %v and %d bytes, want the stream to be stopped", err, time.Since(began), sent)
			}
		})
	}
}
