package permitter_test

import (
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/permitter"
)

func replica(id string, startedAtMs int64) fuchsiaspoke.Replica {
	return fuchsiaspoke.Replica{ID: id, Service: "s", Address: id, State: fuchsiaspoke.ReplicaReady, StartedAtMs: startedAtMs}
}

func newPermitter(now *time.Duration, replicas ...fuchsiaspoke.Replica) *permitter.Permitter {
	published := &fuchsiaspoke.PublishedState{Replicas: map[string]fuchsiaspoke.Replica{}}
	for _, r := range replicas {
		published.Replicas[r.ID] = r
	}
	return &permitter.Permitter{
		Published: func() *fuchsiaspoke.PublishedState { return published },
		MarkDraining: func(i fuchsiaspoke.ReplicaIncarnation) {
			published.Replicas[i.ID] = published.Replicas[i.ID].WithState(fuchsiaspoke.ReplicaDraining)
		},
		Clock: func() time.Duration { return *now }, Log: func(string, ...any) {}, Count: func(string) {},
	}
}

func TestPauseEndsWithItsTimeOrTheReplicasProcess(t *testing.T) {
	now := time.Second
	a, b := replica("a", 1), replica("b", 1)
	p := newPermitter(&now, a, b)
	p.Observe(a, fuchsiaspoke.ReplicaNotice{Pause: 2 * time.Second})
	p.Observe(a, fuchsiaspoke.ReplicaNotice{Pause: time.Second})
	if p.MaySend(a) || !p.MaySend(b) || len(p.Ready("s")) != 1 || p.ResumesIn("s") != 0 {
		t.Errorf("may send to a %v, to b %v; ready %v", p.MaySend(a), p.MaySend(b), p.Ready("s"))
	}
	p.Observe(b, fuchsiaspoke.ReplicaNotice{Pause: 5 * time.Second})
	if got := p.ResumesIn("s"); got != 2*time.Second {
		t.Errorf("the first replica is ready in %v, want the longer pause of a, 2 s", got)
	}
	if restarted := newPermitter(&now, replica("a", 2)); !restarted.MaySend(replica("a", 2)) || restarted.MaySend(a) {
		t.Error("the pause outlived the replica's process")
	}
	now = 3 * time.Second
	if !p.MaySend(a) || p.MaySend(b) {
		t.Errorf("after 2 s: may send to a %v, to b %v, want only a", p.MaySend(a), p.MaySend(b))
	}
}

func TestDrainingReplicaIsSentNothing(t *testing.T) {
	now := time.Second
	a, b := replica("a", 1), replica("b", 1)
	p := newPermitter(&now, a, b)
	p.Observe(a, fuchsiaspoke.ReplicaNotice{Draining: true})
	if p.MaySend(a) || !p.MaySend(b) || len(p.Ready("s")) != 1 {
		t.Errorf("may send to a %v, to b %v", p.MaySend(a), p.MaySend(b))
	}
	p.Observe(b, fuchsiaspoke.ReplicaNotice{Draining: true})
	if len(p.Ready("s")) != 0 || p.ResumesIn("s") != 0 {
		t.Errorf("ready %v, resumes in %v, want none and 0", p.Ready("s"), p.ResumesIn("s"))
	}
}
