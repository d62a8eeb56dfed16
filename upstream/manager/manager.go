// Package manager runs one dispatcher for each engine whose lease this VM holds.
package manager

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/catalog"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/dispatcher"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/driver"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

const (
	// leasePrefix is the prefix of the name of an engine's lease.
	leasePrefix = "engine/"
	// tokenWaitTimeout is how long a generation keeps its place in the batch while it waits for its client account's
	// tokens.
	tokenWaitTimeout = 150 * time.Millisecond
	// reserveTimeout bounds the whole token reservation before a send.
	reserveTimeout = time.Second
	// drainTimeout bounds the wait for running generations before a lease is released.
	drainTimeout = time.Minute
	// drainInterval is how often a draining dispatcher is checked for running generations.
	drainInterval = 20 * time.Millisecond
	// retryAfter is the Retry-After of refusals, after which another VM may be tried.
	retryAfter = time.Second
)

type tokenReserver interface {
	Reserve(ctx context.Context, request fuchsiaspoke.TokenRequest) (fuchsiaspoke.TokenGrant, time.Duration, error)
	Update(ctx context.Context, update fuchsiaspoke.TokenUpdate) error
}

type loadPermits interface {
	Acquire(ctx context.Context, account string) (release func(used bool), err error)
}

type recorder interface {
	Record(fuchsiaspoke.Event)
}

// Manager owns the dispatchers of one VM, one for each engine whose lease the VM holds.
type Manager struct {
	// Upstreams returns the upstreams of the current catalog.
	Upstreams func() []fuchsiaspoke.Upstream
	// Held returns the lease on a resource and whether this VM holds it.
	Held func(resource string) (fuchsiaspoke.Lease, bool)
	// Authorize checks the key and the profile.
	Authorize func(keyHash, profile string) error
	// TokenClient reserves a client account's tokens right before a send and receives reports of their use.
	TokenClient tokenReserver
	// Permits limits the adapter loads of all VMs together.
	Permits loadPermits
	// Recorder receives the timeline's events.
	Recorder recorder
	// OnViolation is called for each invariant violation.
	OnViolation func(detail string)
	// Clock returns the time since the process started, including time suspended.
	Clock func() time.Duration

	mu          sync.Mutex
	dispatchers map[string]*managedDispatcher      // by upstream id
	grants      map[string]fuchsiaspoke.TokenGrant // by request id
	generations map[string]generationWork          // by request id
	runCtx      context.Context
	wg          sync.WaitGroup
}

type managedDispatcher struct {
	dispatcher *dispatcher.Dispatcher
	cancel     context.CancelFunc
	draining   bool
	// drainedAsLeaving says that the dispatcher drains only because the catalog marks its engine as leaving or lacks it.
	drainedAsLeaving bool
}

// generationWork is a generation that is queued or running on this VM.
type generationWork struct {
	dispatcher *dispatcher.Dispatcher
	keyHash    string
	profile    string
}

// Resource returns the name of an engine's lease.
func Resource(upstream string) string {
	return leasePrefix + upstream
}

// Run allows LeaseChanged to start dispatchers until the context ends, then waits until all have stopped.
func (m *Manager) Run(ctx context.Context) error {
	m.mu.Lock()
	m.runCtx = ctx
	m.mu.Unlock()
	<-ctx.Done()
	m.wg.Wait()
	return ctx.Err()
}

// LeaseChanged starts the dispatcher of an engine whose lease was acquired. If the lease was lost, the dispatcher itself
// refuses its queue.
func (m *Manager) LeaseChanged(lease fuchsiaspoke.Lease, held bool) {
	id, ok := strings.CutPrefix(lease.Resource, leasePrefix)
	if !ok || !held {
		return
	}
	for _, u := range m.Upstreams() {
		if u.ID == id {
			m.startDispatcher(u)
			return
		}
	}
}

// Submit passes a generation to the engine's dispatcher; it is refused if this VM does not hold the engine's lease.
func (m *Manager) Submit(ctx context.Context, upstream string, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	m.mu.Lock()
	d := m.dispatchers[upstream]
	m.mu.Unlock()
	if _, held := m.Held(Resource(upstream)); d == nil || !held {
		return leaseNotHeldRefusal(upstream)
	}
	m.track(g.RequestID, generationWork{dispatcher: d.dispatcher, keyHash: g.KeyHash, profile: g.Profile})
	defer m.untrack(g.RequestID)
	if err := m.Authorize(g.KeyHash, g.Profile); err != nil {
		return err
	}
	return m.submitTracked(ctx, d, g, sink)
}

func (m *Manager) track(id string, w generationWork) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.generations == nil {
		m.generations = make(map[string]generationWork)
	}
	m.generations[id] = w
}

func (m *Manager) untrack(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.generations, id)
}

// Serve submits a generation that another VM forwarded and sends back its chunks.
func (m *Manager) Serve(ctx context.Context, _ string, request frame.Frame, send func(any) error) error {
	var placement fuchsiaspoke.Placement
	if err := request.Decode(&placement); err != nil {
		return err
	}
	return m.Submit(ctx, placement.Upstream, placement.Generation, func(chunk fuchsiaspoke.Chunk) error { return send(chunk) })
}

