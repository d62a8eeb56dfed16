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
	a := asserter.Asserter{Stop: func(violation string) { panic(violation) }}
	a.Assert(true, "overshoot", "")
	a.Assert(false, "overshoot", "3 tokens")
	// Output: overshoot: 3 tokens
}

func TestProductionCountsAndRecords(t *testing.T) {
	var r recorder.Recorder
	a := asserter.Asserter{Recorder: &r, Meter: &meter.Meter{}}
	for i := range 1000 {
		a.Assert(i%2 == 0, "overshoot", "3 tokens")
	}
	a.Assert(false, "eviction", "adapter guide@7")
	events := r.Events(fuchsiaspoke.EventFilter{Kind: fuchsiaspoke.EventViolation})
	if a.Violations("overshoot") != 500 || a.Violations("eviction") != 1 || len(events) != 10 {
		t.Errorf("%d and %d violations, %d events", a.Violations("overshoot"), a.Violations("eviction"), len(events))
	}
	if last := events[len(events)-1]; last.Detail != "eviction: adapter guide@7" || last.Tokens != 1 {
		t.Errorf("last event %+v", last)
	}
}
