// Package admitter authenticates callers, holds client accounts to their share, and passes the work on.
package admitter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/authenticator"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/catalog"
	"github.com/pkg/errors"
)

const (
	// patience is how long a request may wait for tokens and for its turn.
	patience = 10 * time.Second
	// settleTimeout bounds the report that a request was never sent.
	settleTimeout = 2 * time.Second
	// minWait is the shortest pause before a generation is delivered again.
	minWait = 50 * time.Millisecond
	// againSuffix ends the id of a generation's second attempt.
	againSuffix = "/again"
	// maxWait is the longest such pause.
	maxWait = 500 * time.Millisecond
	// endGrace is how long a request without a part of its answer waits, once it may not go on, for the word of the VM
	// that holds it on whether it ran.
	endGrace = time.Second
)

type spender interface {
	Announce(ctx context.Context, ask fuchsiaspoke.TokenAsk) error
	Update(ctx context.Context, update fuchsiaspoke.TokenUpdate) error
}

type budget interface {
	Take() bool
}

type router interface {
	Deliver(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error
}

type executor interface {
	Execute(ctx context.Context, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error)
}

// Admitter is the first step of every request.
type Admitter struct {
	// Catalog returns the documents in force.
	Catalog func() catalog.Catalog
	// Spender announces the tokens that a request will take.
	Spender spender
	// Router passes generations on.
	Router router
	// Executor runs calls to plain services.
	Executor executor
	// Budget bounds the retries.
	Budget budget
	// Record puts an event on the time line.
	Record func(fuchsiaspoke.Event)
	// Replayed is told of each call that was answered from the record; nil drops it.
	Replayed func(account string)
	// Waited is told how long a generation waited for its first part; nil drops it.
	Waited func(account string, wait time.Duration)

	mu     sync.Mutex
	active map[string]*active
}

type active struct {
	keyHash string
	profile string
	cancel  context.CancelCauseFunc
	// answering says that a part of the answer came.
	answering bool
	// reason is why the request may not go on; nil while it may.
	reason error
}

// ended is why a request was ended from within. It has no Unwrap, so that no step that returns the cause of its context
// passes this VM's word for an answer of a peer or an upstream, whose not_run it would say falsely.
type ended struct{ reason error }

func (e ended) Error() string { return e.reason.Error() }

// Generate authorizes the generation by its key hash, fills in what the profile fixes, and hands each part of the answer to sink.
func (a *Admitter) Generate(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	err := a.generate(ctx, &g, sink)
	a.recordEnd(g.RequestID, g.Account, err)
	return err
}

// Call authorizes the call by its key hash, fills in what the profile fixes, and returns the service's answer.
func (a *Admitter) Call(ctx context.Context, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error) {
	reply, err := a.call(ctx, &call)
	a.recordEnd(call.RequestID, call.Account, err)
	return reply, err
}

// Recheck ends the running requests whose key was withdrawn or whose profile no longer admits them.
func (a *Admitter) Recheck(c catalog.Catalog) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, request := range a.active {
		_, _, err := authenticator.Authenticator{}.Authorize(c, request.keyHash, request.profile)
		if err == nil || request.reason != nil {
			continue
		}
		request.reason = ended{err}
		if request.answering {
			request.cancel(request.reason)
			continue
		}
		time.AfterFunc(endGrace, func() { request.cancel(request.reason) })
	}
}

// answering notes the first part of a request's answer, and ends the request if it may not go on.
func (a *Admitter) answering(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	request := a.active[id]
	if request == nil {
		return
	}
	request.answering = true
	if request.reason != nil {
		request.cancel(request.reason)
	}
}

// Running returns the number of requests that have not ended.
func (a *Admitter) Running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.active)
}

func (a *Admitter) generate(ctx context.Context, g *fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	profile, account, err := (authenticator.Authenticator{}).Authorize(a.Catalog(), g.KeyHash, g.Profile)
	if err != nil {
		return err
	}
	if profile.Service != "" {
		return invalid("profile " + profile.Name + " names a plain service, not a model")
	}
	g.Account = account
	g.BaseModel = profile.BaseModel
	g.Adapter = profile.Adapter
	g.MaxOutputTokens = boundOutput(g.MaxOutputTokens, profile.MaxOutputTokens)
	g.Patience = patience
	ctx, end := a.begin(ctx, g.RequestID, g.KeyHash, g.Profile)
	defer end()
	a.Record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventAdmitted, RequestID: g.RequestID, Account: account, Tokens: g.CostTokens()})
	if err := a.Spender.Announce(ctx, fuchsiaspoke.TokenAsk{
		Account: account, ID: g.RequestID, Likely: g.LikelyTokens(), Patience: patience,
	}); err != nil {
		return cause(ctx, err)
	}
	sent := false
	defer func() {
		if !sent {
			go a.takeBack(account, g.RequestID)
		}
	}()
	began := time.Now()
	return cause(ctx, a.attempts(ctx, *g, func(chunk fuchsiaspoke.Chunk) error {
		if !sent && a.Waited != nil {
			a.Waited(account, time.Since(began))
		}
		if !sent {
			a.answering(g.RequestID)
		}
		sent = true
		return sink(chunk)
	}))
}

