// Package reporter answers operators over HTTP: status, time line, metrics and health; it changes nothing.
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
	// headerTimeout bounds the time in which an operator's client sends its header.
	headerTimeout = 5 * time.Second
	// closeTimeout bounds the wait for running answers at the end.
	closeTimeout = time.Second
)

// Reporter is the administration API of one VM.
type Reporter struct {
	// Status returns the VM's state.
	Status func() fuchsiaspoke.Status
	// Events returns the events of the time line that match.
	Events func(fuchsiaspoke.EventFilter) []fuchsiaspoke.Event
	// Metrics serves the metrics page.
	Metrics http.Handler
	// Ready reports whether requests can be served.
	Ready func() bool
}

// Serve answers operators until the context ends.
func (p *Reporter) Serve(ctx context.Context, socket net.Listener) error {
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: headerTimeout}
	done := make(chan error, 1)
	go func() { done <- server.Serve(socket) }()
	select {
	case err := <-done:
		return errors.Wrapf(err, "serve operators on %s", socket.Addr())
	case <-ctx.Done():
	}
	ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if err := server.Shutdown(ending); err != nil {
		_ = server.Close()
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve operators on %s", socket.Addr())
	}
	return ctx.Err()
}

// Handler returns the HTTP handler by itself, for programs that embed the system.
func (p *Reporter) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", p.ready)
	e.GET("/admin/status", func(c echo.Context) error { return c.JSONPretty(http.StatusOK, p.Status(), "  ") })
	e.GET("/admin/timeline", p.timeline)
	e.GET("/metrics", echo.WrapHandler(p.Metrics))
	return e
}

func (p *Reporter) ready(c echo.Context) error {
	if !p.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (p *Reporter) timeline(c echo.Context) error {
	events := p.Events(fuchsiaspoke.EventFilter{
		RequestID: c.QueryParam("request_id"),
		Account:   c.QueryParam("client_account"),
		Kind:      fuchsiaspoke.EventKind(c.QueryParam("kind")),
	})
	if events == nil {
		events = []fuchsiaspoke.Event{}
	}
	return c.JSON(http.StatusOK, events)
}
