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
	// prefix begins the name of an engine's lease.
	prefix = "engine/"
	// tokenPatience is how long a place in the batch waits for its client account's tokens.
	tokenPatience = 150 * time.Millisecond
	// reserveTimeout bounds the whole reservation before a send.
	reserveTimeout = time.Second
	// drainTimeout bounds the wait for running generations before a lease is handed over.
	drainTimeout = time.Minute
	// drainInterval is how often a draining dispatcher is looked at.
	drainInterval = 20 * time.Millisecond
	// comeBack is when a generation may be tried again at another VM.
	comeBack = time.Second
)

type spender interface {
	Reserve(ctx context.Context, ask fuchsiaspoke.TokenAsk) (fuchsiaspoke.TokenGrant, time.Duration, error)
	Update(ctx context.Context, update fuchsiaspoke.TokenUpdate) error
}

type permits interface {
	Acquire(ctx context.Context, account string) (release func(used bool), err error)
}

type recorder interface {
	Record(fuchsiaspoke.Event)
}

// Manager owns the dispatchers of one VM.
type Manager struct {
	// Upstreams returns the upstreams in force.
	Upstreams func() []fuchsiaspoke.Upstream
	// Held returns the lease on a resource if this VM holds it.
	Held func(resource string) (fuchsiaspoke.Lease, bool)
	// Authorize is the last look at the key and the profile before a send.
	Authorize func(keyHash, profile string) error
	// Spender reserves the tokens right before a send.
	Spender spender
	// Permits is the budget of adapter loads over all VMs.
	Permits permits
	// Recorder takes the time line's events.
	Recorder recorder
	// Violated is told of each broken invariant.
	Violated func(detail string)
	// Clock returns the time since the process started; it goes on while the process is suspended.
	Clock func() time.Duration

	mu      sync.Mutex
	running map[string]*duty
	grants  map[string]fuchsiaspoke.TokenGrant
	work    map[string]work
	life    context.Context
	wg      sync.WaitGroup
}

type duty struct {
	dispatcher *dispatcher.Dispatcher
	end        context.CancelFunc
	draining   bool
	// left says that the duty drains only since its engine is published as leaving.
	left bool
}

// work is a generation that waits or runs here.
type work struct {
	dispatcher *dispatcher.Dispatcher
	keyHash    string
	profile    string
}

// Resource is the name of an engine's lease.
func Resource(upstream string) string {
	return prefix + upstream
}

// Run keeps the dispatchers running until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	m.mu.Lock()
	m.life = ctx
	m.mu.Unlock()
	<-ctx.Done()
	m.wg.Wait()
	return ctx.Err()
}

// LeaseChanged starts the dispatcher of an engine whose lease was taken; one whose lease was lost ends its queue by itself.
func (m *Manager) LeaseChanged(lease fuchsiaspoke.Lease, held bool) {
	id, ok := strings.CutPrefix(lease.Resource, prefix)
	if !ok || !held {
		return
	}
	for _, u := range m.Upstreams() {
		if u.ID == id {
			m.start(u)
			return
		}
	}
}

// Submit passes a generation to the dispatcher of an engine whose lease this VM holds.
func (m *Manager) Submit(ctx context.Context, upstream string, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	m.mu.Lock()
	d := m.running[upstream]
	m.mu.Unlock()
	if _, held := m.Held(Resource(upstream)); d == nil || !held {
		return notHeld(upstream)
	}
	m.begin(g.RequestID, work{dispatcher: d.dispatcher, keyHash: g.KeyHash, profile: g.Profile})
	defer m.finish(g.RequestID)
	if err := m.Authorize(g.KeyHash, g.Profile); err != nil {
		return err
	}
	return m.submit(ctx, d, g, sink)
}

func (m *Manager) begin(id string, w work) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.work == nil {
		m.work = make(map[string]work)
	}
	m.work[id] = w
}

func (m *Manager) finish(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.work, id)
}

// Serve answers another VM that passes a generation here.
func (m *Manager) Serve(ctx context.Context, _ string, request frame.Frame, send func(any) error) error {
	var placement fuchsiaspoke.Placement
	if err := request.Decode(&placement); err != nil {
		return err
	}
	return m.Submit(ctx, placement.Upstream, placement.Generation, func(chunk fuchsiaspoke.Chunk) error { return send(chunk) })
}

