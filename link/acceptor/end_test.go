package acceptor_test

import (
	"context"
	"errors"
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
		t.Run(endDelay.String(), func(t *testing.T) { expectCompleteCalls(t, endDelay) })
	}
}

// expectCompleteCalls makes calls to VMs that end so long after the return of the handler.
func expectCompleteCalls(t *testing.T, endDelay time.Duration) {
	t.Helper()
	const rounds = 20
	lost := 0
	for range rounds {
		if err := callAndEnd(t, endDelay); err != nil {
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

func callAndEnd(t *testing.T, endDelay time.Duration) error {
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
	vm := fuchsiaspoke.VM{ID: "vm_1", LinkAddress: serving.Conn.LocalAddr().String()}
	// The first link to a VM that is just starting may take several tries on a busy machine.
	for callCtx.Err() == nil && d.Call(callCtx, vm, "connect", nil, func(cbor.RawMessage) error { return nil }) != nil {
		time.Sleep(10 * time.Millisecond)
	}
	return d.Call(callCtx, vm, "serve", nil, func(cbor.RawMessage) error { return nil })
}