// attempts tries a generation that may have run once more as a new one, with tokens of its own, while its caller has seen nothing.
func (a *Admitter) attempts(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	seen := false
	follow := func(chunk fuchsiaspoke.Chunk) error {
		seen = true
		return sink(chunk)
	}
	err := a.deliver(ctx, g, follow)
	if seen || ctx.Err() != nil || !lost(err) || !a.Budget.Take() {
		return err
	}
	g.RequestID += againSuffix
	again := a.deliver(ctx, g, follow)
	if notRun(again) {
		// The first try may have run, whatever became of the second.
		return err
	}
	return again
}

// deliver passes the generation on until it ran or its patience is over; while tokens or leases are missing it waits here.
func (a *Admitter) deliver(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	deadline := time.Now().Add(patience)
	for {
		g.Patience = time.Until(deadline)
		err := a.Router.Deliver(ctx, g, sink)
		wait, again := comeAgain(err)
		if !again {
			return err
		}
		if time.Now().Add(wait).After(deadline) {
			return final(err)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(wait):
		}
	}
}

func (a *Admitter) call(ctx context.Context, call *fuchsiaspoke.Call) (fuchsiaspoke.Reply, error) {
	profile, account, err := (authenticator.Authenticator{}).Authorize(a.Catalog(), call.KeyHash, call.Profile)
	if err != nil {
		return fuchsiaspoke.Reply{}, err
	}
	route, err := findRoute(profile, call.Method, call.Path)
	if err != nil {
		return fuchsiaspoke.Reply{}, err
	}
	call.Account = account
	call.Service = profile.Service
	call.CostTokens = route.CostTokens
	if !route.Idempotent && call.IdempotencyKey == "" {
		return fuchsiaspoke.Reply{}, keyRequired()
	}
	if route.Idempotent {
		call.IdempotencyKey = ""
	}
	ctx, end := a.begin(ctx, call.RequestID, call.KeyHash, call.Profile)
	defer end()
	a.Record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventAdmitted, RequestID: call.RequestID, Account: account, Tokens: call.CostTokens})
	reply, err := a.Executor.Execute(ctx, *call)
	if reply.Replayed && a.Replayed != nil {
		a.Replayed(account)
	}
	return reply, cause(ctx, err)
}

func (a *Admitter) begin(ctx context.Context, id, keyHash, profile string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a.mu.Lock()
	if a.active == nil {
		a.active = make(map[string]*active)
	}
	a.active[id] = &active{keyHash: keyHash, profile: profile, cancel: cancel}
	a.mu.Unlock()
	return ctx, func() {
		a.mu.Lock()
		delete(a.active, id)
		a.mu.Unlock()
		cancel(nil)
	}
}

// takeBack ends the announcement of a generation that was never sent.
func (a *Admitter) takeBack(account, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	_ = a.Spender.Update(ctx, fuchsiaspoke.TokenUpdate{Account: account, ID: id, Unsent: true})
}

func (a *Admitter) recordEnd(id, account string, err error) {
	if err == nil {
		a.Record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventAnswered, RequestID: id, Account: account})
		return
	}
	detail := err.Error()
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) {
		detail = string(refusal.Code) + " " + string(refusal.Run)
	}
	a.Record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventRefused, RequestID: id, Account: account, Detail: detail})
}

// cause prefers the reason for which the request was ended from within.
func cause(ctx context.Context, err error) error {
	var end ended
	var withdrawn *fuchsiaspoke.Refusal
	if err == nil || !errors.As(context.Cause(ctx), &end) || !errors.As(end.reason, &withdrawn) {
		return err
	}
	if notRun(err) {
		return withdrawn
	}
	unknown := *withdrawn
	unknown.Run = fuchsiaspoke.RunUnknown
	return &unknown
}

func boundOutput(asked, allowed int64) int64 {
	const defaultOutputTokens = 256
	if allowed <= 0 {
		allowed = defaultOutputTokens
	}
	if asked <= 0 || asked > allowed {
		return allowed
	}
	return asked
}

func notRun(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	return errors.As(err, &refusal) && refusal.Run == fuchsiaspoke.NotRun
}

// comeAgain reports whether a generation that surely did not run may be delivered again, and when.
func comeAgain(err error) (time.Duration, bool) {
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.NotRun {
		return 0, false
	}
	switch refusal.Code {
	case fuchsiaspoke.CodeTokensShort:
		return min(max(refusal.RetryAfter, minWait), maxWait), true
	case fuchsiaspoke.CodeLeaseLost:
		return minWait, true
	}
	return 0, false
}

// lost reports whether an engine's answer broke off, so that it is not known whether the generation ran.
func lost(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	return errors.As(err, &refusal) && refusal.Run == fuchsiaspoke.RunUnknown && refusal.Code == fuchsiaspoke.CodeUpstreamFailed
}

// final turns a refusal that was still worth waiting for into the caller's answer.
func final(err error) error {
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) || refusal.Code != fuchsiaspoke.CodeTokensShort {
		return err
	}
	exceeded := *refusal
	exceeded.Code = fuchsiaspoke.CodeRateExceeded
	return &exceeded
}

func invalid(message string) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeInvalidRequest, Message: message, Run: fuchsiaspoke.NotRun, Status: http.StatusBadRequest,
	}
}

func keyRequired() error {
	return &fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeKeyRequired,
		Message: "this route runs at most once: ask POST /v1/idempotency_keys for a key and send it as Idempotency-Key",
		Run:     fuchsiaspoke.NotRun,
		Status:  http.StatusBadRequest,
	}
}
