// Package watcher maintains a copy of what the platform publishes, read from the platform or relayed by peer VMs.
package watcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/sleeper"
	"github.com/pkg/errors"
)

const (
	// readIntervalRatio is the minimum time between the starts of two calls, as a fraction of Watcher.PropagationLimit. It leaves
	// time within a limit of 2 s for one lost call that requests no wait, as calls after a failure do, one successful call, and
	// the relay of the change to other VMs.
	readIntervalRatio = 0.3
	// minReadInterval bounds the rate of calls to the platform where the limit is very short.
	minReadInterval = 300 * time.Millisecond
	// maxWatchWait is the longest time for which the platform may hold a watch open while there are no changes. A watch also ends
	// within half of the age at which other VMs would read the platform themselves.
	maxWatchWait = time.Second
	// responseTimeout is how long a call may take beyond the wait that it requests; a healthy platform responds within 4 ms.
	responseTimeout = 700 * time.Millisecond
	// slowResponseTimeout replaces responseTimeout for one in slowResponseEvery calls while calls fail, so that a platform
	// that is slow rather than down can still be read.
	slowResponseTimeout = 2500 * time.Millisecond
	slowResponseEvery   = 4
	// retryDelay is the delay before the next call after a failed one.
	retryDelay = 250 * time.Millisecond
	// readReserve is the time that a VM which is not a reader needs to read the platform itself: for one lost call that requests no
	// wait and one successful call. It does so once its state is so old that no more of Watcher.PropagationLimit is left.
	readReserve = 1200 * time.Millisecond
	// minStaleRatio is the least age, as a fraction of Watcher.PropagationLimit, at which it does so where the limit is short.
	minStaleRatio = 0.4
	// idlePollInterval is the interval at which a VM that is not reading checks whether it should.
	idlePollInterval = 50 * time.Millisecond
	// missingReplicaGrace is how long after an outage of the platform a full list may lack replicas that are still running, and
	// how long such a replica is kept once a list lacks it, as it may be published again.
	missingReplicaGrace = 2500 * time.Millisecond
)

type platform interface {
	List(ctx context.Context) (fuchsiaspoke.PublicationList, error)
	Watch(ctx context.Context, after int64, wait time.Duration) (fuchsiaspoke.PublicationList, error)
}

// Watcher holds the newest known state of the platform's publications; reading it never blocks.
type Watcher struct {
	Platform platform
	// Clock returns the time since the process started.
	Clock func() time.Duration
	// PropagationLimit is the time within which a published change must be in force on this VM.
	PropagationLimit time.Duration
	// Reader is the number by which other VMs know the reads of this one; 0 stands for 1.
	Reader uint16
	// IsReader reports whether this VM reads the platform for others. Any other VM calls the platform only while its own state is
	// stale or older than a peer's. Nil means true.
	IsReader func() bool
	// Log writes an event with alternating keys and values.
	Log func(event string, keysAndValues ...any)
	// Count counts an event by its name; nil counts nothing.
	Count func(event string)
	// UnixMs returns the wall clock's time in Unix milliseconds; nil means that of this machine.
	UnixMs func() int64

	state     atomic.Pointer[fuchsiaspoke.PublishedState]
	mu        sync.Mutex
	changeLog changeLog
	// newestPeerContract is the newest contract version that a peer has, and peerContractAt when this VM heard of it.
	newestPeerContract int64
	peerContractAt     time.Duration
	// lastReadStart is the start of the latest successful call to the platform.
	lastReadStart time.Duration
	// newestMissed is the newest revision that a peer has and that could not be fetched from it.
	newestMissed atomic.Pointer[fuchsiaspoke.Revision]
	// missingSince holds, by publication name, when a replica that is kept after an outage was first missing from a full list.
	missingSince map[string]time.Duration
	// lastRead is the number of this VM's last successful read, and readings what is known of other VMs' reads.
	lastRead     uint32
	readings     readings
	transit      transit
	withdrawals  withdrawals
	drainNotices drainNotices
	// failing is whether the last call to the platform failed; recoveredAt is when the last outage ended.
	failing     bool
	recoveredAt time.Duration
}

