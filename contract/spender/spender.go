// Package spender reserves tokens with whichever VM holds a client account's lease.
package spender

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
	// ReserveMethod names the call that reserves tokens.
	ReserveMethod = "reserve_tokens"
	// ConfirmMethod names the call that checks a reservation before sending.
	ConfirmMethod = "confirm_tokens"
	// UpdateMethod names the call that reports use.
	UpdateMethod = "update_tokens"

	// searchInterval is the pause between two looks for the lease's holder.
	searchInterval = 50 * time.Millisecond
	// callTimeout bounds a call beyond the patience that it carries.
	callTimeout = time.Second
	// comeBack is when a caller should try again after no holder was found.
	comeBack = 2 * time.Second
)

type caller interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
}

type granter interface {
	Reserve(ctx context.Context, ask fuchsiaspoke.TokenAsk) (fuchsiaspoke.TokenGrant, error)
	Confirm(grant fuchsiaspoke.TokenGrant) (fuchsiaspoke.TokenGrant, error)
	Update(update fuchsiaspoke.TokenUpdate)
}

// Spender reserves, confirms and settles tokens.
type Spender struct {
	// Self is this VM's id.
	Self string
	// Local answers for the leases that this VM holds.
	Local granter
	// Caller reaches the other VMs.
	Caller caller
	// HolderOf returns the VM that holds the resource's lease, as far as this VM heard.
	HolderOf func(resource string) (fuchsiaspoke.VM, bool)
	// Peers returns the other live VMs.
	Peers func() []fuchsiaspoke.VM
	// Clock returns the time since the process started.
	Clock func() time.Duration

	mu   sync.Mutex
	uses map[string]map[string]fuchsiaspoke.TokenUse
}

// Resource is the name of a client account's lease.
func Resource(account string) string {
	return "account/" + account
}

// Reserve waits until the tokens are reserved, at most for the ask's patience, and returns the grant and when it ends on this VM's clock.
func (s *Spender) Reserve(ctx context.Context, ask fuchsiaspoke.TokenAsk) (fuchsiaspoke.TokenGrant, time.Duration, error) {
	deadline := s.Clock() + ask.Patience
	for {
		began := s.Clock()
		ask.Patience = max(deadline-began, 0)
		grant, err := s.reserve(ctx, ask)
		if err == nil {
			s.track(grant)
			return grant, began + grant.Valid, nil
		}
		if final(err) || s.Clock()+searchInterval > deadline {
			return fuchsiaspoke.TokenGrant{}, 0, refuse(err)
		}
		select {
		case <-ctx.Done():
			return fuchsiaspoke.TokenGrant{}, 0, refuse(err)
		case <-time.After(searchInterval):
		}
	}
}

// Confirm returns when the grant ends on this VM's clock, as the lease's holder now says.
func (s *Spender) Confirm(ctx context.Context, grant fuchsiaspoke.TokenGrant) (time.Duration, error) {
	began := s.Clock()
	vm, ok := s.HolderOf(Resource(grant.Account))
	if !ok {
		return 0, unavailable(grant.Account)
	}
	if vm.ID == s.Self {
		confirmed, err := s.Local.Confirm(grant)
		return began + confirmed.Valid, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var confirmed fuchsiaspoke.TokenGrant
	err := s.Caller.Call(ctx, vm, ConfirmMethod, grant, func(body cbor.RawMessage) error {
		return cbor.Unmarshal(body, &confirmed)
	})
	return began + confirmed.Valid, err
}

// Update reports the use of a reservation; a lost report destroys tokens and never makes them.
func (s *Spender) Update(ctx context.Context, update fuchsiaspoke.TokenUpdate) error {
	s.count(update)
	vm, ok := s.HolderOf(Resource(update.Account))
	if !ok {
		return unavailable(update.Account)
	}
	if vm.ID == s.Self {
		s.Local.Update(update)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.Caller.Call(ctx, vm, UpdateMethod, update, nil)
}

func (s *Spender) reserve(ctx context.Context, ask fuchsiaspoke.TokenAsk) (fuchsiaspoke.TokenGrant, error) {
	vm, ok := s.HolderOf(Resource(ask.Account))
	if !ok {
		return fuchsiaspoke.TokenGrant{}, unavailable(ask.Account)
	}
	if vm.ID == s.Self {
		return s.Local.Reserve(ctx, ask)
	}
	ctx, cancel := context.WithTimeout(ctx, ask.Patience+callTimeout)
	defer cancel()
	var grant fuchsiaspoke.TokenGrant
	err := s.Caller.Call(ctx, vm, ReserveMethod, ask, func(body cbor.RawMessage) error {
		return cbor.Unmarshal(body, &grant)
	})
	return grant, err
}

// final reports whether the holder itself refused, so that looking for another is of no use.
func final(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	return errors.As(err, &refusal) && refusal.Code != fuchsiaspoke.CodeLeaseLost
}

func refuse(err error) error {
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) && refusal.Code != fuchsiaspoke.CodeLeaseLost {
		return refusal
	}
	return (fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeOverloaded,
		Message: "the client account's tokens cannot be reserved at the moment: " + err.Error(),
		Run:     fuchsiaspoke.NotRun,
		Status:  http.StatusServiceUnavailable,
	}).WithRetryAfter(comeBack)
}

func unavailable(account string) error {
	return &fuchsiaspoke.Refusal{
		Code:       fuchsiaspoke.CodeLeaseLost,
		Message:    "no VM is known to hold the lease of client account " + account,
		Run:        fuchsiaspoke.NotRun,
		RetryAfter: comeBack,
		Status:     http.StatusServiceUnavailable,
	}
}
