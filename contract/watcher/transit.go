package watcher

import (
	"maps"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// transitRetention is how long the heartbeats of a VM that is no longer heard are remembered.
	transitRetention = time.Minute
	// maxClockDrift is the most by which the rates of two VMs' clocks differ.
	maxClockDrift = 0.01
)

// fastestHeartbeat is the least difference between this VM's clock and a peer's uptime at the arrival of a heartbeat, and the time at
// which it was adjusted.
type fastestHeartbeat struct {
	offset     time.Duration
	adjustedAt time.Duration
}

// transit tells how much longer than the fastest ones of their VM heartbeats were on their way, such as to a VM that was suspended.
type transit struct {
	byIncarnation map[string]fastestHeartbeat
}

// delay returns the additional time that a heartbeat which arrives now was on its way.
func (t *transit) delay(now time.Duration, s fuchsiaspoke.VMState) time.Duration {
	offset := now - s.Uptime
	fastest, known := t.byIncarnation[s.Incarnation]
	if !known {
		maps.DeleteFunc(t.byIncarnation, func(_ string, f fastestHeartbeat) bool { return now-f.adjustedAt > transitRetention })
	}
	if t.byIncarnation == nil {
		t.byIncarnation = make(map[string]fastestHeartbeat)
	}
	drifted := fastest.offset + time.Duration(maxClockDrift*float64(now-fastest.adjustedAt))
	if !known || offset < drifted {
		drifted = offset
	}
	t.byIncarnation[s.Incarnation] = fastestHeartbeat{drifted, now}
	return offset - drifted
}
