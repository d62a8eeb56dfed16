package entry

import (
	"context"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/controller"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/claimer"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/membership"
)

const (
	// claimInterval is the time between two decisions about which engines this VM owns.
	claimInterval = 100 * time.Millisecond
	// takeoverTime is how long a change of owner takes beyond a lease: the lag of the engine's report, the read of its order
	// count, and the heartbeat that announces the new owner.
	takeoverTime = 1200 * time.Millisecond
	// reportTimeout bounds the read of an engine's order count.
	reportTimeout = 700 * time.Millisecond
)

// manageEngines updates which engines this VM owns, ten times a second until the context ends. The owner of an engine is the
// one VM that sends its load and unload orders and admits requests to it.
func (e *Entry) manageEngines(ctx context.Context) {
	t := time.NewTicker(claimInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			e.stopAllControllers()
			return
		case <-t.C:
			e.updateWarmUps()
			e.updateOwnership(ctx)
		}
	}
}

// updateWarmUps decides which replicas are in warm-up, and whose rate must be found. The granters of their tokens are sampled while any service has such, so that
// they are known when one begins.
func (e *Entry) updateWarmUps() {
	now := e.timer.Now()
	warmUps, ramps := e.warmUps.Update(now), e.ramps.Update(now)
	if warmUps || ramps {
		e.pacer.SampleGranters()
		return
	}
	e.pacer.EndSampling()
}

// updateOwnership claims and releases engines as the claimer decides.
func (e *Entry) updateOwnership(ctx context.Context) {
	now := e.timer.Now()
	peers := e.membership.Peers(now)
	e.logReachabilityChanges(now, peers)
	e.logDirectoryChanges(now, peers)
	if !e.exchanger.Role().Hub {
		// A leaf owns no engine and claims none.
		return
	}
	engines := e.readyEngines()
	input := e.fleetView(now, engines, peers)
	e.mu.Lock()
	decision := e.claimer.Tick(now, input)
	e.mu.Unlock()
	for _, d := range decision.Release {
		e.Log("engine given up", "engine", d.Engine, "reason", d.Reason)
		e.stopController(d.Engine)
	}
	for _, id := range decision.Claim {
		e.startController(ctx, engines[id])
	}
	for _, id := range decision.Poll {
		e.background.Go(func() { e.readOrderCount(ctx, engines[id]) })
	}
	e.replaceStaleControllers(ctx, engines)
}

// timeUntilOwned estimates how long it takes until engines have owners if none has one: a VM that starts collects heartbeats for
// the settle time, and then observes the order counts for the length of a lease.
func (e *Entry) timeUntilOwned() time.Duration {
	return max(e.membership.SettleTime()+e.claimer.Lease+takeoverTime-e.timer.Now(), 0)
}

// readyEngines returns the ready replicas of engine services by ID, also those in evacuated zones: a change of owner takes longer than a
// lease, so that engines keep their owners.
func (e *Entry) readyEngines() map[string]fuchsiaspoke.Replica {
	p := e.watcher.Published()
	out := make(map[string]fuchsiaspoke.Replica)
	if p.Contract == nil {
		return out
	}
	for _, r := range p.Replicas {
		if p.Contract.Services[r.Service].Engine != nil && r.State == fuchsiaspoke.ReplicaReady {
			out[r.ID] = r
		}
	}
	return out
}

