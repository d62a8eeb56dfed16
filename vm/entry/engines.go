package entry

import (
	"context"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/controller"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/claimer"
)

const (
	// holdingInterval is the time between two decisions about which engines this VM holds.
	holdingInterval = 100 * time.Millisecond
	// takeoverTime is how long taking over an engine takes beyond a lease: the lag of the engine's report, the read of its order
	// count, and the heartbeat that announces the new holder.
	takeoverTime = 1200 * time.Millisecond
	// reportTimeout bounds the read of an engine's order count.
	reportTimeout = 700 * time.Millisecond
)

// manageEngines updates which engines this VM holds, ten times a second until the context ends. The holder of an engine is the
// one VM that sends its load and unload orders and admits requests to it.
func (e *Entry) manageEngines(ctx context.Context) {
	t := time.NewTicker(holdingInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			e.stopAllKeepers()
			return
		case <-t.C:
			e.updateHoldings(ctx)
		}
	}
}

// updateHoldings takes and releases engines as the steward decides.
func (e *Entry) updateHoldings(ctx context.Context) {
	now := e.timer.Now()
	engines := e.readyEngines()
	input := e.stewardInput(now, engines)
	e.mu.Lock()
	verdict := e.steward.Tick(now, input)
	e.mu.Unlock()
	for _, d := range verdict.Release {
		e.Log("engine given up", "engine", d.Engine, "reason", d.Reason)
		e.stopKeeper(d.Engine)
	}
	for _, id := range verdict.Claim {
		e.startKeeper(ctx, engines[id])
	}
	for _, id := range verdict.Poll {
		e.background.Go(func() { e.readOrderCount(ctx, engines[id]) })
	}
	e.replaceRestarted(ctx, engines)
	e.logSilenceChanges(now)
}

// enginesHeldIn estimates how long it takes until engines have holders if none has one: a VM that starts first listens for
// heartbeats, and then watches the order count for the length of a lease.
func (e *Entry) enginesHeldIn() time.Duration {
	return max(e.roster.SettleTime()+e.steward.Lease+takeoverTime-e.timer.Now(), 0)
}

// readyEngines returns the ready replicas of engine services by ID.
func (e *Entry) readyEngines() map[string]fuchsiaspoke.Replica {
	p := e.follower.Published()
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

// stewardInput collects what the steward decides by: this VM's state, its peers, their claims and the engines.
func (e *Entry) stewardInput(now time.Duration, engines map[string]fuchsiaspoke.Replica) claimer.FleetView {
	settled := e.roster.SettleTime()
	w := claimer.FleetView{
		Self: e.VM.ID, Settled: now >= settled && e.Ready(), SettlesIn: max(settled-now, 0), Leaving: e.Leaving(), Claims: e.roster.Claims(),
		Revision: e.follower.Published().Revision, ExpectsPeers: e.hasOtherSeeds(),
		PeerTimeout: e.roster.PeerTimeout(),
		WallClock:   time.Duration(time.Now().UnixNano()),
	}
	for _, p := range e.roster.Peers(now) {
		w.Peers = append(w.Peers, claimer.Peer{
			ID: p.State.VM.ID, LastHeartbeat: p.LastHeartbeat, Ready: p.State.Ready, Leaving: p.State.Leaving,
		})
	}
	for _, t := range e.roster.IndirectPeers(now) {
		if t.ID != e.VM.ID {
			w.Peers = append(w.Peers, claimer.Peer{ID: t.ID, LastHeartbeat: t.LastHeartbeat, Indirect: true})
		}
	}
	for id := range engines {
		w.Engines = append(w.Engines, id)
	}
	slices.Sort(w.Engines)
	return w
}

// hasOtherSeeds reports whether the seed addresses include another VM.
func (e *Entry) hasOtherSeeds() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.SeedBeats, func(a string) bool { return a != e.BeatAddress })
}

