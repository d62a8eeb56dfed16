// Package asserter checks invariants at run time.
package asserter

import (
	"sync"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

type recorder interface {
	Record(e fuchsiaspoke.Event)
}

type meter interface {
	InvariantViolation(name string)
}

// Asserter counts invariant violations and records them on the event timeline. Its zero value only counts. It is safe for
// concurrent use.
type Asserter struct {
	// OnViolation, if set, is called with the name and detail of each violation after it was counted and recorded. The setting
	// invariants=stop makes it panic, which ends the process.
	OnViolation func(violation string)
	// Recorder receives an event when the number of violations of an invariant reaches a power of two.
	Recorder recorder
	// Meter counts violations by invariant name.
	Meter meter

	mu     sync.Mutex
	counts map[string]int64
}

// Assert does nothing if ok is true; otherwise it counts a violation of the named invariant, records it and calls OnViolation.
func (a *Asserter) Assert(ok bool, name, detail string) {
	if ok {
		return
	}
	count := a.count(name)
	if a.Meter != nil {
		a.Meter.InvariantViolation(name)
	}
	// Recording at powers of two keeps an invariant violated in a loop from evicting all other events from the timeline.
	if a.Recorder != nil && count&(count-1) == 0 {
		a.Recorder.Record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventViolation, Detail: name + ": " + detail, Tokens: count})
	}
	if a.OnViolation != nil {
		a.OnViolation(name + ": " + detail)
	}
}

// Violations returns how often the named invariant was violated.
func (a *Asserter) Violations(name string) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts[name]
}

func (a *Asserter) count(name string) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.counts == nil {
		a.counts = map[string]int64{}
	}
	a.counts[name]++
	return a.counts[name]
}