// fleetView collects the input of the claimer: this VM's state, its peers, their claims and the engines.
func (e *Entry) fleetView(
	now time.Duration, engines map[string]fuchsiaspoke.Replica, peers []membership.Peer,
) claimer.FleetView {
	role := e.exchanger.Role()
	settledAt := role.HubSince + e.membership.SettleTime()
	view := claimer.FleetView{
		Self: e.VM.ID, Settled: now >= settledAt && e.Ready(), SettlesIn: max(settledAt-now, 0), Leaf: !role.Hubs[e.VM.ID],
		Leaving: e.Leaving(), EnginesUnreachable: e.partition.Partitioned(), Claims: e.membership.Claims(), ExpectsPeers: e.hasOtherSeeds(),
		PeerTimeout: e.membership.PeerTimeout(),
		WallClock:   time.Duration(time.Now().UnixNano()),
	}
	for _, p := range peers {
		view.Peers = append(view.Peers, claimerPeer(now, p, role.Hubs[p.VM.ID]))
	}
	for id := range engines {
		view.Engines = append(view.Engines, id)
	}
	slices.Sort(view.Engines)
	return view
}

// claimerPeer describes a peer to the claimer. Another hub is reachable only if its own heartbeats are received here, as it may
// own engines; for a leaf a hub's report is enough.
func claimerPeer(now time.Duration, p membership.Peer, isHub bool) claimer.Peer {
	out := claimer.Peer{ID: p.VM.ID, LastHeartbeat: p.LastHeard, Ready: p.Ready && isHub && !p.ReplicasUnreachable, Leaving: p.Draining}
	switch {
	case isHub || p.Hub:
		if !p.EverHeard {
			out.LastHeartbeat, out.Indirect = p.LastHeartbeat, true
		}
	case p.Reachable:
		out.LastHeartbeat, out.Leaf = now, true
	default:
		out.LastHeartbeat, out.Leaf = p.LastHeartbeat, true
	}
	return out
}

// hasOtherSeeds reports whether the seed addresses include another VM.
func (e *Entry) hasOtherSeeds() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.SeedAddresses, func(a string) bool { return a != e.HeartbeatAddress })
}

