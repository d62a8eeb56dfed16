// Package granter reserves tokens for the client accounts whose lease this VM holds.
package granter

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"k8s.io/klog/v2"
)

const (
	// prefix begins the name of a client account's lease.
	prefix = "account/"
	// comeBack is when a caller should look for the lease's new holder.
	comeBack = time.Second
	// collectTimeout bounds the question what other VMs still use, when a bucket is opened.
	collectTimeout = 500 * time.Millisecond
	// openTimeout bounds a reservation's wait for the bucket to open.
	openTimeout = 2 * collectTimeout
)

// collector learns from all live VMs what they still use of a client account's tokens.
type collector interface {
	Collect(ctx context.Context, account string) []fuchsiaspoke.TokenUse
}

// Granter owns the buckets of the client accounts whose lease this VM holds.
type Granter struct {
	// Held returns the lease on a resource if this VM holds it.
	Held func(resource string) (fuchsiaspoke.Lease, bool)
	// Account returns a client account in force.
	Account func(name string) (fuchsiaspoke.ClientAccount, bool)
	// Collector is asked before a bucket is opened.
	Collector collector
	// HandedOver sends the level of a closed bucket to the other VMs.
	HandedOver func(fuchsiaspoke.TokenHandover)
	// Record puts an event on the time line.
	Record func(fuchsiaspoke.Event)
	// Clock returns the time since the process started; it goes on while the process is suspended.
	Clock func() time.Duration

	mu      sync.Mutex
	buckets map[string]*bucket
	offered map[string]fuchsiaspoke.TokenHandover
}

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
	if old := g.buckets[name]; old != nil {
		old.close()
		delete(g.buckets, name)
	}
	if !held {
		return
	}
	b := newBucket(name, lease.Fence, g.Clock)
	g.buckets[name] = b
	go g.open(b)
}

// Reserve reserves tokens, waiting at most for the ask's patience.
func (g *Granter) Reserve(ctx context.Context, ask fuchsiaspoke.TokenAsk) (fuchsiaspoke.TokenGrant, error) {
	b, err := g.find(ctx, ask.Account)
	if err != nil {
		return fuchsiaspoke.TokenGrant{}, err
	}
	if account, ok := g.Account(ask.Account); ok {
		ask = bounded(ask, int64(account.BurstTokens))
	}
	granted, later, err := b.reserve(ask)
	if err != nil {
		return fuchsiaspoke.TokenGrant{}, err
	}
	if !granted {
		granted, err = g.await(ctx, b, ask, later)
		if err != nil {
			return fuchsiaspoke.TokenGrant{}, err
		}
	}
	if !granted {
		return fuchsiaspoke.TokenGrant{}, notHeld(ask.Account)
	}
	g.Record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventGranted, RequestID: requestOf(ask.ID), Account: ask.Account, Tokens: ask.Tokens})
	return g.valid(fuchsiaspoke.TokenGrant{Account: ask.Account, ID: ask.ID, Tokens: ask.Tokens, Fence: b.fence})
}

// Announce notes tokens that will be reserved later, or refuses them where they surely come too late.
func (g *Granter) Announce(ctx context.Context, ask fuchsiaspoke.TokenAsk) error {
	b, err := g.find(ctx, ask.Account)
	if err != nil {
		return err
	}
	return b.announce(ask)
}

// valid fills in how long the lease still lasts that the grant was made under.
func (g *Granter) valid(grant fuchsiaspoke.TokenGrant) (fuchsiaspoke.TokenGrant, error) {
	lease, held := g.Held(prefix + grant.Account)
	if !held || lease.Fence != grant.Fence {
		return grant, notHeld(grant.Account)
	}
	grant.Valid = lease.Until - g.Clock()
	return grant, nil
}

// Update counts the use of a reservation, also of one that was made under an earlier lease.
func (g *Granter) Update(update fuchsiaspoke.TokenUpdate) {
	b := g.bucket(update.Account)
	if b == nil {
		return
	}
	b.update(update)
	if update.Finished {
		g.Record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventReturned, RequestID: requestOf(update.ID), Account: update.Account, Tokens: update.Consumed})
	}
}

