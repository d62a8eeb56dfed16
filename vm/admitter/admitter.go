// Package admitter authorizes requests and passes them on. It announces the tokens of generations to the client account's rate
// limiter first.
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
	// queueTimeout bounds the time for which each attempt of a generation waits for tokens of its client account and in an
	// engine's queue.
	queueTimeout = 10 * time.Second
	// cancelAnnouncementTimeout bounds the call that cancels a token announcement.
	cancelAnnouncementTimeout = 2 * time.Second
	// minRetryInterval is the shortest pause before a refused generation is delivered again.
	minRetryInterval = 50 * time.Millisecond
	// retrySuffix is appended to the request id of a generation's second attempt.
	retrySuffix = "/again"
	// maxRetryInterval is the longest pause before a refused generation is delivered again.
	maxRetryInterval = 500 * time.Millisecond
	// revocationGrace delays the cancellation of a request that is no longer authorized and has no chunk of its response yet,
	// so that the VM holding the engine's lease can first report whether the request ran.
	revocationGrace = time.Second
)

type tokenClient interface {
	Announce(ctx context.Context, req fuchsiaspoke.TokenRequest) error
	Update(ctx context.Context, update fuchsiaspoke.TokenUpdate) error
}

type retryBudget interface {
	Take() bool
}

type router interface {
	Deliver(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error
}

type executor interface {
	Execute(ctx context.Context, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error)
}

// Admitter authorizes each request of a caller before it is sent to an upstream, and cancels it once it is no longer authorized.
type Admitter struct {
	// Catalog returns the current published configuration.
	Catalog func() catalog.Catalog
	// TokenClient announces the tokens that a generation is expected to use.
	TokenClient tokenClient
	// Router delivers generations to engines.
	Router router
	// Executor executes calls to plain services.
	Executor executor
	// Budget is the retry budget.
	Budget retryBudget
	// Record appends an event to the timeline.
	Record func(fuchsiaspoke.Event)
	// ObserveReplay, if set, is called for each call that receives the recorded reply of an earlier call with the same
	// idempotency key.
	ObserveReplay func(account string)
	// ObserveWait, if set, is called with the time from the token announcement to the first chunk of each generation.
	ObserveWait func(account string, wait time.Duration)

	mu     sync.Mutex
	active map[string]*activeRequest
}

type activeRequest struct {
	keyHash string
	profile string
	cancel  context.CancelCauseFunc
	// firstChunkReceived reports whether a chunk of a generation's response was received.
	firstChunkReceived bool
	// revocation is the reason why the request is no longer authorized, or nil.
	revocation error
}

// revocationError is the cause of a request's context that this VM cancelled because the request is no longer authorized.
// It has no Unwrap: a step that returns the cause of its context would otherwise present this VM's refusal, which claims
// not_run, as the response of a peer or an upstream that may have run the request.
type revocationError struct{ reason error }

func (e revocationError) Error() string { return e.reason.Error() }

// Generate authorizes the generation by its key hash, fills in the model, adapter and output limit of its profile, and passes
// each chunk of the response to sink.
func (a *Admitter) Generate(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	err := a.generate(ctx, &g, sink)
	a.recordResult(g.RequestID, g.Account, err)
	return err
}

// Call authorizes the call by its key hash, fills in the service and token cost of its profile, and returns the service's reply.
func (a *Admitter) Call(ctx context.Context, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error) {
	reply, err := a.call(ctx, &call)
	a.recordResult(call.RequestID, call.Account, err)
	return reply, err
}

// Reauthorize cancels the running requests whose key is revoked or whose profile no longer allows them.
func (a *Admitter) Reauthorize(c catalog.Catalog) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, request := range a.active {
		_, _, err := authenticator.Authenticator{}.Authorize(c, request.keyHash, request.profile)
		if err == nil || request.revocation != nil {
			continue
		}
		request.revocation = revocationError{err}
		if request.firstChunkReceived {
			request.cancel(request.revocation)
			continue
		}
		time.AfterFunc(revocationGrace, func() { request.cancel(request.revocation) })
	}
}

