package entry

import (
	"context"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/keeper"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/steward"
)

const (
	// tickTime is the time between two decisions about engines.
	tickTime = 100 * time.Millisecond
	// takeTime is what taking an engine needs beyond a lease: the lag of its report, a look, and a heartbeat that tells of it.
	takeTime = 1200 * time.Millisecond
	// lookTimeout bounds the question for an engine's count of orders.
	lookTimeout = 700 * time.Millisecond
)

// tick decides ten times a second for which engines this VM orders.
func (e *Entry) tick(ctx context.Context) {
	t := time.NewTicker(tickTime)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			e.dropAll()
			return
		case <-t.C:
			e.decide(ctx)
		}
	}
}

func (e *Entry) decide(ctx context.Context) {
	now := e.timer.Now()
	engines := e.engines()
	world := e.world(now, engines)
	e.mu.Lock()
	verdict := e.steward.Tick(now, world)
	e.mu.Unlock()
	for _, d := range verdict.Drop {
		e.Log("engine given up", "engine", d.Engine, "reason", d.Reason)
		e.end(d.Engine)
	}
	for _, id := range verdict.Take {
		e.take(ctx, engines[id])
	}
	for _, id := range verdict.Look {
		e.duties.Go(func() { e.look(ctx, engines[id]) })
	}
	e.restart(ctx, engines)
	e.peersLost(now)
}

// opensIn is how long it takes until engines are ordered for, if none is: a fresh VM listens, and watches for a lease.
func (e *Entry) opensIn() time.Duration {
	return max(e.roster.SettleTime()+e.steward.Lease+takeTime-e.timer.Now(), 0)
}

// engines are the replicas of engine services that take work.
func (e *Entry) engines() map[string]fuchsiaspoke.Replica {
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

func (e *Entry) world(now time.Duration, engines map[string]fuchsiaspoke.Replica) steward.World {
	settled := e.roster.SettleTime()
	w := steward.World{
		Self: e.VM.ID, Settled: now >= settled && e.Ready(), SettlesIn: max(settled-now, 0), Leaving: e.Leaving(), Claims: e.roster.Claims(),
		Revision: e.follower.Published().Revision, Others: e.expectsOthers(),
		Silence: e.roster.Silence(),
		Wall:    time.Duration(time.Now().UnixNano()),
	}
	for _, p := range e.roster.Peers(now) {
		w.Peers = append(w.Peers, steward.Peer{
			ID: p.State.VM.ID, Heard: p.Heard, Ready: p.State.Ready, Leaving: p.State.Leaving,
		})
	}
	for _, t := range e.roster.Told(now) {
		if t.ID != e.VM.ID {
			w.Peers = append(w.Peers, steward.Peer{ID: t.ID, Heard: t.Heard, Told: true})
		}
	}
	for id := range engines {
		w.Engines = append(w.Engines, id)
	}
	slices.Sort(w.Engines)
	return w
}

// expectsOthers reports whether the settings name other VMs.
func (e *Entry) expectsOthers() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.SeedBeats, func(a string) bool { return a != e.BeatAddress })
}

// look reads an engine's count of orders.
func (e *Entry) look(ctx context.Context, r fuchsiaspoke.Replica) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	asked := e.timer.Now()
	report, err := e.Platform.Replicas.Report(ctx, r)
	if err != nil {
		e.Log("engine not looked at", "engine", r.ID, "error", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steward.Looked(asked, r.ID, report.Replica.Born, report.Replica.Orders)
}

// take begins to order for an engine.
func (e *Entry) take(ctx context.Context, r fuchsiaspoke.Replica) {
	limits := e.follower.Published().Contract.Services[r.Service].Engine
	model := firstModel(limits)
	e.mu.Lock()
	defer e.mu.Unlock()
	fence, holds := e.steward.Holds(r.ID)
	if !holds {
		return
	}
	k := &keeper.Keeper{
		Replica: r, Model: model, Limits: *limits, Control: e.Platform.Replicas, Holder: e.VM.ID, Fence: fence,
		Clock: e.timer.Now, Log: e.Log,
		Holds:   func() bool { return e.holds(r.ID, fence) },
		Ordered: func() { e.ordered(r.ID) },
		Foreign: func() { e.foreign(r.ID) },
		Versions: func(adapter string) int64 {
			return e.follower.Published().AdapterVersion(model, adapter)
		},
	}
	inner, cancel := context.WithCancel(ctx)
	e.keepers[r.ID] = &held{keeper: k, cancel: cancel, born: r.Born}
	ended := k.Run(inner)
	e.duties.Go(func() { e.ended(<-ended) })
	e.broker.Add(r.ID, k)
	e.Log("engine taken", "engine", r.ID, "address", r.Address, "fence", fence, "born", r.Born)
}

func firstModel(limits *fuchsiaspoke.EngineLimits) string {
	first := ""
	for name := range limits.Models {
		if first == "" || name < first {
			first = name
		}
	}
	return first
}

// holds reports whether this VM surely still holds the engine; a late tick means that it may not.
func (e *Entry) holds(engine string, fence int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	current, holds := e.steward.Holds(engine)
	return holds && current == fence && e.steward.Fresh(e.timer.Now())
}

func (e *Entry) ordered(engine string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steward.Ordered(e.timer.Now(), engine)
}

func (e *Entry) foreign(engine string) {
	e.mu.Lock()
	e.steward.Release(engine)
	e.mu.Unlock()
	e.end(engine)
}

func (e *Entry) end(engine string) {
	e.mu.Lock()
	h := e.keepers[engine]
	delete(e.keepers, engine)
	e.mu.Unlock()
	if h != nil {
		e.broker.Remove(engine)
		h.cancel()
	}
}

func (e *Entry) dropAll() {
	e.mu.Lock()
	all := make([]string, 0, len(e.keepers))
	for id := range e.keepers {
		all = append(all, id)
	}
	e.mu.Unlock()
	for _, id := range all {
		e.end(id)
	}
}

// restart gives an engine that started anew under its id a fresh keeper.
func (e *Entry) restart(ctx context.Context, engines map[string]fuchsiaspoke.Replica) {
	for id, r := range engines {
		e.mu.Lock()
		h := e.keepers[id]
		e.mu.Unlock()
		if h == nil || h.born == r.Born {
			continue
		}
		e.Log("engine started anew", "engine", id, "born", r.Born)
		e.end(id)
		e.take(ctx, r)
	}
}

// peersLost tells of VMs that fell silent, and of those that came back.
func (e *Entry) peersLost(now time.Duration) {
	quiet := e.roster.Silence()
	for _, p := range e.roster.Peers(now) {
		silent := now-p.Heard > quiet
		if silent != e.seenPeer[p.State.VM.ID] {
			e.seenPeer[p.State.VM.ID] = silent
			e.Log("VM silence changed", "peer", p.State.VM.ID, "silent", silent, "heard_ms_ago", (now - p.Heard).Milliseconds())
		}
	}
}
