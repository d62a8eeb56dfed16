// Package beater exchanges heartbeats with other VMs over UDP.
package beater

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// enginesPerBeat bounds the engines in one datagram, so that it fits a packet.
	enginesPerBeat = 4
	// jitter is the part of the interval by which heartbeats differ, so that those of a fleet don't come at once.
	jitter = 0.2
	// maxDatagram bounds a heartbeat, in bytes.
	maxDatagram = 16 << 10
)

// Beater sends this VM's state to the others, and hands theirs on.
type Beater struct {
	// Listen is the IP number and port to use.
	Listen string
	// Interval returns the time until the next heartbeat.
	Interval func() time.Duration
	// State returns this VM's state with all its engines.
	State func() fuchsiaspoke.VMState
	// Targets returns the addresses to send to.
	Targets func() []string
	// Heard is told of each heartbeat that came.
	Heard func(fuchsiaspoke.VMState)
	Log   func(event string, keysAndValues ...any)
}

// Run exchanges heartbeats until the context ends, and reports its end on the channel.
func (b *Beater) Run(ctx context.Context) (<-chan error, error) {
	address, err := net.ResolveUDPAddr("udp", b.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "heartbeats: %q is not allowed; give IP:PORT", b.Listen)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "heartbeats: listen")
	}
	done := make(chan error, 1)
	received := make(chan struct{})
	go func() {
		defer close(received)
		b.receive(conn)
	}()
	go func() {
		b.send(ctx, conn)
		_ = conn.Close()
		<-received
		done <- ctx.Err()
	}()
	return done, nil
}

func (b *Beater) send(ctx context.Context, conn *net.UDPConn) {
	for {
		b.beat(conn)
		t := time.NewTimer(spread(b.Interval()))
		select {
		case <-ctx.Done():
			t.Stop()
			b.beat(conn)
			return
		case <-t.C:
		}
	}
}

// spread draws a time around the interval.
func spread(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (1 - jitter/2 + jitter*rand.Float64()))
}

func (b *Beater) beat(conn *net.UDPConn) {
	state := b.State()
	targets := b.Targets()
	for _, datagram := range b.datagrams(state) {
		for _, target := range targets {
			to, err := netip.ParseAddrPort(target)
			if err != nil {
				continue
			}
			// A lost heartbeat is made good by the next.
			_, _ = conn.WriteToUDPAddrPort(datagram, to)
		}
	}
}

// datagrams splits a state whose engines don't fit one packet.
func (b *Beater) datagrams(s fuchsiaspoke.VMState) [][]byte {
	engines := s.Engines
	var out [][]byte
	for {
		n := min(len(engines), enginesPerBeat)
		s.Engines, engines = engines[:n], engines[n:]
		raw, err := cbor.Marshal(s)
		if err != nil {
			b.Log("heartbeat not encoded", "error", err.Error())
			return out
		}
		out = append(out, raw)
		if len(engines) == 0 {
			return out
		}
	}
}

func (b *Beater) receive(conn *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var s fuchsiaspoke.VMState
		if err := cbor.Unmarshal(buffer[:n], &s); err != nil || s.VM.ID == "" {
			b.Log("heartbeat not readable", "from", from.String())
			continue
		}
		b.Heard(s)
	}
}
