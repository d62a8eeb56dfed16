// Package service simulates an upstream that is not a model engine, such as bookings, orders or payments.
//
// It executes calls of every method and path and responds with 200 and the call's record as JSON. Exceptions are GET
// and POST /fault, which read and set the injected faults, and GET /records, which returns the records. The service
// applies the faults Down, DelayMillis, TruncateAfter, CloseBefore, CloseAfter and StallConnections.
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

// Service executes, records and answers calls.
type Service struct {
	// RunTime is how long the execution of a call takes.
	RunTime time.Duration

	server server.Server

	mu      sync.Mutex
	fault   fault.Fault
	records []record.Record
}

// SetFault replaces the injected faults. StallConnections takes effect once and is not kept.
func (s *Service) SetFault(f fault.Fault) {
	if f.StallConnections {
		s.server.StallOpenConnections()
		f.StallConnections = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Fault returns the injected faults.
func (s *Service) Fault() fault.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// Records returns a copy of the records of all executed calls, in the order of their completion.
func (s *Service) Records() []record.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records)
}

// Serve serves HTTP on l until ctx ends.
func (s *Service) Serve(ctx context.Context, l net.Listener) error {
	return s.server.Serve(ctx, l, s.Handler())
}

// Handler returns the HTTP handler.
func (s *Service) Handler() http.Handler {
	e := echo.New()
	e.GET("/records", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Records()) })
	e.GET("/fault", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Fault()) })
	e.POST("/fault", s.postFault)
	e.Any("/*", s.handleCall)
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

func (s *Service) handleCall(c echo.Context) error {
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
	// The call is executed and recorded even if its caller disconnects meanwhile.
	time.Sleep(s.RunTime)
	rec := s.record(c.Request(), body)
	if f.CloseAfter {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	response, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	if f.TruncateAfter > 0 && f.TruncateAfter < int64(len(response)) {
		return truncate(c, response, f.TruncateAfter)
	}
	return c.JSONBlob(http.StatusOK, response)
}

func (s *Service) record(r *http.Request, body []byte) record.Record {
	sum := sha256.Sum256(body)
	rec := record.Record{
		Kind: "run", Start: time.Now(), Method: r.Method, Path: r.URL.RequestURI(), Status: http.StatusOK,
		BodyHash: hex.EncodeToString(sum[:]), Headers: r.Header.Clone(),
		RequestID: r.Header.Get("X-Request-Id"), IdempotencyKey: r.Header.Get("Idempotency-Key"),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, rec)
	return rec
}

// truncate sends the Content-Length of the whole body and closes the connection after its first n bytes.
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
