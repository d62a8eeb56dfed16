// Package relayer stores the active revisions of the published documents and replicates them between VMs.
package relayer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/catalog"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/sleeper"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// Method is the link method for fetching newer documents from a peer.
	Method = "documents"
	// longPollWait is how long the platform may hold one long poll for changes.
	longPollWait = 10 * time.Second
	// readInterval is the mean time between two polls by a VM that does not watch the platform.
	readInterval = 10 * time.Second
	// retryInterval is the mean delay after a failed call to the platform.
	retryInterval = 500 * time.Millisecond
	// rereadInterval is the mean delay before reading a document again if the platform returned an older revision than it
	// announced.
	rereadInterval = 250 * time.Millisecond
	// watcherCheckInterval is the mean time between two checks whether a VM that does not watch the platform should start to.
	watcherCheckInterval = 500 * time.Millisecond
	// fetchTimeout bounds a fetch from a peer.
	fetchTimeout = 2 * time.Second
	// maxQueuedFetches bounds the queue of peers to fetch from. Further ones are dropped, since the peer's next heartbeat
	// queues it again.
	maxQueuedFetches = 16
)

type platform interface {
	Read(ctx context.Context, name string) (fuchsiaspoke.Document, error)
	// Changes returns the newest revision, and the revision of each document that changed after the given one.
	Changes(ctx context.Context, after int64, wait time.Duration) (int64, map[string]int64, error)
}

type caller interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
}

// Relayer stores the active catalog: for each document the highest valid revision received from the platform or a peer.
type Relayer struct {
	// Platform is polled and read, never written.
	Platform platform
	// Caller sends requests to the peers.
	Caller caller
	// Watches reports whether this VM is one of the few that watch the platform by long polls.
	Watches func() bool
	// Changed is called with each new active catalog and the document that changed it.
	Changed func(catalog.Catalog, fuchsiaspoke.Document)
	// Refused is called with each document that was rejected, and the reason.
	Refused func(fuchsiaspoke.Document, error)
	// Clock returns the time since the process started; it keeps running while the process is suspended.
	Clock func() time.Duration
	// OnCallError is called with the error of each failed call to the platform or a peer.
	OnCallError func(error)

	current atomic.Pointer[catalog.Catalog]
	mu      sync.Mutex
	// platformRead is set after the first successful poll of the platform, and syncedWithPeer after this VM first had all
	// documents of a peer.
	platformRead   atomic.Bool
	syncedWithPeer atomic.Bool
	// confirmedAt is the result of Confirmed, as a time.Duration.
	confirmedAt atomic.Int64
	once        sync.Once
	fetchQueue  chan fuchsiaspoke.VM
	// unreadRevisions holds the announced revisions that have not been read yet. Only the goroutine of Run accesses it.
	unreadRevisions map[string]int64
}

// Catalog returns the active documents.
func (r *Relayer) Catalog() catalog.Catalog {
	if c := r.current.Load(); c != nil {
		return *c
	}
	return catalog.Catalog{}
}

// Ready reports whether documents are active and this VM has synchronized with the platform or with a peer.
func (r *Relayer) Ready() bool {
	return r.Catalog().Digest().Highest > 0 && (r.platformRead.Load() || r.syncedWithPeer.Load())
}

// Confirmed returns when the latest request was sent whose response showed that the platform or a peer had no newer documents.
// It is the time of the request, since the response may have arrived while this process was suspended.
func (r *Relayer) Confirmed() time.Duration {
	return time.Duration(r.confirmedAt.Load())
}

// ObserveResponse advances Confirmed to the time at which a heartbeat was sent if the peer that responded to it has the same
// documents as this VM.
func (r *Relayer) ObserveResponse(state fuchsiaspoke.PeerState, sent time.Duration) {
	if state.Digest == r.Catalog().Digest() {
		r.advanceConfirmed(sent)
	}
}

// advanceConfirmed sets the result of Confirmed to the time unless it is later already.
func (r *Relayer) advanceConfirmed(sent time.Duration) {
	for {
		old := r.confirmedAt.Load()
		if old >= int64(sent) || r.confirmedAt.CompareAndSwap(old, int64(sent)) {
			return
		}
	}
}

// Run polls the platform and fetches from peers until the context is cancelled.
func (r *Relayer) Run(ctx context.Context) error {
	r.init()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.runFetches(ctx)
	}()
	defer func() { <-done }()
	var after int64
	for ctx.Err() == nil {
		next, err := r.pollPlatform(ctx, after)
		after = next
		if err != nil {
			r.reportError(err)
			sleepWithJitter(ctx, retryInterval)
			continue
		}
		r.platformRead.Store(true)
		if len(r.unreadRevisions) > 0 {
			sleepWithJitter(ctx, rereadInterval)
			continue
		}
		r.waitForNextRead(ctx)
	}
	return ctx.Err()
}

