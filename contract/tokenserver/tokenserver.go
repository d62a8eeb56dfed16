// Package tokenserver grants token reservations of the client accounts whose lease this VM holds.
package tokenserver

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
	// defaultRetryAfter is the retry-after of refusals for which no wait was estimated; another VM may hold the lease by
	// then.
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

// TokenServer runs the token buckets of the client accounts whose lease this VM holds.
type TokenServer struct {
	// Held returns the lease on a resource if this VM holds it.
	Held func(resource string) (fuchsiaspoke.Lease, bool)
	// Account returns the client account of that name as currently published.
	Account func(name string) (fuchsiaspoke.ClientAccount, bool)
	// Collector returns the unfinished reservations that a bucket adopts before it grants anything.
	Collector collector
	// SendHandover sends the level of a closed bucket to the other VMs.
	SendHandover func(fuchsiaspoke.TokenHandover)
	// Record adds an event to the timeline.
	Record func(fuchsiaspoke.Event)
	// Clock returns the time since the process started, including time for which the process was suspended.
	Clock func() time.Duration

	mu        sync.Mutex
	buckets   map[string]*bucket
	handovers map[string]fuchsiaspoke.TokenHandover
}

// LeaseChanged opens a new bucket when a client account's lease is acquired, and closes the bucket when it is lost.
func (s *TokenServer) LeaseChanged(lease fuchsiaspoke.Lease, held bool) {
	name, ok := strings.CutPrefix(lease.Resource, resourcePrefix)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.buckets == nil {
		s.buckets = make(map[string]*bucket)
	}
	if old := s.buckets[name]; old != nil {
		old.close()
		delete(s.buckets, name)
	}
	if !held {
		return
	}
	b := newBucket(name, lease.Fence, s.Clock)
	s.buckets[name] = b
	go s.open(b)
}

// Reserve reserves tokens, waiting for them no longer than the request's maximum wait. It may wait openTimeout in
// addition for the bucket to open.
func (s *TokenServer) Reserve(ctx context.Context, req fuchsiaspoke.TokenRequest) (fuchsiaspoke.TokenGrant, error) {
	b, err := s.awaitOpenBucket(ctx, req.Account)
	if err != nil {
		return fuchsiaspoke.TokenGrant{}, err
	}
	if account, ok := s.Account(req.Account); ok {
		req = capToBurst(req, int64(account.BurstTokens))
	}
	granted, outcome, err := b.reserve(req)
	if err != nil {
		return fuchsiaspoke.TokenGrant{}, err
	}
	if !granted {
		granted, err = s.awaitGrant(ctx, b, req, outcome)
		if err != nil {
			return fuchsiaspoke.TokenGrant{}, err
		}
	}
	if !granted {
		return fuchsiaspoke.TokenGrant{}, leaseNotHeld(req.Account)
	}
	s.Record(fuchsiaspoke.Event{
		Kind: fuchsiaspoke.EventGranted, RequestID: requestIDOf(req.ID), Account: req.Account, Tokens: req.Tokens,
	})
	return s.setValidity(fuchsiaspoke.TokenGrant{Account: req.Account, ID: req.ID, Tokens: req.Tokens, Fence: b.fence})
}

// Announce records tokens that will be reserved later. It returns a refusal if they will not be available in time.
func (s *TokenServer) Announce(ctx context.Context, req fuchsiaspoke.TokenRequest) error {
	b, err := s.awaitOpenBucket(ctx, req.Account)
	if err != nil {
		return err
	}
	return b.announce(req)
}

// setValidity sets the grant's remaining validity, that of the lease under which it was made.
func (s *TokenServer) setValidity(grant fuchsiaspoke.TokenGrant) (fuchsiaspoke.TokenGrant, error) {
	lease, held := s.Held(resourcePrefix + grant.Account)
	if !held || lease.Fence != grant.Fence {
		return grant, leaseNotHeld(grant.Account)
	}
	grant.ValidFor = lease.Until - s.Clock()
	return grant, nil
}

// Update deducts the consumption of a reservation, also of one that was granted under an earlier lease.
func (s *TokenServer) Update(update fuchsiaspoke.TokenUpdate) {
	b := s.bucket(update.Account)
	if b == nil {
		return
	}
	b.update(update)
	if update.Finished {
		s.Record(fuchsiaspoke.Event{
			Kind: fuchsiaspoke.EventReturned, RequestID: requestIDOf(update.ID), Account: update.Account, Tokens: update.Consumed,
		})
	}
}

