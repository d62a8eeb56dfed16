// Package follower keeps what the platform publishes, from the platform itself and from what peers pass on.
package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

const (
	// paceShare is the least time between two calls, as a part of the time within which a change must be in force: a call, one
	// that is lost, and the news' way to other VMs fit in it.
	paceShare = 0.3
	// leastPace keeps platforms with very short limits from being asked without a pause.
	leastPace = 300 * time.Millisecond
	// watchTime is how long the platform may hold a call that has nothing to tell.
	watchTime = time.Second
	// answerTime is how long a call may take beyond that; the platform answers within 4 ms when it is well.
	answerTime = 700 * time.Millisecond
	// slowTime is the same for every slowEvery-th call in a row that failed, for a platform that is only slow.
	slowTime  = 2500 * time.Millisecond
	slowEvery = 4
	// retryPause is the wait after a failed call.
	retryPause = 250 * time.Millisecond
	// staleShare is how old what is known may be, as a part of Limit, before a VM that doesn't read for others asks itself: a
	// call that is lost and one more fit in the limit.
	staleShare = 0.4
	// idleTime is the pause between two looks at whether this VM should read.
	idleTime = 50 * time.Millisecond
	// returnTime is how long after an outage of the platform a missing replica may still come back.
	returnTime = 2500 * time.Millisecond
)

type platform interface {
	List(ctx context.Context) (fuchsiaspoke.PublicationList, error)
	Watch(ctx context.Context, after int64, wait time.Duration) (fuchsiaspoke.PublicationList, error)
}

// Follower holds the newest state that is known; reading it never blocks.
type Follower struct {
	Platform platform
	// Clock returns the time since the process started.
	Clock func() time.Duration
	// Limit is the time within which a change must be in force.
	Limit time.Duration
	// Reads reports whether this VM reads the platform for others; one that doesn't asks the platform only where its peers
	// leave it without news. Nil is true.
	Reads func() bool
	// Log tells what changed, with keys and values.
	Log func(event string, keysAndValues ...any)

	state   atomic.Pointer[fuchsiaspoke.Published]
	mu      sync.Mutex
	changes changes
	// wanted is the newest contract version that a peer has, and missed the newest revision that one did not pass on.
	wanted atomic.Int64
	missed atomic.Int64
	// missing is since when a replica is missing after an outage.
	missing map[string]time.Duration
	failing bool
	healed  time.Duration
}

// Published returns what is in force; it is never nil, and nobody may change it.
func (f *Follower) Published() *fuchsiaspoke.Published {
	if s := f.state.Load(); s != nil {
		return s
	}
	return &fuchsiaspoke.Published{}
}

// Run reads until the context ends, and reports its end on the channel.
func (f *Follower) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- f.follow(ctx) }()
	return done
}

func (f *Follower) follow(ctx context.Context) error {
	failures, relist := 0, false
	for ctx.Err() == nil {
		if f.idle() {
			sleep(ctx, idleTime)
			continue
		}
		began := f.Clock()
		err := f.step(ctx, relist, failures)
		if ctx.Err() != nil {
			break
		}
		f.note(err)
		if errors.Is(err, fuchsiaspoke.ErrHistoryGone) {
			relist = true
			continue
		}
		wait := f.pace() - (f.Clock() - began)
		if err != nil {
			wait = retryPause
			failures++
		} else {
			failures, relist = 0, false
		}
		sleep(ctx, wait)
	}
	return ctx.Err()
}

// idle reports whether other VMs read the platform for this one.
func (f *Follower) idle() bool {
	return f.Reads != nil && !f.Stale() && !f.behind() && !f.Reads()
}

// Missed tells that a peer knows of a revision and did not pass it on; this VM then asks the platform at once.
func (f *Follower) Missed(revision int64) {
	raise(&f.missed, revision)
}

func (f *Follower) behind() bool {
	p := f.Published()
	return p.Contract == nil || p.Contract.Version < f.wanted.Load() || p.Revision < f.missed.Load()
}

// Want tells that a peer has a contract of a version; contracts are large, so they are read from the platform if it answers.
func (f *Follower) Want(version int64) {
	raise(&f.wanted, version)
}

// raise sets the number to n unless it is higher already.
func raise(number *atomic.Int64, n int64) {
	for known := number.Load(); n > known && !number.CompareAndSwap(known, n); {
		known = number.Load()
	}
}

// Failing reports whether the last call to the platform failed.
func (f *Follower) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing
}

// Stale reports whether what is known may be too old to wait for the peers' news.
func (f *Follower) Stale() bool {
	p := f.Published()
	return p.Contract == nil || f.Clock()-p.ReadAt > time.Duration(staleShare*float64(f.Limit))
}

func (f *Follower) pace() time.Duration {
	return max(time.Duration(paceShare*float64(f.Limit)), leastPace)
}

// step makes one call; after a failure it asks for what there is, so that a call lost in an outage doesn't outlast it.
func (f *Follower) step(ctx context.Context, relist bool, failures int) error {
	wait, patience := watchTime, answerTime
	if failures > 0 {
		wait = 0
	}
	if failures%slowEvery == slowEvery-1 {
		patience = slowTime
	}
	ctx, cancel := context.WithTimeout(ctx, wait+patience)
	defer cancel()
	revision := f.Published().Revision
	if revision == 0 || relist {
		list, err := f.Platform.List(ctx)
		if err == nil {
			f.replace(list)
		}
		return err
	}
	list, err := f.Platform.Watch(ctx, revision, wait)
	if err == nil {
		f.apply(list)
	}
	return err
}

func (f *Follower) note(err error) {
	if errors.Is(err, fuchsiaspoke.ErrHistoryGone) {
		f.Log("platform history is gone, all is listed anew")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil && !f.failing {
		f.failing = true
		f.Log("platform lost", "error", err.Error())
	}
	if err == nil && f.failing {
		f.failing = false
		f.healed = f.Clock()
		f.Log("platform is back")
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
