package fuchsiaspoke

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Contract is the complete configuration that operators publish for a fleet, at one version.
type Contract struct {
	// Version increases with each change, not always by one.
	Version  int64
	Routes   []ServiceRoute
	Services map[string]Service
	Accounts map[string]AccountContract
	// Keys maps each API key to the name of its client account.
	Keys   map[string]string
	Limits RequestLimits
}

// ServiceRoute defines how requests to one host and path prefix are handled.
type ServiceRoute struct {
	Name       string
	Host       string
	PathPrefix string
	// Streaming reports whether responses are event streams.
	Streaming bool
	// Idempotent reports whether a request may run more than once.
	Idempotent bool
	// Resumable reports whether an interrupted stream may continue after its last event at another replica.
	Resumable bool
	// Timeout bounds the time from the arrival of a request to the end of its response.
	Timeout time.Duration
	// Objective is the latency objective of a response, or of a stream's first event.
	Objective time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Targets are the services among which requests are split by weight.
	Targets []WeightedService
	// MaxAttempts is the maximum number of attempts for one request, including the first. Attempts that did not reach a replica
	// of the service, or reached the wrong one, do not count.
	MaxAttempts int
	// Open reports whether requests need no API key.
	Open bool
	// Regions are the regions whose replicas may receive the route's requests; empty allows any.
	Regions []Region
}

// LeadsTo reports whether the route may send requests to the service.
func (r ServiceRoute) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t WeightedService) bool { return t.Service == service && t.Weight > 0 })
}

// WeightedService is a target of a route with its share of the requests, relative to the other weights.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable replicas.
type Service struct {
	Name string
	// Engine is nil for services that run no model.
	Engine *EngineLimits
	// WarmUp is that of each replica; its zero value is none.
	WarmUp WarmUp
}

// EngineLimits is the capacity of one replica of an engine.
type EngineLimits struct {
	// BatchSize is the maximum number of concurrently running requests.
	BatchSize int
	// CacheTokens is the capacity of the KV cache, in tokens.
	CacheTokens int64
	// WeightsMB is the memory for the weights of base models and adapters together, in megabytes.
	WeightsMB float64
	// AdapterSlots is the maximum number of resident adapters.
	AdapterSlots int
	// LoadsPerSecond bounds the rate of base-model loads from the weight store over all replicas.
	LoadsPerSecond float64
	Models         map[string]Model
}

// AdapterCapacity returns the number of adapters that fit beside a base model, limited by adapter slots and by memory.
func (e EngineLimits) AdapterCapacity(model string) int {
	m := e.Models[model]
	if m.AdapterMB <= 0 {
		return e.AdapterSlots
	}
	fit := int((e.WeightsMB - m.WeightsMB) / m.AdapterMB)
	return max(min(e.AdapterSlots, fit), 0)
}

// Model is a base model with the size and number of its adapters.
type Model struct {
	Name      string
	WeightsMB float64
	AdapterMB float64
	Adapters  int
	// LoadTime is the time to load the base model from the weight store.
	LoadTime time.Duration
}

// AccountContract is the rate limit and priority of a client account, as published in a Contract.
type AccountContract struct {
	Name string
	// TokensPerSecond and BurstTokens are the token rate limit over all VMs together; a rate of 0 is unlimited.
	TokensPerSecond float64
	BurstTokens     float64
	// DefaultTokens is the number of tokens charged for a request that states no token counts.
	DefaultTokens int64
	// Priority takes precedence over the route's priority if HasPriority is set; 0 is the highest.
	Priority    int
	HasPriority bool
	// Regions are the regions whose replicas may receive the account's requests; empty allows any.
	Regions []Region
}

// RequestLimits bound the size of callers' requests.
type RequestLimits struct {
	// HeaderBytes bounds the total size of header names and values; 0 leaves it to the HTTP server's own limit.
	// BodyBytes bounds the body; 0 selects the built-in default.
	HeaderBytes int
	BodyBytes   int64
}

// Route returns the host's route with the longest prefix of path. Routes must be in the order of WithSortedRoutes.
func (c *Contract) Route(host, path string) (ServiceRoute, bool) {
	for _, route := range c.Routes {
		if route.Host == host && strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return ServiceRoute{}, false
}

// RestrictsRegions reports whether any route or client account allows some regions only.
func (c *Contract) RestrictsRegions() bool {
	for _, route := range c.Routes {
		if len(route.Regions) > 0 {
			return true
		}
	}
	for _, account := range c.Accounts {
		if len(account.Regions) > 0 {
			return true
		}
	}
	return false
}

// HostRegions returns the regions that any route of the host names as allowed, in no particular order.
func (c *Contract) HostRegions(host string) []Region {
	var out []Region
	for _, route := range c.Routes {
		if route.Host == host {
			out = append(out, route.Regions...)
		}
	}
	return out
}

// WithSortedRoutes returns a copy with the routes ordered from the longest to the shortest path prefix, as Route requires.
func (c Contract) WithSortedRoutes() *Contract {
	c.Routes = slices.Clone(c.Routes)
	slices.SortStableFunc(c.Routes, func(a, b ServiceRoute) int {
		return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
	})
	return &c
}
