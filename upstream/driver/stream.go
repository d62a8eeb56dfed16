package driver

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

const (
	maxResumes  = 2
	resumePause = 50 * time.Millisecond
	// repeatWithin is how long after its sending a request that the engine does not know surely never came; the engine
	// knows an ended request for longer.
	repeatWithin  = 8 * time.Second
	maxEventBytes = 1 << 20
	drainTimeout  = 100 * time.Millisecond
)

var (
	errSilent    = errors.New("stream brought nothing in time")
	errTruncated = errors.New("stream ended without its finishing chunk")
	errCrossed   = errors.New("chunk of another request")
	errGap       = errors.New("chunk index leaves a gap")
	errAdapter   = errors.New("chunk of another adapter or version")
	errTooLong   = errors.New("more output tokens than were asked for")
)

// sinkError marks an error of the sink, which is no fault of the engine.
type sinkError struct {
	error
}

// Generate runs one generation and gives its chunks to sink in order, each once.
//
// It resumes a stream that breaks, goes silent or carries a foreign chunk up to twice on a fresh connection, and
// cancels the request on the engine when it gives up or ctx ends.
func (d *Driver) Generate(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	s := &stream{driver: d, generation: g, sink: sink, incarnation: d.incarnation.Load(), began: time.Now()}
	err := s.start(ctx, d.client())
	for i := range maxResumes {
		if !resumable(ctx, err) {
			break
		}
		pause(ctx, time.Duration(i)*resumePause)
		d.client().CloseIdleConnections()
		if _, failed := d.Report(ctx); failed != nil {
			break
		}
		err = s.resume(ctx)
	}
	if err == nil {
		return nil
	}
	return d.wrap(s.fail(ctx, err), "generate "+g.RequestID)
}

// stream is the state of one generation over all its connections.
type stream struct {
	driver     *Driver
	generation fuchsiaspoke.Generation
	sink       func(fuchsiaspoke.Chunk) error
	next       int64
	tokens     int64
	// incarnation is the engine's, as last heard before the request was sent at began.
	incarnation *string
	began       time.Time
	// mayRun is set once the engine may have taken the request.
	mayRun bool
}

// resumable reports whether another connection may bring the rest.
func resumable(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil {
		return false
	}
	var refusal *fuchsiaspoke.Refusal
	var sunk sinkError
	if errors.As(err, &refusal) || errors.As(err, &sunk) {
		return false
	}
	return !errors.Is(err, errAdapter) && !errors.Is(err, errTooLong)
}

func (s *stream) start(ctx context.Context, client *http.Client) error {
	path := "/v1/completions"
	if s.generation.Chat {
		path = "/v1/chat/completions"
	}
	body, err := requestBody(s.generation)
	if err != nil {
		return &fuchsiaspoke.Refusal{
			Code: fuchsiaspoke.CodeInvalidRequest, Message: err.Error(), Run: fuchsiaspoke.NotRun,
			Status: http.StatusBadRequest,
		}
	}
	return s.attempt(ctx, client, path, body)
}

// resume asks for the rest; where the engine surely never saw the request, the request is sent again.
func (s *stream) resume(ctx context.Context) error {
	body := reference{RequestID: s.generation.RequestID, FromIndex: s.next}
	err := s.attempt(ctx, s.driver.freshClient(), "/v1/resume", body)
	if s.next > 0 || !hasCode(err, codeNotFound) || !s.neverCame(ctx) {
		return err
	}
	return s.start(ctx, s.driver.freshClient())
}

// neverCame reports whether an engine that does not know the request surely never saw it: it has not restarted since
// the request was sent, and has had no time to forget it. A request that ran takes tokens, and those of a second run
// were never reserved.
func (s *stream) neverCame(ctx context.Context) bool {
	report, err := s.driver.Report(ctx)
	return err == nil && s.incarnation != nil && report.Incarnation == *s.incarnation && time.Since(s.began) < repeatWithin
}

// requestBody sets the fields that the system decides in the caller's allowed ones.
func requestBody(g fuchsiaspoke.Generation) (map[string]json.RawMessage, error) {
	body := make(map[string]json.RawMessage)
	if err := json.Unmarshal(g.Body, &body); err != nil {
		return nil, errors.Wrap(err, "parse the generation's body")
	}
	model, err := json.Marshal(fmt.Sprintf("%s@%d", g.Adapter.Name, g.Adapter.Version))
	if err != nil {
		return nil, err
	}
	body["model"] = model
	body["stream"] = json.RawMessage("true")
	body["max_tokens"] = json.RawMessage(fmt.Sprint(g.MaxOutputTokens))
	return body, nil
}

