// Package selector picks the engine for a generation.
//
// It serves many adapters with few adapter slots: rendezvous hashing ranks the engines for each adapter, so that the adapter is
// loaded on one engine, where its prompt prefixes are cached. Another engine is chosen only where it saves more than the cost
// of another load.
package selector

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

const (
	// maxPreferredEngines is the number of highest-ranked engines for an adapter. Any other engine costs slotHoldTime more,
	// unless the adapter is resident there.
	maxPreferredEngines = 4
	// warmLoadCost and coldLoadCost are added to the wait at an engine that has to load the adapter: warmLoadCost at the
	// first-ranked engine if it has a view, coldLoadCost at any other.
	warmLoadCost = 90 * time.Millisecond
	coldLoadCost = 270 * time.Millisecond
	// remainingLoadTime is the average time until a load in progress is complete.
	remainingLoadTime = 130 * time.Millisecond
	// rankCost is added for each rank below the first if the engine has to load the adapter, so that an adapter is loaded on
	// several engines only under load.
	rankCost = 120 * time.Millisecond
	// slotHoldTime is the assumed time for which an adapter in use occupies its slot: the median duration of a stream under load.
	slotHoldTime = 2000 * time.Millisecond
	// defaultPrefillTokensPerMs is the assumed prefill rate of an engine without a view, in tokens per millisecond.
	defaultPrefillTokensPerMs = 36.0
	// unknownStateCost is added to the wait at an engine without a view.
	unknownStateCost = 150 * time.Millisecond
	// switchMargin is added to the estimated wait at the next engine to get the longest wait that an engine may predict. The
	// prediction includes the delay of the first event after prefill, the estimate does not.
	switchMargin = 160 * time.Millisecond
	// firstStepTime is the time from the end of prefill to the first event at an engine of the usual speed.
	firstStepTime = 60 * time.Millisecond
	// backlogBeyondShareDivisor divides the backlog beyond others' shares in the estimate for an account within its share. The request does
	// not wait for it, but if none of it counted, engines with less of it could stay idle.
	backlogBeyondShareDivisor = 24
	// backlogBeyondShareFactor multiplies that backlog in the estimate for an account beyond its share, since it is served only from what
	// the others leave.
	backlogBeyondShareFactor = 4
	// failingCost is added to the wait at an engine that failed recently.
	failingCost = 1500 * time.Millisecond
)

// Candidate is one engine that could take a request.
type Candidate struct {
	Replica fuchsiaspoke.Replica
	// View is the latest state published by the engine's owner; nil if there is none.
	View *fuchsiaspoke.EngineView
	// ViewAge is how long ago View was received.
	ViewAge time.Duration
	// Failing means that the engine failed recently.
	Failing bool
	// WorkStep is how long work takes at the engine, as its owner published last.
	WorkStep fuchsiaspoke.WorkStep
}

// Selector ranks engines by their estimated wait; its zero value is ready to use.
type Selector struct {
	// Slots is the number of adapter slots of one engine; 0 ignores busy slots.
	Slots int
	// LatestVersion is the newest announced version of the adapter; 0 if none was announced. An engine that holds an older one has to load it.
	LatestVersion int64
	// WithinShare means that fair queueing is active and the request's client account is served less than its share, so that it does not
	// wait for what is beyond the shares of others.
	WithinShare bool
}

// Choice is one engine with its estimated wait: adapter load, prompt backlog and prefill, plus the costs of a failing or unknown
// engine.
type Choice struct {
	Replica       fuchsiaspoke.Replica
	EstimatedWait time.Duration
	// Resident means that the adapter was resident in the last known state of the engine, in its latest version.
	Resident bool
	// Loading means that it was loading in that state; the load completes even if the engine has no owner any more.
	Loading bool
	// Accepting means that the engine has an owner, which accepts admission requests for it.
	Accepting bool
	// Owner is the engine's owner if a hub reported it.
	Owner fuchsiaspoke.VM
	// BacklogTokens, PrefillTokensPerMs and ViewAge are the backlog, the prefill rate and the age of the view by which the wait was
	// estimated; 0 if this VM has no view, as on a leaf.
	BacklogTokens      int64
	PrefillTokensPerMs float64
	ViewAge            time.Duration
	// FairQueueing means that fair queueing between client accounts is active for the service, so that the engine's owner is told the
	// account.
	FairQueueing bool
}

// Select returns a choice for each candidate, shortest estimated wait first.
func (s Selector) Select(d fuchsiaspoke.Demand, candidates []Candidate) []Choice {
	ranked := candidates
	if d.Adapter != "" {
		ranked = ranker.RankByWeight(d.Adapter, candidates,
			func(c Candidate) string { return c.Replica.ID }, func(c Candidate) float64 { return 1 / c.WorkStep.Factor() })
	}
	choices := make([]Choice, 0, len(ranked))
	for rank, c := range ranked {
		choice := s.evaluate(d, c, rank)
		if d.Adapter != "" && rank >= maxPreferredEngines && !choice.Resident {
			choice.EstimatedWait += slotHoldTime
		}
		choices = append(choices, choice)
	}
	slices.SortStableFunc(choices, func(a, b Choice) int { return cmp.Compare(a.EstimatedWait, b.EstimatedWait) })
	return choices
}

