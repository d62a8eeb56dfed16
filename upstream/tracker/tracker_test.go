package tracker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/tracker"
)

func replicas(ids ...string) []fuchsiaspoke.Replica {
	out := make([]fuchsiaspoke.Replica, 0, len(ids))
	for _, id := range ids {
		out = append(out, fuchsiaspoke.Replica{ID: id})
	}
	return out
}

// countRankedFirst returns how many of 200 rankings have the replica first.
func countRankedFirst(t *tracker.Tracker, now time.Duration, id string) int {
	n := 0
	for range 200 {
		if t.Rank(now, replicas("a", "b", "c"))[0].ID == id {
			n++
		}
	}
	return n
}

func TestEqualReplicasAreEachRankedFirstSometimes(t *testing.T) {
	var tr tracker.Tracker
	for _, id := range []string{"a", "b", "c"} {
		if n := countRankedFirst(&tr, 0, id); n < 30 {
			t.Errorf("%s ranked first %d of 200 times, want at least 30", id, n)
		}
	}
}

// Guards against sending requests to a replica that fails them although it passes its health check.
func TestFailingReplicaIsAvoidedUntilItRecovers(t *testing.T) {
	var tr tracker.Tracker
	for range 10 {
		tr.RecordStart(0, "a")
		tr.RecordAnswer(0, "a", 20*time.Millisecond, true)
	}
	if n := countRankedFirst(&tr, 0, "a"); n > 0 {
		t.Errorf("failing replica ranked first %d of 200 times, want 0", n)
	}
	if !tr.Failing(0, "a") {
		t.Error("Failing is false after 10 failures")
	}
	for range 60 {
		tr.RecordStart(0, "a")
		tr.RecordAnswer(0, "a", 20*time.Millisecond, false)
	}
	if n := countRankedFirst(&tr, 0, "a"); n < 30 {
		t.Errorf("replica ranked first %d of 200 times after 60 successful answers, want at least 30", n)
	}
}

// Guards against sending requests to a replica that does not answer at all.
func TestReplicaWithoutAnswerIsAvoidedUntilBackoffEnds(t *testing.T) {
	var tr tracker.Tracker
	tr.RecordStart(0, "a")
	tr.RecordNoAnswer(0, "a")
	if n := countRankedFirst(&tr, 100*time.Millisecond, "a"); n > 0 {
		t.Errorf("replica ranked first %d of 200 times during its backoff, want 0", n)
	}
	if n := countRankedFirst(&tr, 5*time.Second, "a"); n < 30 {
		t.Errorf("replica ranked first %d of 200 times after 5 s, want at least 30", n)
	}
}

func TestReplicaWithFewerRequestsInFlightIsRankedFirst(t *testing.T) {
	var tr tracker.Tracker
	tr.RecordStart(0, "a")
	tr.RecordStart(0, "b")
	if n := countRankedFirst(&tr, 0, "c"); n != 200 {
		t.Errorf("idle replica ranked first %d of 200 times, want 200", n)
	}
	tr.RecordEnd("a")
	if n := countRankedFirst(&tr, 0, "a"); n < 30 {
		t.Errorf("replica whose caller disconnected ranked first %d of 200 times, want at least 30", n)
	}
}

// Replicas come and go under new ids for days.
func TestRecordsOfFormerReplicasAreRemoved(t *testing.T) {
	var tr tracker.Tracker
	tr.RecordStart(0, "in use")
	for n := range 10_000 {
		now, id := time.Duration(n)*time.Minute, fmt.Sprint("replica_", n)
		tr.RecordStart(now, id)
		tr.RecordAnswer(now, id, time.Millisecond, false)
	}
	if n := tr.Size(); n > 50 {
		t.Errorf("%d records after 10,000 replicas with one request each", n)
	}
	tr.RecordStart(20_000*time.Minute, "new")
	if tr.Size() != 2 {
		t.Errorf("%d records, want those of the new replica and of the one with a request in flight", tr.Size())
	}
}

// Many streams of one engine stall at once, and it goes on a moment later.
func TestStallsOfOneSilenceAreOneBackoff(t *testing.T) {
	var tr tracker.Tracker
	for range 20 {
		tr.RecordStart(time.Second, "e")
		tr.RecordStall(time.Second, "e")
	}
	if !tr.Failing(1300*time.Millisecond, "e") || tr.Failing(1500*time.Millisecond, "e") {
		t.Error("the backoff of one silence should last 0.4 s, however many streams stall in it")
	}
	tr.RecordStall(2*time.Second, "e")
	tr.RecordStallEnd("e")
	if tr.Failing(2*time.Second, "e") {
		t.Error("the engine is avoided after it has gone on")
	}
}
