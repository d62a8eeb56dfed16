// Package selector picks the engine for a generation.
//
// It answers a long tail of adapters over few places: each adapter has a home by rendezvous hashing, so that it is fetched
// once and its prompts are read once, and moves on only where the home's wait costs more than another fetch.
package selector

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/ranker"
)

const (
	// maxHomes is how many engines an adapter may spread to by its hash.
	maxHomes = 4
	// warmFetch and coldFetch are what a fetch adds to the wait at the first home, and at another.
	warmFetch = 90 * time.Millisecond
	coldFetch = 270 * time.Millisecond
	// comingFetch is what is left on average of a fetch under way.
	comingFetch = 130 * time.Millisecond
	// spread is what each further home must save, so that copies are made for load alone.
	spread = 120 * time.Millisecond
	// placeTurn is how long an adapter in use keeps its place; the median stream under load.
	placeTurn = 2000 * time.Millisecond
	// defaultSpeed is the reading speed of an engine that nobody told of, in tokens a millisecond.
	defaultSpeed = 36.0
	// unknownWait is what an engine costs whose state nobody tells.
	unknownWait = 150 * time.Millisecond
	// moveCost is what another engine must save over one that answers, beyond the first event that predictions of engines
	// include.
	moveCost = 160 * time.Millisecond
	// failingWait is what an engine costs that failed lately.
	failingWait = 1500 * time.Millisecond
)

// Candidate is one engine that could take a request.
type Candidate struct {
	Replica fuchsiaspoke.Replica
	// View is nil where no VM tells of the engine.
	View *fuchsiaspoke.EngineView
	// Failing engines failed lately.
	Failing bool
}

// Selector compares engines; its zero value is ready.
type Selector struct {
	// Slots is the number of adapters that one engine holds.
	Slots int
}

// Choice is one engine with its predicted time to the first event.
type Choice struct {
	Replica fuchsiaspoke.Replica
	Wait    time.Duration
	// Resident says that the engine held the adapter when it was last told of.
	Resident bool
	// Coming says that the adapter was on its way then; it arrives also where nobody orders for the engine any more.
	Coming bool
	// Open says that a VM orders for the engine.
	Open bool
}

// Select returns the engines that may take the demand, best first.
func (s Selector) Select(d fuchsiaspoke.Demand, candidates []Candidate) []Choice {
	ranked := candidates
	if d.Adapter != "" {
		ranked = ranker.Sort(d.Adapter, candidates, func(c Candidate) string { return c.Replica.ID })
	}
	choices := make([]Choice, 0, len(ranked))
	for rank, c := range ranked {
		choice := s.judge(d, c, rank)
		if d.Adapter != "" && rank >= maxHomes && !choice.Resident {
			choice.Wait += placeTurn
		}
		choices = append(choices, choice)
	}
	slices.SortStableFunc(choices, func(a, b Choice) int { return cmp.Compare(a.Wait, b.Wait) })
	return choices
}

func (s Selector) judge(d fuchsiaspoke.Demand, c Candidate, rank int) Choice {
	choice := Choice{Replica: c.Replica}
	speed, backlog := defaultSpeed, int64(0)
	if c.View != nil {
		choice.Open = c.View.Open
		backlog = c.View.Backlog
		speed = max(c.View.Speed, 1)
	} else {
		choice.Wait += unknownWait
	}
	if c.Failing {
		choice.Wait += failingWait
	}
	unread := d.PromptTokens
	if d.Adapter != "" {
		choice.Resident, choice.Coming = state(d, c)
		choice.Wait += s.fetch(c, rank, choice)
		if choice.Resident {
			unread = unsharedTokens(d)
		}
	}
	choice.Wait += time.Duration(float64(backlog+unread) / speed * float64(time.Millisecond))
	return choice
}

// state reports whether the engine held the adapter, or was loading it, when it was last told of.
func state(d fuchsiaspoke.Demand, c Candidate) (resident, coming bool) {
	named := func(a fuchsiaspoke.Adapter) bool { return a.Name == d.Adapter }
	if c.View != nil {
		return slices.ContainsFunc(c.View.Resident, named), slices.ContainsFunc(c.View.Coming, named)
	}
	for _, m := range c.Replica.Held {
		if m.Name == d.Model && slices.ContainsFunc(m.Adapters, named) {
			return true, false
		}
	}
	return false, false
}

// fetch estimates the wait for the adapter.
func (s Selector) fetch(c Candidate, rank int, choice Choice) time.Duration {
	switch {
	case choice.Resident:
		return 0
	case choice.Coming:
		return comingFetch
	case c.View == nil:
		return coldFetch + time.Duration(rank)*spread
	}
	wait := warmFetch
	if rank > 0 {
		wait = coldFetch + time.Duration(rank)*spread
	}
	if over := c.View.BusyPlaces - s.Slots; over >= 0 && s.Slots > 0 {
		wait += placeTurn * time.Duration(over+2) / time.Duration(s.Slots)
	}
	return wait
}

// Limit returns the longest wait with which the choice at an index is better than those behind it, as far as is known here,
// and than the best wait that an engine answered; 0 is any.
//
// It answers views that are as old as a heartbeat: engines that filled up meanwhile say so, and the next one is asked.
func Limit(choices []Choice, at int, answered time.Duration) time.Duration {
	limit := answered
	for _, c := range choices[at+1:] {
		if !c.Open {
			continue
		}
		if next := c.Wait + moveCost; limit == 0 || next < limit {
			limit = next
		}
		break
	}
	return limit
}

// unsharedTokens is the last part of a prompt, which no other request has read yet.
func unsharedTokens(d fuchsiaspoke.Demand) int64 {
	if len(d.Parts) == 0 {
		return d.PromptTokens
	}
	return d.Parts[len(d.Parts)-1].Tokens
}