// HandOver closes the bucket before its lease is released, and sends its level to the other VMs.
func (s *TokenServer) HandOver(resource string) {
	name, ok := strings.CutPrefix(resource, resourcePrefix)
	if !ok {
		return
	}
	b := s.bucket(name)
	if b == nil {
		return
	}
	level := b.close()
	s.SendHandover(fuchsiaspoke.TokenHandover{Account: name, Fence: b.fence, Tokens: level})
}

// ReceiveHandover stores the level of a bucket that another VM closed. It is credited only if this VM acquires the
// lease with the next fencing token.
func (s *TokenServer) ReceiveHandover(handover fuchsiaspoke.TokenHandover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handovers == nil {
		s.handovers = make(map[string]fuchsiaspoke.TokenHandover)
	}
	s.handovers[handover.Account] = handover
}

// ApplyLimits applies newly published rates and bursts to the open buckets.
func (s *TokenServer) ApplyLimits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, b := range s.buckets {
		account, ok := s.Account(name)
		if !ok {
			continue
		}
		if err := b.setLimits(account); err != nil {
			klog.ErrorS(err, "Failed to apply published rate and burst to token bucket", "client_account", name)
		}
	}
}

// States returns the states of the buckets on this VM, for the status page of operators.
func (s *TokenServer) States() []fuchsiaspoke.AccountState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var states []fuchsiaspoke.AccountState
	for _, b := range s.buckets {
		states = append(states, b.state())
	}
	return states
}

// open collects the unfinished reservations from all live VMs, which the bucket must adopt before it grants anything,
// and opens it.
func (s *TokenServer) open(b *bucket) {
	ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
	defer cancel()
	unfinished := s.Collector.Collect(ctx, b.name)
	account, ok := s.Account(b.name)
	if !ok {
		return
	}
	s.mu.Lock()
	handedOverTokens := int64(0)
	if handover := s.handovers[b.name]; handover.Fence+1 == b.fence {
		handedOverTokens = handover.Tokens
	}
	delete(s.handovers, b.name)
	s.mu.Unlock()
	if err := b.open(account, handedOverTokens, unfinished); err != nil {
		klog.ErrorS(err, "Failed to open token bucket", "client_account", b.name)
	}
}

// awaitOpenBucket returns the client account's bucket once it is open. It returns a refusal if this VM does not hold the
// lease, or if the bucket is not open within openTimeout or before ctx ends.
func (s *TokenServer) awaitOpenBucket(ctx context.Context, account string) (*bucket, error) {
	_, held := s.Held(resourcePrefix + account)
	b := s.bucket(account)
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

// bucket returns the client account's bucket, or nil if this VM has none.
func (s *TokenServer) bucket(account string) *bucket {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buckets[account]
}

// awaitGrant waits until a queued reservation is granted or refused, and cancels it when ctx ends. It returns false
// without an error if this VM no longer holds the lease.
func (s *TokenServer) awaitGrant(ctx context.Context, b *bucket, req fuchsiaspoke.TokenRequest, outcome chan bool) (bool, error) {
	select {
	case granted := <-outcome:
		if granted {
			return true, nil
		}
	case <-ctx.Done():
		b.cancel(req.ID)
		return false, ctx.Err()
	}
	if _, held := s.Held(resourcePrefix + req.Account); !held {
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
func (s *TokenServer) ServeReserve(ctx context.Context, _ string, message frame.Frame, send func(any) error) error {
	var req fuchsiaspoke.TokenRequest
	if err := message.Decode(&req); err != nil {
		return err
	}
	grant, err := s.Reserve(ctx, req)
	if err != nil {
		return err
	}
	return send(grant)
}

// ServeAnnounce handles an announcement from another VM.
func (s *TokenServer) ServeAnnounce(ctx context.Context, _ string, message frame.Frame, _ func(any) error) error {
	var req fuchsiaspoke.TokenRequest
	if err := message.Decode(&req); err != nil {
		return err
	}
	return s.Announce(ctx, req)
}

// ServeUpdate handles a consumption update from another VM.
func (s *TokenServer) ServeUpdate(_ context.Context, _ string, message frame.Frame, _ func(any) error) error {
	var update fuchsiaspoke.TokenUpdate
	if err := message.Decode(&update); err != nil {
		return err
	}
	s.Update(update)
	return nil
}

// ServeHandover handles the level of a bucket that another VM closed.
func (s *TokenServer) ServeHandover(_ context.Context, _ string, message frame.Frame, _ func(any) error) error {
	var handover fuchsiaspoke.TokenHandover
	if err := message.Decode(&handover); err != nil {
		return err
	}
	s.ReceiveHandover(handover)
	return nil
}

// requestIDOf returns the request ID, which is the part of a reservation ID before the first slash.
func requestIDOf(id string) string {
	requestID, _, _ := strings.Cut(id, "/")
	return requestID
}
