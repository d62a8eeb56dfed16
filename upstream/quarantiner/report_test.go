package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/quarantiner"
	"github.com/fxamacker/cbor/v2"
)

// maxReportBytes is what a report may add to a heartbeat, which is to fit one packet of 1,200 bytes with its other parts.
const maxReportBytes = 400

func newQuarantiner(now *time.Duration) *quarantiner.Quarantiner {
	return &quarantiner.Quarantiner{
		Self: "vm", Clock: func() time.Duration { return *now }, VMs: func() int { return 410 },
		Log: func(string, ...any) {}, Count: func(string) {},
	}
}

func demandOf(ids ...string) fuchsiaspoke.Demand {
	var d fuchsiaspoke.Demand
	for _, id := range ids {
		d.Parts = append(d.Parts, fuchsiaspoke.PromptPart{ID: id, Tokens: 100})
	}
	return d
}

func TestReportIsSmall(t *testing.T) {
	now := time.Minute
	q := newQuarantiner(&now)
	if q.Report().Report() != nil {
		t.Error("a VM that knows of no crash adds a report to its heartbeats")
	}
	for n := range 300 {
		q.RecordCrash(fuchsiaspoke.ReplicaIncarnation{ID: fmt.Sprint("engine", n%40)}, traitsOf("", fmt.Sprint("shared", n/3), fmt.Sprint("own", n)))
		now += 50 * time.Millisecond
	}
	largest := 0
	for range 100 {
		raw, err := cbor.Marshal(q.Report())
		if err != nil {
			t.Fatal(err)
		}
		largest = max(largest, len(raw))
		now += 10 * time.Millisecond
	}
	t.Logf("the largest report has %d bytes", largest)
	if largest > maxReportBytes {
		t.Errorf("a report has %d bytes, want at most %d", largest, maxReportBytes)
	}
}

// A part is tried again after its quarantine by one request, and held for twice as long if an engine crashes on it once more.
func TestTrialAfterQuarantineIsOneRequest(t *testing.T) {
	for name, sound := range map[string]bool{"part is fatal": false, "part is sound": true} {
		now := time.Minute
		q := newQuarantiner(&now)
		d := traitsOf("", "part", "own")
		crash := func(n int) {
			q.RecordCrash(fuchsiaspoke.ReplicaIncarnation{ID: fmt.Sprint("engine", n)}, traitsOf("", "part", fmt.Sprint("own", n)))
		}
		for n := range 3 {
			crash(n)
			now += 3 * time.Second
		}
		first := q.Admit(d)
		if first.Trait.PartID != "part" || first.Left < 4*time.Minute {
			t.Fatalf("%s: %+v after three crashes, want a quarantine of five minutes", name, first)
		}
		now += first.Left
		if got := q.Admit(d); !got.Trial {
			t.Fatalf("%s: %+v after the quarantine, want a trial", name, got)
		}
		if got := q.Admit(d); !got.Held {
			t.Errorf("%s: two requests are tried at once", name)
		}
		if sound {
			q.RecordBegin(d)
		} else {
			crash(3)
		}
		switch got := q.Admit(d); {
		case sound && got.Held:
			t.Errorf("%s: %+v after a request has begun, want it admitted", name, got)
		case !sound && got.Left < 9*time.Minute:
			t.Errorf("%s: %+v after one more crash, want a quarantine of ten minutes", name, got)
		}
	}
}

// A VM that has just started hears of crashes from before its start.
func TestCrashesBeforeTheStartOfAVMCount(t *testing.T) {
	before := time.Minute
	q, now := newQuarantiner(&before), 100*time.Millisecond
	started := newQuarantiner(&now)
	for n := range 3 {
		q.RecordCrash(fuchsiaspoke.ReplicaIncarnation{ID: fmt.Sprint("engine", n)}, traitsOf("", "part", fmt.Sprint("own", n)))
		before += 350 * time.Millisecond
	}
	started.Merge(q.Report(), "peer")
	now += 2 * time.Second
	if got := started.Admit(traitsOf("", "part", "own")); got.Trait.PartID != "part" {
		t.Errorf("%+v after three crashes, want a quarantine", got)
	}
}
