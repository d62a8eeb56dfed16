// Package follower keeps what the platform publishes, from the platform itself and from what peers pass on.
package follower

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

const (
	// paceShare is the least time between two calls, as a part of the time within which a change must be in force: two calls
	// and their answers fit in it.
	paceShare = 0.45
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
	// Log tells what changed, with keys and values.
	Log func(event string, keysAndValues ...any)

	state atomic.Pointer[fuchsiaspoke.Published]
	mu    sync.Mutex
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
	revision := int64(0)
	failures := 0
	for ctx.Err() == nil {
		began := f.Clock()
		next, err := f.step(ctx, revision, failures)
		if ctx.Err() != nil {
			break
		}
		f.note(err)
		if errors.Is(err, fuchsiaspoke.ErrHistoryGone) {
			revision = 0
			continue
		}
		wait := f.pace() - (f.Clock() - began)
		if err != nil {
			wait = retryPause
			failures++
		} else {
			revision, failures = next, 0
		}
		sleep(ctx, wait)
	}
	return ctx.Err()
}

func (f *Follower) pace() time.Duration {
	return max(time.Duration(paceShare*float64(f.Limit)), leastPace)
}

// step makes one call; after a failure it asks for what there is, so that a call lost in an outage doesn't outlast it.
func (f *Follower) step(ctx context.Context, revision int64, failures int) (int64, error) {
	wait, patience := watchTime, answerTime
	if failures > 0 {
		wait = 0
	}
	if failures%slowEvery == slowEvery-1 {
		patience = slowTime
	}
	ctx, cancel := context.WithTimeout(ctx, wait+patience)
	defer cancel()
	if revision == 0 {
		list, err := f.Platform.List(ctx)
		if err == nil {
			f.replace(list)
		}
		return list.Revision, err
	}
	list, err := f.Platform.Watch(ctx, revision, wait)
	if err == nil {
		f.apply(list)
	}
	return list.Revision, err
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

// Relay takes what a peer knows; what is older than that in force is ignored.
func (f *Follower) Relay(c *fuchsiaspoke.Contract, r fuchsiaspoke.PublishedRelay, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.Published()
	if c != nil && f.take(&next, c, r.ContractRaw) {
		f.Log("contract in force", "version", c.Version, "from", from)
	}
	if r.Revision > next.Revision {
		next.Replicas, next.Versions, next.Revision = r.Replicas, r.Versions, r.Revision
		next.ReadAt = f.Clock() - r.Age
	}
	f.state.Store(&next)
}

func (f *Follower) apply(list fuchsiaspoke.PublicationList) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.Published()
	next.Replicas = maps.Clone(next.Replicas)
	next.Versions = maps.Clone(next.Versions)
	for _, p := range list.Items {
		if p.Revision > next.Revision {
			f.one(&next, p)
		}
	}
	f.expire(&next)
	f.store(next, list.Revision)
}

// replace applies a whole list: what it lacks is gone, but for replicas that may not be back yet after an outage.
func (f *Follower) replace(list fuchsiaspoke.PublicationList) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.Published()
	if list.Revision < next.Revision {
		return
	}
	old := next.Replicas
	next.Replicas = make(map[string]fuchsiaspoke.Replica, len(list.Items))
	next.Versions = make(map[string]map[string]int64)
	for _, p := range list.Items {
		f.one(&next, p)
	}
	now := f.Clock()
	for name, r := range old {
		if _, listed := next.Replicas[name]; listed || !f.mayReturn(now) {
			continue
		}
		next.Replicas[name] = r
		f.miss(name, now)
	}
	f.store(next, list.Revision)
}

func (f *Follower) mayReturn(now time.Duration) bool {
	return f.failing || f.healed > 0 && now-f.healed < returnTime
}

func (f *Follower) miss(name string, now time.Duration) {
	if f.missing == nil {
		f.missing = make(map[string]time.Duration)
	}
	if _, known := f.missing[name]; !known {
		f.missing[name] = now
	}
}

func (f *Follower) expire(next *fuchsiaspoke.Published) {
	for name, since := range f.missing {
		if f.Clock()-since >= returnTime {
			f.Log("replica gone", "replica", name, "reason", "not back after the platform's outage")
			delete(next.Replicas, name)
			delete(f.missing, name)
		}
	}
}

func (f *Follower) one(next *fuchsiaspoke.Published, p fuchsiaspoke.Publication) {
	switch {
	case p.Fault != nil:
		f.Log("publication not usable", "name", p.Name, "revision", p.Revision, "error", p.Fault.Error())
		delete(next.Replicas, p.Name)
	case p.Withdrawn:
		if _, known := next.Replicas[p.Name]; known {
			f.Log("replica gone", "replica", p.Name, "revision", p.Revision)
		}
		delete(next.Replicas, p.Name)
		delete(f.missing, p.Name)
	case p.Contract != nil:
		if f.take(next, p.Contract, p.Raw) {
			f.Log("contract in force", "version", p.Contract.Version, "from", "platform")
		}
	case p.Replica != nil:
		f.replica(next, p)
	case p.Adapter != nil:
		f.version(next, p)
	}
}

func (f *Follower) replica(next *fuchsiaspoke.Published, p fuchsiaspoke.Publication) {
	old, known := next.Replicas[p.Name]
	if next.Replicas == nil {
		next.Replicas = make(map[string]fuchsiaspoke.Replica)
	}
	if !known || old.State != p.Replica.State || old.Born != p.Replica.Born || old.Address != p.Replica.Address {
		f.Log("replica published", "replica", p.Replica.ID, "state", string(p.Replica.State),
			"address", p.Replica.Address, "born", p.Replica.Born, "revision", p.Revision)
	}
	next.Replicas[p.Name] = *p.Replica
	delete(f.missing, p.Name)
}

func (f *Follower) version(next *fuchsiaspoke.Published, p fuchsiaspoke.Publication) {
	if next.Versions == nil {
		next.Versions = make(map[string]map[string]int64)
	}
	model := maps.Clone(next.Versions[p.Adapter.Model])
	if model == nil {
		model = make(map[string]int64)
	}
	model[p.Adapter.Adapter.Name] = max(model[p.Adapter.Adapter.Name], p.Adapter.Adapter.Version)
	next.Versions[p.Adapter.Model] = model
}

// take puts a contract in force where it is newer; a process never goes back.
func (f *Follower) take(next *fuchsiaspoke.Published, c *fuchsiaspoke.Contract, raw []byte) bool {
	if next.Contract != nil && c.Version <= next.Contract.Version {
		return false
	}
	next.Contract, next.ContractRaw = c, raw
	return true
}

func (f *Follower) store(next fuchsiaspoke.Published, revision int64) {
	next.Revision = max(next.Revision, revision)
	next.ReadAt = f.Clock()
	f.state.Store(&next)
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
