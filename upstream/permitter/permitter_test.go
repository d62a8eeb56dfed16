package permitter_test

import (
	"context"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/permitter"
)

func replica(id string, startedAtMs int64) fuchsiaspoke.Replica {
	return fuchsiaspoke.Replica{ID: id, Service: "s", Address: id, State: fuchsiaspoke.ReplicaReady, StartedAtMs: startedAtMs}
}

// limitsStandin denies replicas for a time, and records what it is told.
type limitsStandin struct {
	denied map[string]time.Duration
	named  map[string]float64
	ended  map[string]time.Duration
}

func (l *limitsStandin) NameBrittle(string) {}

func (l *limitsStandin) Name(r fuchsiaspoke.Replica, perSecond float64)   { l.named[r.ID] = perSecond }
func (l *limitsStandin) End(r fuchsiaspoke.Replica, sentAt time.Duration) { l.ended[r.ID] = sentAt }
func (l *limitsStandin) Limited(i fuchsiaspoke.ReplicaIncarnation) bool   { return l.denied[i.ID] > 0 }

func (l *limitsStandin) Take(_ context.Context, i fuchsiaspoke.ReplicaIncarnation) (bool, time.Duration) {
	return l.denied[i.ID] == 0, l.denied[i.ID]
}

func newLimits() *limitsStandin {
	return &limitsStandin{denied: map[string]time.Duration{}, named: map[string]float64{}, ended: map[string]time.Duration{}}
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
		Limits: newLimits(), Clock: func() time.Duration { return *now }, Log: func(string, ...any) {}, Count: func(string) {},
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

// A replica whose limit is reached takes no requests of this VM for the time said, while reports and orders go on.
func TestReachedLimitKeepsBackRequestsAlone(t *testing.T) {
	now := time.Second
	a, b := replica("a", 1), replica("b", 1)
	p := newPermitter(&now, a, b)
	l := p.Limits.(*limitsStandin)
	if !p.Take(context.Background(), a) || p.AnyLimitReached() {
		t.Error("a replica without a limit takes no request")
	}
	l.denied["a"] = 2 * time.Second
	if p.Take(context.Background(), a) || p.MaySend(a) || !p.MayCall(a) || !p.MaySend(b) || !p.AnyLimitReached() {
		t.Errorf("may send to a %v, call it %v, send to b %v", p.MaySend(a), p.MayCall(a), p.MaySend(b))
	}
	if ready := p.Ready("s"); len(ready) != 1 || ready[0].ID != "b" || p.ResumesIn("s") != 0 {
		t.Errorf("ready %v, resumes in %v, want b now", ready, p.ResumesIn("s"))
	}
	l.denied["b"] = 5 * time.Second
	p.Take(context.Background(), b)
	if got := p.ResumesIn("s"); got != 2*time.Second {
		t.Errorf("the first replica takes requests in %v, want 2 s", got)
	}
	now += 2 * time.Second
	if !p.MaySend(a) || p.MaySend(b) {
		t.Error("the wait of a did not end, or that of b did")
	}
	delete(l.denied, "b")
	if !p.MaySend(b) {
		t.Error("the end of the limit of b did not end its wait")
	}
}

// A head that names no limit ends it, one that names a limit which can't be read does not.
func TestAnswerWithoutLimitEndsIt(t *testing.T) {
	now := time.Second
	a := replica("a", 1)
	p := newPermitter(&now, a)
	l, limit := p.Limits.(*limitsStandin), 0.5
	p.ObserveAnswer(a, fuchsiaspoke.ReplicaNotice{Limit: &limit}, now)
	p.ObserveAnswer(a, fuchsiaspoke.ReplicaNotice{LimitUnreadable: true}, now)
	p.Observe(a, fuchsiaspoke.ReplicaNotice{})
	if l.named["a"] != 0.5 || len(l.ended) != 0 {
		t.Errorf("named %v, ended %v, want 0.5 in force", l.named, l.ended)
	}
	p.ObserveAnswer(a, fuchsiaspoke.ReplicaNotice{}, 700*time.Millisecond)
	if l.ended["a"] != 700*time.Millisecond {
		t.Errorf("ended %v, want as of the send of the request", l.ended)
	}
}
