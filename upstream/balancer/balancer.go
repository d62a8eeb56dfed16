// Package balancer distributes calls to plain services over their replicas, within the client account's token rate.
package balancer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/invoker"
	"github.com/pkg/errors"
)

const (
	// tokenWaitTimeout bounds the wait of a call for tokens of its client account.
	tokenWaitTimeout = 5 * time.Second
	// maxAttempts bounds the attempts for a call that may run more than once, which is one without an idempotency key.
	maxAttempts = 3
	// retryAfter is sent to the caller when no replica accepts calls or the token reservation expired.
	retryAfter = 2 * time.Second
	// updateTimeout bounds the report of the tokens that a call consumed.
	updateTimeout = 2 * time.Second
)

type tokenClient interface {
	Reserve(ctx context.Context, req fuchsiaspoke.TokenRequest) (fuchsiaspoke.TokenGrant, time.Duration, error)
	Update(ctx context.Context, update fuchsiaspoke.TokenUpdate) error
}

type retryBudget interface {
	// Add counts a first attempt, which increases the budget.
	Add()
	// Take reports whether a retry is within the budget, and deducts it if so.
	Take() bool
}

// Balancer sends calls to the replicas of plain services.
type Balancer struct {
	// Services returns the replicas of all plain services in the current settings.
	Services func() []fuchsiaspoke.Upstream
	// Zone is this VM's availability zone, whose replicas are preferred.
	Zone fuchsiaspoke.Zone
	// TokenClient reserves tokens and reports the consumed ones.
	TokenClient tokenClient
	// Check verifies the caller's key and the profile right before each send.
	Check func(keyHash, profile string) error
	// Budget bounds the retries.
	Budget retryBudget
	// Record adds an event to the timeline.
	Record func(fuchsiaspoke.Event)
	// Clock returns the time since the process started, including time during which the process was suspended.
	Clock func() time.Duration

	rotation atomic.Uint64
	mu       sync.Mutex
	invokers map[string]*invoker.Invoker
}

// Send reserves the call's tokens, sends it to a replica and returns the complete response.
//
// A call with an idempotency key is sent at most once; any other call may be retried at other replicas. beforeSend is called
// in each attempt before a byte may be sent, and its error prevents the attempt.
func (b *Balancer) Send(ctx context.Context, call fuchsiaspoke.Call, beforeSend func() error) (fuchsiaspoke.Reply, error) {
	grant, validUntil, err := b.TokenClient.Reserve(ctx, fuchsiaspoke.TokenRequest{
		Account: call.Account, ID: call.RequestID, Tokens: call.CostTokens, MaxWait: tokenWaitTimeout,
	})
	if err != nil {
		return fuchsiaspoke.Reply{}, err
	}
	preSend := func() error {
		if err := b.checkBeforeSend(call, validUntil); err != nil {
			return err
		}
		if beforeSend != nil {
			return beforeSend()
		}
		return nil
	}
	reply, err := b.sendWithRetries(ctx, call, preSend)
	consumed := grant.Tokens
	if isNotRun(err) {
		consumed = 0
	}
	go b.reportTokenUse(context.WithoutCancel(ctx), fuchsiaspoke.TokenUpdate{
		Account: grant.Account, ID: grant.ID, Fence: grant.Fence, Consumed: consumed, Finished: true,
	})
	return reply, err
}

// sendWithRetries sends the call to the replicas in turn until one responds, the error is final, ctx ends, or no further
// attempt is allowed.
func (b *Balancer) sendWithRetries(ctx context.Context, call fuchsiaspoke.Call, preSend func() error) (fuchsiaspoke.Reply, error) {
	replicas := b.replicas(call.Service)
	if len(replicas) == 0 {
		return fuchsiaspoke.Reply{}, noReplicaError(call.Service)
	}
	b.Budget.Add()
	attempts := 1
	if call.IdempotencyKey == "" {
		attempts = maxAttempts
	}
	var reply fuchsiaspoke.Reply
	var err error
	for n := range attempts {
		upstream := replicas[n%len(replicas)]
		reply, err = b.sendToReplica(ctx, call, upstream, preSend)
		if err == nil || ctx.Err() != nil || isFinal(err) || n+1 < attempts && !b.Budget.Take() {
			return reply, err
		}
	}
	return reply, err
}

func (b *Balancer) sendToReplica(ctx context.Context, call fuchsiaspoke.Call, upstream fuchsiaspoke.Upstream, preSend func() error) (fuchsiaspoke.Reply, error) {
	return b.invokerFor(upstream).Send(ctx, call, func() error {
		if err := preSend(); err != nil {
			return err
		}
		b.Record(fuchsiaspoke.Event{
			Kind: fuchsiaspoke.EventSent, RequestID: call.RequestID, Account: call.Account, Upstream: upstream.ID, Tokens: call.CostTokens,
		})
		return nil
	})
}

// checkBeforeSend verifies the key, the profile and the token reservation right before the first byte may be sent.
func (b *Balancer) checkBeforeSend(call fuchsiaspoke.Call, validUntil time.Duration) error {
	if err := b.Check(call.KeyHash, call.Profile); err != nil {
		return err
	}
	if b.Clock() >= validUntil {
		return &fuchsiaspoke.Refusal{
			Code: fuchsiaspoke.CodeLeaseLost, Message: "the token reservation expired before the call was sent",
			Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter,
		}
	}
	return nil
}

// replicas returns the service's replicas that accept new calls, those in this VM's availability zone first. Both groups are
// rotated by one with each call, for round-robin order.
func (b *Balancer) replicas(service string) []fuchsiaspoke.Upstream {
	var sameZone, otherZones []fuchsiaspoke.Upstream
	for _, u := range b.Services() {
		if u.Leaving || u.Service != service {
			continue
		}
		if u.Zone == b.Zone {
			sameZone = append(sameZone, u)
		} else {
			otherZones = append(otherZones, u)
		}
	}
	offset := b.rotation.Add(1)
	return append(rotate(sameZone, offset), rotate(otherZones, offset)...)
}

// invokerFor returns the Invoker of the replica's address and creates it if it does not exist.
func (b *Balancer) invokerFor(upstream fuchsiaspoke.Upstream) *invoker.Invoker {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.invokers == nil {
		b.invokers = make(map[string]*invoker.Invoker)
	}
	c := b.invokers[upstream.Address]
	if c == nil {
		c = &invoker.Invoker{Address: upstream.Address}
		b.invokers[upstream.Address] = c
	}
	return c
}

func (b *Balancer) reportTokenUse(ctx context.Context, update fuchsiaspoke.TokenUpdate) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	_ = b.TokenClient.Update(ctx, update)
}

func rotate(replicas []fuchsiaspoke.Upstream, offset uint64) []fuchsiaspoke.Upstream {
	if len(replicas) == 0 {
		return nil
	}
	first := int(offset % uint64(len(replicas)))
	return append(replicas[first:len(replicas):len(replicas)], replicas[:first]...)
}

// isFinal reports whether the error is a refusal that any replica would give, so that a retry is useless.
func isFinal(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) {
		return false
	}
	switch refusal.Code {
	case fuchsiaspoke.CodeUpstreamFailed, fuchsiaspoke.CodeOutcomeUnknown, fuchsiaspoke.CodeNoUpstream:
		return false
	}
	return true
}

func isNotRun(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	return errors.As(err, &refusal) && refusal.Run == fuchsiaspoke.NotRun
}

func noReplicaError(service string) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeNoUpstream, Message: "service " + service + " has no replica that accepts calls",
		Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter,
	}
}
