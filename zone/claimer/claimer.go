// Package claimer decides which engines this VM owns, that is, to which it sends load and unload orders. Two VMs must never
// send orders to one engine alternately.
//
// VMs may crash, pause, restart or be partitioned from each other, and no majority is consulted. A VM claims an engine
// only after the order count that the engine itself reports has not changed for longer than the lease, and releases its
// engines on its own as soon as it may be partitioned from all other VMs.
package claimer

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

const (
	// maxTickGap is the longest time between two ticks after which ownerships are still valid; five ticks.
	maxTickGap = 500 * time.Millisecond
	// defaultPeerTimeout is the time without a heartbeat after which a peer counts as unreachable.
	defaultPeerTimeout = time.Second
	// maxPartitionDuration is the longest network partition that is assumed; a peer that has been unreachable for longer counts
	// as dead.
	maxPartitionDuration = 2 * time.Minute
	// idleOwnershipTimeout is how long an ownership lasts without an order while a peer may be partitioned off. It is shorter
	// than the time for which another VM must see a stable order count.
	idleOwnershipTimeout = 2 * time.Second
	// firstOrderTimeout replaces idleOwnershipTimeout for an ownership that began while a peer may be partitioned off, until its
	// first order.
	firstOrderTimeout = 900 * time.Millisecond
	// turnDuration is the length of a VM's turn to claim an engine while a peer may be partitioned off. By the end of the turn, an
	// ownership that began within its claim window has either ended unused or its first order shows in the engine's report.
	turnDuration = claimWindow + firstOrderTimeout + reportLag
	// maxTurns is the largest number of turns in a cycle. The VMs that rank highest for an engine have one turn each, and all
	// others share the last one, so two sides of a partition use the same turn only if all VMs with a turn of their own are gone.
	maxTurns = 5
	// claimWindow is the time from the start of its turn within which a VM may claim an engine.
	claimWindow = 300 * time.Millisecond
	// isolatedHoldOff is how long a VM owns no engine after its last peer became unreachable; longer than a process restart.
	isolatedHoldOff = 8 * time.Second
	// noPeersHoldOff replaces isolatedHoldOff where the settings name other VMs but neither a heartbeat nor a report of one has
	// arrived within maxPartitionDuration.
	noPeersHoldOff = 30 * time.Second
	// reportLag is the longest delay until an accepted order shows in the engine's report.
	reportLag = 600 * time.Millisecond
	// pollInterval is the regular time between two reads of an engine's order count.
	pollInterval = 1100 * time.Millisecond
	// maxPollAge is the greatest age of the last read order count when an engine is claimed; three ticks.
	maxPollAge = 300 * time.Millisecond
	// newEngineStableTime is how long the order count must be stable for an engine that never accepted an order, if no other VM
	// has claimed it and no peer may be partitioned off. It is also the time between reads right after a change of the count.
	newEngineStableTime = 400 * time.Millisecond
	// fenceUnitMs is the unit, in milliseconds, of an engine's start time in fencing tokens. As an engine accepts fewer orders than
	// one in a unit on average, its order count never reaches the start time of its next incarnation.
	fenceUnitMs = 50
	// fenceEpochMs is the Unix time, in milliseconds, from which start times in fencing tokens count: the start of 2020. Tokens stay
	// below 2^53 until the year 2047, as JSON numbers require.
	fenceEpochMs = 1_577_836_800_000
	// fenceAgeBits is the number of bits of a fencing token that hold the engine's age in units of fenceAgeUnit, for owners that claim
	// the engine one after the other at the same order count. The lease keeps them further apart than one unit.
	fenceAgeBits = 10
	fenceAgeUnit = 2 * time.Second
	// fenceOwnerBits is the number of bits that hold the owner's hash, for owners that claim the engine at once.
	fenceOwnerBits = 9
)

