// Package asserter checks invariants inside the running program.
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

// Asserter counts violations of invariants and puts them on the time line; its zero value only counts, and several
// goroutines may use it.
type Asserter struct {
	// Stop is called with each violation; tests set it to panic, production leaves it nil.
	Stop func(violation string)
	// Recorder gets an event for the first, second, fourth, eighth and so on violation of each invariant.
	Recorder recorder
	// Meter counts the violations by name.
	Meter meter

	mu     sync.Mutex
	counts map[string]int64
}

// Assert does nothing if ok; otherwise it counts a violation of the named invariant, records it and calls Stop.
func (a *Asserter) Assert(ok bool, name, detail string) {
	if ok {
		return
	}
	count := a.count(name)
	if a.Meter != nil {
		a.Meter.InvariantViolation(name)
	}
	// An invariant broken in a loop must not push everything else off the time line.
	if a.Recorder != nil && count&(count-1) == 0 {
		a.Recorder.Record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventViolation, Detail: name + ": " + detail, Tokens: count})
	}
	if a.Stop != nil {
		a.Stop(name + ": " + detail)
	}
}

// Violations returns the number of violations of the named invariant.
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
