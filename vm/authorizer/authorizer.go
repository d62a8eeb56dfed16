// Package authorizer admits requests by the published contract: route, API key, client account and rate limit.
package authorizer

import (
	"cmp"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// startingRetryAfter is the Retry-After of requests that arrive before the first contract.
	startingRetryAfter = 500 * time.Millisecond
	// ranksPerAccountPriority is the number of route priorities within one client-account priority.
	ranksPerAccountPriority = 3
	// weightResolution is the number of hash buckets by which requests are split between the services of a route.
	weightResolution = 10_000
)

type rateLimiter interface {
	Admit(now time.Duration, a fuchsiaspoke.AccountContract, tokens float64) *fuchsiaspoke.Refusal
	Return(account string, tokens float64)
}

// Authorizer admits requests. All fields must be set before the first call.
type Authorizer struct {
	Published   func() *fuchsiaspoke.PublishedState
	RateLimiter rateLimiter
	Clock       func() time.Duration
}

// Admit resolves the route and the client account, and deducts the request's tokens from the account's rate limit.
// A request that the rate limit refuses is returned together with the refusal, and with one for a missing key its route alone.
func (a *Authorizer) Admit(r fuchsiaspoke.Request) (fuchsiaspoke.AdmittedRequest, *fuchsiaspoke.Refusal) {
	contract := a.Published().Contract
	if contract == nil {
		return fuchsiaspoke.AdmittedRequest{}, fuchsiaspoke.Refusal{
			Code: fuchsiaspoke.CodeStarting, Message: "no contract received yet", Run: fuchsiaspoke.NotRun,
			Status: http.StatusServiceUnavailable,
		}.WithRetryAfter(startingRetryAfter)
	}
	route, found := contract.Route(r.Host, r.Path)
	if !found {
		return fuchsiaspoke.AdmittedRequest{}, refusal(http.StatusNotFound, fuchsiaspoke.CodeNoRoute,
			"no route matches the host and path")
	}
	account, known := a.account(contract, route, r.Key)
	if !known {
		return fuchsiaspoke.AdmittedRequest{Route: route}, refusal(http.StatusUnauthorized, fuchsiaspoke.CodeUnauthenticated,
			"API key is missing or not valid")
	}
	now := a.Clock()
	admitted := fuchsiaspoke.AdmittedRequest{
		ID: r.ID, Account: account.Name, Route: route, Service: selectService(route, cmp.Or(r.BegunBy, r.ID)), Demand: r.Demand,
		Arrived: now, Due: now + route.Objective, Deadline: now + r.TimeLeft, Priority: priorityRank(account, route),
		LastEvent: r.LastEvent, BegunBy: r.BegunBy, ChargedTokens: tokenCost(account, r.Demand),
		Regions: fuchsiaspoke.IntersectRegions(route.Regions, account.Regions),
	}
	if refused := a.RateLimiter.Admit(now, account, admitted.ChargedTokens); refused != nil {
		return admitted, refused
	}
	return admitted, nil
}

// Return refunds the tokens of a request that certainly did not run.
func (a *Authorizer) Return(req fuchsiaspoke.AdmittedRequest) {
	contract := a.Published().Contract
	if contract == nil {
		return
	}
	if account, known := contract.Accounts[req.Account]; known && account.TokensPerSecond > 0 {
		a.RateLimiter.Return(req.Account, tokenCost(account, req.Demand))
	}
}

// account returns the client account of a key. Open routes and contracts without accounts require no key.
func (a *Authorizer) account(
	c *fuchsiaspoke.Contract, route fuchsiaspoke.ServiceRoute, key string,
) (fuchsiaspoke.AccountContract, bool) {
	if route.Open || len(c.Accounts) == 0 {
		return fuchsiaspoke.AccountContract{}, true
	}
	name, known := c.Keys[key]
	return c.Accounts[name], known && key != ""
}

// tokenCost returns what a request counts toward its account's rate: its tokens, or DefaultTokens where it names none.
func tokenCost(a fuchsiaspoke.AccountContract, d fuchsiaspoke.Demand) float64 {
	if tokens := d.Tokens(); tokens > 0 {
		return float64(tokens)
	}
	return float64(a.DefaultTokens)
}

// priorityRank orders requests by the client account's priority first, then by the route's. Rank 0 is served first.
func priorityRank(a fuchsiaspoke.AccountContract, route fuchsiaspoke.ServiceRoute) int {
	rank := min(route.Priority, ranksPerAccountPriority-1)
	if a.HasPriority {
		rank += ranksPerAccountPriority * a.Priority
	}
	return rank
}

// selectService picks one of the services of a route by weight, drawn from a hash of the id of the attempt with which the request began,
// so that a resumed stream goes to the service that began it.
func selectService(route fuchsiaspoke.ServiceRoute, id string) string {
	total := 0.0
	for _, t := range route.Targets {
		total += t.Weight
	}
	point := float64(xxhash.Sum64String(id)%weightResolution) / weightResolution * total
	for _, t := range route.Targets {
		point -= t.Weight
		if point < 0 {
			return t.Service
		}
	}
	return ""
}

func refusal(status int, code fuchsiaspoke.RefusalCode, message string) *fuchsiaspoke.Refusal {
	return &fuchsiaspoke.Refusal{Code: code, Message: message, Run: fuchsiaspoke.NotRun, Status: status}
}
