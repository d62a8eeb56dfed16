// Package driver implements the HTTP client for model engines.
package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

const (
	defaultProgressTimeout = 3 * time.Second
	defaultProbeTimeout    = time.Second
	defaultLoadTimeout     = 30 * time.Second
	maxResponseBytes       = 4 << 20
	idleConnsPerHost       = 64
)

// The error codes of engines that the driver handles specially.
const (
	codeStaleFence      = "old_fence"
	codeLoadFailed      = "load_failed"
	codeNoSlot          = "no_slot"
	codeNotResident     = "not_resident"
	codeRequestNotFound = "request_not_found"
)

// Driver is the client of one engine. Every error it returns wraps a *fuchsiaspoke.Refusal or the error returned by
// the sink.
type Driver struct {
	// Client sends the requests; if nil, the driver creates its own.
	Client   *http.Client
	Upstream fuchsiaspoke.Upstream
	// ProgressTimeout bounds the time without a further chunk on a stream, and each attempt of a load or unload; zero means
	// 3 s.
	ProgressTimeout time.Duration
	// ProbeTimeout bounds reports, claims and cancels; zero means 1 s.
	ProbeTimeout time.Duration
	// LoadTimeout bounds loads and unloads over all their attempts; zero means 30 s.
	LoadTimeout time.Duration
	// CheckLease is called immediately before the body of a load, an unload or a generation is written. If it returns an
	// error, the request is aborted, and refused as not run if no part of its body may have been sent. The holder of
	// the upstream's lease verifies the lease here; if nil, all requests are sent.
	CheckLease func() error

	once     sync.Once
	pooled   *http.Client
	unpooled *http.Client
	// incarnation is the engine's incarnation in its latest report.
	incarnation atomic.Pointer[string]
}

// adapterCommand is the body of a load or unload.
type adapterCommand struct {
	Name    string `json:"lora_name"`
	Version int64  `json:"version"`
	Fence   int64  `json:"fence"`
}

// fenceClaim is the body of a claim.
type fenceClaim struct {
	Fence int64 `json:"fence"`
}

// requestRef is the body of a resume or a cancel.
type requestRef struct {
	RequestID string `json:"request_id"`
	FromIndex int64  `json:"from_index,omitempty"`
}

// cancelResponse is the engine's response to a cancel.
type cancelResponse struct {
	Run fuchsiaspoke.RunStatus `json:"run"`
}

// errorResponse is the body of an engine's response with an error status.
type errorResponse struct {
	Error struct {
		Code    string                 `json:"code"`
		Message string                 `json:"message"`
		Run     fuchsiaspoke.RunStatus `json:"run"`
	} `json:"error"`
}

// Load loads an adapter into a slot of the engine and returns when it is resident.
func (d *Driver) Load(ctx context.Context, adapter fuchsiaspoke.Adapter, fence int64) error {
	err := d.sendCommand(ctx, "/v1/load_lora_adapter", adapterCommand{adapter.Name, adapter.Version, fence})
	return d.wrap(err, "load "+adapter.Name)
}

// Unload removes an adapter from its slot. It returns no error if the adapter is not resident.
func (d *Driver) Unload(ctx context.Context, adapter fuchsiaspoke.Adapter, fence int64) error {
	err := d.sendCommand(ctx, "/v1/unload_lora_adapter", adapterCommand{adapter.Name, adapter.Version, fence})
	if hasCode(err, codeNotResident) {
		return nil
	}
	return d.wrap(err, "unload "+adapter.Name)
}

// sendCommand sends a load or unload, and sends it again on a new connection after each ProgressTimeout without a
// response. Both commands are idempotent, and a repeated load joins the one in progress.
func (d *Driver) sendCommand(ctx context.Context, path string, command adapterCommand) error {
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.LoadTimeout, defaultLoadTimeout))
	defer cancel()
	maybeSent := false
	for {
		err := d.trySendCommand(ctx, path, command)
		refusal := new(fuchsiaspoke.Refusal)
		if !errors.As(err, &refusal) {
			return err
		}
		if maybeSent {
			refusal.Run = fuchsiaspoke.RunUnknown
		}
		if refusal.Code != fuchsiaspoke.CodeDeadline || ctx.Err() != nil {
			return err
		}
		maybeSent = maybeSent || refusal.Run != fuchsiaspoke.NotRun
	}
}

