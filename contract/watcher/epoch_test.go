package watcher_test

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/watcher"
)

// platformBackup is what a platform held at one time.
type platformBackup struct {
	revision int64
	items    map[string]fuchsiaspoke.Publication
}

func (p *fakePlatform) backup() platformBackup {
	p.mu.Lock()
	defer p.mu.Unlock()
	return platformBackup{p.revision, maps.Clone(p.items)}
}

// restore starts a new epoch with what the platform held at the time of the backup.
func (p *fakePlatform) restore(c platformBackup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch++
	p.revision, p.items, p.events = c.revision, maps.Clone(c.items), nil
}

func (p *fakePlatform) listCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lists
}

func withState(id string, s fuchsiaspoke.ReplicaState) fuchsiaspoke.Publication {
	return fuchsiaspoke.Publication{Name: id, Replica: &fuchsiaspoke.Replica{ID: id, State: s, StartedAtMs: 1}}
}

func adapterPublication(version int64) fuchsiaspoke.Publication {
	return fuchsiaspoke.Publication{Name: "adapter", Adapter: &fuchsiaspoke.AdapterVersion{
		Model: "m", Adapter: fuchsiaspoke.Adapter{Name: "a", Version: version},
	}}
}

func stateOf(w *watcher.Watcher, id string) fuchsiaspoke.ReplicaState {
	return w.Published().Replicas[id].State
}

// The platform is restored from a backup, so that its revisions are lower than the known one. What is published next has numbers that
// were given out before.
func TestChangesAreFollowedAfterPlatformIsRestoredFromABackup(t *testing.T) {
	p := &fakePlatform{}
	p.publish(contractPublication(1))
	w := startReader(t, p)
	waitUntil(t, time.Second, "the contract", func() bool { return contractVersion(w) == 1 })
	for epoch := range 3 {
		c := p.backup()
		for range 5 {
			p.publish(replicaPublication("lost"))
		}
		waitUntil(t, changeLimit, "the replica", func() bool { return w.Published().Revision.Number == c.revision+5 })
		lists := p.listCount()
		p.restore(c)
		id := string(rune('a' + epoch))
		p.publish(replicaPublication(id))
		waitUntil(t, changeLimit, "a replica published in the new epoch", func() bool { return stateOf(w, id) == fuchsiaspoke.ReplicaReady })
		if n := p.listCount() - lists; n != 1 {
			t.Errorf("epoch %d: %d lists, want 1", epoch+1, n)
		}
	}
}

// The new epoch has passed the known number before the platform is read again, so that a watch after this number succeeds.
func TestEpochIsNoticedWhereNumbersOverlap(t *testing.T) {
	p := &fakePlatform{}
	p.publish(contractPublication(1))
	w := startReader(t, p)
	waitUntil(t, time.Second, "the contract", func() bool { return contractVersion(w) == 1 })
	c := p.backup()
	p.publish(replicaPublication("lost"))
	waitUntil(t, changeLimit, "the replica", func() bool { return len(w.Published().Replicas) == 1 })
	p.mu.Lock()
	p.epoch++
	p.revision, p.items, p.events = c.revision, maps.Clone(c.items), nil
	p.mu.Unlock()
	for _, id := range []string{"a", "b", "c"} {
		p.publish(replicaPublication(id))
	}
	waitUntil(t, changeLimit, "the replicas of the new epoch", func() bool {
		r := w.Published().Replicas
		return slices.Sorted(maps.Keys(r))[0] == "a" && len(r) >= 3
	})
}

// An older backup does not undo what was in force: the contract, announced versions, that a replica drains, that one was withdrawn. A
// replica that the backup lacks stays until it has had time to be published again.
func TestOlderBackupUndoesNothing(t *testing.T) {
	p := &fakePlatform{}
	p.publish(contractPublication(1))
	p.publish(adapterPublication(3))
	for _, id := range []string{"stays", "drains", "withdrawn"} {
		p.publish(withState(id, fuchsiaspoke.ReplicaReady))
	}
	w := startReader(t, p)
	c := p.backup()
	waitUntil(t, time.Second, "the replicas", func() bool { return len(w.Published().Replicas) == 3 })
	p.publish(contractPublication(2))
	p.publish(adapterPublication(4))
	p.publish(withState("drains", fuchsiaspoke.ReplicaDraining))
	p.publish(fuchsiaspoke.Publication{Name: "withdrawn", Withdrawn: true})
	p.publish(withState("lives", fuchsiaspoke.ReplicaReady))
	p.publish(withState("dies", fuchsiaspoke.ReplicaReady))
	newest := fuchsiaspoke.Revision{Number: c.revision + 6}
	waitUntil(t, changeLimit, "the changes", func() bool { return w.Published().Revision == newest })
	p.restore(c)
	waitUntil(t, changeLimit, "the new epoch", func() bool { return w.Published().Revision.Epoch == 1 })
	s := w.Published()
	if s.Contract.Version != 2 || s.AdapterVersion("m", "a") != 4 {
		t.Errorf("contract %d, adapter version %d, want 2 and 4", s.Contract.Version, s.AdapterVersion("m", "a"))
	}
	for id, want := range map[string]fuchsiaspoke.ReplicaState{
		"stays": fuchsiaspoke.ReplicaReady, "drains": fuchsiaspoke.ReplicaDraining, "withdrawn": "",
		"lives": fuchsiaspoke.ReplicaReady, "dies": fuchsiaspoke.ReplicaReady,
	} {
		if got := stateOf(w, id); got != want {
			t.Errorf("replica %q has state %q, want %q", id, got, want)
		}
	}
	p.publish(withState("lives", fuchsiaspoke.ReplicaReady))
	waitUntil(t, 4*time.Second, "the end of the replica that is not published again", func() bool { return stateOf(w, "dies") == "" })
	if stateOf(w, "lives") != fuchsiaspoke.ReplicaReady || stateOf(w, "drains") != fuchsiaspoke.ReplicaDraining {
		t.Errorf("states %q and %q, want ready and draining", stateOf(w, "lives"), stateOf(w, "drains"))
	}
}

