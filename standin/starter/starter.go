// Package starter starts a set of stand-ins on loopback ports and publishes their configuration documents.
package starter

import (
	"context"
	"encoding/json"
	"fmt"
	"net"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/engine"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/platform"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/service"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/store"
	"github.com/pkg/errors"
)

// Starter starts a simulated platform, weight store, engines and services; its zero value has no upstreams.
type Starter struct {
	Platform platform.Platform
	Store    store.Store
	// Engines and Services are started in order; an engine whose Store is nil uses the Store of the Starter.
	Engines  []*engine.Engine
	Services []*service.Service
	// BaseModel and ServiceName are published for every engine and every service.
	BaseModel, ServiceName string
	// PlatformAddress is the platform's listen address; empty means a free port on loopback.
	PlatformAddress string
	// Zones are the availability zones, assigned round-robin to the engines and, from the first again, to the services;
	// empty means "zone_a".
	Zones []fuchsiaspoke.Zone

	address      string
	upstreams    []fuchsiaspoke.Upstream
	runningCount int
	serveErrs    chan error
}

// document is the body of a published value.
type document[T any] struct {
	Kind  fuchsiaspoke.DocumentKind `json:"kind"`
	Items []T                       `json:"items"`
}

// Start starts all stand-ins, which serve until ctx ends, and publishes the upstreams document. Their errors are returned
// by Wait.
func (s *Starter) Start(ctx context.Context) error {
	s.serveErrs = make(chan error, 1+len(s.Engines)+len(s.Services))
	address, err := s.serve(ctx, s.PlatformAddress, s.Platform.Serve)
	if err != nil {
		return errors.Wrap(err, "start the platform")
	}
	s.address = address
	for i, e := range s.Engines {
		if e.Store == nil {
			e.Store = &s.Store
		}
		address, err := s.serve(ctx, "", e.Serve)
		if err != nil {
			return errors.Wrapf(err, "start engine %d", i)
		}
		s.upstreams = append(s.upstreams, fuchsiaspoke.Upstream{
			ID: fmt.Sprintf("engine_%d", i), Kind: fuchsiaspoke.EngineUpstream, Address: address, Zone: s.zoneOf(i),
			BaseModel: s.BaseModel, AdapterSlots: e.SlotCount(), BatchSize: e.BatchSize(), ChecksFence: e.ChecksFence,
		})
	}
	for i, srv := range s.Services {
		address, err := s.serve(ctx, "", srv.Serve)
		if err != nil {
			return errors.Wrapf(err, "start service %d", i)
		}
		s.upstreams = append(s.upstreams, fuchsiaspoke.Upstream{
			ID: fmt.Sprintf("service_%d", i), Kind: fuchsiaspoke.ServiceUpstream, Address: address, Zone: s.zoneOf(i),
			Service: s.ServiceName,
		})
	}
	return s.PublishUpstreams(s.upstreams)
}

// Wait blocks until all stand-ins have ended and returns the first error. It is called once, after the ctx of Start has
// ended.
func (s *Starter) Wait() error {
	var first error
	for ; s.runningCount > 0; s.runningCount-- {
		if err := <-s.serveErrs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Address returns the host and port of the platform.
func (s *Starter) Address() string {
	return s.address
}

// Upstreams returns a copy of the upstreams that Start published.
func (s *Starter) Upstreams() []fuchsiaspoke.Upstream {
	return append([]fuchsiaspoke.Upstream(nil), s.upstreams...)
}

// PublishVMs publishes the list of VMs.
func (s *Starter) PublishVMs(items []fuchsiaspoke.VM) error {
	return publish(&s.Platform, fuchsiaspoke.VMsDocument, items)
}

// PublishUpstreams publishes the list of upstreams.
func (s *Starter) PublishUpstreams(items []fuchsiaspoke.Upstream) error {
	return publish(&s.Platform, fuchsiaspoke.UpstreamsDocument, items)
}

// PublishProfiles publishes the profiles.
func (s *Starter) PublishProfiles(items []fuchsiaspoke.Profile) error {
	return publish(&s.Platform, fuchsiaspoke.ProfilesDocument, items)
}

// PublishAccounts publishes the client accounts.
func (s *Starter) PublishAccounts(items []fuchsiaspoke.ClientAccount) error {
	return publish(&s.Platform, fuchsiaspoke.AccountsDocument, items)
}

// PublishKeys publishes the API keys, which hold hashes only.
func (s *Starter) PublishKeys(items []fuchsiaspoke.Key) error {
	return publish(&s.Platform, fuchsiaspoke.KeysDocument, items)
}

func publish[T any](p *platform.Platform, kind fuchsiaspoke.DocumentKind, items []T) error {
	if items == nil {
		items = []T{}
	}
	body, err := json.Marshal(document[T]{Kind: kind, Items: items})
	if err != nil {
		return errors.Wrapf(err, "encode document %s", kind)
	}
	if p.Publish(string(kind), body) == 0 {
		return errors.Errorf("publish document %s: %d bytes exceed the platform's limit", kind, len(body))
	}
	return nil
}

func (s *Starter) zoneOf(i int) fuchsiaspoke.Zone {
	if len(s.Zones) == 0 {
		return "zone_a"
	}
	return s.Zones[i%len(s.Zones)]
}

// serve listens on address, or on a free loopback port if it is empty, and runs the server function in the background.
func (s *Starter) serve(ctx context.Context, address string, serve func(context.Context, net.Listener) error) (string, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s.runningCount++
	go func() { s.serveErrs <- serve(ctx, l) }()
	return l.Addr().String(), nil
}