// States tells what the other VMs need to know of the engines that take work here.
func (m *Manager) States() []fuchsiaspoke.EngineState {
	m.mu.Lock()
	defer m.mu.Unlock()
	var states []fuchsiaspoke.EngineState
	for id, d := range m.running {
		if _, held := m.Held(Resource(id)); !held || d.draining {
			continue
		}
		queued, running, resident := d.dispatcher.Load()
		states = append(states, fuchsiaspoke.EngineState{Upstream: id, QueuedTokens: queued, Running: running, Resident: resident})
	}
	return states
}

// Running returns the number of generations that run or wait here.
func (m *Manager) Running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0
	for _, d := range m.running {
		_, running, _ := d.dispatcher.Load()
		total += running
	}
	return total
}

// Withdraw ends the work of keys that are withdrawn and stops the dispatchers of engines that take no new work; they go on when the engine is back.
func (m *Manager) Withdraw(c catalog.Catalog) {
	leaving := make(map[string]bool)
	for _, u := range c.Upstreams() {
		leaving[u.ID] = u.Leaving
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.withdrawKeys()
	for id, d := range m.running {
		gone, known := leaving[id]
		stays := known && !gone
		switch {
		case stays && d.left:
			d.draining, d.left = false, false
			d.dispatcher.Resume()
		case !stays && !d.draining:
			d.draining, d.left = true, true
			d.dispatcher.Drain()
		}
	}
}

// withdrawKeys ends the work whose key does not count any more; mu is held.
func (m *Manager) withdrawKeys() {
	type ended struct {
		dispatcher *dispatcher.Dispatcher
		keyHash    string
	}
	told := make(map[ended]bool)
	for _, w := range m.work {
		one := ended{w.dispatcher, w.keyHash}
		var refusal *fuchsiaspoke.Refusal
		if w.keyHash == "" || told[one] || !errors.As(m.Authorize(w.keyHash, w.profile), &refusal) {
			continue
		}
		// A profile that is gone or closed to the account says nothing of the key's other work.
		if refusal.Status == http.StatusUnauthorized {
			told[one] = true
			w.dispatcher.Withdraw(w.keyHash)
		}
	}
}

// Drain ends the work under an engine's lease in order: nothing new is taken, and what runs may end.
func (m *Manager) Drain(ctx context.Context, resource string) {
	id, ok := strings.CutPrefix(resource, prefix)
	if !ok {
		return
	}
	m.mu.Lock()
	d := m.running[id]
	if d == nil {
		m.mu.Unlock()
		return
	}
	d.draining, d.left = true, false
	m.mu.Unlock()
	d.dispatcher.Drain()
	m.awaitEnd(ctx, d)
	m.mu.Lock()
	delete(m.running, id)
	m.mu.Unlock()
	d.end()
	<-d.dispatcher.Done()
}

func (m *Manager) awaitEnd(ctx context.Context, d *duty) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainInterval):
		}
		if _, running, _ := d.dispatcher.Load(); running == 0 {
			return
		}
	}
}

func (m *Manager) start(u fuchsiaspoke.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		m.running = make(map[string]*duty)
	}
	if m.running[u.ID] != nil || m.life == nil || m.life.Err() != nil {
		return
	}
	ctx, end := context.WithCancel(m.life)
	d := &duty{end: end, dispatcher: m.newDispatcher(u)}
	m.running[u.ID] = d
	m.wg.Go(func() {
		if err := d.dispatcher.Run(ctx); ctx.Err() == nil {
			klog.ErrorS(err, "Dispatcher ended", "upstream", u.ID)
		}
	})
}

func (m *Manager) newDispatcher(u fuchsiaspoke.Upstream) *dispatcher.Dispatcher {
	return &dispatcher.Dispatcher{
		Upstream: u,
		Engine:   &driver.Driver{Upstream: u, Check: func() error { return m.stillHeld(u.ID) }},
		Lease: func(now time.Duration) (fuchsiaspoke.Lease, bool) {
			lease, held := m.Held(Resource(u.ID))
			return lease, held && now < lease.Until
		},
		Permits:  m.Permits,
		Check:    m.check,
		Recorder: m.Recorder,
		Clock:    m.Clock,
		Violated: m.Violated,
	}
}

// stillHeld is the last look at an engine's lease, right before an order or a generation is written to the connection.
func (m *Manager) stillHeld(upstream string) error {
	if _, held := m.Held(Resource(upstream)); !held {
		return notHeld(upstream)
	}
	return nil
}

func notHeld(upstream string) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeLeaseLost, Message: "this VM does not hold the lease of upstream " + upstream,
		Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: comeBack,
	}
}
