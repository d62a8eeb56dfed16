package fuchsiaspoke

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Contract is everything that operators publish for one fleet, whole, at one version.
type Contract struct {
	// Version rises with each change, in uneven steps.
	Version  int64
	Routes   []ServiceRoute
	Services map[string]Service
	Accounts map[string]AccountContract
	// Keys maps each caller's key to its client account.
	Keys   map[string]string
	Limits RequestLimits
}

// ServiceRoute says how requests under one path prefix of a host are handled.
type ServiceRoute struct {
	Name       string
	Host       string
	PathPrefix string
	// Streaming answers are event streams.
	Streaming bool
	// Idempotent requests may run more than once.
	Idempotent bool
	// Resumable streams may go on at another replica behind the last event.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting for a final answer.
	Timeout time.Duration
	// Objective is the time within which an answer, or a stream's first event, is on time.
	Objective time.Duration
	// Priority is the rank of the route; 0 goes first.
	Priority int
	// Targets are the services that answer, by weight.
	Targets []WeightedService
	// MaxAttempts bounds the replicas that one request may be sent to.
	MaxAttempts int
	// Open routes need no key.
	Open bool
}

// WeightedService is one of the services of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of replicas that answer alike.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *EngineLimits
}

// EngineLimits says what one replica of a model engine can hold.
type EngineLimits struct {
	// Batch is the number of requests that run at once.
	Batch int
	// CacheTokens is the size of the memory for prompts and outputs.
	CacheTokens int64
	// WeightsMB is the memory for base models and adapters together, in megabytes.
	WeightsMB float64
	// AdapterSlots is the number of adapters held at once.
	AdapterSlots int
	// LoadsPerSecond bounds base-model loads from the weight store over all replicas.
	LoadsPerSecond float64
	Models         map[string]Model
}

// AdapterPlaces is the number of adapters that fit beside one base model, by places and by memory.
func (e EngineLimits) AdapterPlaces(model string) int {
	m := e.Models[model]
	if m.AdapterMB <= 0 {
		return e.AdapterSlots
	}
	fit := int((e.WeightsMB - m.WeightsMB) / m.AdapterMB)
	return max(min(e.AdapterSlots, fit), 0)
}

// Model is a base model with its adapters.
type Model struct {
	Name      string
	WeightsMB float64
	AdapterMB float64
	Adapters  int
	// LoadTime is how long the base model takes from the weight store.
	LoadTime time.Duration
}

// AccountContract is what is published of one client account.
type AccountContract struct {
	Name string
	// TokensPerSecond and BurstTokens bound the account over all VMs; a zero rate is no bound.
	TokensPerSecond float64
	BurstTokens     float64
	// PlainTokens is what a request counts that names no tokens.
	PlainTokens int64
	// Priority goes before the route's where HasPriority is set.
	Priority    int
	HasPriority bool
}

// RequestLimits bound what a caller may send.
type RequestLimits struct {
	// HeaderBytes bounds the names and values of a request's header fields, BodyBytes its body; 0 is the product's own bound.
	HeaderBytes int
	BodyBytes   int64
}

// Route returns the route with the longest path prefix of the host that begins the path.
func (c *Contract) Route(host, path string) (ServiceRoute, bool) {
	for _, route := range c.Routes {
		if route.Host == host && strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return ServiceRoute{}, false
}

// WithSortedRoutes returns a copy whose routes are in the order in which Route looks for them.
func (c Contract) WithSortedRoutes() *Contract {
	c.Routes = slices.Clone(c.Routes)
	slices.SortStableFunc(c.Routes, func(a, b ServiceRoute) int {
		return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
	})
	return &c
}
