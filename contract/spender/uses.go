package spender

import (
	"context"
	"sync"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fxamacker/cbor/v2"
)

const (
	// UsesMethod is the link method that returns a VM's unfinished reservations of a client account.
	UsesMethod = "token_uses"
	// HandoverMethod is the link method that sends a closed bucket's level to the other VMs.
	HandoverMethod = "token_handover"
)

// Uses returns this VM's unfinished reservations of the client account.
func (s *Spender) Uses(account string) []fuchsiaspoke.OpenReservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	unfinished := make([]fuchsiaspoke.OpenReservation, 0, len(s.unfinished[account]))
	for _, use := range s.unfinished[account] {
		unfinished = append(unfinished, use)
	}
	return unfinished
}

// Collect returns the unfinished reservations of the client account on all live VMs, including this one. VMs that do
// not answer before ctx ends are omitted.
func (s *Spender) Collect(ctx context.Context, account string) []fuchsiaspoke.OpenReservation {
	all := s.Uses(account)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, vm := range s.Peers() {
		wg.Go(func() {
			_ = s.Caller.Call(ctx, vm, UsesMethod, account, func(body cbor.RawMessage) error {
				var uses []fuchsiaspoke.OpenReservation
				if err := cbor.Unmarshal(body, &uses); err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				all = append(all, uses...)
				return nil
			})
		})
	}
	wg.Wait()
	return all
}

// HandOver sends a closed bucket's level to all other live VMs. If the message is lost, the tokens are lost too.
func (s *Spender) HandOver(handover fuchsiaspoke.TokenHandover) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, vm := range s.Peers() {
		wg.Go(func() { _ = s.Caller.Call(ctx, vm, HandoverMethod, handover, nil) })
	}
	wg.Wait()
}

// ServeUses returns this VM's unfinished reservations to a VM that opens a bucket.
func (s *Spender) ServeUses(_ context.Context, _ string, message frame.Frame, send func(any) error) error {
	var account string
	if err := message.Decode(&account); err != nil {
		return err
	}
	return send(s.Uses(account))
}

// trackGrant records a granted reservation as unfinished.
func (s *Spender) trackGrant(grant fuchsiaspoke.TokenGrant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unfinished == nil {
		s.unfinished = make(map[string]map[string]fuchsiaspoke.OpenReservation)
	}
	if s.unfinished[grant.Account] == nil {
		s.unfinished[grant.Account] = make(map[string]fuchsiaspoke.OpenReservation)
	}
	s.unfinished[grant.Account][grant.ID] = fuchsiaspoke.OpenReservation{ID: grant.ID, Tokens: grant.Tokens}
}

// recordUse updates the consumption of an unfinished reservation, or removes it once it is finished.
func (s *Spender) recordUse(update fuchsiaspoke.TokenUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	use, ok := s.unfinished[update.Account][update.ID]
	if !ok {
		return
	}
	if update.Finished {
		delete(s.unfinished[update.Account], update.ID)
		return
	}
	use.Consumed = max(use.Consumed, min(update.Consumed, use.Tokens))
	s.unfinished[update.Account][update.ID] = use
}