// A VM that hears of the new epoch from a peer takes its state over, although its numbers are lower; a peer of an older epoch is ignored.
func TestRelayOfNewerEpochReplacesHigherNumbers(t *testing.T) {
	relay := func(epoch, number int64, id string) fuchsiaspoke.PublicationRelay {
		return fuchsiaspoke.PublicationRelay{
			Revision: fuchsiaspoke.Revision{Epoch: epoch, Number: number}, Whole: true,
			Replicas: map[string]fuchsiaspoke.Replica{id: {ID: id, State: fuchsiaspoke.ReplicaReady}},
		}
	}
	now := time.Second
	w := &watcher.Watcher{Platform: &fakePlatform{}, Clock: func() time.Duration { return now }, Log: func(string, ...any) {}}
	c := &fuchsiaspoke.Contract{Version: 1}
	w.ApplyRelay(c, relay(1, 900, "old"), "peer")
	w.ApplyRelay(nil, relay(2, 60, "new"), "peer")
	if got := w.Published().Revision; got != (fuchsiaspoke.Revision{Epoch: 2, Number: 60}) || stateOf(w, "new") == "" {
		t.Errorf("revision %s, want 2.60 with its replica", got)
	}
	w.ApplyRelay(nil, relay(1, 950, "late"), "peer")
	w.ConfirmRevision(fuchsiaspoke.Revision{Epoch: 1, Number: 60}, fuchsiaspoke.Reading{Reader: 2, Number: 1})
	if got := w.Published().Revision; got.Epoch != 2 || stateOf(w, "late") != "" {
		t.Errorf("revision %s after a relay of an older epoch, want 2.60", got)
	}
}

// A VM that starts after the platform was restored from a backup finds an older contract there than its peers have.
func TestPlatformLacksContractThatPeersHave(t *testing.T) {
	p := &fakePlatform{}
	p.publish(contractPublication(1))
	w := startReader(t, p)
	waitUntil(t, time.Second, "the contract", func() bool { return contractVersion(w) == 1 })
	if w.PlatformLacksContract() {
		t.Error("the platform lacks a contract although no peer has a newer one")
	}
	w.ObservePeerContract(2)
	waitUntil(t, changeLimit, "that the platform lacks the contract", w.PlatformLacksContract)
	p.publish(contractPublication(2))
	waitUntil(t, changeLimit, "the contract", func() bool { return contractVersion(w) == 2 })
	if w.PlatformLacksContract() {
		t.Error("the platform lacks the contract that was read from it")
	}
}

// listCounter counts the lists of one VM.
type listCounter struct {
	*fakePlatform
	lists atomic.Int64
}

func (c *listCounter) List(ctx context.Context) (fuchsiaspoke.PublicationList, error) {
	c.lists.Add(1)
	return c.fakePlatform.List(ctx)
}

// A new epoch costs one list for each VM that reads the platform. The others take it from readers, but for a few that read once
// themselves, as no reader has confirmed their state for 0.8 s.
func TestNewEpochIsNotListedByEachVM(t *testing.T) {
	for _, fleet := range []struct{ vms, readers int }{{6, 2}, {195, 11}} {
		p := &fakePlatform{}
		p.publish(contractPublication(1))
		watchers, counters := make([]*watcher.Watcher, fleet.vms), make([]*listCounter, fleet.vms)
		for n := range watchers {
			counters[n] = &listCounter{fakePlatform: p}
			watchers[n] = runWatcher(t, &watcher.Watcher{
				Platform: counters[n], PropagationLimit: changeLimit, IsReader: func() bool { return n < fleet.readers },
			})
		}
		relayUntil := func(what string, reached func(*watcher.Watcher) bool) {
			waitUntil(t, 5*time.Second, what, func() bool {
				for n, w := range watchers[fleet.readers:] {
					relayFromPeer(w, watchers[n%fleet.readers])
					relayFromPeer(w, watchers[(n+1)%fleet.readers])
				}
				return !slices.ContainsFunc(watchers, func(w *watcher.Watcher) bool { return !reached(w) })
			})
		}
		relayUntil("the contract", func(w *watcher.Watcher) bool { return contractVersion(w) == 1 })
		c := p.backup()
		p.publish(replicaPublication("lost"))
		before := make([]int64, fleet.vms)
		for n := range counters {
			before[n] = counters[n].lists.Load()
		}
		p.restore(c)
		p.publish(replicaPublication("kept"))
		relayUntil("the new epoch", func(w *watcher.Watcher) bool { return stateOf(w, "kept") != "" })
		total := int64(0)
		for n := range counters {
			lists := counters[n].lists.Load() - before[n]
			total += lists
			if lists > 1 {
				t.Errorf("%d VMs: VM %d listed %d times, want at most once", fleet.vms, n, lists)
			}
		}
		if total > 2*int64(fleet.readers) {
			t.Errorf("%d VMs: %d lists, want at most two for each of %d readers", fleet.vms, total, fleet.readers)
		}
	}
}
