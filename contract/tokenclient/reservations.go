package tokenclient

import (
	"context"
	"sync"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fxamacker/cbor/v2"
)

const (
	// ReservationsMethod is the link method that returns a VM's unfinished reservations of a client account.
	ReservationsMethod = "token_uses"
	// HandoverMethod is the link method that sends a closed bucket's level to the other VMs.
	HandoverMethod = "token_handover"
)

// Reservations returns this VM's unfinished reservations of the client account.
func (c *TokenClient) Reservations(account string) []fuchsiaspoke.OpenReservation {
	c.mu.Lock()
	defer c.mu.Unlock()
	unfinished := make([]fuchsiaspoke.OpenReservation, 0, len(c.unfinished[account]))
	for _, reservation := range c.unfinished[account] {
		unfinished = append(unfinished, reservation)
	}
	return unfinished
}

// Collect returns the unfinished reservations of the client account on all live VMs, including this one. VMs that do
// not respond before ctx ends are omitted.
func (c *TokenClient) Collect(ctx context.Context, account string) []fuchsiaspoke.OpenReservation {
	all := c.Reservations(account)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, vm := range c.Peers() {
		wg.Go(func() {
			_ = c.Caller.Call(ctx, vm, ReservationsMethod, account, func(body cbor.RawMessage) error {
				var reservations []fuchsiaspoke.OpenReservation
				if err := cbor.Unmarshal(body, &reservations); err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				all = append(all, reservations...)
				return nil
			})
		})
	}
	wg.Wait()
	return all
}

// HandOver sends a closed bucket's level to all other live VMs. If the message is lost, the tokens are lost too.
func (c *TokenClient) HandOver(handover fuchsiaspoke.TokenHandover) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, vm := range c.Peers() {
		wg.Go(func() { _ = c.Caller.Call(ctx, vm, HandoverMethod, handover, nil) })
	}
	wg.Wait()
}

// ServeReservations returns this VM's unfinished reservations to a VM that opens a bucket.
func (c *TokenClient) ServeReservations(_ context.Context, _ string, message frame.Frame, send func(any) error) error {
	var account string
	if err := message.Decode(&account); err != nil {
		return err
	}
	return send(c.Reservations(account))
}

// trackGrant records a granted reservation as unfinished.
func (c *TokenClient) trackGrant(grant fuchsiaspoke.TokenGrant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unfinished == nil {
		c.unfinished = make(map[string]map[string]fuchsiaspoke.OpenReservation)
	}
	if c.unfinished[grant.Account] == nil {
		c.unfinished[grant.Account] = make(map[string]fuchsiaspoke.OpenReservation)
	}
	c.unfinished[grant.Account][grant.ID] = fuchsiaspoke.OpenReservation{ID: grant.ID, Tokens: grant.Tokens}
}

// recordUpdate updates the consumption of an unfinished reservation, or removes it once it is finished.
func (c *TokenClient) recordUpdate(update fuchsiaspoke.TokenUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reservation, ok := c.unfinished[update.Account][update.ID]
	if !ok {
		return
	}
	if update.Finished {
		delete(c.unfinished[update.Account], update.ID)
		return
	}
	reservation.Consumed = max(reservation.Consumed, min(update.Consumed, reservation.Tokens))
	c.unfinished[update.Account][update.ID] = reservation
}