// trySendCommand sends the command once on a new connection and waits for the response for at most ProgressTimeout.
func (d *Driver) trySendCommand(ctx context.Context, path string, command adapterCommand) error {
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.ProgressTimeout, defaultProgressTimeout))
	defer cancel()
	return d.call(ctx, d.unpooledClient(), path, command, nil)
}

// Claim announces a fencing token to the engine and returns the engine's report, which may be out of date like every
// report.
func (d *Driver) Claim(ctx context.Context, fence int64) (fuchsiaspoke.EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.ProbeTimeout, defaultProbeTimeout))
	defer cancel()
	var report fuchsiaspoke.EngineReport
	err := d.call(ctx, d.unpooledClient(), "/v1/fence", fenceClaim{fence}, &report)
	d.storeIncarnation(report, err)
	return report, d.wrap(err, "claim")
}

// Report requests the engine's report of its state on a new connection.
func (d *Driver) Report(ctx context.Context) (fuchsiaspoke.EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.ProbeTimeout, defaultProbeTimeout))
	defer cancel()
	var report fuchsiaspoke.EngineReport
	err := d.call(ctx, d.unpooledClient(), "/v1/report", nil, &report)
	d.storeIncarnation(report, err)
	return report, d.wrap(err, "report")
}

func (d *Driver) storeIncarnation(report fuchsiaspoke.EngineReport, err error) {
	if err == nil {
		d.incarnation.Store(&report.Incarnation)
	}
}

// Cancel cancels a request on the engine.
func (d *Driver) Cancel(ctx context.Context, requestID string) error {
	_, err := d.cancel(ctx, requestID)
	return err
}

// cancel cancels a request and returns what the engine reports about whether it ran.
func (d *Driver) cancel(ctx context.Context, requestID string) (fuchsiaspoke.RunStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.ProbeTimeout, defaultProbeTimeout))
	defer cancel()
	var response cancelResponse
	err := d.call(ctx, d.unpooledClient(), "/v1/cancel", requestRef{RequestID: requestID}, &response)
	return response.Run, d.wrap(err, "cancel "+requestID)
}

// call sends a POST with the body, or a GET if body is nil, and decodes the response into out unless out is nil.
func (d *Driver) call(ctx context.Context, client *http.Client, path string, body, out any) error {
	var sent atomic.Bool
	resp, err := d.send(ctx, client, path, "", body, &sent)
	if err != nil {
		return transportRefusal(err, sent.Load())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return engineRefusal(resp)
	}
	responseBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil && out != nil {
		err = json.Unmarshal(responseBody, out)
	}
	if err != nil {
		return transportRefusal(err, true)
	}
	return nil
}

// send sends one HTTP request, built only from its arguments, and sets sent once any part of the body may have been
// written to a connection.
func (d *Driver) send(
	ctx context.Context, client *http.Client, path, requestID string, body any, sent *atomic.Bool,
) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Upstream.Address+path, nil)
	if err != nil {
		return nil, err
	}
	if requestID != "" {
		req.Header.Set("X-Request-Id", requestID)
	}
	if body == nil {
		return do(client, req, sent)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req.Method = http.MethodPost
	req.Header.Set("Content-Type", "application/json")
	req.ContentLength = int64(len(encoded))
	req.GetBody = func() (io.ReadCloser, error) {
		return &checkedBody{Reader: bytes.NewReader(encoded), check: d.checkFor(body), sent: sent}, nil
	}
	req.Body, err = req.GetBody()
	if err != nil {
		return nil, err
	}
	return do(client, req, sent)
}

// do sends a request and returns the response. One with a faulty head is an error, and sets sent: the body may still be being written.
func do(client *http.Client, req *http.Request, sent *atomic.Bool) (*http.Response, error) {
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	if fault := (fuchsiaspoke.ResponseHead{Status: resp.StatusCode, Header: resp.Header}).Fault(); fault != nil {
		sent.Store(true)
		resp.Body.Close()
		return nil, fault
	}
	return resp, nil
}