// Published returns the state in force. It is never nil and must not be modified.
func (w *Watcher) Published() *fuchsiaspoke.PublishedState {
	if s := w.state.Load(); s != nil {
		return s
	}
	return &fuchsiaspoke.PublishedState{}
}

// Run starts reading in a goroutine. When the context ends, its error is sent on the returned channel.
func (w *Watcher) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- w.readLoop(ctx) }()
	return done
}

func (w *Watcher) readLoop(ctx context.Context) error {
	failures, relist := 0, false
	for ctx.Err() == nil {
		if w.canSkipRead() {
			sleeper.Sleep(ctx, idlePollInterval)
			continue
		}
		started := w.Clock()
		err := w.readOnce(ctx, relist, failures)
		if ctx.Err() != nil {
			break
		}
		w.recordResult(started, err)
		if errors.Is(err, fuchsiaspoke.ErrHistoryDiscarded) {
			relist = true
			continue
		}
		wait := retryDelay
		if err != nil {
			failures++
		} else {
			failures, relist = 0, false
			wait = w.readInterval() - (w.Clock() - started) + w.spreadDelay()
		}
		sleeper.Sleep(ctx, wait)
	}
	return ctx.Err()
}

// isReader reports whether this VM reads the platform for others.
func (w *Watcher) isReader() bool { return w.IsReader == nil || w.IsReader() }

// canSkipRead reports whether the platform need not be read now, as other VMs read it and this VM's state is up to date.
func (w *Watcher) canSkipRead() bool {
	return !w.Stale() && !w.isBehindPeers() && !w.isReader()
}

// ObserveMissedRevision records that a peer has a revision that could not be fetched from it; this VM then reads the platform
// without waiting for its state to become stale.
func (w *Watcher) ObserveMissedRevision(revision fuchsiaspoke.Revision) {
	for known := w.newestMissed.Load(); known == nil || revision.NewerThan(*known); known = w.newestMissed.Load() {
		if w.newestMissed.CompareAndSwap(known, &revision) {
			return
		}
	}
}

// isBehindPeers reports whether no contract is known yet, or a peer has a newer contract or a revision that was missed.
func (w *Watcher) isBehindPeers() bool {
	p := w.Published()
	missed := w.newestMissed.Load()
	return w.lacksPeerContract(p) || missed != nil && missed.NewerThan(p.Revision)
}

// ObservePeerContract records that a peer has a contract version; if it is newer, this VM reads the platform. Contracts are
// large, so peers send them only while the platform does not respond.
func (w *Watcher) ObservePeerContract(version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version > w.newestPeerContract {
		w.newestPeerContract, w.peerContractAt = version, w.Clock()
	}
}

// lacksPeerContract reports whether no contract is known yet, or a peer has a newer one.
func (w *Watcher) lacksPeerContract(p *fuchsiaspoke.PublishedState) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return p.Contract == nil || p.Contract.Version < w.newestPeerContract
}

// ObservePeer records what a peer's heartbeat says of the platform. It returns the query by which this VM should pull the peer's state;
// false means that it needs none, as the state isn't newer or this VM is about to read it from the platform.
func (w *Watcher) ObservePeer(s fuchsiaspoke.VMState) (fuchsiaspoke.PublicationQuery, bool) {
	delay := w.transitDelay(s)
	if s.Reading != nil {
		w.ConfirmRevision(s.Revision, s.Reading.WithAge(s.Reading.Age()+delay))
	}
	w.ObservePeerContract(s.ContractVersion)
	p := w.Published()
	query := fuchsiaspoke.PublicationQuery{Revision: p.Revision}
	if p.Contract != nil {
		query.ContractVersion = p.Contract.Version
	}
	if s.ContractVersion > query.ContractVersion {
		// The contract is read from the platform, and pulled from a peer only if the platform fails or does not have it.
		query.Contract = true
		return query, w.Failing() || w.PlatformLacksContract()
	}
	return query, s.Revision.NewerThan(p.Revision) && (w.Stale() || !w.isReader())
}

func (w *Watcher) transitDelay(s fuchsiaspoke.VMState) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.transit.delay(w.Clock(), s)
}

