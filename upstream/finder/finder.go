// Package finder finds the engines that can take a request earliest. A hub ranks them by what their owners report; a leaf, which
// receives no such reports, asks a hub.
package finder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/requester"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/selector"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/tracker"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// MethodRank is the link method by which a leaf asks a hub to rank engines.
	MethodRank = "engine.rank"
	// rankTimeout bounds one call of MethodRank; a hub of the same availability zone answers within a few milliseconds.
	rankTimeout = 250 * time.Millisecond
	// maxRankedEngines is the number of engines in a reply, more than are asked for one request.
	maxRankedEngines = 6
)

type dialer interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
}

// Finder ranks engines. All fields must be set before the first call, except Hubs, which is nil on a VM that never asks.
type Finder struct {
	Published func() *fuchsiaspoke.PublishedState
	Requester *requester.Requester
	Tracker   *tracker.Tracker
	Clock     func() time.Duration
	Dialer    dialer
	// Hubs returns the hubs to ask, the preferred one first, and none on a hub.
	Hubs func() []fuchsiaspoke.VM
	Log  func(event string, keysAndValues ...any)
	// Regions holds the region of each availability zone.
	Regions map[fuchsiaspoke.Zone]fuchsiaspoke.Region
	// Shares are the shares of client accounts in the engines; nil if there is no fair queueing.
	Shares shares

	steps workSteps
	mu    sync.Mutex
	// fairServices are the services for which a hub last reported that fair queueing is active.
	fairServices map[string]bool
}

type shares interface {
	// Active reports whether fair queueing is active for a service, and WithinShare whether it is and an account is served less than
	// its share.
	Active(service string) bool
	WithinShare(now time.Duration, service, account string) bool
}

// Find returns the service's ready engines in the regions, any if nil, that were not tried yet, shortest estimated wait first. A leaf gets
// the best few of them from a hub, and ranks all of them by itself if no hub answers.
//
// The account matters only where fair queueing is active.
func (f *Finder) Find(
	ctx context.Context, service, account string, d fuchsiaspoke.Demand, tried map[string]bool, regions []fuchsiaspoke.Region,
) []selector.Choice {
	if f.Hubs != nil {
		for _, hub := range f.Hubs() {
			if choices, err := f.ask(ctx, hub, service, account, d, tried, regions); err == nil {
				return choices
			}
		}
	}
	excluded := func(r fuchsiaspoke.Replica) bool { return tried[r.ID] || !f.inRegions(r, regions) }
	return f.rank(service, account, d, excluded, func(string) bool { return false })
}

// inRegions reports whether the replica is in one of the regions; nil stands for all.
func (f *Finder) inRegions(r fuchsiaspoke.Replica, regions []fuchsiaspoke.Region) bool {
	return fuchsiaspoke.RegionAllowed(regions, f.Regions[r.Zone])
}

// rank ranks engines by the views that this VM has. Views that describe an earlier start of an engine are not used.
func (f *Finder) rank(
	service, account string, d fuchsiaspoke.Demand, excluded func(fuchsiaspoke.Replica) bool, failing func(engine string) bool,
) []selector.Choice {
	p := f.Published()
	if p.Contract == nil || p.Contract.Services[service].Engine == nil {
		return nil
	}
	now := f.Clock()
	var candidates []selector.Candidate
	for _, r := range p.ReadyReplicas(service) {
		if excluded(r) {
			continue
		}
		c := selector.Candidate{Replica: r, Failing: f.Tracker.Failing(now, r.ID) || failing(r.ID)}
		if view, at, known := f.Requester.View(r.ID); known && (view.Engine.StartedAtMs == r.StartedAtMs || r.StartedAtMs == 0) {
			c.View, c.ViewAge = &view, max(now-at, 0)
		}
		c.WorkStep = f.steps.latest(r.Incarnation(), c.View, len(p.Replicas))
		candidates = append(candidates, c)
	}
	s := selector.Selector{
		Slots: p.Contract.Services[service].Engine.AdapterSlots, LatestVersion: p.AdapterVersion(d.Model, d.Adapter),
	}
	if f.Shares == nil || !f.Shares.Active(service) {
		return s.Select(d, candidates)
	}
	s.WithinShare = f.Shares.WithinShare(now, service, account)
	choices := s.Select(d, candidates)
	for i := range choices {
		choices[i].FairQueueing = true
	}
	return choices
}