// attempt reads one connection's part of the answer.
func (s *stream) attempt(ctx context.Context, client *http.Client, path string, body any) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := orDefault(s.driver.ProgressTimeout, defaultProgressTimeout)
	watchdog := time.AfterFunc(timeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	var sent atomic.Bool
	resp, err := s.driver.send(ctx, client, path, s.generation.RequestID, body, &sent)
	if err != nil {
		s.mayRun = s.mayRun || sent.Load()
		var unchecked checkError
		if errors.As(err, &unchecked) {
			return transportRefusal(err, sent.Load())
		}
		return causeOf(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s.refused(resp)
	}
	s.mayRun = true
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		watchdog.Reset(timeout)
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		finished, err := s.take(data)
		if err != nil {
			return err
		}
		if finished {
			watchdog.Reset(drainTimeout)
			for scanner.Scan() {
				continue
			}
			return nil
		}
	}
	if err := scanner.Err(); err != nil {
		return causeOf(ctx, err)
	}
	return errTruncated
}

func (s *stream) refused(resp *http.Response) error {
	err := engineRefusal(resp)
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) && refusal.Run != fuchsiaspoke.NotRun {
		s.mayRun = true
	}
	return err
}

// causeOf is the reason for which the context ended, or the error itself.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// take checks one event and passes its chunk on; it reports whether that was the finishing one.
func (s *stream) take(data string) (bool, error) {
	if data == "[DONE]" {
		return false, errTruncated
	}
	var chunk wireChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return false, errors.Wrap(err, "parse a chunk")
	}
	switch {
	case chunk.RequestID != s.generation.RequestID:
		return false, errCrossed
	case chunk.Adapter != s.generation.Adapter:
		return false, errAdapter
	case chunk.Index < s.next:
		return false, nil
	case chunk.Index > s.next:
		return false, errGap
	case chunk.Tokens < 0 || s.tokens+chunk.Tokens > s.generation.MaxOutputTokens:
		return false, errTooLong
	}
	s.next++
	s.tokens += chunk.Tokens
	if err := s.sink(fuchsiaspoke.Chunk(chunk)); err != nil {
		return false, sinkError{err}
	}
	return chunk.FinishReason != "", nil
}

// fail cancels what may still run and turns the error into a refusal with a true run value.
func (s *stream) fail(ctx context.Context, err error) error {
	run := fuchsiaspoke.NotRun
	if s.mayRun {
		run = s.abandon(ctx)
	}
	var sunk sinkError
	if errors.As(err, &sunk) {
		return sunk.error
	}
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) {
		copied := *refusal
		copied.Run = run
		return &copied
	}
	code, status := fuchsiaspoke.CodeUpstreamFailed, http.StatusBadGateway
	switch {
	case ctx.Err() != nil:
		code, status = fuchsiaspoke.CodeDeadline, http.StatusGatewayTimeout
	case errors.Is(err, errCrossed), errors.Is(err, errGap), errors.Is(err, errAdapter), errors.Is(err, errTooLong):
		code = fuchsiaspoke.CodeAnswerMismatch
	}
	return &fuchsiaspoke.Refusal{Code: code, Message: err.Error(), Run: run, Status: status}
}

// abandon cancels the request, also after ctx has ended, and returns what is then known of its run.
func (s *stream) abandon(ctx context.Context) fuchsiaspoke.Run {
	said, err := s.driver.cancel(context.WithoutCancel(ctx), s.generation.RequestID)
	switch {
	case s.next > 0:
		return fuchsiaspoke.Ran
	case err == nil && said != "":
		return said
	default:
		return fuchsiaspoke.RunUnknown
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// wireChunk is a chunk in the dialect's JSON.
type wireChunk struct {
	RequestID    string               `json:"request_id"`
	Index        int64                `json:"index"`
	Text         string               `json:"text"`
	Tokens       int64                `json:"tokens"`
	FinishReason string               `json:"finish_reason"`
	Adapter      fuchsiaspoke.Adapter `json:"adapter"`
	PromptTokens int64                `json:"prompt_tokens,omitempty"`
}
