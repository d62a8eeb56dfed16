package acceptor

import (
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// minQuiet is the least time without a packet sent after which a connection is closed: closing it discards what waits to be sent.
	minQuiet = 50 * time.Millisecond
	// maxCloseDelay bounds the time in which a connection becomes quiet, unless the Acceptor knows a shorter one.
	maxCloseDelay = time.Second
	// quietCheckInterval is the interval between two looks at what a connection has sent.
	quietCheckInterval = 5 * time.Millisecond
	// quietProbes is the number of probe timeouts without a packet sent after which nothing is taken to be unacknowledged.
	quietProbes = 2
	// ackDelay is the longest time by which the peer delays an acknowledgement, and deviations the number of mean deviations of the round trip
	// in a probe timeout (RFC 9002, 6.2.1).
	ackDelay   = 25 * time.Millisecond
	deviations = 4
)

// awaitQuiet waits until a connection has sent nothing for so long that what it sent before has been acknowledged, or the time most has
// passed, which is minQuiet at least.
// As long as anything is unacknowledged, the connection repeats it or probes its peer. Acknowledgements count as sent, so that a peer that goes
// on sending delays the close.
func awaitQuiet(conn *quic.Conn, most time.Duration) {
	end := time.Now().Add(max(most, minQuiet))
	sent, since := conn.ConnectionStats().PacketsSent, time.Now()
	for now := since; now.Before(end) && conn.Context().Err() == nil; now = time.Now() {
		stats := conn.ConnectionStats()
		if stats.PacketsSent != sent {
			sent, since = stats.PacketsSent, now
		}
		if now.Sub(since) >= quietTime(stats) {
			return
		}
		time.Sleep(quietCheckInterval)
	}
}

// quietTime returns how long a connection on this path mostly sends nothing only if nothing is unacknowledged: it probes earlier, but a probe
// that is lost is repeated only after twice the time.
func quietTime(stats quic.ConnectionStats) time.Duration {
	probeTimeout := stats.SmoothedRTT + deviations*stats.MeanDeviation + ackDelay
	return max(minQuiet, quietProbes*probeTimeout)
}
