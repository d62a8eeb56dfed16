// Package relayer keeps the published documents in force and passes them on between VMs.
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
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// Method names the call that fetches newer documents from a peer.
	Method = "documents"
	// watchWait is how long one watch of the platform waits.
	watchWait = 10 * time.Second
	// readInterval is the mean time between two reads of a VM that does not watch.
	readInterval = 10 * time.Second
	// retryInterval is the mean pause after a failed call to the platform.
	retryInterval = 500 * time.Millisecond
	// rereadInterval is the mean pause before a document is read again that came older than it was announced.
	rereadInterval = 250 * time.Millisecond
	// roleInterval is how often a VM that does not watch asks again whether it should.
	roleInterval = 500 * time.Millisecond
	// fetchTimeout bounds a fetch from a peer.
	fetchTimeout = 2 * time.Second
	// maxFetches is the number of noticed gaps that wait; further ones are dropped, since the next heartbeat shows them again.
	maxFetches = 16
)

type platform interface {
	Read(ctx context.Context, name string) (fuchsiaspoke.Document, error)
	// Changes returns the newest revision, and the revision of each document that changed after the given one.
	Changes(ctx context.Context, after int64, wait time.Duration) (int64, map[string]int64, error)
}

type caller interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
}

// Relayer holds the catalog in force: for each document the highest revision seen from the platform or a peer.
type Relayer struct {
	// Platform is read and watched, never written.
	Platform platform
	// Caller reaches the peers.
	Caller caller
	// Watches reports whether this VM is one of the few that watch the platform.
	Watches func() bool
	// Changed is told of each catalog that comes into force and of the document that brought it.
	Changed func(catalog.Catalog, fuchsiaspoke.Document)
	// Refused is told of each document that was refused.
	Refused func(fuchsiaspoke.Document, error)
	// Clock returns the time since the process started; it goes on while the process is suspended.
	Clock func() time.Duration
	// Fault is told of failed calls to the platform and to peers.
	Fault func(error)

	current atomic.Pointer[catalog.Catalog]
	mu      sync.Mutex
	read    atomic.Bool
	heard   atomic.Bool
	// confirmed is when the last question was sent whose answer left nothing to fetch, as a time.Duration.
	confirmed atomic.Int64
	once      sync.Once
	gaps      chan fuchsiaspoke.VM
	// pending are the announced revisions that have not been read; only Run touches it.
	pending map[string]int64
}

// Catalog returns the documents in force.
func (r *Relayer) Catalog() catalog.Catalog {
	if c := r.current.Load(); c != nil {
		return *c
	}
	return catalog.Catalog{}
}

// Ready reports whether documents are in force and both the platform and the peers were asked.
func (r *Relayer) Ready() bool {
	return r.Catalog().Digest().Highest > 0 && (r.read.Load() || r.heard.Load())
}

// Confirmed returns when the last question was sent whose answer showed that nothing newer is known to the platform or a
// peer; it is the time of the question, since an answer may have waited while this process was suspended.
func (r *Relayer) Confirmed() time.Duration {
	return time.Duration(r.confirmed.Load())
}

// Confirm takes a peer's answer to a heartbeat sent at that time.
func (r *Relayer) Confirm(state fuchsiaspoke.PeerState, sent time.Duration) {
	if state.Digest == r.Catalog().Digest() {
		r.confirm(sent)
	}
}

func (r *Relayer) confirm(sent time.Duration) {
	for {
		old := r.confirmed.Load()
		if old >= int64(sent) || r.confirmed.CompareAndSwap(old, int64(sent)) {
			return
		}
	}
}

// Run follows the platform until the context ends.
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
		next, err := r.follow(ctx, after)
		after = next
		if err != nil {
			r.fault(err)
			pause(ctx, retryInterval)
			continue
		}
		r.read.Store(true)
		if len(r.pending) > 0 {
			pause(ctx, rereadInterval)
			continue
		}
		r.rest(ctx)
	}
	return ctx.Err()
}

// Notice compares a peer's digest with this VM's and fetches what is missing.
func (r *Relayer) Notice(state fuchsiaspoke.PeerState) {
	r.init()
	c := r.Catalog()
	if state.Digest == c.Digest() {
		r.heard.Store(true)
		return
	}
	if state.Digest.Highest == 0 {
		return
	}
	select {
	case r.gaps <- state.VM:
	default:
	}
}

// Answer sends a peer the documents that are newer than the ones it names.
func (r *Relayer) Answer(_ context.Context, _ string, request frame.Frame, send func(any) error) error {
	var have map[string]int64
	if err := request.Decode(&have); err != nil {
		return err
	}
	for doc := range r.Catalog().Newer(have) {
		if err := send(doc); err != nil {
			return err
		}
	}
	return nil
}

// Offer puts the document in force if it is newer than the one in force and free of faults.
func (r *Relayer) Offer(doc fuchsiaspoke.Document) {
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
	r.once.Do(func() { r.gaps = make(chan fuchsiaspoke.VM, maxFetches) })
}

func (r *Relayer) follow(ctx context.Context, after int64) (int64, error) {
	wait := time.Duration(0)
	if r.Watches() && r.read.Load() && len(r.pending) == 0 {
		wait = watchWait
	}
	sent := r.Clock()
	revision, changed, err := r.Platform.Changes(ctx, after, wait)
	if err != nil {
		return after, err
	}
	if r.pending == nil {
		r.pending = make(map[string]int64)
	}
	for name, announced := range changed {
		r.pending[name] = max(r.pending[name], announced)
	}
	err = r.readPending(ctx)
	// A platform that answers with less than this VM has seen is stale and confirms nothing.
	if err == nil && len(r.pending) == 0 && revision >= r.Catalog().Digest().Highest {
		r.confirm(sent)
	}
	return max(after, revision), err
}

// readPending reads each announced document once; one that the platform gives in an older revision stays pending.
func (r *Relayer) readPending(ctx context.Context) error {
	for name, announced := range r.pending {
		if r.Catalog().Revision(name) >= announced {
			delete(r.pending, name)
			continue
		}
		doc, err := r.Platform.Read(ctx, name)
		if err != nil {
			return err
		}
		r.Offer(doc)
		if doc.Revision >= announced {
			delete(r.pending, name)
		}
	}
	return nil
}

func (r *Relayer) rest(ctx context.Context) {
	until := time.Now().Add(jitter(readInterval))
	for ctx.Err() == nil && !r.Watches() && time.Now().Before(until) {
		pause(ctx, roleInterval)
	}
}

func (r *Relayer) runFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-r.gaps:
			if err := r.fetch(ctx, vm); err != nil {
				r.fault(err)
				continue
			}
			r.heard.Store(true)
		}
	}
}

func (r *Relayer) fetch(ctx context.Context, vm fuchsiaspoke.VM) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sent := r.Clock()
	err := r.Caller.Call(ctx, vm, Method, r.Catalog().Revisions(), func(body cbor.RawMessage) error {
		var doc fuchsiaspoke.Document
		if err := cbor.Unmarshal(body, &doc); err != nil {
			return errors.Wrap(err, "decode document")
		}
		r.Offer(doc)
		return nil
	})
	if err == nil {
		r.confirm(sent)
	}
	return err
}

func (r *Relayer) fault(err error) {
	if r.Fault != nil {
		r.Fault(err)
	}
}

func jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rand.Int64N(int64(mean)))
}

func pause(ctx context.Context, mean time.Duration) {
	timer := time.NewTimer(jitter(mean))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