// readOrderCount reads how many orders an engine has accepted and passes the count to the claimer, unless the engine wants a pause.
func (e *Entry) readOrderCount(ctx context.Context, r fuchsiaspoke.Replica) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if !e.permitter.MayCall(r) {
		return
	}
	sentAt := e.timer.Now()
	report, err := e.Platform.Replicas.Report(ctx, r)
	if err != nil {
		e.Log("reading the engine's order count failed", "engine", r.ID, "error", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.claimer.RecordOrderCount(sentAt, r.ID, report.Replica.StartedAtMs, report.Replica.OrderCount)
}

// startController starts the controller of an engine that this VM owns.
func (e *Entry) startController(ctx context.Context, r fuchsiaspoke.Replica) {
	limits := e.watcher.Published().Contract.Services[r.Service].Engine
	model := firstModel(limits)
	view, _, viewed := e.requester.View(r.ID)
	e.mu.Lock()
	defer e.mu.Unlock()
	fence, owned := e.claimer.Ownership(r.ID)
	if !owned {
		return
	}
	c := &controller.Controller{
		Replica: r, Model: model, Limits: *limits, Engine: e.Platform.Replicas, Owner: e.VM.ID, Fence: fence,
		Clock: e.timer.Now, Log: e.Log,
		Owns:           func() bool { return e.ownsEngine(r.ID, fence) },
		Pause:          func() time.Duration { return e.permitter.Pause(r) },
		Evacuated:      func() bool { return e.watcher.Published().Evacuated(r.Zone) },
		OnOrder:        func() { e.recordOrder(r.ID) },
		OnForeignOrder: func() { e.releaseToOtherVM(r.ID) },
		Shares:         e.sharer.Service(r.Service),
		LatestVersion: func(adapter string) int64 {
			return e.watcher.Published().AdapterVersion(model, adapter)
		},
	}
	if viewed && view.Engine == r.Incarnation() {
		c.Speed.Resume(view.WorkStep)
		c.Former = view
	}
	controllerCtx, cancel := context.WithCancel(ctx)
	e.controllers[r.ID] = &ownedEngine{controller: c, cancel: cancel, startedAtMs: r.StartedAtMs}
	ended := c.Run(controllerCtx)
	e.background.Go(func() { e.logFailure(<-ended) })
	e.requester.Add(r.ID, c)
	e.Log("engine taken", "engine", r.ID, "address", r.Address, "fence", fence, "born", r.StartedAtMs)
}

// firstModel returns the alphabetically first base model.
func firstModel(limits *fuchsiaspoke.EngineLimits) string {
	first := ""
	for name := range limits.Models {
		if first == "" || name < first {
			first = name
		}
	}
	return first
}

// ownsEngine reports whether this VM certainly still owns the engine under the fencing number. That is uncertain while the next
// decision of the claimer is overdue.
func (e *Entry) ownsEngine(engine string, fence int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	current, owned := e.claimer.Ownership(engine)
	return owned && current == fence && e.claimer.Fresh(e.timer.Now())
}

// recordOrder records that the engine may have accepted an order of this VM.
func (e *Entry) recordOrder(engine string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.claimer.RecordOrder(e.timer.Now(), engine)
}

// releaseToOtherVM releases an engine whose order count shows orders of another VM.
func (e *Entry) releaseToOtherVM(engine string) {
	e.mu.Lock()
	e.claimer.Release(engine)
	e.mu.Unlock()
	e.stopController(engine)
}

// stopController stops the controller of an engine, if there is one.
func (e *Entry) stopController(engine string) {
	e.mu.Lock()
	o := e.controllers[engine]
	delete(e.controllers, engine)
	e.mu.Unlock()
	if o != nil {
		e.requester.Remove(engine)
		o.cancel()
	}
}

func (e *Entry) stopAllControllers() {
	e.mu.Lock()
	all := make([]string, 0, len(e.controllers))
	for id := range e.controllers {
		all = append(all, id)
	}
	e.mu.Unlock()
	for _, id := range all {
		e.stopController(id)
	}
}

// replaceStaleControllers replaces the controllers of engines that restarted under the same ID.
func (e *Entry) replaceStaleControllers(ctx context.Context, engines map[string]fuchsiaspoke.Replica) {
	for id, r := range engines {
		e.mu.Lock()
		o := e.controllers[id]
		e.mu.Unlock()
		if o == nil || o.startedAtMs == r.StartedAtMs {
			continue
		}
		e.Log("engine restarted under the same ID", "engine", id, "born", r.StartedAtMs)
		e.stopController(id)
		e.startController(ctx, r)
	}
}

// logReachabilityChanges logs peers that became unreachable, and closes the links to them, and peers that are reachable again.
func (e *Entry) logReachabilityChanges(now time.Duration, peers []membership.Peer) {
	for _, p := range peers {
		id, unreachable := p.VM.ID, !p.Reachable
		if unreachable == e.peerUnreachable[id] {
			continue
		}
		e.peerUnreachable[id] = unreachable
		e.Log("VM silence changed", "peer", id, "silent", unreachable, "heard_ms_ago", (now - p.LastHeartbeat).Milliseconds())
		if unreachable {
			e.background.Go(func() { e.dialer.CloseVM(p.VM) })
		}
	}
}

// logDirectoryChanges logs and counts the VMs that directory responses no longer name, and those that they name again. Without a contact
// limit these are the ones of logReachabilityChanges.
func (e *Entry) logDirectoryChanges(now time.Duration, peers []membership.Peer) {
	if e.Bounds.ContactLimit == 0 {
		return
	}
	for _, p := range peers {
		if p.Failed == e.peerFailed[p.VM.ID] {
			continue
		}
		e.peerFailed[p.VM.ID] = p.Failed
		event := "directory_vm_restored"
		if p.Failed {
			event = "directory_vm_removed"
		}
		e.CountEvent(event)
		e.Log("directory changed", "peer", p.VM.ID, "zone", string(p.VM.Zone), "failed", p.Failed, "reachable", p.Reachable,
			"heard_ms_ago", (now - p.LastHeartbeat).Milliseconds())
	}
}
