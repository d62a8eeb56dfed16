package registrar_test

import (
	"context"
	"encoding/hex"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/dialer"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/keyring"
)

// Another VM is dead and doesn't answer handshakes. Callers that wait for the origin of a stream must not wait for the handshakes that other
// calls to it wait for.
func TestDeadVMDelaysAnswerNoLongerThanItsTimeout(t *testing.T) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	ring, err := keyring.New(hex.EncodeToString(make([]byte, 32)))
	if err != nil {
		t.Fatal(err)
	}
	tls, err := ring.TLS("vm_0", "a")
	if err != nil {
		t.Fatal(err)
	}
	f := newFleet(2, false)
	f.publish(time.Now(), "v1", "v2")
	f.run(t)
	f.vms[1].LinkAddress = conn.LocalAddr().String()
	d := &dialer.Dialer{TLS: tls}
	f.registrars["vm_0"].Dialer = d
	var others sync.WaitGroup
	defer others.Wait()
	for range 3 {
		others.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_ = d.Call(ctx, f.vms[1], "other", fuchsiaspoke.StreamQuery{}, nil)
		})
	}
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	if got := f.find(0, "nobody"); got != "unknown" {
		t.Errorf("version %s, want unknown", got)
	}
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("the caller waited %v for a VM that may take 250 ms", took)
	}
}
