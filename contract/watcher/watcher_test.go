package watcher_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/watcher"
)

// fakePlatform is a platform that can leave calls without a response, discard its change history, and fail calls.
type fakePlatform struct {
	mu       sync.Mutex
	revision int64
	epoch    int64
	items    map[string]fuchsiaspoke.Publication
	events   []fuchsiaspoke.Publication
	calls    int
	lists    int
	// Calls that begin before the time hanging get no response.
	hanging time.Time
	// historyGone makes the next watch fail with ErrHistoryDiscarded.
	historyGone bool
	// down makes all calls fail at once.
	down bool
}

func (p *fakePlatform) publish(item fuchsiaspoke.Publication) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	item.Revision = fuchsiaspoke.Revision{Epoch: p.epoch, Number: p.revision}
	if p.items == nil {
		p.items = map[string]fuchsiaspoke.Publication{}
	}
	p.items[item.Name] = item
	if item.Withdrawn {
		delete(p.items, item.Name)
	}
	p.events = append(p.events, item)
}

func (p *fakePlatform) beginCall(ctx context.Context) error {
	p.mu.Lock()
	p.calls++
	hanging, down := time.Now().Before(p.hanging), p.down
	p.mu.Unlock()
	if hanging {
		<-ctx.Done()
		return ctx.Err()
	}
	if down {
		return errors.New("down")
	}
	return nil
}

