// Package permitter bounds the adapter loads of all VMs together.
package permitter

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// Account names the budget; no client account can have this name.
	Account = "/weight_store"
	// loadsPerSecond is what the weight store allows.
	loadsPerSecond = 3
	// maxLoads bounds the loads in flight; it is below the eight from which on the store slows down.
	maxLoads = 4
	// patience is how long one load waits for its turn.
	patience = 10 * time.Second
	// reportTimeout bounds the report that a load has ended.
	reportTimeout = 2 * time.Second
)

type spender interface {
	Reserve(ctx context.Context, ask fuchsiaspoke.TokenAsk) (fuchsiaspoke.TokenGrant, time.Duration, error)
	Update(ctx context.Context, update fuchsiaspoke.TokenUpdate) error
}

// Permitter takes permits from the VM that holds the budget's lease; one permit is one token of a bucket.
type Permitter struct {
	// Spender reserves the permits.
	Spender spender
}

// Budget is the bucket of the weight store.
func Budget() fuchsiaspoke.ClientAccount {
	return fuchsiaspoke.ClientAccount{Name: Account, RateTokensPerSecond: loadsPerSecond, BurstTokens: maxLoads}
}

// Acquire waits for a permit on behalf of a client account; accounts that wait are served in turn.
//
// Release gives back the place among the loads in flight, and the permit as well if it was not used.
func (p *Permitter) Acquire(ctx context.Context, account string) (release func(used bool), err error) {
	var id [8]byte
	_, _ = rand.Read(id[:])
	grant, _, err := p.Spender.Reserve(ctx, fuchsiaspoke.TokenAsk{
		Account: Account, ID: "load_" + hex.EncodeToString(id[:]), Tokens: 1, Group: account, Patience: patience,
	})
	if err != nil {
		return nil, err
	}
	return func(used bool) { go p.report(grant, used) }, nil
}

func (p *Permitter) report(grant fuchsiaspoke.TokenGrant, used bool) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	update := fuchsiaspoke.TokenUpdate{Account: grant.Account, ID: grant.ID, Fence: grant.Fence, Finished: true}
	if used {
		update.Consumed = grant.Tokens
	}
	_ = p.Spender.Update(ctx, update)
}
