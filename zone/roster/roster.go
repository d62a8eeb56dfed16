// Package roster keeps what a VM has heard of the others, and for how long they have been silent.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// interval is the time between two heartbeats of a VM in a small fleet.
	interval = 150 * time.Millisecond
	// silence is how long a VM of a small fleet may be silent before it is taken to be gone or cut off; six heartbeats.
	silence = 1000 * time.Millisecond
	// smallFleet is the number of VMs up to which heartbeats keep that pace; beyond, what a VM sends and hears stays the same.
	smallFleet = 10
	// settleBeats is how many heartbeats of each VM a fresh one listens for: about as long as a watch of an engine takes in a large fleet.
	settleBeats = 3
	// leastSettle is the least time that a fresh VM listens; eight heartbeats of a small fleet.
	leastSettle = 1200 * time.Millisecond
	// maxMentions bounds the VMs that one heartbeat names, so that it fits a packet; others are named in the next ones.
	maxMentions = 12
	// formTime is how long after a VM joined all VMs are named in heartbeats.
	formTime = 5 * time.Second
	// missedBeats is how many heartbeats that no longer name an engine say that its VM gave it up; one may be lost in part.
	missedBeats = 2
	// forgetAfter is how long a silent VM is remembered, as it may be alive behind a cut.
	forgetAfter = 2 * time.Minute
)

// Roster holds the other VMs; its zero value is ready.
type Roster struct {
	mu      sync.Mutex
	peers   map[string]*peer
	told    map[string]Told
	engines map[string]claim
	joined  time.Duration
}

// Told is a VM that others told of, with the time at which one of them heard it last.
type Told struct {
	ID          string
	BeatAddress string
	Heard       time.Duration
}

type peer struct {
	state fuchsiaspoke.VMState
	heard time.Duration
}

type claim struct {
	fuchsiaspoke.EngineClaim
	view fuchsiaspoke.EngineView
	// beat is the heartbeat that told of the claim last.
	beat uint64
}

// Observe takes a heartbeat in; it reports whether the VM, or this start of it, was not known.
func (r *Roster) Observe(now time.Duration, s fuchsiaspoke.VMState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peers == nil {
		r.peers = make(map[string]*peer)
		r.engines = make(map[string]claim)
		r.told = make(map[string]Told)
	}
	r.hear(now, s.Peers)
	known := r.peers[s.VM.ID]
	same := known != nil && known.state.Incarnation == s.Incarnation
	if same && s.Beat < known.state.Beat {
		return false
	}
	for _, view := range s.Engines {
		r.engines[view.Engine.ID] = claim{
			EngineClaim: fuchsiaspoke.EngineClaim{Engine: view.Engine.ID, VM: s.VM.ID, Fence: view.Fence, Heard: now},
			view:        view,
			beat:        s.Beat,
		}
	}
	r.end(s, same)
	r.peers[s.VM.ID] = &peer{state: s, heard: now}
	if !same {
		r.joined = now
	}
	return !same
}

// end marks the claims that the VM gave up, or that an earlier start of it made.
func (r *Roster) end(s fuchsiaspoke.VMState, same bool) {
	for id, c := range r.engines {
		if c.VM == s.VM.ID && (!same && c.beat != s.Beat || s.Beat >= c.beat+missedBeats) {
			c.Over = true
			r.engines[id] = c
		}
	}
}

func (r *Roster) hear(now time.Duration, peers []fuchsiaspoke.HeardVM) {
	for _, p := range peers {
		heard := now - p.Age
		if known, is := r.told[p.ID]; is && known.Heard >= heard {
			continue
		}
		r.told[p.ID] = Told{ID: p.ID, BeatAddress: p.BeatAddress, Heard: heard}
	}
}

// Told returns the VMs that others told of and that this one has not heard itself.
func (r *Roster) Told(now time.Duration) []Told {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Told
	for id, t := range r.told {
		if now-t.Heard > forgetAfter {
			delete(r.told, id)
			continue
		}
		if r.peers[id] == nil {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b Told) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Peer is one other VM with the time at which it was last heard.
type Peer struct {
	State fuchsiaspoke.VMState
	Heard time.Duration
}

// Joined is when a VM, or a new start of one, was last heard for the first time.
func (r *Roster) Joined() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.joined
}

// Interval is the time between two heartbeats, and Silence how long a VM may be silent, at the fleet's size.
func (r *Roster) Interval() time.Duration { return time.Duration(float64(interval) * r.scale()) }

// Silence is how long a VM may be silent before it is taken to be gone or cut off.
func (r *Roster) Silence() time.Duration { return time.Duration(float64(silence) * r.scale()) }

// SettleTime is how long a fresh VM listens for claims before it takes engines.
func (r *Roster) SettleTime() time.Duration { return max(leastSettle, settleBeats*r.Interval()) }

func (r *Roster) scale() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(float64(len(r.peers)+1)/smallFleet, 1)
}

// Peers returns the VMs that were heard lately enough to matter, by name.
func (r *Roster) Peers(now time.Duration) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Peer
	for id, p := range r.peers {
		if now-p.heard > forgetAfter {
			delete(r.peers, id)
			continue
		}
		out = append(out, Peer{State: p.state, Heard: p.heard})
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.State.VM.ID, b.State.VM.ID) })
	return out
}

// Mentions returns the VMs that a heartbeat should name: all while the fleet forms, then those that may be silent.
func (r *Roster) Mentions(now time.Duration, beat uint64) []Peer {
	quiet, forming := r.Silence(), now-r.Joined() < formTime
	named := slices.DeleteFunc(r.Peers(now), func(p Peer) bool { return !forming && now-p.Heard <= quiet/2 })
	if len(named) <= maxMentions {
		return named
	}
	parts := uint64(len(named)+maxMentions-1) / maxMentions
	from := int(beat%parts) * maxMentions
	return named[from:min(from+maxMentions, len(named))]
}

// Live returns the VMs that are not silent.
func (r *Roster) Live(now time.Duration) []Peer {
	quiet := r.Silence()
	return slices.DeleteFunc(r.Peers(now), func(p Peer) bool { return now-p.Heard > quiet })
}

// Claims returns the last claim of another VM that was heard for each engine.
func (r *Roster) Claims() map[string]fuchsiaspoke.EngineClaim {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]fuchsiaspoke.EngineClaim, len(r.engines))
	for id, c := range r.engines {
		out[id] = c.EngineClaim
	}
	return out
}

// View returns what was last told of an engine, by which VM and when.
func (r *Roster) View(engine string) (fuchsiaspoke.EngineView, fuchsiaspoke.EngineClaim, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, known := r.engines[engine]
	return c.view, c.EngineClaim, known
}

// VM returns the last state of another VM.
func (r *Roster) VM(id string) (fuchsiaspoke.VM, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[id]
	if p == nil {
		return fuchsiaspoke.VM{}, false
	}
	return p.state.VM, true
}
