package selector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/selector"
)

func fleet(n int) []selector.Candidate {
	out := make([]selector.Candidate, n)
	for i := range out {
		r := fuchsiaspoke.Replica{ID: fmt.Sprint("engine_", i)}
		out[i] = selector.Candidate{Replica: r, View: &fuchsiaspoke.EngineView{Speed: 38, Open: true}}
	}
	return out
}

func demand(adapter string) fuchsiaspoke.Demand {
	return fuchsiaspoke.Demand{
		Model: "m", Adapter: adapter, PromptTokens: 9000, OutputTokens: 50,
		Parts: []fuchsiaspoke.PromptPart{{ID: "a", Tokens: 6000}, {ID: "b", Tokens: 3000}},
	}
}

// The pattern: a long tail of adapters, each of which would be fetched once for each engine that it visits.
func TestAnAdapterHasOneHome(t *testing.T) {
	s := selector.Selector{Slots: 8}
	homes := map[string]int{}
	for n := range 400 {
		adapter := fmt.Sprint("adapter_", n)
		first := s.Select(demand(adapter), fleet(12))[0].Replica.ID
		homes[first]++
		reversed := fleet(12)
		for i, j := 0, 11; i < j; i, j = i+1, j-1 {
			reversed[i], reversed[j] = reversed[j], reversed[i]
		}
		if again := s.Select(demand(adapter), reversed)[0].Replica.ID; again != first {
			t.Fatalf("%s: home %s, then %s", adapter, first, again)
		}
	}
	for id, n := range homes {
		if n > 60 {
			t.Fatalf("%s is the home of %d of 400 adapters on 12 engines", id, n)
		}
	}
}

func TestAnEngineThatEndsMovesItsAdaptersAlone(t *testing.T) {
	s := selector.Selector{Slots: 8}
	all := fleet(12)
	gone := all[3].Replica.ID
	rest := append(append([]selector.Candidate{}, all[:3]...), all[4:]...)
	for n := range 300 {
		adapter := fmt.Sprint("adapter_", n)
		before := s.Select(demand(adapter), all)[0].Replica.ID
		after := s.Select(demand(adapter), rest)[0].Replica.ID
		if before != gone && before != after {
			t.Fatalf("%s moved from %s to %s", adapter, before, after)
		}
	}
}

// The pattern: one adapter is asked for more than one engine can read.
func TestAHotAdapterSpreadsByLoad(t *testing.T) {
	s := selector.Selector{Slots: 8}
	candidates := fleet(12)
	home := s.Select(demand("hot"), candidates)[0].Replica.ID
	for i := range candidates {
		if candidates[i].Replica.ID == home {
			candidates[i].View.Resident = []fuchsiaspoke.Adapter{{Name: "hot", Version: 1}}
			candidates[i].View.Backlog = 60_000
		}
	}
	if next := s.Select(demand("hot"), candidates)[0]; next.Replica.ID == home {
		t.Fatalf("home has 1.6 s of prompts to read and is still chosen: %+v", next)
	}
}

func TestAFailingEngineIsAvoided(t *testing.T) {
	s := selector.Selector{Slots: 8}
	candidates := fleet(12)
	home := s.Select(demand("x"), candidates)[0].Replica.ID
	for i := range candidates {
		candidates[i].Failing = candidates[i].Replica.ID == home
	}
	if next := s.Select(demand("x"), candidates)[0].Replica.ID; next == home {
		t.Fatal("an engine that fails is chosen")
	}
}

func TestHeldAdapterIsFoundWithoutAView(t *testing.T) {
	s := selector.Selector{Slots: 8}
	candidates := fleet(3)
	for i := range candidates {
		candidates[i].View = nil
	}
	candidates[2].Replica.Held = []fuchsiaspoke.HeldModel{{Name: "m", Adapters: []fuchsiaspoke.Adapter{{Name: "x", Version: 1}}}}
	first := s.Select(demand("x"), candidates)[0]
	if first.Replica.ID != "engine_2" || !first.Resident || first.Open {
		t.Fatalf("chosen %+v, want the engine that published the adapter, resident and not open", first)
	}
}

// The pattern: views are as old as a heartbeat, and the best engine filled up meanwhile.
func TestAnEngineMayTakeAsLongAsTheNextOneSeemsTo(t *testing.T) {
	choices := []selector.Choice{{Wait: 100 * time.Millisecond, Open: true}, {Wait: 50 * time.Millisecond}, {Wait: 400 * time.Millisecond, Open: true}}
	first := selector.Limit(choices, 0, 0)
	if first < 400*time.Millisecond || first > 600*time.Millisecond {
		t.Errorf("limit %v, the next open engine seems to need 400 ms", first)
	}
	if last := selector.Limit(choices, 2, 0); last != 0 {
		t.Errorf("limit %v though there is no other engine", last)
	}
	if again := selector.Limit(choices, 2, 700*time.Millisecond); again != 700*time.Millisecond {
		t.Errorf("limit %v, an engine answered that it needs 700 ms", again)
	}
}
