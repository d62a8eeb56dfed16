// Package starter starts a set of stand-ins on loopback ports and publishes the documents that describe them.
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

// Starter is a set of stand-ins: a platform, a store, engines and plain services; its zero value has no upstreams.
type Starter struct {
	Platform platform.Platform
	Store    store.Store
	// Engines and Services are served in order; Start gives every engine the Store unless it has one.
	Engines  []*engine.Engine
	Services []*service.Service
	// BaseModel and ServiceName go into the upstreams document.
	BaseModel, ServiceName string
	// PlatformAddress is where the platform listens; empty stands for a free port on loopback.
	PlatformAddress string
	// Zones are given to the upstreams in turn; none stands for "zone_a".
	Zones []fuchsiaspoke.Zone

	address   string
	upstreams []fuchsiaspoke.Upstream
	running   int
	done      chan error
}

// document is the body of every published value.
type document[T any] struct {
	Kind  fuchsiaspoke.DocumentKind `json:"kind"`
	Items []T                       `json:"items"`
}

// Start serves everything until ctx ends and publishes the upstreams document; Wait returns how it ended.
func (s *Starter) Start(ctx context.Context) error {
	s.done = make(chan error, 1+len(s.Engines)+len(s.Services))
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
			ID: fmt.Sprintf("engine_%d", i), Kind: fuchsiaspoke.EngineUpstream, Address: address, Zone: s.zone(i),
			BaseModel: s.BaseModel, AdapterSlots: e.SlotCount(), BatchSize: e.BatchSize(), ChecksFence: e.ChecksFence,
		})
	}
	for i, srv := range s.Services {
		address, err := s.serve(ctx, "", srv.Serve)
		if err != nil {
			return errors.Wrapf(err, "start service %d", i)
		}
		s.upstreams = append(s.upstreams, fuchsiaspoke.Upstream{
			ID: fmt.Sprintf("service_%d", i), Kind: fuchsiaspoke.ServiceUpstream, Address: address, Zone: s.zone(i),
			Service: s.ServiceName,
		})
	}
	return s.PublishUpstreams(s.upstreams)
}

// Wait returns the first error of a stand-in once all have ended; it is called once, after Start's ctx has ended.
func (s *Starter) Wait() error {
	var first error
	for ; s.running > 0; s.running-- {
		if err := <-s.done; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Address returns the platform's host and port.
func (s *Starter) Address() string {
	return s.address
}

// Upstreams returns the upstreams as they were published first.
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

// PublishKeys publishes the keys' hashes.
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
		return errors.Errorf("publish document %s: %d bytes are too many", kind, len(body))
	}
	return nil
}

func (s *Starter) zone(i int) fuchsiaspoke.Zone {
	if len(s.Zones) == 0 {
		return "zone_a"
	}
	return s.Zones[i%len(s.Zones)]
}

func (s *Starter) serve(ctx context.Context, address string, serve func(context.Context, net.Listener) error) (string, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s.running++
	go func() { s.done <- serve(ctx, l) }()
	return l.Addr().String(), nil
}