// markFirstChunk records that the first chunk of a request's response was received, and cancels the request if it is no
// longer authorized.
func (a *Admitter) markFirstChunk(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	request := a.active[id]
	if request == nil {
		return
	}
	request.firstChunkReceived = true
	if request.revocation != nil {
		request.cancel(request.revocation)
	}
}

// Running returns the number of requests in progress.
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
		return invalidRequest("profile " + profile.Name + " is for a plain service and cannot be used as a model")
	}
	g.Account = account
	g.BaseModel = profile.BaseModel
	g.Adapter = profile.Adapter
	g.MaxOutputTokens = limitOutputTokens(g.MaxOutputTokens, profile.MaxOutputTokens)
	g.MaxWait = queueTimeout
	ctx, unregister := a.register(ctx, g.RequestID, g.KeyHash, g.Profile)
	defer unregister()
	a.Record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventAdmitted, RequestID: g.RequestID, Account: account, Tokens: g.CostTokens()})
	if err := a.TokenClient.Announce(ctx, fuchsiaspoke.TokenRequest{
		Account: account, ID: g.RequestID, LikelyTokens: g.LikelyTokens(), MaxWait: queueTimeout,
	}); err != nil {
		return preferRevocation(ctx, err)
	}
	chunkReceived := false
	defer func() {
		if !chunkReceived {
			go a.cancelAnnouncement(account, g.RequestID)
		}
	}()
	start := time.Now()
	return preferRevocation(ctx, a.deliverWithRetry(ctx, *g, func(chunk fuchsiaspoke.Chunk) error {
		if !chunkReceived && a.ObserveWait != nil {
			a.ObserveWait(account, time.Since(start))
		}
		if !chunkReceived {
			a.markFirstChunk(g.RequestID)
		}
		chunkReceived = true
		return sink(chunk)
	}))
}

// deliverWithRetry delivers the generation, and once more if its outcome is unknown and the caller has received no chunk.
// The second attempt has a request id and token reservation of its own.
func (a *Admitter) deliverWithRetry(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	chunkReceived := false
	forward := func(chunk fuchsiaspoke.Chunk) error {
		chunkReceived = true
		return sink(chunk)
	}
	err := a.deliver(ctx, g, forward)
	if chunkReceived || ctx.Err() != nil || !outcomeUnknown(err) || !a.Budget.Take() {
		return err
	}
	g.RequestID += retrySuffix
	retryErr := a.deliver(ctx, g, forward)
	if notRun(retryErr) {
		// The first attempt may have run, so the second one's not_run does not hold for the request.
		return err
	}
	return retryErr
}

// deliver passes the generation to the router, and again after a pause while it is refused for lack of tokens or a lost lease,
// until queueTimeout has passed.
func (a *Admitter) deliver(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	deadline := time.Now().Add(queueTimeout)
	for {
		g.MaxWait = time.Until(deadline)
		err := a.Router.Deliver(ctx, g, sink)
		delay, retryable := retryDelay(err)
		if !retryable {
			return err
		}
		if time.Now().Add(delay).After(deadline) {
			return finalRefusal(err)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(delay):
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
		return fuchsiaspoke.Reply{}, idempotencyKeyRequired()
	}
	if route.Idempotent {
		call.IdempotencyKey = ""
	}
	ctx, unregister := a.register(ctx, call.RequestID, call.KeyHash, call.Profile)
	defer unregister()
	a.Record(fuchsiaspoke.Event{Kind: fuchsiaspoke.EventAdmitted, RequestID: call.RequestID, Account: account, Tokens: call.CostTokens})
	reply, err := a.Executor.Execute(ctx, *call)
	if reply.Replayed && a.ObserveReplay != nil {
		a.ObserveReplay(account)
	}
	return reply, preferRevocation(ctx, err)
}

// register adds a request to those that Reauthorize checks. The returned function removes it and cancels the returned context.
func (a *Admitter) register(ctx context.Context, id, keyHash, profile string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a.mu.Lock()
	if a.active == nil {
		a.active = make(map[string]*activeRequest)
	}
	a.active[id] = &activeRequest{keyHash: keyHash, profile: profile, cancel: cancel}
	a.mu.Unlock()
	return ctx, func() {
		a.mu.Lock()
		delete(a.active, id)
		a.mu.Unlock()
		cancel(nil)
	}
}

// cancelAnnouncement cancels the token announcement of a generation that ended without a chunk.
func (a *Admitter) cancelAnnouncement(account, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelAnnouncementTimeout)
	defer cancel()
	_ = a.TokenClient.Update(ctx, fuchsiaspoke.TokenUpdate{Account: account, ID: id, CancelAnnouncement: true})
}