// Peer is another VM according to its last heartbeat.
type Peer struct {
	ID string
	// LastHeartbeat is the time of the peer's last heartbeat, received here or by the VM that reported the peer.
	LastHeartbeat time.Duration
	// Ready peers may own engines.
	Ready bool
	// Leaving peers are shutting down and send no more orders.
	Leaving bool
	// Indirect peers are known only from other VMs' heartbeats; none of their own was received here.
	Indirect bool
	// Leaf peers do not claim engines. LastHeartbeat is that of the last report of a hub, or now while one hears the peer.
	Leaf bool
}

// FleetView is the input of one decision: the fleet as this VM knows it.
type FleetView struct {
	Self string
	// Settled VMs know the published configuration and have collected other VMs' claims for the settle time.
	Settled bool
	// SettlesIn is the rest of the settle time.
	SettlesIn time.Duration
	// Leaving VMs are shutting down and own no engine, and neither do VMs that reach no engine.
	Leaving, EnginesUnreachable bool
	// Leaf VMs claim no engine.
	Leaf bool
	// ExpectsPeers means that the settings name other VMs.
	ExpectsPeers bool
	Peers        []Peer
	// Claims are the latest ownership claims of other VMs by engine id.
	Claims map[string]fuchsiaspoke.EngineClaim
	// Engines are the ids of all published engines in the state ready.
	Engines []string
	// PeerTimeout is the time without a heartbeat after which a peer counts as unreachable; 0 stands for one second.
	PeerTimeout time.Duration
	// WallClock is the wall-clock time since the Unix epoch. If it jumps, both sides of a partition may claim an engine in the
	// same turn.
	WallClock time.Duration
}

func (v FleetView) peerTimeout() time.Duration { return cmp.Or(v.PeerTimeout, defaultPeerTimeout) }

// Claimer keeps this VM's ownerships and observations of engines; its zero value is ready and has no lease.
type Claimer struct {
	// Lease is the least time between orders of two owners of one engine.
	Lease time.Duration

	lastTick      time.Duration
	hasTicked     bool
	isolatedSince time.Duration
	owned         map[string]*ownership
	observations  map[string]*observation
}

// ownership is this VM's right to send orders to one engine.
type ownership struct {
	fence int64
	// lastOrder is the time of the last order, or of the claim if there was none.
	lastOrder time.Duration
	// confirmed means that an order was sent under the ownership, or that it began while no peer was possibly partitioned off.
	confirmed bool
}

// observation is what this VM has read of the order count of an engine that it may claim.
type observation struct {
	startedAtMs int64
	orderCount  int64
	// stableSince is when the first read that returned the present count was sent, lastAnsweredPoll when the last answered read
	// was sent, and lastPoll when the last read was requested. polled means that a read was answered.
	stableSince      time.Duration
	lastAnsweredPoll time.Duration
	polled           bool
	lastPoll         time.Duration
}

// Decision lists the actions of one tick.
type Decision struct {
	// Poll names the engines whose order count must be read now.
	Poll []string
	// Claim names the engines that this VM now owns.
	Claim []string
	// Release names the engines that this VM no longer owns.
	Release []ReleasedEngine
}

// ReleasedEngine is an engine that this VM no longer owns, with the reason.
type ReleasedEngine struct {
	Engine string
	Reason string
}

// Ownership returns the fencing number of this VM's ownership of the engine, and whether it owns the engine.
func (c *Claimer) Ownership(engine string) (int64, bool) {
	own := c.owned[engine]
	if own == nil {
		return 0, false
	}
	return own.fence, true
}

// RecordOrder records that this VM sent an order to the engine.
func (c *Claimer) RecordOrder(now time.Duration, engine string) {
	if own := c.owned[engine]; own != nil {
		own.lastOrder, own.confirmed = now, true
	}
}

// Release ends the ownership of an engine, for example because another VM sent it an order.
func (c *Claimer) Release(engine string) {
	delete(c.owned, engine)
	delete(c.observations, engine)
}

