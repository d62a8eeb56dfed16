// Package roomgranter keeps the requests that are at a replica at once within the room that it has, so that it need not turn any away.
//
// One VM grants the room of a replica to all VMs. It is told of responses, not of the end of each request: how many are there follows from
// the grants within the time that a response takes (Little, "A Proof for the Queuing Formula L = λW", 1961).
package roomgranter

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// assumedTime is the response time of a replica of which no response is known yet.
	assumedTime = time.Second
	// typicalResponses is the number of responses over which response times are averaged, and windowFactor the multiple of the average
	// within which a request counts as being there, as half of them take longer than the median.
	typicalResponses = 8
	windowFactor     = 1.2
	// maxWindow bounds that time.
	maxWindow = 3 * time.Second
	// waitingRoom is the number of requests beyond the slots, which keep a slot from standing idle between two requests.
	waitingRoom = 2
	// refusalCut is by how many requests a refusal lowers the room, down to leastShare of the slots, and regainTime the time without one after
	// which the room grows by one again.
	refusalCut = 1
	leastShare = 0.5
	regainTime = 2 * time.Second
	// takeOverShare is the part of the room that counts as taken when a VM begins to grant, as others may have granted it.
	takeOverShare = 0.5
	// minWait and maxWait bound the time after which a VM that was denied may ask again.
	minWait = 2 * time.Millisecond
	maxWait = 250 * time.Millisecond
	// retention is how long a replica without requests is remembered.
	retention = time.Minute
)

// RoomGranter grants the room of replicas by the hash of their incarnation. Its zero value is ready to use.
type RoomGranter struct {
	mu    sync.Mutex
	rooms map[uint64]*room
}

// room is what is known of one replica.
type room struct {
	// typical is the moving average of response times.
	typical time.Duration
	// responded means that a response is known.
	responded bool
	// lost is by how many requests refusals have lowered the room; changedAt is when it last changed.
	lost      float64
	changedAt time.Duration
	// granted holds the times of the grants within the window.
	granted []time.Duration
	usedAt  time.Duration
}

// Check decides whether one more request may be sent to a replica with the given slots. report is what the asking VM saw since its last
// request. If the request is denied, wait is the time after which the VM may ask again.
func (g *RoomGranter) Check(now time.Duration, process uint64, slots int, report fuchsiaspoke.RampReport) (granted bool, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.room(now, process, slots)
	r.observeAll(now, slots, report)
	window := r.window()
	for len(r.granted) > 0 && now-r.granted[0] >= window {
		r.granted = r.granted[1:]
	}
	if len(r.granted) < r.size(now, slots) {
		r.granted = append(r.granted, now)
		return true, 0
	}
	next := r.granted[0] + window - now
	return false, min(max(time.Duration(float64(next)*(0.2+0.6*rand.Float64())), minWait), maxWait)
}

// Observe records what a VM saw of a replica with the given slots, if this VM grants its room.
func (g *RoomGranter) Observe(now time.Duration, process uint64, slots int, report fuchsiaspoke.RampReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.rooms[process]; r != nil {
		r.observeAll(now, slots, report)
	}
}

func (g *RoomGranter) room(now time.Duration, process uint64, slots int) *room {
	r := g.rooms[process]
	if r == nil {
		for known, old := range g.rooms {
			if now-old.usedAt > retention {
				delete(g.rooms, known)
			}
		}
		if g.rooms == nil {
			g.rooms = make(map[uint64]*room)
		}
		r = &room{typical: assumedTime, changedAt: now}
		for range int(takeOverShare * float64(slots)) {
			r.granted = append(r.granted, now)
		}
		g.rooms[process] = r
	}
	r.usedAt = now
	return r
}

func (r *room) observeAll(now time.Duration, slots int, report fuchsiaspoke.RampReport) {
	for _, o := range report.Outcomes {
		r.observe(now, slots, o)
	}
}

func (r *room) observe(now time.Duration, slots int, o fuchsiaspoke.RampOutcomeReport) {
	sentAt := now - time.Duration(o.AgeMs)*time.Millisecond
	switch {
	case o.Refused:
		if sentAt >= r.changedAt || r.lost == 0 {
			r.lost, r.changedAt = min(r.lost+refusalCut, leastShare*float64(slots)+waitingRoom), now
		}
	case o.Failed:
	case !r.responded:
		r.responded, r.typical = true, time.Duration(o.TookUs)*time.Microsecond
	default:
		r.typical += (time.Duration(o.TookUs)*time.Microsecond - r.typical) / typicalResponses
	}
}

// window returns the time for which a request counts as being at the replica.
func (r *room) window() time.Duration {
	return min(time.Duration(windowFactor*float64(r.typical)), maxWindow)
}

// size returns the number of requests that may be at the replica at once.
func (r *room) size(now time.Duration, slots int) int {
	if r.lost > 0 && now-r.changedAt >= regainTime {
		r.lost, r.changedAt = max(r.lost-1, 0), now
	}
	return max(int(float64(slots+waitingRoom)-r.lost), 1)
}
