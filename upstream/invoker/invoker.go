// Package invoker sends calls to plain services over HTTP.
package invoker

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

const (
	defaultDialTimeout       = 2 * time.Second
	defaultTimeout           = 30 * time.Second
	defaultMaxReplyBytes     = 8 << 20
	maxHeaderBytes           = 64 << 10
	maxIdlePerHost           = 16
	idleTimeout              = 30 * time.Second
	idempotencyKeyHashDomain = "fuchsiaspoke upstream idempotency key 1\x00"
	userAgent                = "fuchsiaspoke"
	headerRequestID          = "X-Request-Id"
	headerIdempotencyKey     = "Idempotency-Key"
)

// Invoker sends calls to one plain service. The zero value with Address set is ready to use.
//
// A call with an idempotency key uses its own connection, dialled before beforeSend is called. A second dial fails, so that
// net/http, which may resend a request after an error on a reused connection, cannot resend this one.
// Other calls share a pool, and net/http may resend those with an idempotent method.
//
// The request is built from an allow-list: method, path with query, content type, accept, body, X-Request-Id, and
// Idempotency-Key. The last is a one-way digest of the key that the system issued, the same for each call with that key: the
// service can deduplicate calls too, but cannot use the key itself. The caller's credentials are not part of a Call.
type Invoker struct {
	// Address is the service's IP address and port.
	Address string
	// DialTimeout bounds the opening of a connection; zero means 2 s.
	DialTimeout time.Duration
	// Timeout bounds the whole call; zero means 30 s.
	Timeout time.Duration
	// MaxReplyBytes bounds the body of a response; zero means 8 MiB.
	MaxReplyBytes int64

	poolOnce sync.Once
	pool     *http.Transport
}

// Send sends the call and returns the complete response, or an error that wraps a *fuchsiaspoke.Refusal or comes from beforeSend.
//
// beforeSend is called at most once: for a call with an idempotency key after its connection is open, right before the first byte
// may be sent; for other calls before a connection is taken from the pool or dialled. If it returns an error, nothing is sent and
// Send returns that error. A refusal says not_run only if no byte was sent.
func (c *Invoker) Send(ctx context.Context, call fuchsiaspoke.Call, beforeSend func() error) (fuchsiaspoke.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, durationOrDefault(c.Timeout, defaultTimeout))
	defer cancel()
	if containsCallerKey(call) {
		return fuchsiaspoke.Reply{}, invalidRequest("the path, query or a header contains the caller's key")
	}
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return fuchsiaspoke.Reply{}, err
	}
	if beforeSend == nil {
		beforeSend = func() error { return nil }
	}
	if call.IdempotencyKey != "" {
		return c.sendOnce(req, call, beforeSend)
	}
	return c.sendPooled(req, call, beforeSend)
}

// Close closes the idle connections.
func (c *Invoker) Close() {
	c.pooledTransport().CloseIdleConnections()
}

// sendOnce sends the call on a new connection that is used for nothing else.
func (c *Invoker) sendOnce(req *http.Request, call fuchsiaspoke.Call, beforeSend func() error) (fuchsiaspoke.Reply, error) {
	conn, err := c.dial(req.Context())
	if err != nil {
		return fuchsiaspoke.Reply{}, c.notSentError(err)
	}
	defer conn.Close()
	transport := newTransport(singleUseDial(conn))
	transport.DisableKeepAlives = true
	defer transport.CloseIdleConnections()
	if err := req.Context().Err(); err != nil {
		return fuchsiaspoke.Reply{}, c.notSentError(err)
	}
	if err := beforeSend(); err != nil {
		return fuchsiaspoke.Reply{}, err
	}
	reply, err := c.exchange(transport, req, call)
	if err != nil {
		return fuchsiaspoke.Reply{}, c.unknownOutcomeError(err, fuchsiaspoke.CodeOutcomeUnknown, http.StatusGatewayTimeout)
	}
	return reply, nil
}

// sendPooled sends the call on a pooled connection; net/http may resend it if its method is idempotent.
func (c *Invoker) sendPooled(req *http.Request, call fuchsiaspoke.Call, beforeSend func() error) (fuchsiaspoke.Reply, error) {
	var connObtained atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connObtained.Store(true) }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	if err := beforeSend(); err != nil {
		return fuchsiaspoke.Reply{}, err
	}
	reply, err := c.exchange(c.pooledTransport(), req, call)
	if err != nil && !connObtained.Load() {
		return fuchsiaspoke.Reply{}, c.notSentError(err)
	}
	if err != nil {
		return fuchsiaspoke.Reply{}, c.unknownOutcomeError(err, fuchsiaspoke.CodeUpstreamFailed, http.StatusBadGateway)
	}
	return reply, nil
}

// exchange sends the request and returns the complete response if it passes validateHead and the size limit.
func (c *Invoker) exchange(transport *http.Transport, req *http.Request, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error) {
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return fuchsiaspoke.Reply{}, errors.Wrap(err, "round trip")
	}
	defer resp.Body.Close()
	if err := validateHead(resp, call); err != nil {
		return fuchsiaspoke.Reply{}, err
	}
	limit := c.MaxReplyBytes
	if limit <= 0 {
		limit = defaultMaxReplyBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return fuchsiaspoke.Reply{}, errors.Wrap(err, "read response body")
	}
	if int64(len(body)) > limit {
		return fuchsiaspoke.Reply{}, errors.Errorf("response body is larger than %d bytes", limit)
	}
	return fuchsiaspoke.Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// validateHead rejects responses with a faulty head, and those that belong to another call, are encoded, or could be truncated without notice.