// RecordOrderCount records the start time and the order count that the engine reported to a read sent at polledAt.
func (c *Claimer) RecordOrderCount(polledAt time.Duration, engine string, startedAtMs, orderCount int64) {
	obs := c.observations[engine]
	if obs == nil {
		return
	}
	if !obs.polled || obs.startedAtMs != startedAtMs || obs.orderCount != orderCount {
		*obs = observation{startedAtMs: startedAtMs, orderCount: orderCount, stableSince: polledAt, polled: true, lastPoll: obs.lastPoll}
	}
	obs.lastAnsweredPoll = polledAt
}

// Tick updates the ownerships; it must be called every 100 ms.
func (c *Claimer) Tick(now time.Duration, view FleetView) Decision {
	var d Decision
	if c.owned == nil {
		c.owned = make(map[string]*ownership)
		c.observations = make(map[string]*observation)
	}
	paused := c.hasTicked && now-c.lastTick > maxTickGap
	c.lastTick, c.hasTicked = now, true
	if paused {
		return c.releaseAll("process was paused between two ticks")
	}
	if c.isolated(now, view) {
		return c.releaseAll("no heartbeat from any other VM")
	}
	if view.Leaving {
		return c.releaseAll("this VM is shutting down")
	}
	if view.EnginesUnreachable {
		return c.releaseAll("this VM reaches no replica")
	}
	partitioned := c.partitionPossible(now, view)
	for _, engine := range view.Engines {
		c.decideEngine(now, view, engine, partitioned, &d)
	}
	for engine := range c.owned {
		if !slices.Contains(view.Engines, engine) {
			d.Release = append(d.Release, ReleasedEngine{engine, "engine is no longer listed as ready"})
			delete(c.owned, engine)
		}
	}
	return d
}

// decideEngine releases an owned engine if a live peer claims it too, or if a VM may be partitioned off and this VM has sent no
// order for the ownership's idleTimeout; an engine stays owned when another VM becomes preferred. An engine that is not owned is
// passed to claimOrPoll if no live peer claims it and this VM is preferred and no leaf; otherwise its observation is deleted.
func (c *Claimer) decideEngine(now time.Duration, view FleetView, engine string, partitioned bool, d *Decision) {
	claim, claimed := view.Claims[engine]
	claimedByLivePeer := claimed && !claim.Ended && now-claim.ReceivedAt <= view.peerTimeout() && !isPeerLeaving(view, claim.VM)
	own := c.owned[engine]
	switch {
	case own != nil && claimedByLivePeer:
		c.release(engine, "VM "+claim.VM+" claims the engine too", d)
	case own != nil && partitioned && now-own.lastOrder > own.idleTimeout():
		c.release(engine, "no recent order while another VM may be partitioned off", d)
	case own != nil:
	case view.Leaf || claimedByLivePeer || !c.isPreferred(now, view, engine):
		delete(c.observations, engine)
	default:
		c.claimOrPoll(now, view, engine, claim, claimed, partitioned, d)
	}
}

func (c *Claimer) release(engine, reason string, d *Decision) {
	delete(c.owned, engine)
	d.Release = append(d.Release, ReleasedEngine{engine, reason})
}

// claimOrPoll claims the engine if this VM is settled, the order count has been stable for long enough, and the last answered read
// was sent at most maxPollAge ago and, while a VM may be partitioned off, since the start of this VM's turn. Otherwise it requests
// a read of the count if one is due.
func (c *Claimer) claimOrPoll(
	now time.Duration, view FleetView, engine string, claim fuchsiaspoke.EngineClaim, claimed, partitioned bool, d *Decision,
) {
	obs := c.observations[engine]
	if obs == nil {
		obs = &observation{lastPoll: -pollInterval}
		c.observations[engine] = obs
	}
	if view.Settled && c.isStable(obs, claimed, partitioned) && now-obs.lastAnsweredPoll <= maxPollAge &&
		(!partitioned || obs.lastAnsweredPoll >= c.turnStart(now, view, engine)) {
		fence := max(newFence(obs, view), claim.Fence+1)
		c.owned[engine] = &ownership{fence: fence, lastOrder: now, confirmed: !partitioned}
		delete(c.observations, engine)
		d.Claim = append(d.Claim, engine)
		return
	}
	if c.pollDue(now, view, engine, obs, claimed, partitioned) {
		obs.lastPoll = now
		d.Poll = append(d.Poll, engine)
	}
}

