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
	"github.com/fuchsiaspoke/fuchsiaspoke/timeline/sleeper"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/bytelimiter"
	"github.com/pkg/errors"
)

const (
	maxResumes = 2
	// resumeBackoff is the increase of the wait before each further resume; the first has no wait.
	resumeBackoff = 50 * time.Millisecond
	// maxResendAge is how long after it was first sent a request may be sent again if the engine does not know it. The
	// engine remembers ended requests for longer, so within this time it cannot have run the request.
	maxResendAge  = 8 * time.Second
	maxEventBytes = 1 << 20
	// drainTimeout bounds the reading after the finishing chunk up to the end of the response, after which the
	// connection can be reused.
	drainTimeout = 100 * time.Millisecond
)

var (
	errNoProgress    = errors.New("no further chunk on the stream within the progress timeout")
	errTruncated     = errors.New("stream ended without a finishing chunk")
	errWrongRequest  = errors.New("chunk belongs to another request")
	errIndexGap      = errors.New("chunk index skips chunks that were not received")
	errWrongAdapter  = errors.New("chunk comes from another adapter or version")
	errTooManyTokens = errors.New("chunk token count is negative or exceeds the requested output tokens")
)

// sinkError marks an error returned by the sink, as opposed to one of the engine.
type sinkError struct {
	error
}

// Generate runs one generation and passes its chunks to sink in order, each once.
//
// If the stream breaks, stalls or carries a chunk of another request, Generate resumes it on a new connection, at most
// maxResumes times. When it fails for good or ctx ends, it cancels the request on the engine.
func (d *Driver) Generate(ctx context.Context, g fuchsiaspoke.Generation, sink func(fuchsiaspoke.Chunk) error) error {
	s := &stream{driver: d, generation: g, sink: sink, incarnation: d.incarnation.Load(), startedAt: time.Now()}
	err := s.start(ctx, d.pooledClient())
	for i := range maxResumes {
		if !isResumable(ctx, err) {
			break
		}
		sleeper.Sleep(ctx, time.Duration(i)*resumeBackoff)
		d.pooledClient().CloseIdleConnections()
		if _, reportErr := d.Report(ctx); reportErr != nil {
			break
		}
		err = s.resume(ctx)
	}
	if err == nil {
		return nil
	}
	return d.wrap(s.abort(ctx, err), "generate "+g.RequestID)
}

// stream is the state of one generation across all its connections.
type stream struct {
	driver     *Driver
	generation fuchsiaspoke.Generation
	sink       func(fuchsiaspoke.Chunk) error
	nextIndex  int64
	tokens     int64
	// incarnation is the engine's incarnation in the latest report before startedAt, when the request was first sent.
	incarnation *string
	startedAt   time.Time
	// mayHaveRun is set once the engine may have received the request.
	mayHaveRun bool
}

// isResumable reports whether resuming the stream on another connection may succeed after err.
func isResumable(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil {
		return false
	}
	var refusal *fuchsiaspoke.Refusal
	var sinkErr sinkError
	if errors.As(err, &refusal) || errors.As(err, &sinkErr) {
		return false
	}
	return !errors.Is(err, errWrongAdapter) && !errors.Is(err, errTooManyTokens)
}

// start sends the generation and reads its stream.
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

// resume requests the chunks from nextIndex on. If the engine never received the request, resume sends it again.
func (s *stream) resume(ctx context.Context) error {
	body := requestRef{RequestID: s.generation.RequestID, FromIndex: s.nextIndex}
	err := s.attempt(ctx, s.driver.unpooledClient(), "/v1/resume", body)
	if s.nextIndex > 0 || !hasCode(err, codeRequestNotFound) || !s.wasNeverReceived(ctx) {
		return err
	}
	return s.start(ctx, s.driver.unpooledClient())
}

// wasNeverReceived reports whether an engine that does not know the request cannot have received it: the engine has
// not restarted since the request was sent, and too little time has passed for it to forget the request. A request
// that may have run must not be sent again, since a second run would consume tokens that were never reserved.
func (s *stream) wasNeverReceived(ctx context.Context) bool {
	report, err := s.driver.Report(ctx)
	return err == nil && s.incarnation != nil && report.Incarnation == *s.incarnation && time.Since(s.startedAt) < maxResendAge
}

