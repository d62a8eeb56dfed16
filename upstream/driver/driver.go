// Package driver speaks the dialect of model engines.
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
	defaultOrderTimeout    = 30 * time.Second
	maxAnswerBytes         = 4 << 20
	idleConnsPerHost       = 64
)

// The engine's own codes that change what the driver does.
const (
	codeOldFence    = "old_fence"
	codeLoadFailed  = "load_failed"
	codeNoSlot      = "no_slot"
	codeNotResident = "not_resident"
	codeNotFound    = "request_not_found"
)

// Driver is the client of one engine; every error it returns wraps a *fuchsiaspoke.Refusal or the sink's own error.
type Driver struct {
	// Client sends the requests; nil stands for a client of the driver's own.
	Client   *http.Client
	Upstream fuchsiaspoke.Upstream
	// ProgressTimeout is how long a stream may bring nothing; zero stands for 3 s.
	ProgressTimeout time.Duration
	// ProbeTimeout bounds reports, claims and cancels; zero stands for 1 s.
	ProbeTimeout time.Duration
	// OrderTimeout bounds loads and unloads; zero stands for 30 s.
	OrderTimeout time.Duration
	// Check is asked as the last step before a load, an unload or a generation is written; its error stops the
	// request as not run. It is where the holder of the upstream's lease checks the lease; nil allows everything.
	Check func() error

	once   sync.Once
	pooled *http.Client
	fresh  *http.Client
	// incarnation is the engine's, as last reported.
	incarnation atomic.Pointer[string]
}

type order struct {
	Name    string `json:"lora_name"`
	Version int64  `json:"version"`
	Fence   int64  `json:"fence"`
}

type claim struct {
	Fence int64 `json:"fence"`
}

type reference struct {
	RequestID string `json:"request_id"`
	FromIndex int64  `json:"from_index,omitempty"`
}

type cancelled struct {
	Run fuchsiaspoke.Run `json:"run"`
}

type failure struct {
	Error struct {
		Code    string           `json:"code"`
		Message string           `json:"message"`
		Run     fuchsiaspoke.Run `json:"run"`
	} `json:"error"`
}

// Load orders an adapter into a slot and returns when it is resident.
func (d *Driver) Load(ctx context.Context, adapter fuchsiaspoke.Adapter, fence int64) error {
	err := d.order(ctx, "/v1/load_lora_adapter", order{adapter.Name, adapter.Version, fence})
	return d.wrap(err, "load "+adapter.Name)
}

// Unload orders an adapter out of its slot; one that is in no slot is no error.
func (d *Driver) Unload(ctx context.Context, adapter fuchsiaspoke.Adapter, fence int64) error {
	err := d.order(ctx, "/v1/unload_lora_adapter", order{adapter.Name, adapter.Version, fence})
	if hasCode(err, codeNotResident) {
		return nil
	}
	return d.wrap(err, "unload "+adapter.Name)
}

// order sends an order, and sends it again on a fresh connection when no answer has come in ProgressTimeout; orders
// are idempotent, and a load that is sent again joins the one under way.
func (d *Driver) order(ctx context.Context, path string, o order) error {
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.OrderTimeout, defaultOrderTimeout))
	defer cancel()
	sent := false
	for {
		err := d.tryOrder(ctx, path, o)
		refusal := new(fuchsiaspoke.Refusal)
		if !errors.As(err, &refusal) {
			return err
		}
		if sent {
			refusal.Run = fuchsiaspoke.RunUnknown
		}
		if refusal.Code != fuchsiaspoke.CodeDeadline || ctx.Err() != nil {
			return err
		}
		sent = sent || refusal.Run != fuchsiaspoke.NotRun
	}
}

func (d *Driver) tryOrder(ctx context.Context, path string, o order) error {
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.ProgressTimeout, defaultProgressTimeout))
	defer cancel()
	return d.call(ctx, d.freshClient(), path, o, nil)
}

// Claim shows the engine a fencing number and returns its report, which lags like every report.
func (d *Driver) Claim(ctx context.Context, fence int64) (fuchsiaspoke.EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.ProbeTimeout, defaultProbeTimeout))
	defer cancel()
	var report fuchsiaspoke.EngineReport
	err := d.call(ctx, d.freshClient(), "/v1/fence", claim{fence}, &report)
	d.note(report, err)
	return report, d.wrap(err, "claim")
}

