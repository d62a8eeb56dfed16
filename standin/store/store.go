// Package store simulates a rate-limited weight store.
//
// A load waits until the rate limit LoadsPerSecond permits it and then takes LoadTime. With more than FastInFlight loads
// in flight over all engines, including those that wait, the load time grows in proportion to their number. Over HTTP
// an engine loads with POST /v1/load and an adapter as JSON.
package store

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/server"
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/sleeper"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

const (
	defaultLoadsPerSecond = 3
	defaultLoadTime       = 250 * time.Millisecond
	defaultFastInFlight   = 8
)

// Store is a weight store shared by engines.
type Store struct {
	// LoadsPerSecond is the rate limit over all engines, and also the burst size in loads; zero means 3.
	LoadsPerSecond float64
	// LoadTime is the time of one load while at most FastInFlight loads are in flight; zero means 250 ms.
	LoadTime time.Duration
	// FastInFlight is the number of loads in flight above which loads take longer; zero means 8.
	FastInFlight int

	server server.Server

	mu sync.Mutex
	// nextStart is the latest start time that was reserved under the rate limit.
	nextStart time.Time
	inFlight  int
}

// Load returns when the adapter's weights are loaded, or with an error when ctx ends.
func (s *Store) Load(ctx context.Context, adapter fuchsiaspoke.Adapter) error {
	wait := s.reserveStart(time.Now())
	defer s.releaseLoad()
	if !sleeper.Sleep(ctx, wait) {
		return errors.Wrapf(ctx.Err(), "wait for the weight store's rate limit to load adapter %s", adapter.Name)
	}
	if !sleeper.Sleep(ctx, s.loadTime()) {
		return errors.Wrapf(ctx.Err(), "load adapter %s from the weight store", adapter.Name)
	}
	return nil
}

// InFlight returns the number of loads that are waiting for the rate limit or running.
func (s *Store) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// Serve serves HTTP on l until ctx ends.
func (s *Store) Serve(ctx context.Context, l net.Listener) error {
	return s.server.Serve(ctx, l, s.Handler())
}

// Handler returns the HTTP handler.
func (s *Store) Handler() http.Handler {
	e := echo.New()
	e.POST("/v1/load", func(c echo.Context) error {
		var adapter fuchsiaspoke.Adapter
		if err := json.NewDecoder(c.Request().Body).Decode(&adapter); err != nil {
			return echo.ErrBadRequest
		}
		if err := s.Load(c.Request().Context(), adapter); err != nil {
			return echo.ErrServiceUnavailable
		}
		return c.NoContent(http.StatusNoContent)
	})
	return e
}

// reserveStart counts a load as in flight, reserves its start under the rate limit and returns the time until then.
func (s *Store) reserveStart(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	rate := s.LoadsPerSecond
	if rate == 0 {
		rate = defaultLoadsPerSecond
	}
	// Start times may lie up to one second in the past, which permits a burst of LoadsPerSecond loads.
	if earliest := now.Add(-time.Second); s.nextStart.Before(earliest) {
		s.nextStart = earliest
	}
	s.nextStart = s.nextStart.Add(time.Duration(float64(time.Second) / rate))
	return max(0, s.nextStart.Sub(now))
}

func (s *Store) releaseLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// loadTime returns the time of a load at the current number of loads in flight.
func (s *Store) loadTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	threshold := s.FastInFlight
	if threshold == 0 {
		threshold = defaultFastInFlight
	}
	duration := s.LoadTime
	if duration == 0 {
		duration = defaultLoadTime
	}
	if s.inFlight <= threshold {
		return duration
	}
	return duration * time.Duration(s.inFlight) / time.Duration(threshold)
}
