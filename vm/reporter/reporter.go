// Package reporter serves the read-only administration API over HTTP: status, timeline, metrics and health.
package reporter

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

const (
	// headerTimeout bounds the time for reading a request's header.
	headerTimeout = 5 * time.Second
	// shutdownTimeout bounds the wait for running requests at shutdown.
	shutdownTimeout = time.Second
)

// Reporter is the administration API of one VM.
type Reporter struct {
	// Status returns the state of this VM and its view of the others.
	Status func() fuchsiaspoke.Status
	// Events returns the timeline events that match the filter.
	Events func(fuchsiaspoke.EventFilter) []fuchsiaspoke.Event
	// Metrics serves the metrics.
	Metrics http.Handler
	// Ready reports whether requests can be served.
	Ready func() bool
}

// Serve serves operators until the context is cancelled.
func (r *Reporter) Serve(ctx context.Context, socket net.Listener) error {
	server := &http.Server{Handler: r.Handler(), ReadHeaderTimeout: headerTimeout}
	done := make(chan error, 1)
	go func() { done <- server.Serve(socket) }()
	select {
	case err := <-done:
		return errors.Wrapf(err, "serve operators on %s", socket.Addr())
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		_ = server.Close()
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve operators on %s", socket.Addr())
	}
	return ctx.Err()
}

// Handler returns the HTTP handler without a server, for programs that embed the system.
func (r *Reporter) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", r.readiness)
	e.GET("/admin/status", func(c echo.Context) error { return c.JSONPretty(http.StatusOK, r.Status(), "  ") })
	e.GET("/admin/timeline", r.timeline)
	e.GET("/metrics", echo.WrapHandler(r.Metrics))
	return e
}

func (r *Reporter) readiness(c echo.Context) error {
	if !r.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (r *Reporter) timeline(c echo.Context) error {
	events := r.Events(fuchsiaspoke.EventFilter{
		RequestID: c.QueryParam("request_id"),
		Account:   c.QueryParam("client_account"),
		Kind:      fuchsiaspoke.EventKind(c.QueryParam("kind")),
	})
	if events == nil {
		events = []fuchsiaspoke.Event{}
	}
	return c.JSON(http.StatusOK, events)
}