// States returns the state to advertise to other VMs, of each engine that this VM holds and does not drain.
func (m *Manager) States() []fuchsiaspoke.EngineState {
	m.mu.Lock()
	defer m.mu.Unlock()
	var states []fuchsiaspoke.EngineState
	for id, d := range m.dispatchers {
		if _, held := m.Held(Resource(id)); !held || d.draining {
			continue
		}
		queued, running, resident := d.dispatcher.Stats()
		states = append(states, fuchsiaspoke.EngineState{Upstream: id, QueuedTokens: queued, Running: running, Resident: resident})
	}
	return states
}

// Running returns the number of generations in the batches of this VM's engines; queued ones are not counted.
func (m *Manager) Running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0
	for _, d := range m.dispatchers {
		_, running, _ := d.dispatcher.Stats()
		total += running
	}
	return total
}

// Withdraw applies a new catalog: it ends the generations of withdrawn keys, drains the dispatchers of engines that are
// leaving or removed, and resumes them when their engine is published as in service again.
func (m *Manager) Withdraw(c catalog.Catalog) {
	leaving := make(map[string]bool)
	for _, u := range c.Upstreams() {
		leaving[u.ID] = u.Leaving
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.withdrawKeys()
	for id, d := range m.dispatchers {
		isLeaving, known := leaving[id]
		isInService := known && !isLeaving
		switch {
		case isInService && d.drainedAsLeaving:
			d.draining, d.drainedAsLeaving = false, false
			d.dispatcher.Resume()
		case !isInService && !d.draining:
			d.draining, d.drainedAsLeaving = true, true
			d.dispatcher.Drain()
		}
	}
}

// withdrawKeys ends the generations whose key was withdrawn; mu must be held.
func (m *Manager) withdrawKeys() {
	type keyAtDispatcher struct {
		dispatcher *dispatcher.Dispatcher
		keyHash    string
	}
	withdrawn := make(map[keyAtDispatcher]bool)
	for _, w := range m.generations {
		key := keyAtDispatcher{w.dispatcher, w.keyHash}
		var refusal *fuchsiaspoke.Refusal
		if w.keyHash == "" || withdrawn[key] || !errors.As(m.Authorize(w.keyHash, w.profile), &refusal) {
			continue
		}
		// A missing or forbidden profile does not invalidate the key's other generations.
		if refusal.Status == http.StatusUnauthorized {
			withdrawn[key] = true
			w.dispatcher.WithdrawKey(w.keyHash)
		}
	}
}

// Drain stops an engine's dispatcher before its lease is released: new and queued generations are refused, and running
// ones may finish within drainTimeout.
func (m *Manager) Drain(ctx context.Context, resource string) {
	id, ok := strings.CutPrefix(resource, leasePrefix)
	if !ok {
		return
	}
	m.mu.Lock()
	d := m.dispatchers[id]
	if d == nil {
		m.mu.Unlock()
		return
	}
	d.draining, d.drainedAsLeaving = true, false
	m.mu.Unlock()
	d.dispatcher.Drain()
	m.awaitIdle(ctx, d)
	m.mu.Lock()
	delete(m.dispatchers, id)
	m.mu.Unlock()
	d.cancel()
	<-d.dispatcher.Done()
}

// awaitIdle returns when no generation runs on the dispatcher, when ctx ends, or after drainTimeout.
func (m *Manager) awaitIdle(ctx context.Context, d *managedDispatcher) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainInterval):
		}
		if _, running, _ := d.dispatcher.Stats(); running == 0 {
			return
		}
	}
}

// startDispatcher starts the engine's dispatcher unless it already exists or Run is not active.
func (m *Manager) startDispatcher(u fuchsiaspoke.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dispatchers == nil {
		m.dispatchers = make(map[string]*managedDispatcher)
	}
	if m.dispatchers[u.ID] != nil || m.runCtx == nil || m.runCtx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(m.runCtx)
	d := &managedDispatcher{cancel: cancel, dispatcher: m.newDispatcher(u)}
	m.dispatchers[u.ID] = d
	m.wg.Go(func() {
		if err := d.dispatcher.Run(ctx); ctx.Err() == nil {
			klog.ErrorS(err, "Dispatcher ended", "upstream", u.ID)
		}
	})
}

func (m *Manager) newDispatcher(u fuchsiaspoke.Upstream) *dispatcher.Dispatcher {
	return &dispatcher.Dispatcher{
		Upstream: u,
		Engine:   &driver.Driver{Upstream: u, CheckLease: func() error { return m.checkLease(u.ID) }},
		Lease: func(now time.Duration) (fuchsiaspoke.Lease, bool) {
			lease, held := m.Held(Resource(u.ID))
			return lease, held && now < lease.Until
		},
		Permits:     m.Permits,
		Check:       m.authorizeAndReserve,
		Recorder:    m.Recorder,
		Clock:       m.Clock,
		OnViolation: m.OnViolation,
	}
}

// checkLease is the last check of an engine's lease, right before a request to the engine is written to the connection.
func (m *Manager) checkLease(upstream string) error {
	if _, held := m.Held(Resource(upstream)); !held {
		return leaseNotHeldRefusal(upstream)
	}
	return nil
}

func leaseNotHeldRefusal(upstream string) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeLeaseLost, Message: "this VM does not hold the lease of upstream " + upstream,
		Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter,
	}
}
