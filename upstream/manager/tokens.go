package manager

import (
	"context"
	"net/http"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

const (
	// reportIntervalTokens is the number of consumed tokens between two reports of a reservation's use.
	reportIntervalTokens = 64
	// reportTimeout bounds one report of a reservation's use.
	reportTimeout = 2 * time.Second
)

// submitTracked submits the generation, reports the use of its token reservation, and returns the unused tokens at its end.
// After an error the whole reservation counts as used, unless the generation certainly did not run.
func (m *Manager) submitTracked(ctx context.Context, d *managedDispatcher, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	update := fuchsiaspoke.TokenUpdate{Account: g.Account, ID: g.RequestID}
	prompt, output, reported := g.PromptTokens, int64(0), int64(0)
	err := d.dispatcher.Submit(ctx, g, func(chunk fuchsiaspoke.Chunk) error {
		if chunk.PromptTokens > 0 {
			prompt = chunk.PromptTokens
		}
		output += chunk.Tokens
		update.Consumed = prompt + output
		if update.Consumed-reported >= reportIntervalTokens {
			reported = update.Consumed
			go m.reportUse(update)
		}
		return sink(chunk)
	})
	grant, reserved := m.takeGrant(g.RequestID)
	if !reserved {
		return err
	}
	update.Fence = grant.Fence
	update.Finished = true
	if err != nil {
		update.Consumed = grant.Tokens
	}
	if isNotRun(err) {
		update.Consumed = 0
	}
	go m.reportUse(update)
	return err
}

// authorizeAndReserve is the check right before a send: it authorizes the key and the profile, then reserves the tokens.
func (m *Manager) authorizeAndReserve(g fuchsiaspoke.Generation) error {
	if err := m.Authorize(g.KeyHash, g.Profile); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	grant, until, err := m.TokenClient.Reserve(ctx, fuchsiaspoke.TokenRequest{
		Account: g.Account, ID: g.RequestID, Tokens: g.CostTokens(), LikelyTokens: g.LikelyTokens(), MaxWait: tokenWaitTimeout,
	})
	if err != nil {
		return tokensShortRefusal(err)
	}
	m.storeGrant(grant)
	if m.Clock() >= until {
		return tokensShortRefusal(errors.New("the lease behind the token reservation expired"))
	}
	return nil
}

func (m *Manager) storeGrant(grant fuchsiaspoke.TokenGrant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.grants == nil {
		m.grants = make(map[string]fuchsiaspoke.TokenGrant)
	}
	m.grants[grant.ID] = grant
}

func (m *Manager) takeGrant(id string) (fuchsiaspoke.TokenGrant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	grant, ok := m.grants[id]
	delete(m.grants, id)
	return grant, ok
}

func (m *Manager) reportUse(update fuchsiaspoke.TokenUpdate) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_ = m.TokenClient.Update(ctx, update)
}

func isNotRun(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	return errors.As(err, &refusal) && refusal.Run == fuchsiaspoke.NotRun
}

// tokensShortRefusal returns the refusal upon which the generation's entry VM waits for the tokens without occupying a
// place in the batch.
func tokensShortRefusal(err error) error {
	short := fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeTokensShort, Message: "the client account's tokens could not be reserved: " + err.Error(),
		Run: fuchsiaspoke.NotRun, Status: http.StatusTooManyRequests, RetryAfter: retryAfter,
	}
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 {
		return short.WithRetryAfter(refusal.RetryAfter)
	}
	return &short
}
