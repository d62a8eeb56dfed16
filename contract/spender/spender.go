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
	// AnnounceMethod names the call that tells of tokens that will be reserved.
	AnnounceMethod = "announce_tokens"
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
	Announce(ctx context.Context, ask fuchsiaspoke.TokenAsk) error
	Update(update fuchsiaspoke.TokenUpdate)
}

// Spender announces, reserves and settles tokens.
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

// Announce tells of tokens that will be reserved right before the work is sent; it is refused where they surely come too late.
func (s *Spender) Announce(ctx context.Context, ask fuchsiaspoke.TokenAsk) error {
	return s.search(ctx, ask, func(ask fuchsiaspoke.TokenAsk) error { return s.announce(ctx, ask) })
}

// Reserve waits until the tokens are reserved, at most for the ask's patience, and returns the grant and when it ends on this VM's clock.
func (s *Spender) Reserve(ctx context.Context, ask fuchsiaspoke.TokenAsk) (fuchsiaspoke.TokenGrant, time.Duration, error) {
	var grant fuchsiaspoke.TokenGrant
	var until time.Duration
	err := s.search(ctx, ask, func(ask fuchsiaspoke.TokenAsk) error {
		began := s.Clock()
		var err error
		grant, err = s.reserve(ctx, ask)
		until = began + grant.Valid
		return err
	})
	if err == nil {
		s.track(grant)
	}
	return grant, until, err
}

// search asks whoever holds the lease, until there is a final answer or the patience is over.
func (s *Spender) search(ctx context.Context, ask fuchsiaspoke.TokenAsk, try func(fuchsiaspoke.TokenAsk) error) error {
	deadline := s.Clock() + ask.Patience
	for {
		ask.Patience = max(deadline-s.Clock(), 0)
		err := try(ask)
		if err == nil {
			return nil
		}
		if final(err) || s.Clock()+searchInterval > deadline {
			return refuse(err)
		}
		select {
		case <-ctx.Done():
			return refuse(err)
		case <-time.After(searchInterval):
		}
	}
}

func (s *Spender) announce(ctx context.Context, ask fuchsiaspoke.TokenAsk) error {
	vm, ok := s.HolderOf(Resource(ask.Account))
	if !ok {
		return unavailable(ask.Account)
	}
	if vm.ID == s.Self {
		return s.Local.Announce(ctx, ask)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.Caller.Call(ctx, vm, AnnounceMethod, ask, nil)
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
