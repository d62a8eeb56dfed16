package slotter_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/slotter"
)

var seed = flag.Int64("seed", 1, "seed of the random runs")

func adapter(n int) fuchsiaspoke.Adapter {
	return fuchsiaspoke.Adapter{Name: fmt.Sprint("adapter-", n/2), Version: int64(1 + n%2)}
}

func noAdapter(fuchsiaspoke.Adapter) bool { return false }

func report(incarnation string, asOf int64, resident, running []fuchsiaspoke.Adapter) fuchsiaspoke.EngineReport {
	r := fuchsiaspoke.EngineReport{AsOfMillis: asOf, Incarnation: incarnation, Resident: resident}
	for _, a := range running {
		r.Running = append(r.Running, fuchsiaspoke.AdapterUse{Adapter: a, Requests: 1})
	}
	return r
}

func ExampleSlotter() {
	s := slotter.Slotter{Slots: 1}
	first, second := adapter(0), adapter(1)
	s.StartLoad(first)
	s.EndLoad(first, time.Second/4, true)
	s.Acquire(0, first)
	_, ok := s.PickVictim(0, noAdapter, noAdapter)
	fmt.Println(s.NeedLoad(second), s.Free(), ok)
	s.Release(first)
	victim, _ := s.PickVictim(0, noAdapter, noAdapter)
	fmt.Println(victim == first)
	// Output:
	// true 0 false
	// true
}

// TestTakeOverPinsAdaptersUntilALaterReportShowsThemIdle checks which reports release an adapter that the previous
// lease holder may still use.
func TestTakeOverPinsAdaptersUntilALaterReportShowsThemIdle(t *testing.T) {
	a, other := adapter(0), adapter(1)
	both, one := []fuchsiaspoke.Adapter{a, other}, []fuchsiaspoke.Adapter{a}
	waiting := report("one", 101, both, nil)
	waiting.Waiting = 1
	tests := []struct {
		name      string
		report    fuchsiaspoke.EngineReport
		inUse     bool
		restarted bool
	}{
		{"no later than the claim", report("one", 100, both, nil), true, false},
		{"older than the claim", report("one", 7, both, nil), true, false},
		{"later, still running", report("one", 101, both, one), true, false},
		{"later, a request waits whose adapter is not reported", waiting, true, false},
		{"another incarnation", report("two", 101, both, nil), true, true},
		{"later, another version runs", report("one", 101, both, both[1:]), false, false},
		{"later, not running", report("one", 101, both, nil), false, false},
	}
	for _, test := range tests {
		s := slotter.Slotter{Slots: 2, OnViolation: func(detail string) { t.Error(detail) }}
		s.TakeOver(time.Second, report("one", 100, both, nil))
		if got := s.Observe(2*time.Second, test.report, 0); got != test.restarted {
			t.Errorf("%s: restarted %v", test.name, got)
		}
		if got := s.InUse(a); got != test.inUse {
			t.Errorf("%s: in use %v", test.name, got)
		}
		victim, ok := s.PickVictim(3*time.Second, noAdapter, noAdapter)
		if ok && s.InUse(victim) {
			t.Errorf("%s: victim %v is in use", test.name, victim)
		}
	}
}

// TestOutdatedReportsNeitherRestartNorRestoreUnloadedAdapters checks that a report of a past incarnation is not
// treated as a restart, and that a delayed report does not add an unloaded adapter again.
func TestOutdatedReportsNeitherRestartNorRestoreUnloadedAdapters(t *testing.T) {
	a, b := adapter(0), adapter(2)
	s := slotter.Slotter{Slots: 2, OnViolation: func(detail string) { t.Error(detail) }}
	s.TakeOver(0, report("one", 100, nil, nil))
	s.Reset(report("two", 5, nil, nil))
	s.TakeOver(time.Second, report("two", 6, []fuchsiaspoke.Adapter{a}, nil))
	if s.Observe(2*time.Second, report("one", 900, nil, nil), 0) {
		t.Error("report of a past incarnation was treated as a restart")
	}
	s.Observe(2*time.Second, report("two", 1000, []fuchsiaspoke.Adapter{a}, nil), 0)
	s.StartUnload(a)
	s.EndUnload(3*time.Second, a, true)
	s.Observe(4*time.Second, report("two", 1001, []fuchsiaspoke.Adapter{a, b}, nil), 0)
	if !s.NeedLoad(a) || s.NeedLoad(b) {
		t.Errorf("resident %v, want only %v", s.Resident(), b)
	}
}

