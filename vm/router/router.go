// Package router passes an admitted generation to the VM that holds an engine's lease.
package router

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/dialer"
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
	// spillTokens is the lead in queued tokens at which a replica without the adapter is preferred.
	spillTokens = 4096
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
}

type candidate struct {
	upstream fuchsiaspoke.Upstream
	holder   fuchsiaspoke.VM
	state    fuchsiaspoke.EngineState
	score    uint64
	resident bool
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
		tried[next.upstream.ID] = true
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
		return r.Local.Submit(ctx, to.upstream.ID, g, sink)
	}
	err := r.Caller.Call(ctx, to.holder, Method, fuchsiaspoke.Placement{Upstream: to.upstream.ID, Generation: g}, func(body cbor.RawMessage) error {
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
	found := r.candidates(g, tried)
	if len(found) == 0 {
		return candidate{}, false
	}
	slices.SortFunc(found, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	best := found[0]
	for _, other := range found[1:] {
		if better(other, best) {
			best = other
		}
	}
	return best, true
}

func (r *Router) candidates(g fuchsiaspoke.Generation, tried map[string]bool) []candidate {
	upstreams := make(map[string]fuchsiaspoke.Upstream)
	for _, u := range r.Engines() {
		if !u.Leaving && u.BaseModel == g.BaseModel {
			upstreams[u.ID] = u
		}
	}
	var found []candidate
	for _, peer := range r.Live() {
		if peer.Draining {
			continue
		}
		for _, state := range peer.Engines {
			u, ok := upstreams[state.Upstream]
			if !ok || tried[u.ID] {
				continue
			}
			found = append(found, candidate{
				upstream: u,
				holder:   peer.VM,
				state:    state,
				score:    xxhash.Sum64String(g.Adapter.Name + "\x00" + u.ID),
				resident: slices.Contains(state.Resident, g.Adapter),
			})
		}
	}
	return found
}

// better reports whether a beats b, where b precedes a in the adapter's own order of replicas.
func better(a, b candidate) bool {
	if a.resident == b.resident {
		return a.state.QueuedTokens+spillTokens < b.state.QueuedTokens
	}
	if a.resident {
		return a.state.QueuedTokens < b.state.QueuedTokens+spillTokens
	}
	return a.state.QueuedTokens+spillTokens < b.state.QueuedTokens
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
		return noUpstream("the VM that serves upstream " + to.upstream.ID + " cannot be reached")
	}
	return &fuchsiaspoke.Refusal{
		Code:       fuchsiaspoke.CodeUpstreamFailed,
		Message:    "the answer of upstream " + to.upstream.ID + " was lost: " + err.Error(),
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
