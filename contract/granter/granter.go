// Package granter reserves tokens for the client accounts whose lease this VM holds.
package granter

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
)

const (
	// prefix begins the name of a client account's lease.
	prefix = "account/"
	// comeBack is when a caller should look for the lease's new holder.
	comeBack = time.Second
)

// Granter owns the buckets of the client accounts whose lease this VM holds.
type Granter struct {
	// Held returns the lease on a resource if this VM holds it.
	Held func(resource string) (fuchsiaspoke.Lease, bool)
	// Account returns a client account in force.
	Account func(name string) (fuchsiaspoke.ClientAccount, bool)
	// Record puts an event on the time line.
	Record func(fuchsiaspoke.Event)
	// Clock returns the time since the process started; it goes on while the process is suspended.
	Clock func() time.Duration

	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct{ fence int64 }

// LeaseChanged opens the bucket of a client account whose lease was taken, and drops it when the lease is lost.
func (g *Granter) LeaseChanged(lease fuchsiaspoke.Lease, held bool) {
	name, ok := strings.CutPrefix(lease.Resource, prefix)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.buckets == nil {
		g.buckets = make(map[string]*bucket)
	}
	delete(g.buckets, name)
	if held {
		g.buckets[name] = &bucket{fence: lease.Fence}
	}
}

// Reserve reserves tokens, waiting at most for the ask's patience.
func (g *Granter) Reserve(_ context.Context, ask fuchsiaspoke.TokenAsk) (fuchsiaspoke.TokenGrant, error) {
	lease, held := g.Held(prefix + ask.Account)
	if !held {
		return fuchsiaspoke.TokenGrant{}, notHeld(ask.Account)
	}
	return fuchsiaspoke.TokenGrant{
		Account: ask.Account, ID: ask.ID, Tokens: ask.Tokens, Fence: lease.Fence, Valid: lease.Until - g.Clock(),
	}, nil
}

// Confirm returns the grant with the time that its lease still lasts.
func (g *Granter) Confirm(grant fuchsiaspoke.TokenGrant) (fuchsiaspoke.TokenGrant, error) {
	lease, held := g.Held(prefix + grant.Account)
	if !held || lease.Fence != grant.Fence {
		return grant, notHeld(grant.Account)
	}
	grant.Valid = lease.Until - g.Clock()
	return grant, nil
}

// Update counts the use of a reservation.
func (g *Granter) Update(fuchsiaspoke.TokenUpdate) {}

// HandOver drops the bucket before its lease is given back.
func (g *Granter) HandOver(string) {}

// Change takes a newly published rate and burst into use.
func (g *Granter) Change() {}

// States tells operators of the buckets held here.
func (g *Granter) States() []fuchsiaspoke.AccountState { return nil }

// ServeReserve answers another VM's ask.
func (g *Granter) ServeReserve(ctx context.Context, _ string, request frame.Frame, send func(any) error) error {
	var ask fuchsiaspoke.TokenAsk
	if err := request.Decode(&ask); err != nil {
		return err
	}
	grant, err := g.Reserve(ctx, ask)
	if err != nil {
		return err
	}
	return send(grant)
}

// ServeConfirm answers another VM's last look before a send.
func (g *Granter) ServeConfirm(_ context.Context, _ string, request frame.Frame, send func(any) error) error {
	var grant fuchsiaspoke.TokenGrant
	if err := request.Decode(&grant); err != nil {
		return err
	}
	confirmed, err := g.Confirm(grant)
	if err != nil {
		return err
	}
	return send(confirmed)
}

// ServeUpdate takes another VM's report of use.
func (g *Granter) ServeUpdate(_ context.Context, _ string, request frame.Frame, _ func(any) error) error {
	var update fuchsiaspoke.TokenUpdate
	if err := request.Decode(&update); err != nil {
		return err
	}
	g.Update(update)
	return nil
}

func notHeld(account string) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeLeaseLost, Message: "this VM does not hold the lease of client account " + account,
		Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: comeBack,
	}
}
