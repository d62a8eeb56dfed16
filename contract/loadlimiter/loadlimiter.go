// Package loadlimiter limits the rate and the concurrency of adapter loads over all VMs.
package loadlimiter

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// BucketName is the name of the weight store's token bucket. The slash keeps it apart from usual client account names,
	// but the parser does not reject a client account with this name.
	BucketName = "/weight_store"
	// loadsPerSecond is the rate that the weight store allows.
	loadsPerSecond = 3
	// maxLoads limits the concurrent loads. The weight store slows down at eight or more.
	maxLoads = 4
	// maxWait is how long one load waits for a permit.
	maxWait = 10 * time.Second
	// finishTimeout limits the call that reports the end of a load.
	finishTimeout = 2 * time.Second
)

type tokenReserver interface {
	Reserve(ctx context.Context, req fuchsiaspoke.TokenRequest) (fuchsiaspoke.TokenGrant, time.Duration, error)
	Update(ctx context.Context, update fuchsiaspoke.TokenUpdate) error
}

// LoadLimiter acquires load permits from the VM that holds the lease on the weight store's token bucket. One permit is one
// token.
type LoadLimiter struct {
	// TokenClient reserves tokens at the VM that holds the lease.
	TokenClient tokenReserver
}

// BucketLimits returns the rate and burst of the weight store's token bucket, in the form of a client account.
func BucketLimits() fuchsiaspoke.ClientAccount {
	return fuchsiaspoke.ClientAccount{Name: BucketName, RateTokensPerSecond: loadsPerSecond, BurstTokens: maxLoads}
}

// Acquire waits up to maxWait for a permit on behalf of a client account. Waiting client accounts are served in turn.
//
// The returned release must be called when the load ends. It frees the place among the concurrent loads; if the permit
// was not used, its token returns to the bucket too.
func (l *LoadLimiter) Acquire(ctx context.Context, account string) (release func(used bool), err error) {
	var id [8]byte
	_, _ = rand.Read(id[:])
	grant, _, err := l.TokenClient.Reserve(ctx, fuchsiaspoke.TokenRequest{
		Account: BucketName, ID: "load_" + hex.EncodeToString(id[:]), Tokens: 1, Group: account, MaxWait: maxWait,
	})
	if err != nil {
		return nil, err
	}
	return func(used bool) { go l.finish(grant, used) }, nil
}

// finish reports the end of a load; the token of an unused permit is returned to the bucket.
func (l *LoadLimiter) finish(grant fuchsiaspoke.TokenGrant, used bool) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	update := fuchsiaspoke.TokenUpdate{Account: grant.Account, ID: grant.ID, Fence: grant.Fence, Finished: true}
	if used {
		update.Consumed = grant.Tokens
	}
	_ = l.TokenClient.Update(ctx, update)
}
