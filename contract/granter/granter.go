// Package granter grants token reservations of the client accounts whose lease this VM holds.
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
	// resourcePrefix is the prefix of the resource name of a client account's lease.
	resourcePrefix = "account/"
	// defaultRetryAfter is the time after which a refused caller should retry, by when a new VM may hold the lease.
	defaultRetryAfter = time.Second
	// collectTimeout bounds the collection of unfinished reservations from the other VMs when a bucket is opened.
	collectTimeout = 500 * time.Millisecond
	// openTimeout bounds the time for which a request waits for the bucket to open.
	openTimeout = 2 * collectTimeout
)

// collector returns the unfinished reservations of a client account on all live VMs.
type collector interface {
	Collect(ctx context.Context, account string) []fuchsiaspoke.OpenReservation
}

// Granter runs the token buckets of the client accounts whose lease this VM holds.
type Granter struct {
	// Held returns the lease on a resource if this VM holds it.
	Held func(resource string) (fuchsiaspoke.Lease, bool)
	// Account returns the client account of that name as currently published.
	Account func(name string) (fuchsiaspoke.ClientAccount, bool)
	// Collector returns the unfinished reservations that a bucket adopts before it grants anything.
	Collector collector
	// HandedOver sends the level of a closed bucket to the other VMs.
	HandedOver func(fuchsiaspoke.TokenHandover)
	// Record adds an event to the timeline.
	Record func(fuchsiaspoke.Event)
	// Clock returns the time since the process started, including time for which the process was suspended.
	Clock func() time.Duration

	mu        sync.Mutex
	buckets   map[string]*bucket
	handovers map[string]fuchsiaspoke.TokenHandover
}

// LeaseChanged opens a new bucket when a client account's lease is acquired, and closes the bucket when it is lost.
func (g *Granter) LeaseChanged(lease fuchsiaspoke.Lease, held bool) {
	name, ok := strings.CutPrefix(lease.Resource, resourcePrefix)
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

// Reserve reserves tokens, waiting for them no longer than the request's maximum wait.
func (g *Granter) Reserve(ctx context.Context, req fuchsiaspoke.TokenRequest) (fuchsiaspoke.TokenGrant, error) {
	b, err := g.awaitOpenBucket(ctx, req.Account)
	if err != nil {
		return fuchsiaspoke.TokenGrant{}, err
	}
	if account, ok := g.Account(req.Account); ok {
		req = capToBurst(req, int64(account.BurstTokens))
	}
	granted, outcome, err := b.reserve(req)
	if err != nil {
		return fuchsiaspoke.TokenGrant{}, err
	}
	if !granted {
		granted, err = g.awaitGrant(ctx, b, req, outcome)
		if err != nil {
			return fuchsiaspoke.TokenGrant{}, err
		}
	}
	if !granted {
		return fuchsiaspoke.TokenGrant{}, leaseNotHeld(req.Account)
	}
	g.Record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventGranted, RequestID: requestIDOf(req.ID), Account: req.Account, Tokens: req.Tokens})
	return g.setValidity(fuchsiaspoke.TokenGrant{Account: req.Account, ID: req.ID, Tokens: req.Tokens, Fence: b.fence})
}

// Announce records tokens that will be reserved later. It returns a refusal if they will not be available in time.
func (g *Granter) Announce(ctx context.Context, req fuchsiaspoke.TokenRequest) error {
	b, err := g.awaitOpenBucket(ctx, req.Account)
	if err != nil {
		return err
	}
	return b.announce(req)
}

// setValidity sets the grant's remaining validity, that of the lease under which it was made.
func (g *Granter) setValidity(grant fuchsiaspoke.TokenGrant) (fuchsiaspoke.TokenGrant, error) {
	lease, held := g.Held(resourcePrefix + grant.Account)
	if !held || lease.Fence != grant.Fence {
		return grant, leaseNotHeld(grant.Account)
	}
	grant.ValidFor = lease.Until - g.Clock()
	return grant, nil
}

// Update deducts the consumption of a reservation, also of one that was granted under an earlier lease.
func (g *Granter) Update(update fuchsiaspoke.TokenUpdate) {
	b := g.bucket(update.Account)
	if b == nil {
		return
	}
	b.update(update)
	if update.Finished {
		g.Record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventReturned, RequestID: requestIDOf(update.ID), Account: update.Account, Tokens: update.Consumed})
	}
}

// HandOver closes the bucket before its lease is released, and sends its level to the other VMs.
func (g *Granter) HandOver(resource string) {
	name, ok := strings.CutPrefix(resource, resourcePrefix)
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

// ReceiveHandover stores the level of a bucket that another VM closed. It is credited only if this VM acquires the
// lease with the next fencing token.
func (g *Granter) ReceiveHandover(handover fuchsiaspoke.TokenHandover) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.handovers == nil {
		g.handovers = make(map[string]fuchsiaspoke.TokenHandover)
	}
	g.handovers[handover.Account] = handover
}

