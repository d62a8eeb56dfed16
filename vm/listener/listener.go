// Package listener answers callers over HTTP: the OpenAI-compatible API, plain services, and the question which VM to use.
package listener

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

const (
	// KeepAnswer is how long a caller may keep the answer which VMs to use.
	KeepAnswer = 10 * time.Second
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 1 << 20
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 32 << 10
	// headerTimeout bounds the time in which a caller sends its header.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the time in which a caller sends its whole request.
	bodyTimeout = 20 * time.Second
	// idleTimeout is how long a caller's idle connection is kept; it exceeds KeepAnswer.
	idleTimeout = 60 * time.Second
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 10 * time.Second
)

type admitter interface {
	Generate(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error
	Call(ctx context.Context, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error)
}

type issuer interface {
	Issue(ctx context.Context, account string) (string, error)
}

// Listener is the HTTP side of an entry VM.
type Listener struct {
	// Admitter takes the requests.
	Admitter admitter
	// Issuer makes idempotency keys.
	Issuer issuer
	// Account returns the client account of the key with the hash, for issuing idempotency keys.
	Account func(keyHash string) (string, error)
	// Models returns the names of the profiles that the key with the hash may call.
	Models func(keyHash string) ([]string, error)
	// Entries returns the VMs that callers may use, the preferred ones first.
	Entries func(zone fuchsiaspoke.Zone) []fuchsiaspoke.VM
	// Ready reports whether requests can be served.
	Ready func() bool
	// Draining reports whether the VM is on its way out, so that answered connections are closed.
	Draining func() bool
	// Observe is told of each refusal.
	Observe func(*fuchsiaspoke.Refusal)
}

// Serve answers callers until the context ends, then waits for the running requests within the grace time.
func (l *Listener) Serve(ctx context.Context, socket net.Listener, grace time.Duration) error {
	server := &http.Server{
		Handler:           l.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(socket) }()
	select {
	case err := <-done:
		return errors.Wrapf(err, "serve callers on %s", socket.Addr())
	case <-ctx.Done():
	}
	ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	if err := server.Shutdown(ending); err != nil {
		_ = server.Close()
		return errors.Wrapf(err, "shut down callers' listener on %s", socket.Addr())
	}
	return nil
}

// Handler returns the HTTP handler by itself, for programs that embed the system.
func (l *Listener) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = l.fail
	e.Use(l.guard)
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", l.ready)
	e.GET("/v1/entry", l.entry)
	e.GET("/v1/models", l.models)
	e.POST("/v1/idempotency_keys", l.issue)
	e.POST("/v1/completions", l.complete)
	e.POST("/v1/chat/completions", l.chat)
	e.Any("/v1/services/:profile/*", l.call)
	return e
}

// guard bounds the body, recovers from faults of a handler, and closes connections while the VM drains.
func (l *Listener) guard(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		defer func() {
			if fault := recover(); fault != nil {
				klog.ErrorS(nil, "Handler failed", "fault", fault, "path", c.Path())
				err = failed()
			}
		}()
		c.Response().Header().Set(requestIDHeader, newRequestID())
		r := c.Request()
		r.Body = http.MaxBytesReader(c.Response(), r.Body, maxBodyBytes)
		if l.Draining() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		return next(c)
	}
}

func (l *Listener) ready(c echo.Context) error {
	if !l.Ready() || l.Draining() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (l *Listener) entry(c echo.Context) error {
	answer := entryAnswer{KeepSeconds: KeepAnswer.Seconds(), Addresses: []string{}}
	for _, vm := range l.Entries(fuchsiaspoke.Zone(c.QueryParam("availability_zone"))) {
		answer.Addresses = append(answer.Addresses, vm.CallerAddress)
	}
	return c.JSON(http.StatusOK, answer)
}

func (l *Listener) models(c echo.Context) error {
	_, keyHash, err := credentials(c.Request())
	if err != nil {
		return err
	}
	names, err := l.Models(keyHash)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range names {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "fuchsiaspoke"})
	}
	return c.JSON(http.StatusOK, list)
}

func (l *Listener) issue(c echo.Context) error {
	_, keyHash, err := credentials(c.Request())
	if err != nil {
		return err
	}
	account, err := l.Account(keyHash)
	if err != nil {
		return err
	}
	if !l.Ready() {
		return starting()
	}
	key, err := l.Issuer.Issue(c.Request().Context(), account)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, issueAnswer{IdempotencyKey: key})
}

// fail writes every error in the API's one shape.
func (l *Listener) fail(err error, c echo.Context) {
	refusal := typed(err)
	l.Observe(refusal)
	if c.Response().Committed {
		return
	}
	if refusal.RetryAfter > 0 {
		c.Response().Header().Set(echo.HeaderRetryAfter, retryAfter(refusal))
	}
	_ = c.JSON(refusal.Status, errorAnswer(refusal))
}

// requestID returns the id that the request got when it came in, and that every answer carries.
func requestID(c echo.Context) string {
	return c.Response().Header().Get(requestIDHeader)
}

func newRequestID() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	return "req_" + hex.EncodeToString(id[:])
}