// HandOver closes the bucket before its lease is given back, and offers its level to the successor.
func (g *Granter) HandOver(resource string) {
	name, ok := strings.CutPrefix(resource, prefix)
	if !ok {
		return
	}
	b := g.bucket(name)
	if b == nil {
		return
	}
	level := b.close()
	g.HandedOver(fuchsiaspoke.TokenHandover{Account: name, Fence: b.fence, Tokens: level})
}

// Offer keeps the level of a bucket that another VM closed; the holder of the very next lease is credited with it.
func (g *Granter) Offer(handover fuchsiaspoke.TokenHandover) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.offered == nil {
		g.offered = make(map[string]fuchsiaspoke.TokenHandover)
	}
	g.offered[handover.Account] = handover
}

// Change takes newly published rates and bursts into use.
func (g *Granter) Change() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, b := range g.buckets {
		account, ok := g.Account(name)
		if !ok {
			continue
		}
		if err := b.change(account); err != nil {
			klog.ErrorS(err, "Change of rate failed", "client_account", name)
		}
	}
}

// States tells operators of the buckets held here.
func (g *Granter) States() []fuchsiaspoke.AccountState {
	g.mu.Lock()
	defer g.mu.Unlock()
	var states []fuchsiaspoke.AccountState
	for _, b := range g.buckets {
		states = append(states, b.state())
	}
	return states
}

// open lets the other VMs tell what they still use before anything new is granted.
func (g *Granter) open(b *bucket) {
	ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
	defer cancel()
	running := g.Collector.Collect(ctx, b.name)
	account, ok := g.Account(b.name)
	if !ok {
		return
	}
	g.mu.Lock()
	credit := int64(0)
	if offer := g.offered[b.name]; offer.Fence+1 == b.fence {
		credit = offer.Tokens
	}
	delete(g.offered, b.name)
	g.mu.Unlock()
	if err := b.open(account, credit, running); err != nil {
		klog.ErrorS(err, "Opening a bucket failed", "client_account", b.name)
	}
}

// find returns the open bucket of a client account.
func (g *Granter) find(ctx context.Context, account string) (*bucket, error) {
	_, held := g.Held(prefix + account)
	b := g.bucket(account)
	if !held || b == nil {
		return nil, notHeld(account)
	}
	select {
	case <-b.opened:
		return b, nil
	case <-ctx.Done():
	case <-time.After(openTimeout):
	}
	return nil, notHeld(account)
}

func (g *Granter) bucket(account string) *bucket {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buckets[account]
}

// await waits for the reservation's turn.
func (g *Granter) await(ctx context.Context, b *bucket, ask fuchsiaspoke.TokenAsk, later chan bool) (bool, error) {
	select {
	case granted := <-later:
		if granted {
			return true, nil
		}
	case <-ctx.Done():
		b.cancel(ask.ID)
		return false, ctx.Err()
	}
	if _, held := g.Held(prefix + ask.Account); !held {
		return false, nil
	}
	return false, rateExceeded(ask.Account, comeBack)
}

// bounded lowers a bound that exceeds the burst where the likely cost does not, since a prompt's tokens are bounded loosely.
func bounded(ask fuchsiaspoke.TokenAsk, burst int64) fuchsiaspoke.TokenAsk {
	if ask.Tokens > burst && ask.Likely > 0 && ask.Likely <= burst {
		ask.Tokens = burst
	}
	return ask
}

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

// ServeAnnounce takes another VM's announcement.
func (g *Granter) ServeAnnounce(ctx context.Context, _ string, request frame.Frame, _ func(any) error) error {
	var ask fuchsiaspoke.TokenAsk
	if err := request.Decode(&ask); err != nil {
		return err
	}
	return g.Announce(ctx, ask)
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

// ServeHandover takes the level of a bucket that another VM closed.
func (g *Granter) ServeHandover(_ context.Context, _ string, request frame.Frame, _ func(any) error) error {
	var handover fuchsiaspoke.TokenHandover
	if err := request.Decode(&handover); err != nil {
		return err
	}
	g.Offer(handover)
	return nil
}

// requestOf returns the request's id, which begins the id of each of its reservations.
func requestOf(id string) string {
	request, _, _ := strings.Cut(id, "/")
	return request
}