func (a *Admitter) recordResult(id, account string, err error) {
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

// preferRevocation replaces err by the refusal for which this VM cancelled the request, if it did; the refusal claims not_run
// only if err does.
func preferRevocation(ctx context.Context, err error) error {
	var revoked revocationError
	var refusal *fuchsiaspoke.Refusal
	if err == nil || !errors.As(context.Cause(ctx), &revoked) || !errors.As(revoked.reason, &refusal) {
		return err
	}
	if notRun(err) {
		return refusal
	}
	unknown := *refusal
	unknown.Run = fuchsiaspoke.RunUnknown
	return &unknown
}

// limitOutputTokens returns the requested number of output tokens, or the allowed one if none or more are requested. Without an
// allowed number, defaultOutputTokens are allowed.
func limitOutputTokens(requested, allowed int64) int64 {
	const defaultOutputTokens = 256
	if allowed <= 0 {
		allowed = defaultOutputTokens
	}
	if requested <= 0 || requested > allowed {
		return allowed
	}
	return requested
}

// notRun reports whether err is a refusal which states that no upstream executed the request.
func notRun(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	return errors.As(err, &refusal) && refusal.Run == fuchsiaspoke.NotRun
}

// retryDelay reports whether a refused generation that did not run may be delivered again, and after which pause.
func retryDelay(err error) (time.Duration, bool) {
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) || refusal.Run != fuchsiaspoke.NotRun {
		return 0, false
	}
	switch refusal.Code {
	case fuchsiaspoke.CodeTokensShort:
		return min(max(refusal.RetryAfter, minRetryInterval), maxRetryInterval), true
	case fuchsiaspoke.CodeLeaseLost:
		return minRetryInterval, true
	}
	return 0, false
}

// outcomeUnknown reports whether an engine's response was interrupted, so that it is unknown whether the generation ran.
func outcomeUnknown(err error) bool {
	var refusal *fuchsiaspoke.Refusal
	return errors.As(err, &refusal) && refusal.Run == fuchsiaspoke.RunUnknown && refusal.Code == fuchsiaspoke.CodeUpstreamFailed
}

// finalRefusal returns the caller's error for a generation that is not delivered again: a lack of tokens becomes rate_exceeded.
func finalRefusal(err error) error {
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) || refusal.Code != fuchsiaspoke.CodeTokensShort {
		return err
	}
	exceeded := *refusal
	exceeded.Code = fuchsiaspoke.CodeRateExceeded
	return &exceeded
}

func invalidRequest(message string) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeInvalidRequest, Message: message, Run: fuchsiaspoke.NotRun, Status: http.StatusBadRequest,
	}
}

func idempotencyKeyRequired() error {
	return &fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeKeyRequired,
		Message: "calls on this route run at most once and need an idempotency key: get one with POST /v1/idempotency_keys and send it in the Idempotency-Key header",
		Run:     fuchsiaspoke.NotRun,
		Status:  http.StatusBadRequest,
	}
}
