// Package store stands in for the rate-limited weight store.
//
// A load waits for its turn at LoadsPerSecond and then takes LoadTime while at most FastInFlight loads are in
// flight over all engines, waiting ones included, and in proportion longer beyond. Over HTTP an engine loads with
// POST /v1/load and the JSON of an adapter.
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
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

const (
	defaultLoadsPerSecond = 3
	defaultLoadTime       = 250 * time.Millisecond
	defaultFastInFlight   = 8
)

// Store is the weight store that all engines share.
type Store struct {
	// LoadsPerSecond is the rate over all engines and also the burst; zero stands for 3.
	LoadsPerSecond float64
	// LoadTime is what one load takes while few are in flight; zero stands for 250 ms.
	LoadTime time.Duration
	// FastInFlight is the number of loads in flight up to which LoadTime holds; zero stands for 8.
	FastInFlight int

	server server.Server

	mu       sync.Mutex
	next     time.Time
	inFlight int
}

// Load returns when the adapter's weights have come, or with an error when ctx ends.
func (s *Store) Load(ctx context.Context, adapter fuchsiaspoke.Adapter) error {
	wait := s.begin(time.Now())
	defer s.end()
	if err := sleep(ctx, wait); err != nil {
		return errors.Wrapf(err, "wait for the store to load %s", adapter.Name)
	}
	return errors.Wrapf(sleep(ctx, s.loadTime()), "load %s from the store", adapter.Name)
}

// InFlight returns the number of loads that wait or run.
func (s *Store) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// Serve answers on l until ctx ends.
func (s *Store) Serve(ctx context.Context, l net.Listener) error {
	return s.server.Serve(ctx, l, s.Handler())
}

// Handler returns the HTTP interface.
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

// begin takes the next turn and returns how long it is off.
func (s *Store) begin(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	rate := s.LoadsPerSecond
	if rate == 0 {
		rate = defaultLoadsPerSecond
	}
	// The burst of one second lets the turns lag behind the clock by that much.
	if earliest := now.Add(-time.Second); s.next.Before(earliest) {
		s.next = earliest
	}
	s.next = s.next.Add(time.Duration(float64(time.Second) / rate))
	return max(0, s.next.Sub(now))
}

func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

func (s *Store) loadTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	fast := s.FastInFlight
	if fast == 0 {
		fast = defaultFastInFlight
	}
	took := s.LoadTime
	if took == 0 {
		took = defaultLoadTime
	}
	if s.inFlight <= fast {
		return took
	}
	return took * time.Duration(s.inFlight) / time.Duration(fast)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
