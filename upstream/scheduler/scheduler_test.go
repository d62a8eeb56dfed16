package scheduler_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/scheduler"
)

var seed = flag.Uint64("seed", 1, "seed of the random runs")

func limits() fuchsiaspoke.EngineLimits {
	return fuchsiaspoke.EngineLimits{Batch: 96, CacheTokens: 183_378, AdapterSlots: 8}
}

func ask(id, adapter string, tokens int64, urgency int, due, left time.Duration) fuchsiaspoke.EngineAsk {
	return fuchsiaspoke.EngineAsk{
		ID: id, Urgency: urgency, DueIn: due, LeftIn: left,
		Demand: fuchsiaspoke.Demand{Model: "m", Adapter: adapter, PromptTokens: tokens, OutputTokens: 50},
	}
}

// take offers an ask that must be taken on.
func take(t *testing.T, s *scheduler.Scheduler, now time.Duration, e fuchsiaspoke.EngineAsk) {
	t.Helper()
	if _, refused := s.Offer(now, e); refused != nil {
		t.Fatalf("%s refused: %v", e.ID, refused)
	}
}

// serve brings the adapter of a change to the engine, or takes it away, at once.
func serve(s *scheduler.Scheduler, now time.Duration) {
	for {
		c, due := s.Next(now)
		if !due {
			return
		}
		s.Ordered(now, c)
		if c.Load {
			s.Loaded(now, c.Adapter, max(c.Version, 1))
		} else {
			s.Dropped(now, c.Adapter)
		}
	}
}

// The pattern: a flood of less urgent prompts stands before a few urgent ones.
func TestUrgentWorkGoesBeforeAFlood(t *testing.T) {
	s := scheduler.Scheduler{Limits: limits()}
	for n := range 10 {
		if _, refused := s.Offer(0, ask(fmt.Sprint("slow", n), "a1", 9000, 2, 5*time.Second, 10*time.Second)); refused != nil {
			t.Fatalf("flood refused: %v", refused)
		}
	}
	if _, refused := s.Offer(0, ask("urgent", "a1", 800, 0, time.Second, 15*time.Second)); refused != nil {
		t.Fatalf("urgent work refused: %v", refused)
	}
	serve(&s, 0)
	started := s.Start(0)
	if len(started) == 0 || started[0].ID != "urgent" {
		t.Fatalf("first started: %v, want the urgent request", started)
	}
}

// The pattern: prompts come faster than the engine reads them; the engine must not be given more than it reads soon.
func TestBacklogStaysHere(t *testing.T) {
	s := scheduler.Scheduler{Limits: limits()}
	for n := range 8 {
		take(t, &s, 0, ask(fmt.Sprint(n), "a1", 9000, 1, 20*time.Second, 30*time.Second))
	}
	serve(&s, 0)
	if n := len(s.Start(0)); n == 0 || n > 2 {
		t.Fatalf("%d prompts of 250 ms given at once, want 1 or 2", n)
	}
	if n := len(s.Start(0)); n != 0 {
		t.Fatalf("%d more given while none was read", n)
	}
}

// The pattern: more prompts than can be read in time; what can't be served is refused when it comes, not held.
func TestHopelessWorkIsRefusedAtOnce(t *testing.T) {
	s := scheduler.Scheduler{Limits: limits()}
	refused := 0
	for n := range 40 {
		wait, refusal := s.Offer(0, ask(fmt.Sprint(n), "a1", 9000, 1, time.Second, 5*time.Second))
		if refusal == nil {
			if wait > 5*time.Second {
				t.Fatalf("taken on with a predicted wait of %v of 5s", wait)
			}
			continue
		}
		refused++
		if refusal.Run != fuchsiaspoke.NotRun || refusal.RetryAfter <= 0 {
			t.Fatalf("refusal %+v, want one that did not run, with a time to come back", refusal)
		}
	}
	if refused == 0 {
		t.Fatal("10 s of prompts were taken on by callers that wait for 5 s")
	}
}

// The pattern: what is late anyway must not keep from its time what can still be on time.
func TestOnTimeWorkGoesBeforeLateWork(t *testing.T) {
	s := scheduler.Scheduler{Limits: limits()}
	take(t, &s, 0, ask("late", "a1", 800, 1, 10*time.Millisecond, 10*time.Second))
	take(t, &s, 0, ask("on-time", "a1", 800, 1, time.Second, 10*time.Second))
	serve(&s, 100*time.Millisecond)
	started := s.Start(100 * time.Millisecond)
	if len(started) == 0 || started[0].ID != "on-time" {
		t.Fatalf("started %v, want the one that can be on time first", started)
	}
}

// The pattern: small prompts keep coming while a large one waits, which must not starve.
func TestLargePromptIsNotPassed(t *testing.T) {
	s := scheduler.Scheduler{Limits: limits()}
	take(t, &s, 0, ask("first", "a1", 9000, 1, 10*time.Second, 20*time.Second))
	serve(&s, 0)
	s.Start(0)
	take(t, &s, 0, ask("large", "a1", 30_000, 1, 10*time.Second, 20*time.Second))
	for n := range 20 {
		take(t, &s, time.Millisecond, ask(fmt.Sprint("small", n), "a1", 300, 1, 10*time.Second, 20*time.Second))
	}
	for _, g := range s.Start(time.Millisecond) {
		t.Fatalf("%s passed the large prompt", g.ID)
	}
	s.First(300*time.Millisecond, "first")
	started := s.Start(300 * time.Millisecond)
	if len(started) == 0 || started[0].ID != "large" {
		t.Fatalf("started %v, want the large prompt", started)
	}
}

