package rampdetector_test

import (
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/rampdetector"
)

const (
	service = "desk"
	update  = 100 * time.Millisecond
)

// recorder counts the calls of a detector.
type recorder struct{ begun, ended, observed int }

func (r *recorder) BeginRamp(fuchsiaspoke.Replica) { r.begun++ }

func (r *recorder) EndRamp(fuchsiaspoke.Replica) { r.ended++ }

func (r *recorder) ObserveRamp(fuchsiaspoke.Replica, fuchsiaspoke.RampOutcome) { r.observed++ }

func (r *recorder) ObserveRoom(fuchsiaspoke.Replica, fuchsiaspoke.RampOutcome) {}

func (r *recorder) any() bool { return r.begun+r.ended+r.observed > 0 }

type fixture struct {
	*rampdetector.RampDetector
	limits recorder
	state  fuchsiaspoke.PublishedState
	events int
	now    time.Duration
}

func newFixture(s fuchsiaspoke.Service) *fixture {
	f := &fixture{state: fuchsiaspoke.PublishedState{
		Contract: &fuchsiaspoke.Contract{Services: map[string]fuchsiaspoke.Service{service: s}},
	}}
	note := func(string) { f.events++ }
	f.RampDetector = &rampdetector.RampDetector{
		Published: func() *fuchsiaspoke.PublishedState { return &f.state }, Limits: &f.limits, Log: func(event string, _ ...any) { note(event) }, Count: note,
	}
	f.put(replica("a", 1, fuchsiaspoke.ReplicaReady))
	return f
}

func replica(id string, startedAt int64, state fuchsiaspoke.ReplicaState) fuchsiaspoke.Replica {
	return fuchsiaspoke.Replica{ID: id, Service: service, StartedAtMs: startedAt, State: state}
}

func (f *fixture) put(r fuchsiaspoke.Replica) bool {
	next := map[string]fuchsiaspoke.Replica{r.ID: r}
	for id, one := range f.state.Replicas {
		if id != r.ID {
			next[id] = one
		}
	}
	f.state.Replicas = next
	f.now += update
	return f.Update(f.now)
}

func (f *fixture) answer(load *fuchsiaspoke.ReplicaLoad) {
	f.Observe(f.state.Replicas["a"], fuchsiaspoke.RampOutcome{SentAt: f.now, Took: time.Millisecond}, load)
}

var (
	warm       = fuchsiaspoke.Service{WarmUp: fuchsiaspoke.WarmUp{Length: 9 * time.Second}}
	fourth     = &fuchsiaspoke.ReplicaLoad{Slots: 6, WorkPercent: 100, HasWorkPercent: true}
	onlyThree  = &fuchsiaspoke.ReplicaLoad{Slots: 6}
	withEngine = fuchsiaspoke.Service{WarmUp: warm.WarmUp, Engine: &fuchsiaspoke.EngineLimits{}}
)

// Replicas are limited though their service has no warm-up, is one of engines, or their responses do not state how long work takes.
func TestOtherServicesAreNotTouched(t *testing.T) {
	for name, c := range map[string]struct {
		service fuchsiaspoke.Service
		load    *fuchsiaspoke.ReplicaLoad
	}{
		"no warm-up": {fuchsiaspoke.Service{}, fourth}, "engines": {withEngine, fourth},
		"three figures": {warm, onlyThree}, "no figures": {warm, nil},
	} {
		f := newFixture(c.service)
		f.answer(c.load)
		active := f.put(replica("b", 1, fuchsiaspoke.ReplicaReady))
		active = f.put(replica("a", 2, fuchsiaspoke.ReplicaReady)) || active
		f.answer(c.load)
		active = f.put(replica("b", 1, fuchsiaspoke.ReplicaReady)) || active
		// The end of a limit that does not exist has no effect; see the pacer.
		if f.limits.ended = 0; f.limits.any() || active || f.events > 0 {
			t.Errorf("%s: %+v, active %t, %d events, want none", name, f.limits, active, f.events)
		}
	}
}

// A replica that starts, restarts or comes back is sent its full share at once; one that was there all the time is limited.
func TestRampBeginsWithEachStart(t *testing.T) {
	f := newFixture(warm)
	f.answer(fourth)
	f.put(replica("a", 1, fuchsiaspoke.ReplicaReady))
	expect := func(want int, what string) {
		t.Helper()
		if f.limits.begun != want {
			t.Errorf("%s: %d rates have begun, want %d", what, f.limits.begun, want)
		}
	}
	expect(0, "a replica of the first state")
	f.put(replica("b", 1, fuchsiaspoke.ReplicaReady))
	f.put(replica("b", 1, fuchsiaspoke.ReplicaReady))
	expect(1, "a new replica")
	f.put(replica("b", 2, fuchsiaspoke.ReplicaReady))
	expect(2, "a replica that restarted")
	f.put(replica("a", 1, fuchsiaspoke.ReplicaDraining))
	expect(2, "a replica that drains")
	f.put(replica("a", 1, fuchsiaspoke.ReplicaReady))
	expect(3, "a replica that is ready again")
	f.state.Replicas = map[string]fuchsiaspoke.Replica{"a": f.state.Replicas["a"]}
	f.Update(f.now + update)
	f.put(replica("b", 2, fuchsiaspoke.ReplicaReady))
	expect(4, "a replica that was withdrawn and is back")
}

// A VM that learns only later that responses state how long work takes floods a replica that has just started.
func TestRampBeginsOnceFigureIsKnown(t *testing.T) {
	f := newFixture(warm)
	f.put(replica("b", 1, fuchsiaspoke.ReplicaReady))
	if f.limits.begun > 0 {
		t.Error("a rate has begun before any response stated how long work takes")
	}
	f.answer(fourth)
	if f.put(replica("a", 1, fuchsiaspoke.ReplicaReady)); f.limits.begun != 1 {
		t.Errorf("%d rates have begun, want that of the new replica", f.limits.begun)
	}
}