// pollDue reports whether the order count must be read: at intervals, once the required stable time is over, and before this VM
// claims the engine, which is within its turn if a peer may be partitioned off. No read is due while more of the settle time is
// left than the longest required stable time.
func (c *Claimer) pollDue(now time.Duration, view FleetView, engine string, obs *observation, claimed, partitioned bool) bool {
	if view.SettlesIn > c.Lease+reportLag {
		return false
	}
	if now-obs.lastPoll >= pollInterval {
		return true
	}
	if !obs.polled || now-obs.stableSince < pollInterval {
		// An order sent just before the first read shows only in a later report, which restarts the stable time.
		return now-obs.lastPoll >= newEngineStableTime
	}
	if stableAt := obs.stableSince + c.requiredStableTime(obs, claimed, partitioned); now >= stableAt && obs.lastPoll < stableAt {
		return true
	}
	if !c.isStable(obs, claimed, partitioned) {
		return false
	}
	if !partitioned {
		return view.Settled && now-obs.lastPoll > maxPollAge
	}
	turnStart := c.turnStart(now, view, engine)
	return turnStart <= now && obs.lastPoll < turnStart
}

func isPeerLeaving(view FleetView, vm string) bool {
	return slices.ContainsFunc(view.Peers, func(p Peer) bool { return p.ID == vm && p.Leaving })
}

// idleTimeout returns how long the ownership lasts without an order while a peer may be partitioned off.
func (o *ownership) idleTimeout() time.Duration {
	if o.confirmed {
		return idleOwnershipTimeout
	}
	return firstOrderTimeout
}

// isStable reports whether the order count has been unchanged for so long that no other VM's lease can still run.
func (c *Claimer) isStable(obs *observation, claimed, partitioned bool) bool {
	return obs.polled && obs.lastAnsweredPoll-obs.stableSince >= c.requiredStableTime(obs, claimed, partitioned)
}

// requiredStableTime returns how long the order count must be unchanged before this VM may claim the engine.
func (c *Claimer) requiredStableTime(obs *observation, claimed, partitioned bool) time.Duration {
	if !claimed && !partitioned && obs.orderCount == 0 {
		return newEngineStableTime
	}
	return c.Lease + reportLag
}

func (c *Claimer) releaseAll(reason string) Decision {
	var d Decision
	for engine := range c.owned {
		d.Release = append(d.Release, ReleasedEngine{engine, reason})
	}
	clear(c.owned)
	clear(c.observations)
	return d
}

// newFence returns a fencing token that is higher than those of earlier owners, also where no VM remembers them: it follows from
// what the engine itself reports, its start time and order count, and from its age. Its last bits tell owners apart.
func newFence(obs *observation, view FleetView) int64 {
	const maxAge, ownerMask = 1<<fenceAgeBits - 1, 1<<fenceOwnerBits - 1
	age := (view.WallClock - time.Duration(obs.startedAtMs)*time.Millisecond) / fenceAgeUnit
	start := max(obs.startedAtMs-fenceEpochMs, 0) / fenceUnitMs
	fence := (start+obs.orderCount)<<fenceAgeBits | min(max(int64(age), 0), maxAge)
	return fence<<fenceOwnerBits | int64(ranker.Weight("fence", view.Self)&ownerMask)
}

// Fresh reports whether the last tick is recent enough for the ownerships to be valid.
func (c *Claimer) Fresh(now time.Duration) bool {
	return c.hasTicked && now-c.lastTick <= maxTickGap
}