// Report returns the engine's own account of its state, asked for on a fresh connection.
func (d *Driver) Report(ctx context.Context) (fuchsiaspoke.EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.ProbeTimeout, defaultProbeTimeout))
	defer cancel()
	var report fuchsiaspoke.EngineReport
	err := d.call(ctx, d.freshClient(), "/v1/report", nil, &report)
	d.note(report, err)
	return report, d.wrap(err, "report")
}

func (d *Driver) note(report fuchsiaspoke.EngineReport, err error) {
	if err == nil {
		d.incarnation.Store(&report.Incarnation)
	}
}

// Cancel ends a request and returns what the engine says of its run.
func (d *Driver) Cancel(ctx context.Context, requestID string) error {
	_, err := d.cancel(ctx, requestID)
	return err
}

func (d *Driver) cancel(ctx context.Context, requestID string) (fuchsiaspoke.Run, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.ProbeTimeout, defaultProbeTimeout))
	defer cancel()
	var answer cancelled
	err := d.call(ctx, d.freshClient(), "/v1/cancel", reference{RequestID: requestID}, &answer)
	return answer.Run, d.wrap(err, "cancel "+requestID)
}

// call posts a body, or gets where it is nil, and decodes the answer into out where that is not nil.
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err == nil && out != nil {
		err = json.Unmarshal(answer, out)
	}
	if err != nil {
		return transportRefusal(err, true)
	}
	return nil
}

// send writes one request, made from its arguments alone, and sets sent once a connection may have carried its body.
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
		return client.Do(req)
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
	return client.Do(req)
}

// checkFor is the check that a body needs; claims, resumes and cancels start no work and need none.
func (d *Driver) checkFor(body any) func() error {
	switch body.(type) {
	case claim, reference:
		return nil
	default:
		return d.Check
	}
}

// checkedBody checks before each part of a body goes to the connection; no engine runs a request without its body.
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

// checkError marks an error of Check.
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
		d.fresh = &http.Client{Transport: transport, CheckRedirect: noRedirect}
	})
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func (d *Driver) client() *http.Client {
	d.init()
	return d.pooled
}

// freshClient opens a connection for each request, so that a silent one can't stand in the way.
func (d *Driver) freshClient() *http.Client {
	d.init()
	return d.fresh
}

func (d *Driver) wrap(err error, step string) error {
	return errors.Wrapf(err, "%s on upstream %s at %s", step, d.Upstream.ID, d.Upstream.Address)
}

// transportRefusal says not_run only where nothing was sent.
func transportRefusal(err error, sent bool) error {
	run := fuchsiaspoke.NotRun
	if sent {
		run = fuchsiaspoke.RunUnknown
	}
	code, status := fuchsiaspoke.CodeUpstreamFailed, http.StatusBadGateway
	var unchecked checkError
	if errors.As(err, &unchecked) {
		code, status = fuchsiaspoke.CodeLeaseLost, http.StatusServiceUnavailable
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		code, status = fuchsiaspoke.CodeDeadline, http.StatusGatewayTimeout
	}
	return &fuchsiaspoke.Refusal{Code: code, Message: err.Error(), Run: run, Status: status}
}

// engineRefusal is what the engine said; without a run field of its own nothing is known.
func engineRefusal(resp *http.Response) error {
	var said failure
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err == nil {
		err = json.Unmarshal(body, &said)
	}
	if err != nil || said.Error.Run == "" {
		said.Error.Run = fuchsiaspoke.RunUnknown
	}
	refusal := &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeUpstreamFailed, Message: resp.Status + ": " + said.Error.Code + ": " + said.Error.Message,
		Run: said.Error.Run, Status: http.StatusBadGateway,
	}
	switch said.Error.Code {
	case codeOldFence:
		refusal.Code = fuchsiaspoke.CodeLeaseLost
	case codeLoadFailed, codeNoSlot, codeNotResident:
		refusal.Code = fuchsiaspoke.CodeAdapterLoadFailed
	}
	return &engineError{Refusal: refusal, code: said.Error.Code}
}

// engineError is a refusal with the engine's own code for it.
type engineError struct {
	*fuchsiaspoke.Refusal
	code string
}

func (e *engineError) Unwrap() error {
	return e.Refusal
}

func hasCode(err error, code string) bool {
	var said *engineError
	return errors.As(err, &said) && said.code == code
}

func orDefault(d, standard time.Duration) time.Duration {
	if d == 0 {
		return standard
	}
	return d
}