func (p *fakePlatform) List(ctx context.Context) (fuchsiaspoke.PublicationList, error) {
	if err := p.beginCall(ctx); err != nil {
		return fuchsiaspoke.PublicationList{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists++
	list := fuchsiaspoke.PublicationList{Revision: fuchsiaspoke.Revision{Epoch: p.epoch, Number: p.revision}}
	for _, item := range p.items {
		list.Items = append(list.Items, item)
	}
	return list, nil
}

func (p *fakePlatform) Watch(ctx context.Context, after int64, wait time.Duration) (fuchsiaspoke.PublicationList, error) {
	if err := p.beginCall(ctx); err != nil {
		return fuchsiaspoke.PublicationList{}, err
	}
	end := time.Now().Add(wait)
	for {
		p.mu.Lock()
		if p.historyGone || after > p.revision {
			p.historyGone = false
			p.mu.Unlock()
			return fuchsiaspoke.PublicationList{}, fuchsiaspoke.ErrHistoryDiscarded
		}
		list := fuchsiaspoke.PublicationList{Revision: fuchsiaspoke.Revision{Epoch: p.epoch, Number: p.revision}}
		for _, e := range p.events {
			if e.Revision.Number > after {
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

// revision returns a revision of the first epoch.
func revision(number int64) fuchsiaspoke.Revision { return fuchsiaspoke.Revision{Number: number} }

func contractPublication(version int64) fuchsiaspoke.Publication {
	return fuchsiaspoke.Publication{Name: "contract", Contract: &fuchsiaspoke.Contract{Version: version}}
}

func replicaPublication(id string) fuchsiaspoke.Publication {
	return fuchsiaspoke.Publication{Name: id, Replica: &fuchsiaspoke.Replica{ID: id, State: fuchsiaspoke.ReplicaReady}}
}

// startReader runs a watcher that reads the platform for others.
func startReader(t *testing.T, p *fakePlatform) *watcher.Watcher {
	t.Helper()
	return runWatcher(t, &watcher.Watcher{Platform: p})
}

// watcherCount is the number of watchers that tests have run.
var watcherCount atomic.Uint32

// runWatcher runs the watcher until the test ends. Its reads are told from those of all other watchers without a number of their own.
func runWatcher(t *testing.T, w *watcher.Watcher) *watcher.Watcher {
	t.Helper()
	if w.Reader == 0 {
		w.Reader = fuchsiaspoke.ReaderID(fmt.Sprint("watcher ", watcherCount.Add(1)))
	}
	started := time.Now()
	w.Clock, w.Log = func() time.Duration { return time.Since(started) }, func(string, ...any) {}
	ctx, cancel := context.WithCancel(context.Background())
	done := w.Run(ctx)
	t.Cleanup(func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	return w
}

// waitUntil fails the test if the condition does not hold within the limit.
func waitUntil(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	end := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(end) {
			t.Fatalf("%s: not seen within %v", what, limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func contractVersion(w *watcher.Watcher) int64 {
	if c := w.Published().Contract; c != nil {
		return c.Version
	}
	return 0
}

// A call that is lost while the platform does not respond must not delay the first read after the outage (hunt mix, seed
// 721622797704).
func TestChangeIsAppliedWithin2sAfterUnresponsivePlatform(t *testing.T) {
	for _, outage := range []time.Duration{600 * time.Millisecond, 1900 * time.Millisecond, 2600 * time.Millisecond} {
		p := &fakePlatform{}
		p.publish(contractPublication(5))
		w := startReader(t, p)
		waitUntil(t, 2*time.Second, "the first contract", func() bool { return contractVersion(w) == 5 })
		p.mu.Lock()
		p.hanging = time.Now().Add(outage)
		p.mu.Unlock()
		time.Sleep(outage)
		p.publish(contractPublication(11))
		waitUntil(t, 2*time.Second, "the change after "+outage.String(), func() bool { return contractVersion(w) == 11 })
	}
}

// A change must be in force within 1.5 s while the platform responds.
func TestChangeIsAppliedWithin1500ms(t *testing.T) {
	p := &fakePlatform{}
	p.publish(contractPublication(5))
	w := startReader(t, p)
	waitUntil(t, time.Second, "the first contract", func() bool { return contractVersion(w) == 5 })
	for n := int64(6); n < 9; n++ {
		p.publish(contractPublication(n))
		waitUntil(t, 1500*time.Millisecond, "a change", func() bool { return contractVersion(w) == n })
	}
}

func TestOlderContractIsIgnored(t *testing.T) {
	p := &fakePlatform{}
	p.publish(contractPublication(9))
	w := startReader(t, p)
	waitUntil(t, time.Second, "the contract", func() bool { return contractVersion(w) == 9 })
	w.ApplyRelay(&fuchsiaspoke.Contract{Version: 7}, fuchsiaspoke.PublicationRelay{}, "peer")
	p.publish(contractPublication(8))
	p.publish(replicaPublication("later"))
	waitUntil(t, 2*time.Second, "the replica published after the older contract", func() bool { return len(w.Published().Replicas) == 1 })
	if v := contractVersion(w); v != 9 {
		t.Fatalf("contract version %d in force, want 9: older versions must be ignored", v)
	}
}

func TestRelayIsAppliedWhilePlatformIsDown(t *testing.T) {
	p := &fakePlatform{down: true}
	w := startReader(t, p)
	relay := fuchsiaspoke.PublicationRelay{
		Revision: revision(40), Whole: true, Replicas: map[string]fuchsiaspoke.Replica{"r": {ID: "r", State: fuchsiaspoke.ReplicaReady}},
	}
	w.ApplyRelay(&fuchsiaspoke.Contract{Version: 7}, relay, "peer")
	if contractVersion(w) != 7 || len(w.Published().Replicas) != 1 {
		t.Fatalf("in force: contract version %d, %d replicas; want version 7, 1 replica", contractVersion(w), len(w.Published().Replicas))
	}
}

func TestLostChangeHistoryTriggersFullList(t *testing.T) {
	p := &fakePlatform{}
	p.publish(contractPublication(5))
	p.publish(replicaPublication("a"))
	w := startReader(t, p)
	waitUntil(t, time.Second, "the replica", func() bool { return len(w.Published().Replicas) == 1 })
	p.mu.Lock()
	delete(p.items, "a")
	p.historyGone = true
	p.mu.Unlock()
	waitUntil(t, 3*time.Second, "the removal of the replica", func() bool { return len(w.Published().Replicas) == 0 })
}

func TestReplicaAbsentAfterOutageIsRemovedAfterGracePeriod(t *testing.T) {
	p := &fakePlatform{}
	p.publish(replicaPublication("stays"))
	p.publish(replicaPublication("lost"))
	w := startReader(t, p)
	waitUntil(t, time.Second, "both replicas", func() bool { return len(w.Published().Replicas) == 2 })
	p.mu.Lock()
	p.down = true
	p.mu.Unlock()
	time.Sleep(1500 * time.Millisecond)
	p.mu.Lock()
	delete(p.items, "lost")
	p.down, p.historyGone = false, true
	p.mu.Unlock()
	time.Sleep(1200 * time.Millisecond)
	if n := len(w.Published().Replicas); n != 2 {
		t.Fatalf("%d replicas within the grace period after the outage, want 2: the missing one may be published again", n)
	}
	waitUntil(t, 4*time.Second, "the removal of the missing replica", func() bool { return len(w.Published().Replicas) == 1 })
}
