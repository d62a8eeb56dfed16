package selector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/selector"
)

func newCandidates(n int) []selector.Candidate {
	out := make([]selector.Candidate, n)
	for i := range out {
		r := fuchsiaspoke.Replica{ID: fmt.Sprint("engine_", i)}
		out[i] = selector.Candidate{Replica: r, View: &fuchsiaspoke.EngineView{PrefillTokensPerMs: 38, Accepting: true}}
	}
	return out
}

func newDemand(adapter string) fuchsiaspoke.Demand {
	return fuchsiaspoke.Demand{
		Model: "m", Adapter: adapter, PromptTokens: 9000, OutputTokens: 50,
		Parts: []fuchsiaspoke.PromptPart{{ID: "a", Tokens: 6000}, {ID: "b", Tokens: 3000}},
	}
}

// Guards against loading the same adapter on several engines without need, and against a few engines that get most adapters.
func TestAdapterHasOnePreferredEngineInAnyCandidateOrder(t *testing.T) {
	s := selector.Selector{Slots: 8}
	firstChoices := map[string]int{}
	for n := range 400 {
		adapter := fmt.Sprint("adapter_", n)
		first := s.Select(newDemand(adapter), newCandidates(12))[0].Replica.ID
		firstChoices[first]++
		reversed := newCandidates(12)
		for i, j := 0, 11; i < j; i, j = i+1, j-1 {
			reversed[i], reversed[j] = reversed[j], reversed[i]
		}
		if again := s.Select(newDemand(adapter), reversed)[0].Replica.ID; again != first {
			t.Fatalf("%s: engine %s chosen first, then %s for the same candidates in reverse", adapter, first, again)
		}
	}
	for id, n := range firstChoices {
		if n > 60 {
			t.Fatalf("%s is the first choice of %d of 400 adapters on 12 engines, want at most 60", id, n)
		}
	}
}

func TestRemovedEngineMovesOnlyItsOwnAdapters(t *testing.T) {
	s := selector.Selector{Slots: 8}
	all := newCandidates(12)
	removed := all[3].Replica.ID
	remaining := append(append([]selector.Candidate{}, all[:3]...), all[4:]...)
	for n := range 300 {
		adapter := fmt.Sprint("adapter_", n)
		before := s.Select(newDemand(adapter), all)[0].Replica.ID
		after := s.Select(newDemand(adapter), remaining)[0].Replica.ID
		if before != removed && before != after {
			t.Fatalf("%s moved from %s to %s though its engine was not removed", adapter, before, after)
		}
	}
}

// Guards against overload of one engine by requests for a single adapter.
func TestAdapterOfBackloggedEngineGoesToAnotherEngine(t *testing.T) {
	s := selector.Selector{Slots: 8}
	candidates := newCandidates(12)
	preferred := s.Select(newDemand("hot"), candidates)[0].Replica.ID
	for i := range candidates {
		if candidates[i].Replica.ID == preferred {
			candidates[i].View.Resident = []fuchsiaspoke.Adapter{{Name: "hot", Version: 1}}
			candidates[i].View.BacklogTokens = 60_000
		}
	}
	if next := s.Select(newDemand("hot"), candidates)[0]; next.Replica.ID == preferred {
		t.Fatalf("first choice %+v, want another engine than the one with 1.6 s of prefill pending", next)
	}
}

func TestFailingPreferredEngineIsNotChosenFirst(t *testing.T) {
	s := selector.Selector{Slots: 8}
	candidates := newCandidates(12)
	preferred := s.Select(newDemand("x"), candidates)[0].Replica.ID
	for i := range candidates {
		candidates[i].Failing = candidates[i].Replica.ID == preferred
	}
	if next := s.Select(newDemand("x"), candidates)[0].Replica.ID; next == preferred {
		t.Fatal("the failing engine is the first choice")
	}
}

func TestPublishedAdapterIsResidentWithoutEngineView(t *testing.T) {
	s := selector.Selector{Slots: 8}
	candidates := newCandidates(3)
	for i := range candidates {
		candidates[i].View = nil
	}
	candidates[2].Replica.Models = []fuchsiaspoke.ResidentModel{{Name: "m", Adapters: []fuchsiaspoke.Adapter{{Name: "x", Version: 1}}}}
	first := s.Select(newDemand("x"), candidates)[0]
	if first.Replica.ID != "engine_2" || !first.Resident || first.Accepting {
		t.Fatalf("first choice %+v, want engine_2, which published the adapter, resident and not accepting", first)
	}
}

// Guards against waiting at an engine that filled up after its last heartbeat while the next one is faster.
func TestMaxWaitFollowsNextAcceptingEngineAndAnsweredWait(t *testing.T) {
	choices := []selector.Choice{{EstimatedWait: 100 * time.Millisecond, Accepting: true}, {EstimatedWait: 50 * time.Millisecond}, {EstimatedWait: 400 * time.Millisecond, Accepting: true}}
	first := selector.MaxWait(choices, 0, 0)
	if first < 400*time.Millisecond || first > 600*time.Millisecond {
		t.Errorf("limit %v, want 400 to 600 ms with an estimated wait of 400 ms at the next accepting engine", first)
	}
	if last := selector.MaxWait(choices, 2, 0); last != 0 {
		t.Errorf("limit %v without another engine, want 0", last)
	}
	if again := selector.MaxWait(choices, 2, 700*time.Millisecond); again != 700*time.Millisecond {
		t.Errorf("limit %v, want the 700 ms that another engine answered", again)
	}
}