func validateHead(resp *http.Response, call fuchsiaspoke.Call) error {
	if fault := (fuchsiaspoke.ResponseHead{Status: resp.StatusCode, Header: resp.Header}).Fault(); fault != nil {
		return fault
	}
	if id := resp.Header.Get(headerRequestID); id != "" && id != call.RequestID {
		return errors.Errorf("response belongs to request %q", id)
	}
	if encoding := resp.Header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return errors.Errorf("unsupported response content encoding %q", encoding)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.New("response has neither Content-Length nor chunked encoding, so its end cannot be verified")
	}
	return nil
}

func (c *Invoker) newRequest(ctx context.Context, call fuchsiaspoke.Call) (*http.Request, error) {
	if !isAllowedMethod(call.Method) {
		return nil, invalidRequest("the HTTP method is not allowed")
	}
	if !hasNoControlCharacter(call.ContentType + call.Accept + call.RequestID) {
		return nil, invalidRequest("a header value contains a control character")
	}
	u, err := url.ParseRequestURI(call.Path)
	if err != nil || !strings.HasPrefix(call.Path, "/") {
		return nil, invalidRequest("the path is not a valid absolute path")
	}
	u.Scheme = "http"
	u.Host = c.Address
	req := &http.Request{Method: call.Method, URL: u, Host: c.Address, Header: http.Header{}}
	if len(call.Body) > 0 {
		// GetBody stays nil, so that net/http cannot rewind the body to resend the request.
		req.Body = io.NopCloser(bytes.NewReader(call.Body))
		req.ContentLength = int64(len(call.Body))
	}
	setHeader(req, "Content-Type", call.ContentType)
	setHeader(req, "Accept", call.Accept)
	setHeader(req, "User-Agent", userAgent)
	setHeader(req, headerRequestID, call.RequestID)
	if call.IdempotencyKey != "" {
		setHeader(req, headerIdempotencyKey, hashIdempotencyKey(call.IdempotencyKey))
	}
	return req.WithContext(ctx), nil
}

func (c *Invoker) dial(ctx context.Context) (net.Conn, error) {
	dialer := net.Dialer{Timeout: durationOrDefault(c.DialTimeout, defaultDialTimeout)}
	return dialer.DialContext(ctx, "tcp", c.Address)
}

func (c *Invoker) pooledTransport() *http.Transport {
	c.poolOnce.Do(func() {
		c.pool = newTransport(func(ctx context.Context, _, _ string) (net.Conn, error) { return c.dial(ctx) })
	})
	return c.pool
}

func (c *Invoker) notSentError(err error) error {
	refusal := &fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeNoUpstream,
		Message: "could not connect to the service",
		Run:     fuchsiaspoke.NotRun,
		Status:  http.StatusServiceUnavailable,
	}
	return errors.Wrapf(refusal, "connect to service %s: %v", c.Address, err)
}

func (c *Invoker) unknownOutcomeError(err error, code fuchsiaspoke.RefusalCode, status int) error {
	refusal := &fuchsiaspoke.Refusal{
		Code:    code,
		Message: "the service's response is missing, incomplete or invalid",
		Run:     fuchsiaspoke.RunUnknown,
		Status:  status,
	}
	return errors.Wrapf(refusal, "send to service %s: %v", c.Address, err)
}

func newTransport(dial func(context.Context, string, string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// singleUseDial returns a dial function that returns conn once and fails from then on.
func singleUseDial(conn net.Conn) func(context.Context, string, string) (net.Conn, error) {
	var used atomic.Bool
	return func(context.Context, string, string) (net.Conn, error) {
		if used.Swap(true) {
			return nil, errors.New("the call's only connection is already in use; refusing a second dial")
		}
		return conn, nil
	}
}

// containsCallerKey reports whether a part of the path, the query or a header hashes to the caller's key.
func containsCallerKey(call fuchsiaspoke.Call) bool {
	if call.KeyHash == "" {
		return false
	}
	for _, text := range []string{call.Path, call.ContentType, call.Accept, call.RequestID} {
		if containsHashedPart(text, call.KeyHash) {
			return true
		}
		if unescaped, err := url.QueryUnescape(text); err == nil && containsHashedPart(unescaped, call.KeyHash) {
			return true
		}
	}
	return false
}

// containsHashedPart reports whether a part of text between delimiters has the SHA-256 hash keyHash, in hexadecimal.
func containsHashedPart(text, keyHash string) bool {
	parts := strings.FieldsFunc(text, func(r rune) bool { return strings.ContainsRune("/?&=;, \"", r) })
	for _, part := range parts {
		sum := sha256.Sum256([]byte(part))
		if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(strings.ToLower(keyHash))) == 1 {
			return true
		}
	}
	return false
}

// hashIdempotencyKey returns the first 16 bytes of a domain-separated SHA-256 hash of the key, in hexadecimal.
func hashIdempotencyKey(key string) string {
	sum := sha256.Sum256([]byte(idempotencyKeyHashDomain + key))
	return hex.EncodeToString(sum[:16])
}

func isAllowedMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// hasNoControlCharacter reports whether a header value is free of control characters, some of which net/http would reject only
// after beforeSend was called.
func hasNoControlCharacter(value string) bool {
	return !strings.ContainsFunc(value, func(r rune) bool { return r < ' ' || r == 0x7f })
}

func setHeader(req *http.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}

func durationOrDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

func invalidRequest(message string) *fuchsiaspoke.Refusal {
	return &fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeInvalidRequest,
		Message: message,
		Run:     fuchsiaspoke.NotRun,
		Status:  http.StatusBadRequest,
	}
}
