package watcher_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/watcher"
)

// changeLimit is the time within which a change must be in force.
const changeLimit = 2 * time.Second

// startWatcher runs a watcher; isReader sets whether it reads the platform for others.
func startWatcher(t *testing.T, p *fakePlatform, isReader bool) *watcher.Watcher {
	t.Helper()
	return runWatcher(t, &watcher.Watcher{Platform: p, PropagationLimit: changeLimit, IsReader: func() bool { return isReader }})
}

// relayFromPeer transfers the state of one watcher to another, as heartbeats and the call published.get do between VMs.
func relayFromPeer(to, from *watcher.Watcher) {
	known := from.Published()
	to.ConfirmRevision(known.Revision, known.Reading.WithAge(from.Clock()-known.ReadAt))
	if known.Revision.NewerThan(to.Published().Revision) {
		to.ApplyRelay(known.Contract, from.ChangesFor(fuchsiaspoke.PublicationQuery{Revision: to.Published().Revision}), "peer")
	}
}

func (p *fakePlatform) callCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// In a large fleet, the platform would be overloaded if each VM read it once a second.
func TestNonReaderDoesNotPollPlatformWhilePeersRelay(t *testing.T) {
	readerPlatform, nonReaderPlatform := &fakePlatform{}, &fakePlatform{}
	for _, p := range []*fakePlatform{readerPlatform, nonReaderPlatform} {
		p.publish(contractPublication(1))
	}
	reader, other := startWatcher(t, readerPlatform, true), startWatcher(t, nonReaderPlatform, false)
	waitUntil(t, time.Second, "the contract", func() bool { return contractVersion(reader) == 1 && contractVersion(other) == 1 })
	callsBefore := nonReaderPlatform.callCount()
	for n := range 30 {
		readerPlatform.publish(replicaPublication(fmt.Sprint(n)))
		time.Sleep(100 * time.Millisecond)
		relayFromPeer(other, reader)
	}
	waitUntil(t, changeLimit, "all replicas", func() bool {
		relayFromPeer(other, reader)
		return len(other.Published().Replicas) == 30
	})
	if callCount := nonReaderPlatform.callCount() - callsBefore; callCount > 1 {
		t.Errorf("%d calls to the platform in 3 s, want at most 1", callCount)
	}
}

// A contract is large: if many VMs fetched a changed contract from one VM, its link would be saturated.
func TestNewerPeerContractIsReadFromPlatform(t *testing.T) {
	p := &fakePlatform{}
	p.publish(contractPublication(1))
	w := startWatcher(t, p, false)
	waitUntil(t, time.Second, "the contract", func() bool { return contractVersion(w) == 1 })
	p.publish(contractPublication(2))
	p.publish(replicaPublication("later"))
	relay := fuchsiaspoke.PublicationRelay{Revision: revision(3), Since: revision(1), ContractVersion: 2, Changes: []fuchsiaspoke.PublicationChange{
		{Name: "later", Revision: revision(3), Replica: replicaPublication("later").Replica},
	}}
	w.ApplyRelay(nil, relay, "peer")
	if w.Published().Revision != revision(1) {
		t.Fatalf("revision %s in force, want 1: the relay depends on a contract that is not known yet", w.Published().Revision)
	}
	w.ObservePeerContract(2)
	waitUntil(t, changeLimit/2, "the contract and the replica published after it", func() bool {
		return contractVersion(w) == 2 && len(w.Published().Replicas) == 1
	})
}

// While many replicas change, the few VMs that read the platform can be too busy to relay every revision. A draining replica
// was then still used for 3 s (liuteria-commesse-grown, mix, seed 302537015557).
func TestMissedRevisionIsReadFromPlatformAtOnce(t *testing.T) {
	const readDeadline = changeLimit / 8
	p := &fakePlatform{}
	p.publish(contractPublication(1))
	w := startWatcher(t, p, false)
	waitUntil(t, time.Second, "the contract", func() bool { return contractVersion(w) == 1 })
	for n := range 5 {
		// The watcher's last call to the platform must be longer ago than the minimum time between two calls.
		for i := range 10 {
			time.Sleep(changeLimit / 20)
			w.ConfirmRevision(w.Published().Revision, fuchsiaspoke.Reading{Reader: 2, Number: uint32(10*n + i)})
		}
		p.publish(replicaPublication(fmt.Sprint(n)))
		w.ObserveMissedRevision(revision(w.Published().Revision.Number + 1))
		waitUntil(t, readDeadline, "the replica", func() bool { return len(w.Published().Replicas) == n+1 })
	}
}

// A VM that is partitioned from all peers, but not from the platform, must read the platform itself.
func TestNonReaderWithoutRelaysReadsPlatformWithinLimit(t *testing.T) {
	p := &fakePlatform{}
	p.publish(contractPublication(1))
	w := startWatcher(t, p, false)
	waitUntil(t, time.Second, "the contract", func() bool { return contractVersion(w) == 1 })
	for n := range 3 {
		p.publish(replicaPublication(fmt.Sprint(n)))
		waitUntil(t, changeLimit, "the replica", func() bool { return len(w.Published().Replicas) == n+1 })
	}
}

// Relays of single changes and of the whole state must yield the same replicas as reading the platform, while replicas are
// published and withdrawn.
func TestRelayedReplicasEqualReadReplicas(t *testing.T) {
	p := &fakePlatform{}
	p.publish(contractPublication(1))
	w := startWatcher(t, p, true)
	waitUntil(t, time.Second, "the contract", func() bool { return contractVersion(w) == 1 })
	random := rand.New(rand.NewPCG(1, 1))
	var others [3]*watcher.Watcher
	for n := range others {
		others[n] = &watcher.Watcher{
			Platform: &fakePlatform{down: true}, Clock: func() time.Duration { return time.Second }, Log: func(string, ...any) {},
		}
	}
	for round := range 12 {
		for range random.IntN(60) {
			item := replicaPublication(fmt.Sprint("replica_", random.IntN(20)))
			if random.IntN(3) == 0 {
				item = fuchsiaspoke.Publication{Name: item.Name, Withdrawn: true}
			}
			p.publish(item)
		}
		p.mu.Lock()
		newest := revision(p.revision)
		p.mu.Unlock()
		waitUntil(t, changeLimit, "the changes", func() bool { return w.Published().Revision == newest })
		for n, other := range others {
			if random.IntN(3) < n {
				continue
			}
			relayFromPeer(other, w)
			if !reflect.DeepEqual(other.Published().Replicas, w.Published().Replicas) {
				t.Fatalf("round %d: VM %d has replicas %v, the reader has %v", round, n, other.Published().Replicas, w.Published().Replicas)
			}
		}
	}
}
