// Package heartbeater sends heartbeats to other VMs and receives theirs over UDP.
package heartbeater

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime/debug"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/exchanger"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// maxEnginesPerDatagram is the largest number of engines in one datagram, so that it fits a packet.
	maxEnginesPerDatagram = 4
	// maxPeersPerDatagram is the largest number of reported VMs in one datagram.
	maxPeersPerDatagram = 12
	// jitterRatio is the width of the random variation of the interval as a fraction of it, so that the VMs of a fleet don't send
	// at the same time.
	jitterRatio = 0.2
	// maxDatagramBytes is the size of the receive buffer.
	maxDatagramBytes = 16 << 10
)

// Heartbeater sends this VM's state to other VMs and passes on the states that it receives.
type Heartbeater struct {
	// Listen is the address, as IP:PORT, from which heartbeats are sent and where they are received.
	Listen string
	// Interval returns the time until the next heartbeat.
	Interval func() time.Duration
	// Compose returns the heartbeats to send now, with the addresses, as IP:PORT, that receive each.
	Compose func() []exchanger.Batch
	// OnHeartbeat is called with each received heartbeat.
	OnHeartbeat func(fuchsiaspoke.VMState)
	Log         func(event string, keysAndValues ...any)
}

// Run sends and receives heartbeats until the context is done, and then sends the context's error on the channel.
func (h *Heartbeater) Run(ctx context.Context) (<-chan error, error) {
	address, err := net.ResolveUDPAddr("udp", h.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve heartbeat address %q, which must be IP:PORT", h.Listen)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for heartbeats")
	}
	done := make(chan error, 1)
	receiveEnded := make(chan struct{})
	go func() {
		defer close(receiveEnded)
		h.receiveLoop(conn)
	}()
	go func() {
		h.sendLoop(ctx, conn)
		_ = conn.Close()
		<-receiveEnded
		done <- ctx.Err()
	}()
	return done, nil
}

// sendLoop sends heartbeats at intervals until the context ends, and a last one then.
func (h *Heartbeater) sendLoop(ctx context.Context, conn *net.UDPConn) {
	for {
		h.sendHeartbeat(conn)
		t := time.NewTimer(withJitter(h.Interval()))
		select {
		case <-ctx.Done():
			t.Stop()
			h.sendHeartbeat(conn)
			return
		case <-t.C:
		}
	}
}

// withJitter returns a random time around the interval.
func withJitter(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (1 - jitterRatio/2 + jitterRatio*rand.Float64()))
}

func (h *Heartbeater) sendHeartbeat(conn *net.UDPConn) {
	for _, batch := range h.Compose() {
		for _, datagram := range h.encode(batch.State) {
			sendToAll(conn, datagram, batch.Targets)
		}
	}
}

// sendToAll sends a datagram to each address. Errors are ignored, as the next heartbeat carries the whole state again.
func sendToAll(conn *net.UDPConn, datagram []byte, targets []string) {
	for _, target := range targets {
		if to, err := netip.ParseAddrPort(target); err == nil {
			_, _ = conn.WriteToUDPAddrPort(datagram, to)
		}
	}
}

// encode returns the state as datagrams, each with a part of its engines or of its reported VMs.
func (h *Heartbeater) encode(s fuchsiaspoke.VMState) [][]byte {
	engines, peers, served := s.Engines, s.Peers, s.Served
	s.Peers, s.Served = nil, nil
	var out [][]byte
	add := func() {
		raw, err := cbor.Marshal(s)
		if err != nil {
			h.Log("heartbeat not sent: state could not be encoded", "error", err.Error())
			return
		}
		out = append(out, raw)
		s = s.AsContinuation()
	}
	for part := range slices.Chunk(engines, maxEnginesPerDatagram) {
		s.Engines = part
		add()
	}
	s.Engines = nil
	for part := range slices.Chunk(peers, maxPeersPerDatagram) {
		s.Peers = part
		add()
	}
	if len(out) == 0 {
		add()
	}
	if served != nil {
		s.Peers, s.Served = nil, served
		add()
	}
	return out
}

func (h *Heartbeater) receiveLoop(conn *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s, err := decode(buffer[:n])
		if err != nil {
			h.Log("heartbeat dropped", "from", from.String(), "error", err.Error())
			continue
		}
		h.deliver(s, from)
	}
}

// strictDecoder refuses numbers that are not finite: a bucket level that is not a number would admit any request.
var strictDecoder = newStrictDecoder()

func newStrictDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{NaN: cbor.NaNDecodeForbidden, Inf: cbor.InfDecodeForbidden}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

func decode(datagram []byte) (fuchsiaspoke.VMState, error) {
	var s fuchsiaspoke.VMState
	if err := strictDecoder.Unmarshal(datagram, &s); err != nil {
		return s, errors.Wrap(err, "decode heartbeat")
	}
	if s.VM.ID == "" {
		return s, errors.New("decode heartbeat: the VM has no id")
	}
	return s, nil
}

// deliver passes a heartbeat on. A panic on its content is logged, so that one heartbeat can't end the process.
func (h *Heartbeater) deliver(s fuchsiaspoke.VMState, from netip.AddrPort) {
	defer func() {
		if cause := recover(); cause != nil {
			h.Log("heartbeat dropped: it could not be handled", "from", from.String(), "panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
	}()
	h.OnHeartbeat(s)
}