// readOrderCount reads how many orders an engine has accepted and passes the count to the steward.
func (e *Entry) readOrderCount(ctx context.Context, r fuchsiaspoke.Replica) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked := e.timer.Now()
	report, err := e.Platform.Replicas.Report(ctx, r)
	if err != nil {
		e.Log("reading the engine's order count failed", "engine", r.ID, "error", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steward.RecordOrderCount(asked, r.ID, report.Replica.StartedAtMs, report.Replica.OrderCount)
}

// startKeeper starts the keeper of an engine that this VM holds.
func (e *Entry) startKeeper(ctx context.Context, r fuchsiaspoke.Replica) {
	limits := e.follower.Published().Contract.Services[r.Service].Engine
	model := firstModel(limits)
	e.mu.Lock()
	defer e.mu.Unlock()
	fence, holds := e.steward.Ownership(r.ID)
	if !holds {
		return
	}
	k := &controller.Controller{
		Replica: r, Model: model, Limits: *limits, Engine: e.Platform.Replicas, Owner: e.VM.ID, Fence: fence,
		Clock: e.timer.Now, Log: e.Log,
		Owns:           func() bool { return e.holdsEngine(r.ID, fence) },
		OnOrder:        func() { e.recordOrder(r.ID) },
		OnForeignOrder: func() { e.releaseToOtherVM(r.ID) },
		LatestVersion: func(adapter string) int64 {
			return e.follower.Published().AdapterVersion(model, adapter)
		},
	}
	keeperCtx, cancel := context.WithCancel(ctx)
	e.keepers[r.ID] = &heldEngine{keeper: k, cancel: cancel, born: r.StartedAtMs}
	ended := k.Run(keeperCtx)
	e.background.Go(func() { e.logFailure(<-ended) })
	e.broker.Add(r.ID, k)
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

// holdsEngine reports whether this VM certainly still holds the engine under the fencing number. After a delayed decision it
// may not.
func (e *Entry) holdsEngine(engine string, fence int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	current, holds := e.steward.Ownership(engine)
	return holds && current == fence && e.steward.Fresh(e.timer.Now())
}

// recordOrder notes that the engine may have accepted an order of this VM.
func (e *Entry) recordOrder(engine string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steward.RecordOrder(e.timer.Now(), engine)
}

// releaseToOtherVM releases an engine that another VM was seen to order.
func (e *Entry) releaseToOtherVM(engine string) {
	e.mu.Lock()
	e.steward.Release(engine)
	e.mu.Unlock()
	e.stopKeeper(engine)
}

// stopKeeper stops the keeper of an engine, if there is one.
func (e *Entry) stopKeeper(engine string) {
	e.mu.Lock()
	h := e.keepers[engine]
	delete(e.keepers, engine)
	e.mu.Unlock()
	if h != nil {
		e.broker.Remove(engine)
		h.cancel()
	}
}

func (e *Entry) stopAllKeepers() {
	e.mu.Lock()
	all := make([]string, 0, len(e.keepers))
	for id := range e.keepers {
		all = append(all, id)
	}
	e.mu.Unlock()
	for _, id := range all {
		e.stopKeeper(id)
	}
}

// replaceRestarted replaces the keepers of engines that restarted under the same ID.
func (e *Entry) replaceRestarted(ctx context.Context, engines map[string]fuchsiaspoke.Replica) {
	for id, r := range engines {
		e.mu.Lock()
		h := e.keepers[id]
		e.mu.Unlock()
		if h == nil || h.born == r.StartedAtMs {
			continue
		}
		e.Log("engine restarted under the same ID", "engine", id, "born", r.StartedAtMs)
		e.stopKeeper(id)
		e.startKeeper(ctx, r)
	}
}

// logSilenceChanges logs peers whose heartbeats stopped arriving in time, and peers whose heartbeats resumed.
func (e *Entry) logSilenceChanges(now time.Duration) {
	silenceLimit := e.roster.PeerTimeout()
	for _, p := range e.roster.Peers(now) {
		silent := now-p.LastHeartbeat > silenceLimit
		if silent != e.peerSilent[p.State.VM.ID] {
			e.peerSilent[p.State.VM.ID] = silent
			e.Log("VM silence changed", "peer", p.State.VM.ID, "silent", silent, "heard_ms_ago", (now - p.LastHeartbeat).Milliseconds())
		}
	}
}
