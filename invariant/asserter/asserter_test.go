package asserter_test

import (
	"fmt"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/invariant/asserter"
	"github.com/fuchsiaspoke/fuchsiaspoke/metrics/meter"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/recorder"
)

func ExampleAsserter_Assert() {
	defer func() { fmt.Println(recover()) }()
	a := asserter.Asserter{OnViolation: func(violation string) { panic(violation) }}
	a.Assert(true, "overshoot", "")
	a.Assert(false, "overshoot", "3 tokens")
	// Output: overshoot: 3 tokens
}

func TestFailedAssertionsAreCountedAndRecordedAtPowersOfTwo(t *testing.T) {
	var r recorder.Recorder
	a := asserter.Asserter{Recorder: &r, Meter: &meter.Meter{}}
	for i := range 1000 {
		a.Assert(i%2 == 0, "overshoot", "3 tokens")
	}
	a.Assert(false, "eviction", "adapter guide@7")
	events := r.Events(fuchsiaspoke.EventFilter{Kind: fuchsiaspoke.EventViolation})
	if a.Violations("overshoot") != 500 || a.Violations("eviction") != 1 || len(events) != 10 {
		t.Errorf("got %d overshoot violations, %d eviction violations and %d events; want 500, 1 and 10", a.Violations("overshoot"), a.Violations("eviction"), len(events))
	}
	if last := events[len(events)-1]; last.Detail != "eviction: adapter guide@7" || last.Tokens != 1 {
		t.Errorf("got last event %+v, want the eviction violation with count 1", last)
	}
}