// evaluate estimates the wait at one engine; rank is its position in the order of engines for the adapter, from zero.
func (s Selector) evaluate(d fuchsiaspoke.Demand, c Candidate, rank int) Choice {
	choice := Choice{Replica: c.Replica}
	factor := c.WorkStep.Factor()
	prefillTokensPerMs, backlogTokens := defaultPrefillTokensPerMs/factor, int64(0)
	if c.View != nil {
		choice.Accepting = c.View.Accepting
		backlogTokens = s.fairBacklog(*c.View)
		prefillTokensPerMs = max(c.View.PrefillTokensPerMs, 1)
		choice.BacklogTokens, choice.PrefillTokensPerMs, choice.ViewAge = backlogTokens, prefillTokensPerMs, c.ViewAge
	} else {
		choice.EstimatedWait += unknownStateCost
	}
	if c.Failing {
		choice.EstimatedWait += failingCost
	}
	promptTokens := d.PromptTokens
	if d.Adapter != "" {
		choice.Resident, choice.Loading = s.adapterState(d, c)
		choice.EstimatedWait += s.adapterWait(c, rank, choice, factor)
		if choice.Resident {
			promptTokens = lastPartTokens(d)
		}
	}
	choice.EstimatedWait += time.Duration(float64(backlogTokens+promptTokens) / prefillTokensPerMs * float64(time.Millisecond))
	// The first event needs one engine step more, which is the same everywhere but for the engine's speed.
	choice.EstimatedWait += scaled(firstStepTime, factor-1)
	return choice
}

// fairBacklog returns the backlog that counts for the request where fair queueing is active, and else the whole backlog.
func (s Selector) fairBacklog(v fuchsiaspoke.EngineView) int64 {
	beyondShares := v.BacklogTokens - v.FairBacklogTokens
	switch {
	case v.FairBacklogTokens == 0:
		return v.BacklogTokens
	case s.WithinShare:
		return v.FairBacklogTokens + beyondShares/backlogBeyondShareDivisor
	}
	return v.FairBacklogTokens + beyondShares*backlogBeyondShareFactor
}

// adapterState reports whether the adapter was resident or loading in the last known state of the engine, in its latest version as far as
// that is known.
func (s Selector) adapterState(d fuchsiaspoke.Demand, c Candidate) (resident, loading bool) {
	matches := func(a fuchsiaspoke.Adapter) bool {
		return a.Name == d.Adapter && (a.Version == 0 || a.Version >= s.LatestVersion)
	}
	if c.View != nil {
		return slices.ContainsFunc(c.View.Resident, matches), slices.ContainsFunc(c.View.Loading, matches)
	}
	for _, m := range c.Replica.Models {
		if m.Name == d.Model && slices.ContainsFunc(m.Adapters, matches) {
			return true, false
		}
	}
	return false, false
}

// scaled returns the time that work of the given usual time takes.
func scaled(usual time.Duration, factor float64) time.Duration {
	return time.Duration(float64(usual) * factor)
}

// adapterWait estimates the time until the adapter is resident on the engine, where work takes factor times the usual, plus rankCost for
// each rank below the first. If all adapter slots are busy, it adds the estimated time until one is released, with one release every
// slotHoldTime/Slots on average.
func (s Selector) adapterWait(c Candidate, rank int, choice Choice, factor float64) time.Duration {
	switch {
	case choice.Resident:
		return 0
	case choice.Loading:
		return scaled(remainingLoadTime, factor)
	case c.View == nil:
		return scaled(coldLoadCost, factor) + time.Duration(rank)*rankCost
	}
	wait := scaled(warmLoadCost, factor)
	if rank > 0 {
		wait = scaled(coldLoadCost, factor) + time.Duration(rank)*rankCost
	}
	if excess := c.View.BusySlots - s.Slots; excess >= 0 && s.Slots > 0 {
		wait += slotHoldTime * time.Duration(excess+2) / time.Duration(s.Slots)
	}
	return wait
}

// MaxWait returns the longest predicted wait at which the choice at index is still preferred to the next accepting choice, and to
// an engine that declined the request with declinedWait as its predicted wait. A declinedWait of 0 means that none declined, and a
// result of 0 that there is no limit.
//
// Views are up to one heartbeat old, so the queue of an engine may have grown since. The engine then declines the request, and the
// next engine is tried.
func MaxWait(choices []Choice, index int, declinedWait time.Duration) time.Duration {
	maxWait := declinedWait
	for _, c := range choices[index+1:] {
		if !c.Accepting {
			continue
		}
		if next := c.EstimatedWait + switchMargin; maxWait == 0 || next < maxWait {
			maxWait = next
		}
		break
	}
	return maxWait
}

// lastPartTokens returns the tokens of the last prompt part, which is assumed to be the only one not in the prefix cache.
func lastPartTokens(d fuchsiaspoke.Demand) int64 {
	if len(d.Parts) == 0 {
		return d.PromptTokens
	}
	return d.Parts[len(d.Parts)-1].Tokens
}