// requestBody returns the caller's request body with the model, stream and max_tokens fields overwritten.
func requestBody(g fuchsiaspoke.Generation) (map[string]json.RawMessage, error) {
	body := make(map[string]json.RawMessage)
	if err := json.Unmarshal(g.Body, &body); err != nil {
		return nil, errors.Wrap(err, "decode the request body")
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

// attempt sends one HTTP request and reads the part of the stream that its connection delivers.
func (s *stream) attempt(ctx context.Context, client *http.Client, path string, body any) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := orDefault(s.driver.ProgressTimeout, defaultProgressTimeout)
	watchdog := time.AfterFunc(timeout, func() { cancel(errNoProgress) })
	defer watchdog.Stop()
	var sent atomic.Bool
	resp, err := s.driver.send(ctx, client, path, s.generation.RequestID, body, &sent)
	if err != nil {
		s.mayHaveRun = s.mayHaveRun || sent.Load()
		var checkErr checkError
		if errors.As(err, &checkErr) {
			return transportRefusal(err, sent.Load())
		}
		return causeOf(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s.readRefusal(resp)
	}
	s.mayHaveRun = true
	limiter := &bytelimiter.Limiter{Reader: resp.Body}
	limiter.Limit("response stream", bytelimiter.StreamBytes(s.generation.MaxOutputTokens))
	scanner := bufio.NewScanner(limiter)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		nextIndex := s.nextIndex
		finished, err := s.handleEvent(data)
		if err != nil {
			return err
		}
		if s.nextIndex > nextIndex {
			watchdog.Reset(timeout)
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

// readRefusal reads an error response and sets mayHaveRun unless the response says that the request did not run.
func (s *stream) readRefusal(resp *http.Response) error {
	err := engineRefusal(resp)
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) && refusal.Run != fuchsiaspoke.NotRun {
		s.mayHaveRun = true
	}
	return err
}

// causeOf returns the cause of the context's cancellation, or err if the context has not ended.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// handleEvent validates one event of the stream, passes its chunk to the sink, and reports whether it was the
// finishing chunk. Chunks that were already received are skipped.
func (s *stream) handleEvent(data string) (bool, error) {
	if data == "[DONE]" {
		return false, errTruncated
	}
	var chunk chunkJSON
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return false, errors.Wrap(err, "decode a stream chunk")
	}
	switch {
	case chunk.RequestID != s.generation.RequestID:
		return false, errWrongRequest
	case chunk.Adapter != s.generation.Adapter:
		return false, errWrongAdapter
	case chunk.Index < s.nextIndex:
		return false, nil
	case chunk.Index > s.nextIndex:
		return false, errIndexGap
	case chunk.Tokens < 0 || s.tokens+chunk.Tokens > s.generation.MaxOutputTokens:
		return false, errTooManyTokens
	}
	s.nextIndex++
	s.tokens += chunk.Tokens
	if err := s.sink(fuchsiaspoke.Chunk(chunk)); err != nil {
		return false, sinkError{err}
	}
	return chunk.FinishReason != "", nil
}

// abort cancels the request on the engine if it may have run, and converts err to a refusal that says whether the
// request ran. An error of the sink is returned as it is.
func (s *stream) abort(ctx context.Context, err error) error {
	run := fuchsiaspoke.NotRun
	if s.mayHaveRun {
		run = s.cancelRun(ctx)
	}
	var sinkErr sinkError
	if errors.As(err, &sinkErr) {
		return sinkErr.error
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
	case errors.Is(err, errWrongRequest), errors.Is(err, errIndexGap), errors.Is(err, errWrongAdapter), errors.Is(err, errTooManyTokens):
		code = fuchsiaspoke.CodeAnswerMismatch
	}
	return &fuchsiaspoke.Refusal{Code: code, Message: err.Error(), Run: run, Status: status}
}

// cancelRun cancels the request on the engine, even if ctx has ended, and returns whether the request is known to have
// run.
func (s *stream) cancelRun(ctx context.Context) fuchsiaspoke.RunStatus {
	reportedRun, err := s.driver.cancel(context.WithoutCancel(ctx), s.generation.RequestID)
	switch {
	case s.nextIndex > 0:
		return fuchsiaspoke.Ran
	case err == nil && reportedRun != "":
		return reportedRun
	default:
		return fuchsiaspoke.RunUnknown
	}
}

// chunkJSON is the JSON encoding of a chunk in an engine's stream.
type chunkJSON struct {
	RequestID    string               `json:"request_id"`
	Index        int64                `json:"index"`
	Text         string               `json:"text"`
	Tokens       int64                `json:"tokens"`
	FinishReason string               `json:"finish_reason"`
	Adapter      fuchsiaspoke.Adapter `json:"adapter"`
	PromptTokens int64                `json:"prompt_tokens,omitempty"`
}