func TestReplacedVersionStartsNothing(t *testing.T) {
	s := scheduler.Scheduler{Limits: limits()}
	take(t, &s, 0, ask("1", "a1", 800, 1, time.Second, 10*time.Second))
	serve(&s, 0)
	if n := len(s.Start(0)); n != 1 {
		t.Fatalf("%d started, want 1", n)
	}
	s.Announce(0, "a1", 2)
	take(t, &s, 0, ask("2", "a1", 800, 1, time.Second, 10*time.Second))
	if started := s.Start(0); len(started) != 0 {
		t.Fatalf("started %v on a version that was replaced", started)
	}
	if c, due := s.Next(100 * time.Millisecond); due {
		t.Fatalf("ordered %+v while the old version was in use", c)
	}
	s.Cancel(200*time.Millisecond, "1")
	c, due := s.Next(200 * time.Millisecond)
	if !due || !c.Load || c.Version != 2 {
		t.Fatalf("next order %+v %v, want version 2", c, due)
	}
	s.Ordered(200*time.Millisecond, c)
	s.Loaded(400*time.Millisecond, "a1", 2)
	if started := s.Start(400 * time.Millisecond); len(started) != 1 || started[0].Version != 2 {
		t.Fatalf("started %v, want one on version 2", started)
	}
}

// The pattern: a long tail of adapters over few places, with orders that fail, get lost or take long.
//
// The engine must never be told to hold more than it can, and nothing in use is unloaded.
func TestPlacesAreNeverOverrun(t *testing.T) {
	random := rand.New(rand.NewPCG(*seed, 7))
	for round := range 50 {
		s := scheduler.Scheduler{Limits: limits()}
		engine := map[string]bool{}
		coming := map[string]time.Duration{}
		running := map[string]string{}
		now := time.Duration(0)
		for step := range 400 {
			now += time.Duration(random.IntN(40)) * time.Millisecond
			adapter := fmt.Sprint("a", random.IntN(30))
			_, _ = s.Offer(now, ask(fmt.Sprint(step), adapter, 500, random.IntN(2), time.Second, 5*time.Second))
			for name, at := range coming {
				if now >= at {
					s.Loaded(now, name, 1)
					delete(coming, name)
				}
			}
			for _, g := range s.Start(now) {
				s.First(now, g.ID)
				running[g.ID] = ""
			}
			for id := range running {
				if random.IntN(3) == 0 {
					s.Cancel(now, id)
					delete(running, id)
				}
			}
			c, due := s.Next(now)
			if !due {
				continue
			}
			switch {
			case !c.Load:
				s.Ordered(now, c)
				delete(engine, c.Adapter)
				s.Dropped(now, c.Adapter)
			case random.IntN(10) == 0:
				s.Ordered(now, c)
				s.Dropped(now, c.Adapter)
			default:
				engine[c.Adapter] = true
				s.Ordered(now, c)
				coming[c.Adapter] = now + 200*time.Millisecond
			}
			if len(engine) > limits().AdapterSlots {
				t.Fatalf("round %d, step %d, seed %d: the engine was told to hold %d adapters", round, step, *seed, len(engine))
			}
			if len(coming) > 4 {
				t.Fatalf("round %d, step %d, seed %d: %d adapters on their way", round, step, *seed, len(coming))
			}
		}
	}
}

func TestAdoptedReportKeepsWhatIsInUse(t *testing.T) {
	s := scheduler.Scheduler{Limits: limits()}
	take(t, &s, 0, ask("1", "a1", 800, 1, time.Second, 10*time.Second))
	serve(&s, 0)
	s.Start(0)
	held := fuchsiaspoke.HeldModel{Name: "m", Coming: []fuchsiaspoke.Adapter{{Name: "b", Version: 1}}}
	for n := range 7 {
		held.Adapters = append(held.Adapters, fuchsiaspoke.Adapter{Name: fmt.Sprint("a", n+1), Version: 1})
	}
	s.Adopt(time.Second, held)
	take(t, &s, time.Second, ask("2", "new", 800, 1, time.Second, 10*time.Second))
	c, due := s.Next(time.Second)
	if !due || c.Load || c.Adapter == "a1" {
		t.Fatalf("next order %+v %v, want another adapter than a1 unloaded", c, due)
	}
}

// The pattern: an engine stops reading while prompts wait for it; their callers must learn of it before they give up.
func TestWhatCanNoLongerBeServedIsRefused(t *testing.T) {
	s := scheduler.Scheduler{Limits: limits()}
	take(t, &s, 0, ask("first", "a1", 9000, 1, time.Second, 4*time.Second))
	take(t, &s, 0, ask("soon", "a1", 9000, 1, time.Second, 2*time.Second))
	take(t, &s, 0, ask("later", "a1", 9000, 1, time.Second, 15*time.Second))
	serve(&s, 0)
	s.Start(0)
	if expired := s.Expire(time.Second); len(expired) != 0 {
		t.Fatalf("expired with a second left: %v", expired)
	}
	expired := s.Expire(1900 * time.Millisecond)
	if len(expired) != 1 || expired[0].ID != "soon" || expired[0].Refusal.Run != fuchsiaspoke.NotRun || expired[0].Refusal.RetryAfter <= 0 {
		t.Fatalf("expired %+v, want the one whose caller leaves at 2 s", expired)
	}
	if s.Cancel(2*time.Second, "soon") {
		t.Error("still known")
	}
}