// ask has a hub rank the engines. Engines that this VM doesn't know as ready are left out.
func (f *Finder) ask(
	ctx context.Context, hub fuchsiaspoke.VM, service, account string, d fuchsiaspoke.Demand, tried map[string]bool,
	regions []fuchsiaspoke.Region,
) ([]selector.Choice, error) {
	ctx, cancel := context.WithTimeout(ctx, rankTimeout)
	defer cancel()
	now, p := f.Clock(), f.Published()
	query := fuchsiaspoke.RankQuery{Service: service, Demand: d, Evacuated: p.EvacuatedZones(), Regions: regions}
	if f.isFair(service) {
		query.Account = account
	}
	ready := make(map[string]fuchsiaspoke.Replica)
	for _, r := range p.ReadyReplicas(service) {
		if !f.inRegions(r, regions) {
			continue
		}
		switch {
		case tried[r.ID]:
			query.Excluded = append(query.Excluded, r.ID)
		case f.Tracker.Failing(now, r.ID):
			query.Failing = append(query.Failing, r.ID)
		}
		ready[r.ID] = r
	}
	if regions != nil && len(ready) == 0 {
		return nil, nil
	}
	var reply fuchsiaspoke.RankReply
	err := f.Dialer.Call(ctx, hub, MethodRank, query, func(raw cbor.RawMessage) error { return cbor.Unmarshal(raw, &reply) })
	if err != nil {
		f.Log("hub did not rank engines", "hub", hub.ID, "service", service, "error", err.Error())
		return nil, err
	}
	f.setFair(service, reply.FairQueueing)
	choices := make([]selector.Choice, 0, len(reply.Engines))
	for _, e := range reply.Engines {
		r, known := ready[e.Engine]
		if !known {
			continue
		}
		choices = append(choices, selector.Choice{
			Replica: r, EstimatedWait: e.EstimatedWait, Resident: e.Resident, Loading: e.Loading, Accepting: e.Accepting,
			Owner: e.Owner, FairQueueing: reply.FairQueueing,
		})
	}
	return choices, nil
}

// isFair reports whether a hub last reported that fair queueing is active for the service.
func (f *Finder) isFair(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fairServices[service]
}

func (f *Finder) setFair(service string, fair bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fairServices == nil {
		f.fairServices = make(map[string]bool)
	}
	f.fairServices[service] = fair
}

// Serve handles MethodRank calls of leaves.
func (f *Finder) Serve(_ context.Context, _ string, request frame.Frame, send func(any) error) error {
	var q fuchsiaspoke.RankQuery
	if err := cbor.Unmarshal(request.Body, &q); err != nil {
		return errors.Wrap(err, "decode rank query")
	}
	excluded := func(r fuchsiaspoke.Replica) bool {
		return slices.Contains(q.Excluded, r.ID) || slices.Contains(q.Evacuated, r.Zone) || !f.inRegions(r, q.Regions)
	}
	choices := f.rank(q.Service, q.Account, q.Demand, excluded, func(id string) bool { return slices.Contains(q.Failing, id) })
	var reply fuchsiaspoke.RankReply
	reply.FairQueueing = len(choices) > 0 && choices[0].FairQueueing
	for _, c := range choices[:min(len(choices), maxRankedEngines)] {
		owner, _ := f.Requester.Owner(c.Replica.ID)
		reply.Engines = append(reply.Engines, fuchsiaspoke.RankedEngine{
			Engine: c.Replica.ID, EstimatedWait: c.EstimatedWait, Resident: c.Resident, Loading: c.Loading, Accepting: c.Accepting,
			Owner: owner,
		})
	}
	return send(reply)
}
