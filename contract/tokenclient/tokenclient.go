// Package tokenclient reserves tokens of client accounts on the VMs that hold the accounts' leases.
package tokenclient

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// ReserveMethod is the link method that reserves tokens.
	ReserveMethod = "reserve_tokens"
	// AnnounceMethod is the link method that announces tokens to be reserved later.
	AnnounceMethod = "announce_tokens"
	// UpdateMethod is the link method that reports the consumption of a reservation.
	UpdateMethod = "update_tokens"

	// retryInterval is the pause between two attempts to reach the lease holder.
	retryInterval = 50 * time.Millisecond
	// callTimeout bounds a call; a reservation may take its maximum wait in addition.
	callTimeout = time.Second
	// retryAfter is the time after which a caller should retry when no lease holder was reached.
	retryAfter = 2 * time.Second
)

type caller interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
}

type tokenServer interface {
	Reserve(ctx context.Context, req fuchsiaspoke.TokenRequest) (fuchsiaspoke.TokenGrant, error)
	Announce(ctx context.Context, req fuchsiaspoke.TokenRequest) error
	Update(update fuchsiaspoke.TokenUpdate)
}

// TokenClient announces and reserves tokens and reports their consumption.
type TokenClient struct {
	// Self is this VM's ID.
	Self string
	// Local grants tokens under the leases that this VM holds.
	Local tokenServer
	// Caller calls methods of other VMs.
	Caller caller
	// HolderOf returns the VM that holds the resource's lease according to the latest reports that this VM received.
	HolderOf func(resource string) (fuchsiaspoke.VM, bool)
	// Peers returns the other live VMs.
	Peers func() []fuchsiaspoke.VM
	// Clock returns the time since the process started.
	Clock func() time.Duration

	mu sync.Mutex
	// unfinished holds the granted reservations by client account and reservation ID.
	unfinished map[string]map[string]fuchsiaspoke.OpenReservation
}

// LeaseName returns the resource name of a client account's lease.
func LeaseName(account string) string {
	return "account/" + account
}

// Announce announces tokens that will be reserved right before the work is sent. It returns a refusal if they will not
// be available in time.
func (c *TokenClient) Announce(ctx context.Context, req fuchsiaspoke.TokenRequest) error {
	return c.retryHolder(ctx, req, func(req fuchsiaspoke.TokenRequest) error { return c.announce(ctx, req) })
}

// Reserve reserves tokens, waiting no longer than the request's maximum wait. It returns the grant and the time on
// Clock until which it is valid, counted from before the call so that a slow call cannot extend it.
func (c *TokenClient) Reserve(ctx context.Context, req fuchsiaspoke.TokenRequest) (fuchsiaspoke.TokenGrant, time.Duration, error) {
	var grant fuchsiaspoke.TokenGrant
	var validUntil time.Duration
	err := c.retryHolder(ctx, req, func(req fuchsiaspoke.TokenRequest) error {
		startedAt := c.Clock()
		var err error
		grant, err = c.reserve(ctx, req)
		validUntil = startedAt + grant.ValidFor
		return err
	})
	if err == nil {
		c.trackGrant(grant)
	}
	return grant, validUntil, err
}

// retryHolder repeats the attempt until the lease holder grants or refuses it, the maximum wait is over, or ctx ends.
func (c *TokenClient) retryHolder(
	ctx context.Context, req fuchsiaspoke.TokenRequest, attempt func(fuchsiaspoke.TokenRequest) error,
) error {
	deadline := c.Clock() + req.MaxWait
	for {
		req.MaxWait = max(deadline-c.Clock(), 0)
		err := attempt(req)
		if err == nil {
			return nil
		}
		if isFinal(err) || c.Clock()+retryInterval > deadline {
			return asRefusal(err)
		}
		select {
		case <-ctx.Done():
			return asRefusal(err)
		case <-time.After(retryInterval):
		}
	}
}

// announce makes one attempt to announce the tokens to the lease holder.
func (c *TokenClient) announce(ctx context.Context, req fuchsiaspoke.TokenRequest) error {
	vm, ok := c.HolderOf(LeaseName(req.Account))
	if !ok {
		return holderUnknown(req.Account)
	}
	if vm.ID == c.Self {
		return c.Local.Announce(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.Caller.Call(ctx, vm, AnnounceMethod, req, nil)
}

// Update reports the consumption of a reservation to the lease holder. A lost report can only lose tokens, never create
// any: what is not reported as unused counts as consumed.
func (c *TokenClient) Update(ctx context.Context, update fuchsiaspoke.TokenUpdate) error {
	c.recordUpdate(update)
	vm, ok := c.HolderOf(LeaseName(update.Account))
	if !ok {
		return holderUnknown(update.Account)
	}
	if vm.ID == c.Self {
		c.Local.Update(update)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.Caller.Call(ctx, vm, UpdateMethod, update, nil)
}

// reserve makes one attempt to reserve the tokens at the lease holder.
func (c *TokenClient) reserve(ctx context.Context, req fuchsiaspoke.TokenRequest) (fuchsiaspoke.TokenGrant, error) {
	vm, ok := c.HolderOf(LeaseName(req.Account))
	if !ok {
		return fuchsiaspoke.TokenGrant{}, holderUnknown(req.Account)
	}
	if vm.ID == c.Self {
		return c.Local.Reserve(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, req.MaxWait+callTimeout)
	defer cancel()
	var grant fuchsiaspoke.TokenGrant
	err := c.Caller.Call(ctx, vm, ReserveMethod, req, func(body cbor.RawMessage) error {
		return cbor.Unmarshal(body, &grant)
	})
	return grant, err
}

// isFinal reports whether the lease holder itself refused, so that a retry with another VM is pointless.
func isFinal(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	return errors.As(err, &refusal) && refusal.Code != fuchsiaspoke.CodeLeaseLost
}

// asRefusal returns the lease holder's refusal, or for any other error a refusal that permits a retry.
func asRefusal(err error) error {
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) && refusal.Code != fuchsiaspoke.CodeLeaseLost {
		return refusal
	}
	return (fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeOverloaded,
		Message: "the client account's tokens could not be reserved: " + err.Error(),
		Run:     fuchsiaspoke.NotRun,
		Status:  http.StatusServiceUnavailable,
	}).WithRetryAfter(retryAfter)
}

// holderUnknown returns the refusal for a client account whose lease has no known holder.
func holderUnknown(account string) error {
	return &fuchsiaspoke.Refusal{
		Code:       fuchsiaspoke.CodeLeaseLost,
		Message:    "this VM knows no holder of the lease of client account " + account,
		Run:        fuchsiaspoke.NotRun,
		RetryAfter: retryAfter,
		Status:     http.StatusServiceUnavailable,
	}
}
