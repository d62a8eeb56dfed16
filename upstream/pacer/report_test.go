package pacer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/pacer"
	"github.com/fxamacker/cbor/v2"
)

// maxReportBytes is what a report may add to a heartbeat, which is to fit one packet of 1,200 bytes with its other parts.
const maxReportBytes = 300

// All replicas of a large deployment name limits. Reports stay small, and name all of them in turn.
func TestReportIsSmallAndNamesAllLimitsInTurn(t *testing.T) {
	const replicas = 910
	now := time.Hour
	published := &fuchsiaspoke.PublishedState{}
	p := &pacer.Pacer{
		Self: fuchsiaspoke.VM{ID: "vm"}, Published: func() *fuchsiaspoke.PublishedState { return published },
		Clock: func() time.Duration { return now }, Log: func(string, ...any) {}, Count: func(string) {},
	}
	if p.Report() != nil {
		t.Error("a VM that knows of no limit adds a report to its heartbeats")
	}
	for n := range replicas {
		p.Name(fuchsiaspoke.Replica{ID: fmt.Sprint("replica_", n)}, 1+float64(n)/3)
	}
	named, largest := make(map[uint64]bool), 0
	for range 2 * replicas {
		report := p.Report()
		raw, err := cbor.Marshal(report)
		if err != nil {
			t.Fatal(err)
		}
		largest = max(largest, len(raw))
		for _, l := range report {
			named[l.Process] = true
		}
		now += 20 * time.Millisecond
	}
	t.Logf("the largest report has %d bytes", largest)
	if largest > maxReportBytes || len(named) != replicas {
		t.Errorf("a report has %d bytes, %d of %d limits are named; want at most %d bytes and all limits", largest, len(named), replicas, maxReportBytes)
	}
}