// TestPinLastsUntilAReportMadeLater checks that an adapter with a request whose end is unknown stays in use
// until a report made after the call of Pin.
func TestPinLastsUntilAReportMadeLater(t *testing.T) {
	a := adapter(0)
	s := slotter.Slotter{Slots: 1, OnViolation: func(detail string) { t.Error(detail) }}
	s.TakeOver(10*time.Second, report("one", 50_000, nil, nil))
	s.StartLoad(a)
	s.EndLoad(a, time.Second, true)
	s.Acquire(11*time.Second, a)
	s.Release(a)
	s.Pin(12*time.Second, a)
	for _, step := range []struct {
		asOf  int64
		inUse bool
	}{{51_900, true}, {52_000, true}, {52_100, false}} {
		s.Observe(13*time.Second, report("one", step.asOf, []fuchsiaspoke.Adapter{a}, nil), 0)
		if s.InUse(a) != step.inUse {
			t.Errorf("report as of %d: in use %v", step.asOf, !step.inUse)
		}
	}
}

// TestAdapterWithForeignRequestsIsPinned checks that an adapter is in use while the engine reports more requests on it
// than this process has sent.
func TestAdapterWithForeignRequestsIsPinned(t *testing.T) {
	a := adapter(0)
	all := []fuchsiaspoke.Adapter{a}
	s := slotter.Slotter{Slots: 1, OnViolation: func(detail string) { t.Error(detail) }}
	s.TakeOver(0, report("one", 100, all, nil))
	for _, step := range []struct {
		asOf    int64
		running []fuchsiaspoke.Adapter
		inUse   bool
	}{{200, nil, false}, {300, all, true}, {400, nil, false}} {
		s.Observe(time.Second, report("one", step.asOf, all, step.running), 0)
		if s.InUse(a) != step.inUse {
			t.Errorf("report as of %d: in use %v", step.asOf, !step.inUse)
		}
	}
}

// TestVictimIsNeitherInUseNorProtected checks under random use that no victim is in use, and that a wanted adapter is
// not chosen when wanted adapters are protected, unless it is draining.
func TestVictimIsNeitherInUseNorProtected(t *testing.T) {
	const slots = 6
	r := rand.New(rand.NewPCG(uint64(*seed), 5))
	s := slotter.Slotter{Slots: slots, OnViolation: func(detail string) { t.Fatal(detail) }}
	uses := make(map[fuchsiaspoke.Adapter]int)
	var running []fuchsiaspoke.Adapter
	for i := range 50000 {
		now := time.Duration(i) * time.Millisecond
		a := adapter(int(r.ExpFloat64() * 10))
		switch {
		case s.IsReady(a):
			s.Acquire(now, a)
			uses[a]++
			running = append(running, a)
		case s.NeedLoad(a) && s.Free() > 0:
			s.StartLoad(a)
			s.EndLoad(a, time.Second, r.IntN(5) > 0)
		case s.NeedLoad(a):
			wanted := func(a fuchsiaspoke.Adapter) bool { return len(a.Name)%2 == 0 }
			victim, ok := s.PickVictim(now, wanted, noAdapter)
			if !ok {
				s.DrainLeastUsed(now)
				break
			}
			if uses[victim] > 0 {
				t.Fatalf("victim %v has %d running requests", victim, uses[victim])
			}
			if v, ok := s.PickVictim(now, wanted, nil); ok && wanted(v) && s.IsReady(v) {
				t.Fatalf("victim %v is wanted and not draining", v)
			}
			s.StartUnload(victim)
			s.EndUnload(now, victim, r.IntN(5) > 0)
		}
		if len(running) > 0 && r.IntN(10) < 7 {
			k := r.IntN(len(running))
			a := running[k]
			running[k] = running[len(running)-1]
			running = running[:len(running)-1]
			s.Release(a)
			uses[a]--
		}
		if n := len(s.Resident()); n > slots {
			t.Fatalf("%d adapters resident in %d slots", n, slots)
		}
	}
}