// Change applies newly published rates and bursts to the open buckets.
func (g *Granter) Change() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, b := range g.buckets {
		account, ok := g.Account(name)
		if !ok {
			continue
		}
		if err := b.change(account); err != nil {
			klog.ErrorS(err, "Failed to apply published rate and burst to token bucket", "client_account", name)
		}
	}
}

// States returns the states of the buckets on this VM, for the status page of operators.
func (g *Granter) States() []fuchsiaspoke.AccountState {
	g.mu.Lock()
	defer g.mu.Unlock()
	var states []fuchsiaspoke.AccountState
	for _, b := range g.buckets {
		states = append(states, b.state())
	}
	return states
}

// open collects the unfinished reservations from all live VMs, which the bucket must adopt before it grants anything,
// and opens it.
func (g *Granter) open(b *bucket) {
	ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
	defer cancel()
	unfinished := g.Collector.Collect(ctx, b.name)
	account, ok := g.Account(b.name)
	if !ok {
		return
	}
	g.mu.Lock()
	credit := int64(0)
	if handover := g.handovers[b.name]; handover.Fence+1 == b.fence {
		credit = handover.Tokens
	}
	delete(g.handovers, b.name)
	g.mu.Unlock()
	if err := b.open(account, credit, unfinished); err != nil {
		klog.ErrorS(err, "Failed to open token bucket", "client_account", b.name)
	}
}

// awaitOpenBucket returns the client account's bucket once it is open, or a refusal after openTimeout.
func (g *Granter) awaitOpenBucket(ctx context.Context, account string) (*bucket, error) {
	_, held := g.Held(resourcePrefix + account)
	b := g.bucket(account)
	if !held || b == nil {
		return nil, leaseNotHeld(account)
	}
	select {
	case <-b.adopted:
		return b, nil
	case <-ctx.Done():
	case <-time.After(openTimeout):
	}
	return nil, leaseNotHeld(account)
}

func (g *Granter) bucket(account string) *bucket {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buckets[account]
}

// awaitGrant waits until a queued reservation is granted or refused, and cancels it when ctx ends. It returns false
// without an error if this VM no longer holds the lease.
func (g *Granter) awaitGrant(ctx context.Context, b *bucket, req fuchsiaspoke.TokenRequest, outcome chan bool) (bool, error) {
	select {
	case granted := <-outcome:
		if granted {
			return true, nil
		}
	case <-ctx.Done():
		b.cancel(req.ID)
		return false, ctx.Err()
	}
	if _, held := g.Held(resourcePrefix + req.Account); !held {
		return false, nil
	}
	return false, rateExceeded(req.Account, defaultRetryAfter)
}

// capToBurst lowers the reservation to the burst if only the bound exceeds it and the likely cost does not: the bound
// on a prompt's tokens is loose.
func capToBurst(req fuchsiaspoke.TokenRequest, burst int64) fuchsiaspoke.TokenRequest {
	if req.Tokens > burst && req.LikelyTokens > 0 && req.LikelyTokens <= burst {
		req.Tokens = burst
	}
	return req
}

// ServeReserve handles a reservation request from another VM.
func (g *Granter) ServeReserve(ctx context.Context, _ string, message frame.Frame, send func(any) error) error {
	var req fuchsiaspoke.TokenRequest
	if err := message.Decode(&req); err != nil {
		return err
	}
	grant, err := g.Reserve(ctx, req)
	if err != nil {
		return err
	}
	return send(grant)
}

// ServeAnnounce handles an announcement from another VM.
func (g *Granter) ServeAnnounce(ctx context.Context, _ string, message frame.Frame, _ func(any) error) error {
	var req fuchsiaspoke.TokenRequest
	if err := message.Decode(&req); err != nil {
		return err
	}
	return g.Announce(ctx, req)
}

// ServeUpdate handles a consumption update from another VM.
func (g *Granter) ServeUpdate(_ context.Context, _ string, message frame.Frame, _ func(any) error) error {
	var update fuchsiaspoke.TokenUpdate
	if err := message.Decode(&update); err != nil {
		return err
	}
	g.Update(update)
	return nil
}

// ServeHandover handles the level of a bucket that another VM closed.
func (g *Granter) ServeHandover(_ context.Context, _ string, message frame.Frame, _ func(any) error) error {
	var handover fuchsiaspoke.TokenHandover
	if err := message.Decode(&handover); err != nil {
		return err
	}
	g.ReceiveHandover(handover)
	return nil
}

// requestIDOf returns the request ID, which is the part of a reservation ID before the first slash.
func requestIDOf(id string) string {
	requestID, _, _ := strings.Cut(id, "/")
	return requestID
}
