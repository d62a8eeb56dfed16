// Package listener serves callers over HTTP: the OpenAI-compatible API, plain services, idempotency keys, and the list of
// entry VMs.
package listener

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/aborter"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/headerwaiter"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/lingerer"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

const (
	// EntryTTL is how long a caller may cache the list of entry VMs.
	EntryTTL = 10 * time.Second
	// maxBodyBytes bounds the body of a request (1 MiB).
	maxBodyBytes = 1 << 20
	// maxHeaderBytes bounds the header of a request (32 KiB).
	maxHeaderBytes = 32 << 10
	// headerTimeout bounds the time for reading a request's header.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the time for reading a whole request, header included.
	bodyTimeout = 20 * time.Second
	// idleTimeout is how long an idle connection is kept open; it exceeds EntryTTL.
	idleTimeout = 60 * time.Second
	// writeTimeout bounds one write of a streamed response, so that a caller that stops reading does not hold its request.
	writeTimeout = 10 * time.Second
	// maxLingerTime bounds the time for which callers that still connect are accepted when the server stops.
	maxLingerTime = 2 * time.Second
)

type admitter interface {
	Generate(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error
	Call(ctx context.Context, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error)
}

type issuer interface {
	Issue(ctx context.Context, account string) (string, error)
}

// Listener is the HTTP server of an entry VM for callers.
type Listener struct {
	// Admitter authorizes and executes the requests.
	Admitter admitter
	// Issuer issues idempotency keys.
	Issuer issuer
	// Account returns the client account of the key with the hash; idempotency keys are issued to it.
	Account func(keyHash string) (string, error)
	// Models returns the names of the profiles that the key with the hash may call.
	Models func(keyHash string) ([]string, error)
	// EntryVMs returns the VMs that a caller in the availability zone may use, the preferred ones first.
	EntryVMs func(zone fuchsiaspoke.Zone) []fuchsiaspoke.VM
	// Ready reports whether requests can be served.
	Ready func() bool
	// Draining reports whether the VM is draining; connections are then closed after the current response.
	Draining func() bool
	// ObserveRefusal is called with the refusal of each request that failed, including one that failed after its answer began.
	ObserveRefusal func(*fuchsiaspoke.Refusal)
}

// Serve serves callers until the context is cancelled and none connects any more, then waits up to shutdownTimeout for the running
// requests.
func (l *Listener) Serve(ctx context.Context, socket *lingerer.Lingerer, shutdownTimeout time.Duration) error {
	var headers headerwaiter.HeaderWaiter
	server := l.newServer(&headers)
	done := make(chan error, 1)
	go func() { done <- server.Serve(socket) }()
	select {
	case err := <-done:
		return errors.Wrapf(err, "serve callers on %s", socket.Addr())
	case <-ctx.Done():
	}
	// Shutdown closes the socket, and the kernel would reset the connections that wait to be accepted.
	if err := socket.Finish(maxLingerTime); err != nil {
		klog.ErrorS(err, "Callers that still connect may be cut off", "address", socket.Addr().String())
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	headers.Await(min(headerTimeout, shutdownTimeout))
	// The socket is closed already: net.ErrClosed says nothing about the requests.
	if err := server.Shutdown(shutdownCtx); err != nil && !errors.Is(err, net.ErrClosed) {
		_ = server.Close()
		return errors.Wrapf(err, "shut down listener for callers on %s", socket.Addr())
	}
	return nil
}

func (l *Listener) newServer(headers *headerwaiter.HeaderWaiter) *http.Server {
	return &http.Server{
		Handler:           l.Handler(),
		ConnState:         headers.Observe,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Handler returns the HTTP handler without a server, for programs that embed the system.
func (l *Listener) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = l.writeError
	e.Use(l.limitAndRecover)
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", l.readiness)
	e.GET("/v1/entry", l.entryVMs)
	e.GET("/v1/models", l.listModels)
	e.POST("/v1/idempotency_keys", l.issueIdempotencyKey)
	e.POST("/v1/completions", l.createCompletion)
	e.POST("/v1/chat/completions", l.createChatCompletion)
	e.Any("/v1/services/:profile/*", l.callService)
	return e
}

// limitAndRecover sets the request id, limits the body size, turns a panic of the handler into an internal error, and closes
// connections while the VM drains.
func (l *Listener) limitAndRecover(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		defer func() {
			if panicValue := recover(); panicValue != nil {
				klog.ErrorS(nil, "HTTP handler panicked", "fault", panicValue, "path", c.Path())
				err = internalError()
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

func (l *Listener) readiness(c echo.Context) error {
	if !l.Ready() || l.Draining() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (l *Listener) entryVMs(c echo.Context) error {
	response := entryResponse{KeepSeconds: EntryTTL.Seconds(), Addresses: []string{}}
	for _, vm := range l.EntryVMs(fuchsiaspoke.Zone(c.QueryParam("availability_zone"))) {
		response.Addresses = append(response.Addresses, vm.CallerAddress)
	}
	return c.JSON(http.StatusOK, response)
}

func (l *Listener) listModels(c echo.Context) error {
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

func (l *Listener) issueIdempotencyKey(c echo.Context) error {
	_, keyHash, err := credentials(c.Request())
	if err != nil {
		return err
	}
	account, err := l.Account(keyHash)
	if err != nil {
		return err
	}
	if !l.Ready() {
		return notReady()
	}
	key, err := l.Issuer.Issue(c.Request().Context(), account)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, idempotencyKeyResponse{IdempotencyKey: key})
}

// writeError writes err as the API's error body, or aborts a response that has already begun.
func (l *Listener) writeError(err error, c echo.Context) {
	refusal := toRefusal(err)
	l.ObserveRefusal(refusal)
	if c.Response().Committed {
		aborter.Abort(c.Response(), c.Request())
	}
	if refusal.RetryAfter > 0 {
		c.Response().Header().Set(echo.HeaderRetryAfter, retryAfterSeconds(refusal))
	}
	_ = c.JSON(refusal.Status, newErrorResponse(refusal))
}

// requestID returns the id that limitAndRecover gave the request; it is sent in the header of every response.
func requestID(c echo.Context) string {
	return c.Response().Header().Get(requestIDHeader)
}

func newRequestID() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	return "req_" + hex.EncodeToString(id[:])
}
