// Package driver speaks the dialect of model engines.
package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
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

	once   sync.Once
	pooled *http.Client
	fresh  *http.Client
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
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.OrderTimeout, defaultOrderTimeout))
	defer cancel()
	err := d.call(ctx, d.client(), "/v1/load_lora_adapter", order{adapter.Name, adapter.Version, fence}, nil)
	return d.wrap(err, "load "+adapter.Name)
}

// Unload orders an adapter out of its slot.
func (d *Driver) Unload(ctx context.Context, adapter fuchsiaspoke.Adapter, fence int64) error {
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.OrderTimeout, defaultOrderTimeout))
	defer cancel()
	err := d.call(ctx, d.client(), "/v1/unload_lora_adapter", order{adapter.Name, adapter.Version, fence}, nil)
	return d.wrap(err, "unload "+adapter.Name)
}

// Claim shows the engine a fencing number and returns its report, which lags like every report.
func (d *Driver) Claim(ctx context.Context, fence int64) (fuchsiaspoke.EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.ProbeTimeout, defaultProbeTimeout))
	defer cancel()
	var report fuchsiaspoke.EngineReport
	err := d.call(ctx, d.freshClient(), "/v1/fence", claim{fence}, &report)
	return report, d.wrap(err, "claim")
}

// Report returns the engine's own account of its state, asked for on a fresh connection.
func (d *Driver) Report(ctx context.Context) (fuchsiaspoke.EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.ProbeTimeout, defaultProbeTimeout))
	defer cancel()
	var report fuchsiaspoke.EngineReport
	err := d.call(ctx, d.freshClient(), "/v1/report", nil, &report)
	return report, d.wrap(err, "report")
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

// send writes one request, made from its arguments alone, and sets sent once a connection may have carried any of it.
func (d *Driver) send(
	ctx context.Context, client *http.Client, path, requestID string, body any, sent *atomic.Bool,
) (*http.Response, error) {
	method := http.MethodGet
	var payload io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		method = http.MethodPost
		payload = bytes.NewReader(encoded)
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.Upstream.Address+path, payload)
	if err != nil {
		return nil, err
	}
	if payload != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if requestID != "" {
		req.Header.Set("X-Request-Id", requestID)
	}
	return client.Do(req)
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
	code := fuchsiaspoke.CodeUpstreamFailed
	status := http.StatusBadGateway
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		code = fuchsiaspoke.CodeDeadline
		status = http.StatusGatewayTimeout
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
	case "old_fence":
		refusal.Code = fuchsiaspoke.CodeLeaseLost
	case "load_failed", "no_slot", "not_resident":
		refusal.Code = fuchsiaspoke.CodeAdapterLoadFailed
	}
	return refusal
}

func orDefault(d, standard time.Duration) time.Duration {
	if d == 0 {
		return standard
	}
	return d
}
