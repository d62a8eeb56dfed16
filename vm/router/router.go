// Package router chooses a replica for an admitted generation and sends it to the VM that holds the engine's lease.
package router

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/dialer"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/sleeper"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/placer"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// Method is the link method that sends a generation to another VM.
	Method = "generate"
	// maxAttempts bounds how often one generation is sent.
	maxAttempts = 4
	// retryInterval is the pause before replicas are looked up again when none is left to try.
	retryInterval = 50 * time.Millisecond
	// retryAfter is the Retry-After of a refusal because no replica is available.
	retryAfter = 2 * time.Second
)

type caller interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
}

type dispatcher interface {
	Submit(ctx context.Context, upstream string, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error
}

type retryBudget interface {
	Add()
	Take() bool
}

// Router sends generations to replicas, through the VMs that hold their leases.
type Router struct {
	// Self is this VM's id.
	Self string
	// Local dispatches generations to engines whose lease this VM holds.
	Local dispatcher
	// Caller calls other VMs over the link.
	Caller caller
	// Engines returns the published engines.
	Engines func() []fuchsiaspoke.Upstream
	// PeerStates returns the last state received from each live VM, and this VM's own.
	PeerStates func() []fuchsiaspoke.PeerState
	// Clock returns the time since the process started.
	Clock func() time.Duration
	// Budget is the retry budget.
	Budget retryBudget
	// Zone is this VM's availability zone; among equal replicas, those in it are preferred.
	Zone fuchsiaspoke.Zone

	mu     sync.Mutex
	placer placer.Placer
}

// candidate is a replica and the VM that holds its lease.
type candidate struct {
	upstream string
	holder   fuchsiaspoke.VM
}

// Deliver sends the generation to a replica and passes each chunk of the response to sink.
//
// A generation that did not run is sent to another replica, at most maxAttempts times in all, within its MaxWait and the retry
// budget. A generation of which a chunk was received is not sent again.
func (r *Router) Deliver(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	r.Budget.Add()
	deadline := r.Clock() + g.MaxWait
	tried := make(map[string]bool)
	lastErr := noUpstream("no replica of model " + g.BaseModel + " is available")
	for attempt := 0; attempt < maxAttempts; {
		if g.MaxWait = deadline - r.Clock(); g.MaxWait <= 0 || ctx.Err() != nil {
			return lastErr
		}
		replica, ok := r.chooseReplica(g, tried)
		if !ok {
			clear(tried)
			if !sleeper.Sleep(ctx, retryInterval) {
				return lastErr
			}
			continue
		}
		tried[replica.upstream] = true
		err := r.send(ctx, replica, g, sink)
		if err == nil {
			return nil
		}
		lastErr = err
		attempt++
		if !canRetryElsewhere(err) || !r.Budget.Take() {
			return err
		}
	}
	return lastErr
}

// send submits the generation to the replica's lease holder: to the local dispatcher if this is the holder, else over the link.
func (r *Router) send(ctx context.Context, to candidate, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	if to.holder.ID == r.Self {
		return r.Local.Submit(ctx, to.upstream, g, sink)
	}
	err := r.Caller.Call(ctx, to.holder, Method, fuchsiaspoke.Placement{Upstream: to.upstream, Generation: g}, func(body cbor.RawMessage) error {
		var chunk fuchsiaspoke.Chunk
		if err := cbor.Unmarshal(body, &chunk); err != nil {
			return errors.Wrap(err, "decode response chunk")
		}
		if chunk.RequestID != g.RequestID {
			return answerMismatch(g.RequestID, chunk.RequestID)
		}
		return sink(chunk)
	})
	return toRefusal(err, to)
}

// chooseReplica returns the replica that the placer picks among those not in tried, and false if there is none.
func (r *Router) chooseReplica(g fuchsiaspoke.Generation, tried map[string]bool) (candidate, bool) {
	states, holders := r.replicaStates(tried)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placer.Zone = r.Zone
	id, ok := r.placer.Pick(r.Clock(), g, states)
	return candidate{upstream: id, holder: holders[id]}, ok
}

// replicaStates returns the states of the engines that are not in tried and that a live VM reports as their lease holder, and
// maps the engine ids to these VMs.
func (r *Router) replicaStates(tried map[string]bool) ([]fuchsiaspoke.UpstreamState, map[string]fuchsiaspoke.VM) {
	upstreams := make(map[string]fuchsiaspoke.Upstream)
	for _, u := range r.Engines() {
		upstreams[u.ID] = u
	}
	var states []fuchsiaspoke.UpstreamState
	holders := make(map[string]fuchsiaspoke.VM)
	for _, peer := range r.PeerStates() {
		for _, state := range peer.Engines {
			u, ok := upstreams[state.Upstream]
			if _, duplicate := holders[u.ID]; !ok || duplicate || tried[u.ID] {
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

// toRefusal returns err as a refusal: not_run if the generation was not sent to the VM, an unknown outcome otherwise.
func toRefusal(err error, to candidate) error {
	if err == nil {
		return nil
	}
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if errors.Is(err, dialer.ErrNotSent) {
		return noUpstream("the VM that holds the lease of upstream " + to.upstream + " cannot be reached")
	}
	return &fuchsiaspoke.Refusal{
		Code:       fuchsiaspoke.CodeUpstreamFailed,
		Message:    "the response of upstream " + to.upstream + " was interrupted: " + err.Error(),
		Run:        fuchsiaspoke.RunUnknown,
		RetryAfter: time.Second,
		Status:     http.StatusBadGateway,
	}
}

// canRetryElsewhere reports whether a generation did not run and was refused for a reason that need not hold at another replica.
func canRetryElsewhere(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.NotRun {
		return false
	}
	denied := refusal.Status == http.StatusUnauthorized || refusal.Status == http.StatusForbidden
	return !denied && refusal.Code != fuchsiaspoke.CodeTokensShort && refusal.Code != fuchsiaspoke.CodeNoProfile
}

func answerMismatch(want, got string) error {
	return &fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeAnswerMismatch,
		Message: "received a response chunk of request " + got + " for request " + want,
		Run:     fuchsiaspoke.RunUnknown,
		Status:  http.StatusBadGateway,
	}
}

func noUpstream(message string) error {
	return &fuchsiaspoke.Refusal{
		Code:       fuchsiaspoke.CodeNoUpstream,
		Message:    message,
		Run:        fuchsiaspoke.NotRun,
		RetryAfter: retryAfter,
		Status:     http.StatusServiceUnavailable,
	}
}