// checkFor returns the check to run before the body is written; claims, resumes and cancels start no work and need
// none.
func (d *Driver) checkFor(body any) func() error {
	switch body.(type) {
	case fenceClaim, requestRef:
		return nil
	default:
		return d.CheckLease
	}
}

// checkedBody runs the check before each read of the body. An engine does not run a request whose body is incomplete.
type checkedBody struct {
	io.Reader
	check func() error
	sent  *atomic.Bool
}

func (b *checkedBody) Read(p []byte) (int, error) {
	if b.check != nil {
		if err := b.check(); err != nil {
			return 0, checkError{err}
		}
	}
	b.sent.Store(true)
	return b.Reader.Read(p)
}

func (b *checkedBody) Close() error {
	return nil
}

// checkError marks an error returned by CheckLease.
type checkError struct {
	error
}

func (d *Driver) init() {
	d.once.Do(func() {
		d.pooled = d.Client
		if d.pooled == nil {
			transport := &http.Transport{MaxIdleConnsPerHost: idleConnsPerHost, DisableCompression: true}
			d.pooled = &http.Client{Transport: transport, CheckRedirect: noRedirect}
		}
		transport, ok := d.pooled.Transport.(*http.Transport)
		if !ok {
			transport = &http.Transport{}
		}
		transport = transport.Clone()
		transport.DisableKeepAlives = true
		d.unpooled = &http.Client{Transport: transport, CheckRedirect: noRedirect}
	})
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// pooledClient returns the client that reuses connections.
func (d *Driver) pooledClient() *http.Client {
	d.init()
	return d.pooled
}

// unpooledClient returns a client that opens a connection for each request, so that no request waits on a stalled
// connection.
func (d *Driver) unpooledClient() *http.Client {
	d.init()
	return d.unpooled
}

func (d *Driver) wrap(err error, step string) error {
	return errors.Wrapf(err, "%s on upstream %s at %s", step, d.Upstream.ID, d.Upstream.Address)
}

// transportRefusal converts a transport error to a refusal. The request counts as not run only if nothing was sent.
func transportRefusal(err error, sent bool) error {
	run := fuchsiaspoke.NotRun
	if sent {
		run = fuchsiaspoke.RunUnknown
	}
	code, status := fuchsiaspoke.CodeUpstreamFailed, http.StatusBadGateway
	var checkErr checkError
	if errors.As(err, &checkErr) {
		code, status = fuchsiaspoke.CodeLeaseLost, http.StatusServiceUnavailable
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		code, status = fuchsiaspoke.CodeDeadline, http.StatusGatewayTimeout
	}
	return &fuchsiaspoke.Refusal{Code: code, Message: err.Error(), Run: run, Status: status}
}

// engineRefusal converts an engine's error response to a refusal. Without a run field in the response, it is unknown
// whether the request ran.
func engineRefusal(resp *http.Response) error {
	var errResp errorResponse
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil {
		err = json.Unmarshal(body, &errResp)
	}
	if err != nil || errResp.Error.Run == "" {
		errResp.Error.Run = fuchsiaspoke.RunUnknown
	}
	refusal := &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeUpstreamFailed, Message: resp.Status + ": " + errResp.Error.Code + ": " + errResp.Error.Message,
		Run: errResp.Error.Run, Status: http.StatusBadGateway,
	}
	switch errResp.Error.Code {
	case codeStaleFence:
		refusal.Code = fuchsiaspoke.CodeLeaseLost
	case codeLoadFailed, codeNoSlot, codeNotResident:
		refusal.Code = fuchsiaspoke.CodeAdapterLoadFailed
	}
	return &engineError{Refusal: refusal, code: errResp.Error.Code}
}

// engineError is a refusal with the engine's own error code.
type engineError struct {
	*fuchsiaspoke.Refusal
	code string
}

func (e *engineError) Unwrap() error {
	return e.Refusal
}

func hasCode(err error, code string) bool {
	var engineErr *engineError
	return errors.As(err, &engineErr) && engineErr.code == code
}

func orDefault(timeout, fallback time.Duration) time.Duration {
	if timeout == 0 {
		return fallback
	}
	return timeout
}
