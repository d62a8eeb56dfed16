// Package router passes an admitted generation to the VM that holds an engine's lease.
package router

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/dialer"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/placer"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// Method names the call that passes a generation to another VM.
	Method = "generate"
	// maxAttempts bounds the deliveries of one generation.
	maxAttempts = 4
	// searchInterval is the pause before a further attempt.
	searchInterval = 50 * time.Millisecond
	// comeBack is when a caller should try again after no engine took the work.
	comeBack = 2 * time.Second
)

type caller interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
}

type dispatcher interface {
	Submit(ctx context.Context, upstream string, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error
}

type budget interface {
	Add()
	Take() bool
}

// Router finds the replica for an adapter and follows the answer.
type Router struct {
	// Self is this VM's id.
	Self string
	// Local takes work for engines whose lease this VM holds.
	Local dispatcher
	// Caller reaches the other VMs.
	Caller caller
	// Engines returns the engines in force.
	Engines func() []fuchsiaspoke.Upstream
	// Live returns what the live VMs last said.
	Live func() []fuchsiaspoke.PeerState
	// Clock returns the time since the process started.
	Clock func() time.Duration
	// Budget bounds the retries.
	Budget budget
	// Zone is this VM's availability zone, which is preferred among equal replicas.
	Zone fuchsiaspoke.Zone

	mu     sync.Mutex
	placer placer.Placer
}

// candidate is a replica and the VM that holds its lease.
type candidate struct {
	upstream string
	holder   fuchsiaspoke.VM
}

// Deliver sends the generation to an engine and hands each part of the answer to sink.
//
// A generation that surely did not run is tried at another replica within its patience; once a part was handed out it is not tried again.
func (r *Router) Deliver(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	r.Budget.Add()
	deadline := r.Clock() + g.Patience
	tried := make(map[string]bool)
	last := noUpstream("no replica of model " + g.BaseModel + " is served at the moment")
	for attempt := 0; attempt < maxAttempts; {
		if g.Patience = deadline - r.Clock(); g.Patience <= 0 || ctx.Err() != nil {
			return last
		}
		next, ok := r.choose(g, tried)
		if !ok {
			clear(tried)
			if !pause(ctx, searchInterval) {
				return last
			}
			continue
		}
		tried[next.upstream] = true
		err := r.send(ctx, next, g, sink)
		if err == nil {
			return nil
		}
		last = err
		attempt++
		if !elsewhere(err) || !r.Budget.Take() {
			return err
		}
	}
	return last
}

func (r *Router) send(ctx context.Context, to candidate, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	if to.holder.ID == r.Self {
		return r.Local.Submit(ctx, to.upstream, g, sink)
	}
	err := r.Caller.Call(ctx, to.holder, Method, fuchsiaspoke.Placement{Upstream: to.upstream, Generation: g}, func(body cbor.RawMessage) error {
		var chunk fuchsiaspoke.Chunk
		if err := cbor.Unmarshal(body, &chunk); err != nil {
			return errors.Wrap(err, "decode part of answer")
		}
		if chunk.RequestID != g.RequestID {
			return mismatch(g.RequestID, chunk.RequestID)
		}
		return sink(chunk)
	})
	return classify(err, to)
}

func (r *Router) choose(g fuchsiaspoke.Generation, tried map[string]bool) (candidate, bool) {
	states, holders := r.replicas(tried)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placer.Zone = r.Zone
	id, ok := r.placer.Pick(r.Clock(), g, states)
	return candidate{upstream: id, holder: holders[id]}, ok
}

// replicas are the engines that some live VM says it holds, and those VMs.
func (r *Router) replicas(tried map[string]bool) ([]fuchsiaspoke.UpstreamState, map[string]fuchsiaspoke.VM) {
	upstreams := make(map[string]fuchsiaspoke.Upstream)
	for _, u := range r.Engines() {
		upstreams[u.ID] = u
	}
	var states []fuchsiaspoke.UpstreamState
	holders := make(map[string]fuchsiaspoke.VM)
	for _, peer := range r.Live() {
		for _, state := range peer.Engines {
			u, ok := upstreams[state.Upstream]
			if _, twice := holders[u.ID]; !ok || twice || tried[u.ID] {
				continue
			}
			holders[u.ID] = peer.VM
			states = append(states, fuchsiaspoke.UpstreamState{
				Upstream: u, QueuedTokens: state.QueuedTokens, Running: state.Running, Resident: state.Resident,
			})
		}
	}
	return states, holders
}

func classify(err error, to candidate) error {
	if err == nil {
		return nil
	}
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if errors.Is(err, dialer.ErrNotSent) {
		return noUpstream("the VM that serves upstream " + to.upstream + " cannot be reached")
	}
	return &fuchsiaspoke.Refusal{
		Code:       fuchsiaspoke.CodeUpstreamFailed,
		Message:    "the answer of upstream " + to.upstream + " was lost: " + err.Error(),
		Run:        fuchsiaspoke.RunUnknown,
		RetryAfter: time.Second,
		Status:     http.StatusBadGateway,
	}
}

// elsewhere reports whether another replica may answer differently what surely did not run.
func elsewhere(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.NotRun {
		return false
	}
	denied := refusal.Status == http.StatusUnauthorized || refusal.Status == http.StatusForbidden
	return !denied && refusal.Code != fuchsiaspoke.CodeTokensShort && refusal.Code != fuchsiaspoke.CodeNoProfile
}

func mismatch(want, got string) error {
	return &fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeAnswerMismatch,
		Message: "an answer to request " + got + " came for request " + want,
		Run:     fuchsiaspoke.RunUnknown,
		Status:  http.StatusBadGateway,
	}
}

func noUpstream(message string) error {
	return &fuchsiaspoke.Refusal{
		Code:       fuchsiaspoke.CodeNoUpstream,
		Message:    message,
		Run:        fuchsiaspoke.NotRun,
		RetryAfter: comeBack,
		Status:     http.StatusServiceUnavailable,
	}
}

func pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}
