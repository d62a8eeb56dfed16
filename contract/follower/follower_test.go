package follower_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/follower"
)

// publisher is a platform that can swallow calls, forget its history and fail.
type publisher struct {
	mu       sync.Mutex
	revision int64
	items    map[string]fuchsiaspoke.Publication
	events   []fuchsiaspoke.Publication
	calls    int
	// deaf calls that begin before that time are never answered.
	deaf time.Time
	gone bool
	down bool
}

func (p *publisher) put(item fuchsiaspoke.Publication) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	item.Revision = p.revision
	if p.items == nil {
		p.items = map[string]fuchsiaspoke.Publication{}
	}
	p.items[item.Name] = item
	if item.Withdrawn {
		delete(p.items, item.Name)
	}
	p.events = append(p.events, item)
}

func (p *publisher) answer(ctx context.Context) error {
	p.mu.Lock()
	p.calls++
	deaf, down := time.Now().Before(p.deaf), p.down
	p.mu.Unlock()
	if deaf {
		<-ctx.Done()
		return ctx.Err()
	}
	if down {
		return errors.New("down")
	}
	return nil
}

func (p *publisher) List(ctx context.Context) (fuchsiaspoke.PublicationList, error) {
	if err := p.answer(ctx); err != nil {
		return fuchsiaspoke.PublicationList{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := fuchsiaspoke.PublicationList{Revision: p.revision}
	for _, item := range p.items {
		list.Items = append(list.Items, item)
	}
	return list, nil
}

func (p *publisher) Watch(ctx context.Context, after int64, wait time.Duration) (fuchsiaspoke.PublicationList, error) {
	if err := p.answer(ctx); err != nil {
		return fuchsiaspoke.PublicationList{}, err
	}
	end := time.Now().Add(wait)
	for {
		p.mu.Lock()
		if p.gone {
			p.gone = false
			p.mu.Unlock()
			return fuchsiaspoke.PublicationList{}, fuchsiaspoke.ErrHistoryGone
		}
		list := fuchsiaspoke.PublicationList{Revision: p.revision}
		for _, e := range p.events {
			if e.Revision > after {
				list.Items = append(list.Items, e)
			}
		}
		p.mu.Unlock()
		if len(list.Items) > 0 || time.Now().After(end) {
			return list, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func contract(version int64) fuchsiaspoke.Publication {
	return fuchsiaspoke.Publication{Name: "contract", Contract: &fuchsiaspoke.Contract{Version: version}}
}

func replica(id string) fuchsiaspoke.Publication {
	return fuchsiaspoke.Publication{Name: id, Replica: &fuchsiaspoke.Replica{ID: id, State: fuchsiaspoke.ReplicaReady}}
}

func start(t *testing.T, p *publisher) *follower.Follower {
	t.Helper()
	return run(t, &follower.Follower{Platform: p})
}

// run has the follower read until the test ends.
func run(t *testing.T, f *follower.Follower) *follower.Follower {
	t.Helper()
	began := time.Now()
	f.Clock, f.Log = func() time.Duration { return time.Since(began) }, func(string, ...any) {}
	ctx, cancel := context.WithCancel(context.Background())
	done := f.Run(ctx)
	t.Cleanup(func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	return f
}

// within waits until the condition holds.
func within(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	end := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func version(f *follower.Follower) int64 {
	if c := f.Published().Contract; c != nil {
		return c.Version
	}
	return 0
}

// The pattern: the platform is silent, and a call that was lost in the outage outlasts it (hunt mix, seed 721622797704).
func TestAChangeIsInForceSoonAfterASilentOutage(t *testing.T) {
	for _, outage := range []time.Duration{600 * time.Millisecond, 1900 * time.Millisecond, 2600 * time.Millisecond} {
		p := &publisher{}
		p.put(contract(5))
		f := start(t, p)
		within(t, 2*time.Second, "the first contract", func() bool { return version(f) == 5 })
		p.mu.Lock()
		p.deaf = time.Now().Add(outage)
		p.mu.Unlock()
		time.Sleep(outage)
		p.put(contract(11))
		within(t, 2*time.Second, "the change after "+outage.String(), func() bool { return version(f) == 11 })
	}
}

func TestAChangeIsInForceWithinItsTime(t *testing.T) {
	p := &publisher{}
	p.put(contract(5))
	f := start(t, p)
	within(t, time.Second, "the first contract", func() bool { return version(f) == 5 })
	for n := int64(6); n < 9; n++ {
		p.put(contract(n))
		within(t, 1500*time.Millisecond, "a change", func() bool { return version(f) == n })
	}
}

func TestAnOlderContractIsNeverTaken(t *testing.T) {
	p := &publisher{}
	p.put(contract(9))
	f := start(t, p)
	within(t, time.Second, "the contract", func() bool { return version(f) == 9 })
	f.Relay(&fuchsiaspoke.Contract{Version: 7}, fuchsiaspoke.PublishedRelay{}, "peer")
	p.put(contract(8))
	p.put(replica("later"))
	within(t, 2*time.Second, "what was published after it", func() bool { return len(f.Published().Replicas) == 1 })
	if v := version(f); v != 9 {
		t.Fatalf("version %d in force after 9", v)
	}
}

func TestAPeerTellsWhatThePlatformDoesNot(t *testing.T) {
	p := &publisher{down: true}
	f := start(t, p)
	relay := fuchsiaspoke.PublishedRelay{
		Revision: 40, Whole: true, Replicas: map[string]fuchsiaspoke.Replica{"r": {ID: "r", State: fuchsiaspoke.ReplicaReady}},
	}
	f.Relay(&fuchsiaspoke.Contract{Version: 7}, relay, "peer")
	if version(f) != 7 || len(f.Published().Replicas) != 1 {
		t.Fatalf("in force: version %d, %d replicas", version(f), len(f.Published().Replicas))
	}
}

func TestForgottenHistoryIsListedAnew(t *testing.T) {
	p := &publisher{}
	p.put(contract(5))
	p.put(replica("a"))
	f := start(t, p)
	within(t, time.Second, "the replica", func() bool { return len(f.Published().Replicas) == 1 })
	p.mu.Lock()
	delete(p.items, "a")
	p.gone = true
	p.mu.Unlock()
	within(t, 3*time.Second, "its end", func() bool { return len(f.Published().Replicas) == 0 })
}

func TestAReplicaThatIsNotBackAfterAnOutageIsGone(t *testing.T) {
	p := &publisher{}
	p.put(replica("stays"))
	p.put(replica("lost"))
	f := start(t, p)
	within(t, time.Second, "both replicas", func() bool { return len(f.Published().Replicas) == 2 })
	p.mu.Lock()
	p.down = true
	p.mu.Unlock()
	time.Sleep(1500 * time.Millisecond)
	p.mu.Lock()
	delete(p.items, "lost")
	p.down, p.gone = false, true
	p.mu.Unlock()
	time.Sleep(1200 * time.Millisecond)
	if n := len(f.Published().Replicas); n != 2 {
		t.Fatalf("%d replicas right after the outage, want 2: one may still come back", n)
	}
	within(t, 4*time.Second, "the end of the lost one", func() bool { return len(f.Published().Replicas) == 1 })
}
