// Package service stands in for a plain service, such as bookings, orders and payments.
//
// Every method and path runs and answers 200 with the JSON of its record, save GET and POST /fault and GET /records.
// It heeds the faults Down, LateMillis, TruncateAfter, CloseBefore, CloseAfter and Silence.
package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/standin/fault"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/server"
	"github.com/labstack/echo/v4"
)

// Service records every run of a call and answers it.
type Service struct {
	// RunTime is how long a run takes.
	RunTime time.Duration

	server server.Server

	mu      sync.Mutex
	fault   fault.Fault
	records []record.Record
}

// SetFault replaces the faults in force.
func (s *Service) SetFault(f fault.Fault) {
	if f.Silence {
		s.server.Silence()
		f.Silence = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Fault returns the faults in force.
func (s *Service) Fault() fault.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// Records returns a copy of every run, in order.
func (s *Service) Records() []record.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records)
}

// Serve answers on l until ctx ends.
func (s *Service) Serve(ctx context.Context, l net.Listener) error {
	return s.server.Serve(ctx, l, s.Handler())
}

// Handler returns the HTTP interface.
func (s *Service) Handler() http.Handler {
	e := echo.New()
	e.GET("/records", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Records()) })
	e.GET("/fault", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Fault()) })
	e.POST("/fault", s.postFault)
	e.Any("/*", s.run)
	return e
}

func (s *Service) postFault(c echo.Context) error {
	f := s.Fault()
	if err := json.NewDecoder(c.Request().Body).Decode(&f); err != nil {
		return echo.ErrBadRequest
	}
	s.SetFault(f)
	return c.JSON(http.StatusOK, s.Fault())
}

func (s *Service) run(c echo.Context) error {
	f := s.Fault()
	if f.CloseBefore {
		panic(http.ErrAbortHandler)
	}
	if f.Down {
		return echo.ErrServiceUnavailable
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	// A run that began is not undone when its caller goes away.
	time.Sleep(s.RunTime)
	done := s.record(c.Request(), body)
	if f.CloseAfter {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(time.Duration(f.LateMillis) * time.Millisecond)
	answer, err := json.Marshal(done)
	if err != nil {
		return err
	}
	if f.TruncateAfter > 0 && f.TruncateAfter < int64(len(answer)) {
		return truncate(c, answer, f.TruncateAfter)
	}
	return c.JSONBlob(http.StatusOK, answer)
}

func (s *Service) record(r *http.Request, body []byte) record.Record {
	sum := sha256.Sum256(body)
	done := record.Record{
		Kind: "run", Start: time.Now(), Method: r.Method, Path: r.URL.RequestURI(), Status: http.StatusOK,
		BodyHash: hex.EncodeToString(sum[:]), Headers: r.Header.Clone(),
		RequestID: r.Header.Get("X-Request-Id"), IdempotencyKey: r.Header.Get("Idempotency-Key"),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, done)
	return done
}

// truncate promises the whole body and closes the connection after n bytes of it.
func truncate(c echo.Context, body []byte, n int64) error {
	w := c.Response()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	if _, err := w.Write(body[:n]); err != nil {
		return err
	}
	w.Flush()
	panic(http.ErrAbortHandler)
}
