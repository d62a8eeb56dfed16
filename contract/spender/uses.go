package spender

import (
	"context"
	"sync"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fxamacker/cbor/v2"
)

const (
	// UsesMethod names the call that asks what a VM still uses of a client account's tokens.
	UsesMethod = "token_uses"
	// HandoverMethod names the call that offers a closed bucket's level.
	HandoverMethod = "token_handover"
)

// Uses returns the reservations of the client account that this VM has not finished.
func (s *Spender) Uses(account string) []fuchsiaspoke.TokenUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	uses := make([]fuchsiaspoke.TokenUse, 0, len(s.uses[account]))
	for _, use := range s.uses[account] {
		uses = append(uses, use)
	}
	return uses
}

// Collect asks all live VMs, this one among them, what they still use; a VM that does not answer in time is left out.
func (s *Spender) Collect(ctx context.Context, account string) []fuchsiaspoke.TokenUse {
	all := s.Uses(account)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, vm := range s.Peers() {
		wg.Go(func() {
			_ = s.Caller.Call(ctx, vm, UsesMethod, account, func(body cbor.RawMessage) error {
				var uses []fuchsiaspoke.TokenUse
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

// HandOver offers a closed bucket's level to all live VMs; the message may be lost, and the tokens with it.
func (s *Spender) HandOver(handover fuchsiaspoke.TokenHandover) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, vm := range s.Peers() {
		wg.Go(func() { _ = s.Caller.Call(ctx, vm, HandoverMethod, handover, nil) })
	}
	wg.Wait()
}

// ServeUses answers another VM that opens a bucket.
func (s *Spender) ServeUses(_ context.Context, _ string, request frame.Frame, send func(any) error) error {
	var account string
	if err := request.Decode(&account); err != nil {
		return err
	}
	return send(s.Uses(account))
}

func (s *Spender) track(grant fuchsiaspoke.TokenGrant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.uses == nil {
		s.uses = make(map[string]map[string]fuchsiaspoke.TokenUse)
	}
	if s.uses[grant.Account] == nil {
		s.uses[grant.Account] = make(map[string]fuchsiaspoke.TokenUse)
	}
	s.uses[grant.Account][grant.ID] = fuchsiaspoke.TokenUse{ID: grant.ID, Tokens: grant.Tokens}
}

func (s *Spender) count(update fuchsiaspoke.TokenUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	use, ok := s.uses[update.Account][update.ID]
	if !ok {
		return
	}
	if update.Finished {
		delete(s.uses[update.Account], update.ID)
		return
	}
	use.Consumed = max(use.Consumed, min(update.Consumed, use.Tokens))
	s.uses[update.Account][update.ID] = use
}