// PlatformLacksContract reports whether the platform, read after a peer reported a newer contract, did not have that contract, as
// when it was restored from an older backup.
func (w *Watcher) PlatformLacksContract() bool {
	p := w.Published()
	w.mu.Lock()
	defer w.mu.Unlock()
	return p.Contract != nil && p.Contract.Version < w.newestPeerContract && w.lastReadStart > w.peerContractAt
}

func (w *Watcher) count(event string) {
	if w.Count != nil {
		w.Count(event)
	}
}

// Failing reports whether the last call to the platform failed.
func (w *Watcher) Failing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failing
}

// Stale reports whether the state is too old to wait for a relay by a peer, so that this VM must read the platform itself.
func (w *Watcher) Stale() bool {
	p := w.Published()
	return p.Contract == nil || w.Clock()-p.ReadAt > w.staleAge()
}

func (w *Watcher) staleAge() time.Duration {
	return max(w.PropagationLimit-readReserve, time.Duration(minStaleRatio*float64(w.PropagationLimit)))
}

func (w *Watcher) readInterval() time.Duration {
	return max(time.Duration(readIntervalRatio*float64(w.PropagationLimit)), minReadInterval)
}

// spreadDelay returns how much later than after readInterval this VM should read again, so that readers read in turns.
func (w *Watcher) spreadDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.readings.spreadDelay(w.reader(), w.readInterval())
}

// reader returns the number by which other VMs know the reads of this one.
func (w *Watcher) reader() uint16 { return max(w.Reader, 1) }

// readOnce makes one call to the platform. It requests no wait where it should be answered at once: after a failure, so that a call
// that is lost in an outage times out soon after the outage ends, and where there is news, or may be, as peers have some or the state is
// stale.
func (w *Watcher) readOnce(ctx context.Context, relist bool, failures int) error {
	wait, timeout := min(maxWatchWait, w.staleAge()/2), responseTimeout
	if failures > 0 || w.Stale() || w.isBehindPeers() {
		wait = 0
	}
	if failures%slowResponseEvery == slowResponseEvery-1 {
		timeout = slowResponseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	revision, started := w.Published().Revision, w.Clock()
	if revision.Number == 0 || relist {
		list, err := w.Platform.List(ctx)
		if err == nil {
			w.applySnapshot(list, started)
		}
		return err
	}
	list, err := w.Platform.Watch(ctx, revision.Number, wait)
	switch {
	case err != nil:
		return err
	case list.Revision.Epoch > revision.Epoch:
		// The numbers of another epoch have another meaning: this watch has skipped what was changed before the number.
		return errors.Wrapf(fuchsiaspoke.ErrHistoryDiscarded, "watched after %s, platform is at %s", revision, list.Revision)
	case list.Revision.Epoch < revision.Epoch:
		return errors.Errorf("platform answered from epoch %d, known is %d", list.Revision.Epoch, revision.Epoch)
	}
	w.applyChanges(list, w.readTime(list, started, wait))
	return nil
}

// readTime returns the earliest time at which the platform may have made the response to a watch that began at started: it may have been
// on its way for long, also as this VM was suspended. A response without changes was made when the wait was over.
func (w *Watcher) readTime(list fuchsiaspoke.PublicationList, started, wait time.Duration) time.Duration {
	if len(list.Items) == 0 && w.Clock() >= started+wait {
		return started + wait
	}
	return started
}

// recordResult records whether a call to the platform that began at started failed, and logs the start and the end of an outage.
// ErrHistoryDiscarded is only logged and counts neither as a failure nor as a success.
func (w *Watcher) recordResult(started time.Duration, err error) {
	if errors.Is(err, fuchsiaspoke.ErrHistoryDiscarded) {
		w.Log("platform discarded its change history; listing all publications again", "reason", err.Error())
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil && !w.failing {
		w.failing = true
		w.Log("platform lost", "error", err.Error())
	}
	if err == nil {
		w.lastReadStart = started
	}
	if err == nil && w.failing {
		w.failing = false
		w.recoveredAt = w.Clock()
		w.Log("platform is back")
	}
}