// ObservePeer compares the digest in a peer's state with this VM's, and queues a fetch from the peer if they differ and the
// peer has active documents.
func (r *Relayer) ObservePeer(state fuchsiaspoke.PeerState) {
	r.init()
	c := r.Catalog()
	if state.Digest == c.Digest() {
		r.syncedWithPeer.Store(true)
		return
	}
	if state.Digest.Highest == 0 {
		return
	}
	select {
	case r.fetchQueue <- state.VM:
	default:
	}
}

// ServeDocuments sends a peer the documents that are newer than the revisions in its request.
func (r *Relayer) ServeDocuments(_ context.Context, _ string, request frame.Frame, send func(any) error) error {
	var known map[string]int64
	if err := request.Decode(&known); err != nil {
		return err
	}
	for doc := range r.Catalog().Newer(known) {
		if err := send(doc); err != nil {
			return err
		}
	}
	return nil
}

// Apply activates the document if it is valid and newer than the active revision.
func (r *Relayer) Apply(doc fuchsiaspoke.Document) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.Catalog()
	after, err := before.With(doc)
	r.current.Store(&after)
	if err != nil {
		if r.Refused != nil {
			r.Refused(doc, err)
		}
		return
	}
	if after.Digest() != before.Digest() && r.Changed != nil {
		r.Changed(after, doc)
	}
}

func (r *Relayer) init() {
	r.once.Do(func() { r.fetchQueue = make(chan fuchsiaspoke.VM, maxQueuedFetches) })
}

// pollPlatform polls the platform for changes after the revision, reads the changed documents, and returns the revision for the
// next poll.
func (r *Relayer) pollPlatform(ctx context.Context, after int64) (int64, error) {
	wait := time.Duration(0)
	if r.Watches() && r.platformRead.Load() && len(r.unreadRevisions) == 0 {
		wait = longPollWait
	}
	sent := r.Clock()
	revision, changed, err := r.Platform.Changes(ctx, after, wait)
	if err != nil {
		return after, err
	}
	if r.unreadRevisions == nil {
		r.unreadRevisions = make(map[string]int64)
	}
	for name, announced := range changed {
		r.unreadRevisions[name] = max(r.unreadRevisions[name], announced)
	}
	err = r.readChanged(ctx)
	// A revision below the highest active one shows that the platform's response was stale, so it confirms nothing.
	if err == nil && len(r.unreadRevisions) == 0 && revision >= r.Catalog().Digest().Highest {
		r.advanceConfirmed(sent)
	}
	return max(after, revision), err
}

// readChanged reads each announced document once. Where the platform returns an older revision than announced, the announcement
// is kept for the next call.
func (r *Relayer) readChanged(ctx context.Context) error {
	for name, announced := range r.unreadRevisions {
		if r.Catalog().Revision(name) >= announced {
			delete(r.unreadRevisions, name)
			continue
		}
		doc, err := r.Platform.Read(ctx, name)
		if err != nil {
			return err
		}
		r.Apply(doc)
		if doc.Revision >= announced {
			delete(r.unreadRevisions, name)
		}
	}
	return nil
}

// waitForNextRead waits for about readInterval, and returns early if this VM watches the platform.
func (r *Relayer) waitForNextRead(ctx context.Context) {
	until := time.Now().Add(jitter(readInterval))
	for ctx.Err() == nil && !r.Watches() && time.Now().Before(until) {
		sleepWithJitter(ctx, watcherCheckInterval)
	}
}

// runFetches fetches from the queued peers, one at a time, until the context is cancelled.
func (r *Relayer) runFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-r.fetchQueue:
			if err := r.fetch(ctx, vm); err != nil {
				r.reportError(err)
				continue
			}
			r.syncedWithPeer.Store(true)
		}
	}
}

// fetch requests the documents that are newer than this VM's from a peer, and applies them.
func (r *Relayer) fetch(ctx context.Context, vm fuchsiaspoke.VM) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sent := r.Clock()
	err := r.Caller.Call(ctx, vm, Method, r.Catalog().Revisions(), func(body cbor.RawMessage) error {
		var doc fuchsiaspoke.Document
		if err := cbor.Unmarshal(body, &doc); err != nil {
			return errors.Wrap(err, "decode document fetched from peer")
		}
		r.Apply(doc)
		return nil
	})
	if err == nil {
		r.advanceConfirmed(sent)
	}
	return err
}

func (r *Relayer) reportError(err error) {
	if r.OnCallError != nil {
		r.OnCallError(err)
	}
}

// jitter returns a random duration from half of the mean to one and a half times the mean.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rand.Int64N(int64(mean)))
}

func sleepWithJitter(ctx context.Context, mean time.Duration) {
	sleeper.Sleep(ctx, jitter(mean))
}
