package acceptor_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/acceptor"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/dialer"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fxamacker/cbor/v2"
)

// A VM ends as soon as the last handler has returned; what the handler has sent must arrive.
func TestCallThatIsCompleteArrivesThoughTheAcceptorEnds(t *testing.T) {
	for _, endDelay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond} {
		t.Run(endDelay.String(), func(t *testing.T) { expectCompleteCalls(t, endDelay, directPath) })
	}
}

// Links once closed 50 ms after the last handler had returned, which is less than the repetition of lost packets takes on a long path.
func TestCallThatIsCompleteArrivesOverLossyPathThoughTheAcceptorEnds(t *testing.T) {
	expectCompleteCalls(t, 0, lossyPath)
}

// directPath returns the server's own address.
func directPath(_ *testing.T, server string) string { return server }

const (
	// lossyPathDelay is how long a datagram takes on a lossyPath, which drops one of lossyPathShare on the way back once a link is open.
	lossyPathDelay = 40 * time.Millisecond
	lossyPathShare = 10
	linkDatagrams  = 20
)

// lossyPath returns an address from which datagrams are forwarded to a server and back.
func lossyPath(t *testing.T, server string) string {
	t.Helper()
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	back, err := net.Dial("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = front.Close()
		_ = back.Close()
	})
	var client atomic.Value
	go forwardDatagrams(func(p []byte) (int, error) {
		n, from, err := front.ReadFrom(p)
		if err == nil {
			client.Store(from)
		}
		return n, err
	}, 0, func(p []byte) { _, _ = back.Write(p) })
	go forwardDatagrams(back.Read, lossyPathShare, func(p []byte) { _, _ = front.WriteTo(p, client.Load().(net.Addr)) })
	return front.LocalAddr().String()
}

// forwardDatagrams writes each datagram lossyPathDelay after it was read, but for one of so many, until reading fails; 0 drops none.
func forwardDatagrams(read func(p []byte) (int, error), dropOneOf int, write func(p []byte)) {
	buffer := make([]byte, 64<<10)
	for count := 1; ; count++ {
		n, err := read(buffer)
		if err != nil {
			return
		}
		if dropOneOf > 0 && count > linkDatagrams && count%dropOneOf == 0 {
			continue
		}
		datagram := bytes.Clone(buffer[:n])
		time.AfterFunc(lossyPathDelay, func() { write(datagram) })
	}
}

// expectCompleteCalls makes calls over a path to VMs that end so long after the return of the handler.
func expectCompleteCalls(t *testing.T, endDelay time.Duration, path func(t *testing.T, server string) string) {
	t.Helper()
	const rounds = 20
	lost := 0
	for range rounds {
		if err := callAndEnd(t, endDelay, path); err != nil {
			lost++
			if lost <= 2 {
				t.Log(err)
			}
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d complete responses did not arrive", lost, rounds)
	}
}

func callAndEnd(t *testing.T, endDelay time.Duration, path func(t *testing.T, server string) string) error {
	t.Helper()
	serving, ring := listen(t)
	tls, err := ring.TLS("vm_1", "1")
	if err != nil {
		t.Fatal(err)
	}
	a := &acceptor.Acceptor{TLS: tls}
	ctx, end := context.WithCancel(t.Context())
	served := make(chan struct{})
	a.Handle("serve", func(_ context.Context, _ string, _ frame.Frame, send func(any) error) error {
		defer close(served)
		for range 20 {
			if err := send(make([]byte, 2000)); err != nil {
				return err
			}
		}
		return nil
	})
	a.Handle("connect", func(context.Context, string, frame.Frame, func(any) error) error { return nil })
	done := make(chan error, 1)
	go func() { done <- a.Serve(ctx, serving) }()
	calling, ring := listen(t)
	if tls, err = ring.TLS("vm_2", "1"); err != nil {
		t.Fatal(err)
	}
	d := &dialer.Dialer{TLS: tls, Transport: calling}
	defer d.Close()
	go func() {
		<-served
		time.Sleep(endDelay)
		end()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
		_ = serving.Close()
	}()
	callCtx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	vm := fuchsiaspoke.VM{ID: "vm_1", LinkAddress: path(t, serving.Conn.LocalAddr().String())}
	// The first link to a VM that is just starting may take several tries on a busy machine.
	for callCtx.Err() == nil && d.Call(callCtx, vm, "connect", nil, func(cbor.RawMessage) error { return nil }) != nil {
		time.Sleep(10 * time.Millisecond)
	}
	return d.Call(callCtx, vm, "serve", nil, func(cbor.RawMessage) error { return nil })
}
