package manager

import (
	"context"
	"net/http"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

const (
	// settleTokens is the use of a reservation after which it is reported.
	settleTokens = 64
	// settleTimeout bounds one report of use.
	settleTimeout = 2 * time.Second
)

// submit follows what a generation uses of its reservation, and gives back the rest at its end.
func (m *Manager) submit(ctx context.Context, d *duty, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	use := fuchsiaspoke.TokenUpdate{Account: g.Account, ID: g.RequestID}
	prompt, output, reported := g.PromptTokens, int64(0), int64(0)
	err := d.dispatcher.Submit(ctx, g, func(chunk fuchsiaspoke.Chunk) error {
		if chunk.PromptTokens > 0 {
			prompt = chunk.PromptTokens
		}
		output += chunk.Tokens
		use.Consumed = prompt + output
		if use.Consumed-reported >= settleTokens {
			reported = use.Consumed
			go m.report(use)
		}
		return sink(chunk)
	})
	grant, reserved := m.takeGrant(g.RequestID)
	if !reserved {
		return err
	}
	use.Fence = grant.Fence
	use.Finished = true
	if err != nil {
		use.Consumed = grant.Tokens
	}
	if notRun(err) {
		use.Consumed = 0
	}
	go m.report(use)
	return err
}

// check is the last look before a generation is sent: the key, the profile, and then the tokens.
func (m *Manager) check(g fuchsiaspoke.Generation) error {
	if err := m.Authorize(g.KeyHash, g.Profile); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	grant, until, err := m.Spender.Reserve(ctx, fuchsiaspoke.TokenAsk{
		Account: g.Account, ID: g.RequestID, Tokens: g.CostTokens(), Likely: g.LikelyTokens(), Patience: tokenPatience,
	})
	if err != nil {
		return tokensShort(err)
	}
	m.keepGrant(grant)
	if m.Clock() >= until {
		return tokensShort(errors.New("the reservation's lease ended"))
	}
	return nil
}

func (m *Manager) keepGrant(grant fuchsiaspoke.TokenGrant) {
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

func (m *Manager) report(use fuchsiaspoke.TokenUpdate) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	_ = m.Spender.Update(ctx, use)
}

func notRun(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	return errors.As(err, &refusal) && refusal.Run == fuchsiaspoke.NotRun
}

// tokensShort sends the generation back to its entry VM, which waits for the tokens without a place in a batch.
func tokensShort(err error) error {
	short := fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeTokensShort, Message: "the client account's tokens are not there yet: " + err.Error(),
		Run: fuchsiaspoke.NotRun, Status: http.StatusTooManyRequests, RetryAfter: comeBack,
	}
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 {
		return short.WithRetryAfter(refusal.RetryAfter)
	}
	return &short
}
