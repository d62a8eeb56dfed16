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

func none(fuchsiaspoke.Adapter) bool { return false }

func report(life string, asOf int64, resident, running []fuchsiaspoke.Adapter) fuchsiaspoke.EngineReport {
	r := fuchsiaspoke.EngineReport{AsOfMillis: asOf, Incarnation: life, Resident: resident}
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
	s.Use(0, first)
	_, ok := s.PickVictim(0, none, none)
	fmt.Println(s.NeedLoad(second), s.Free(), ok)
	s.Done(first)
	victim, _ := s.PickVictim(0, none, none)
	fmt.Println(victim == first)
	// Output:
	// true 0 false
	// true
}

// TestTakeOver checks which reports end the hold on an adapter that the holder before may still use.
func TestTakeOver(t *testing.T) {
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
		{"later, work without a name waits", waiting, true, false},
		{"another incarnation", report("two", 101, both, nil), true, true},
		{"later, another version runs", report("one", 101, both, both[1:]), false, false},
		{"later, not running", report("one", 101, both, nil), false, false},
	}
	for _, test := range tests {
		s := slotter.Slotter{Slots: 2, Violated: func(detail string) { t.Error(detail) }}
		s.TakeOver(time.Second, report("one", 100, both, nil))
		if got := s.Observe(2*time.Second, test.report, 0); got != test.restarted {
			t.Errorf("%s: restarted %v", test.name, got)
		}
		if got := s.InUse(a); got != test.inUse {
			t.Errorf("%s: in use %v", test.name, got)
		}
		victim, ok := s.PickVictim(3*time.Second, none, none)
		if ok && s.InUse(victim) {
			t.Errorf("%s: victim %v is in use", test.name, victim)
		}
	}
}

// TestLateReports checks that reports of the past neither restart the table nor bring back what was unloaded.
func TestLateReports(t *testing.T) {
	a, b := adapter(0), adapter(2)
	s := slotter.Slotter{Slots: 2, Violated: func(detail string) { t.Error(detail) }}
	s.TakeOver(0, report("one", 100, nil, nil))
	s.Restarted(report("two", 5, nil, nil))
	s.TakeOver(time.Second, report("two", 6, []fuchsiaspoke.Adapter{a}, nil))
	if s.Observe(2*time.Second, report("one", 900, nil, nil), 0) {
		t.Error("report of a past incarnation taken for a restart")
	}
	s.Observe(2*time.Second, report("two", 1000, []fuchsiaspoke.Adapter{a}, nil), 0)
	s.StartUnload(a)
	s.EndUnload(3*time.Second, a, true)
	s.Observe(4*time.Second, report("two", 1001, []fuchsiaspoke.Adapter{a, b}, nil), 0)
	if !s.NeedLoad(a) || s.NeedLoad(b) {
		t.Errorf("resident %v, want %v alone", s.Resident(), b)
	}
}

// TestHold checks that a request whose end is unknown keeps its adapter until a report from after that moment.
func TestHold(t *testing.T) {
	a := adapter(0)
	s := slotter.Slotter{Slots: 1, Violated: func(detail string) { t.Error(detail) }}
	s.TakeOver(10*time.Second, report("one", 50_000, nil, nil))
	s.StartLoad(a)
	s.EndLoad(a, time.Second, true)
	s.Use(11*time.Second, a)
	s.Done(a)
	s.Hold(12*time.Second, a)
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

// TestForeignUse checks that a report of more requests than were sent from here keeps the adapter.
func TestForeignUse(t *testing.T) {
	a := adapter(0)
	all := []fuchsiaspoke.Adapter{a}
	s := slotter.Slotter{Slots: 1, Violated: func(detail string) { t.Error(detail) }}
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

// TestRandomVictims checks under random use that no victim is in use, nor wanted while another would do.
func TestRandomVictims(t *testing.T) {
	const slots = 6
	r := rand.New(rand.NewPCG(uint64(*seed), 5))
	s := slotter.Slotter{Slots: slots, Violated: func(detail string) { t.Fatal(detail) }}
	uses := make(map[fuchsiaspoke.Adapter]int)
	var used []fuchsiaspoke.Adapter
	for i := range 50000 {
		now := time.Duration(i) * time.Millisecond
		a := adapter(int(r.ExpFloat64() * 10))
		switch {
		case s.Fits(a):
			s.Use(now, a)
			uses[a]++
			used = append(used, a)
		case s.NeedLoad(a) && s.Free() > 0:
			s.StartLoad(a)
			s.EndLoad(a, time.Second, r.IntN(5) > 0)
		case s.NeedLoad(a):
			wanted := func(a fuchsiaspoke.Adapter) bool { return len(a.Name)%2 == 0 }
			victim, ok := s.PickVictim(now, wanted, none)
			if !ok {
				s.Reserve(now)
				break
			}
			if uses[victim] > 0 {
				t.Fatalf("victim %v has %d uses", victim, uses[victim])
			}
			if v, ok := s.PickVictim(now, wanted, nil); ok && wanted(v) && s.Fits(v) {
				t.Fatalf("victim %v is wanted", v)
			}
			s.StartUnload(victim)
			s.EndUnload(now, victim, r.IntN(5) > 0)
		}
		if len(used) > 0 && r.IntN(10) < 7 {
			k := r.IntN(len(used))
			a := used[k]
			used[k] = used[len(used)-1]
			used = used[:len(used)-1]
			s.Done(a)
			uses[a]--
		}
		if n := len(s.Resident()); n > slots {
			t.Fatalf("%d adapters in %d slots", n, slots)
		}
	}
}
