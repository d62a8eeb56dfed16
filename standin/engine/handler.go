package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/labstack/echo/v4"
)

// keepAliveInterval is the time between comment lines in a stream.
const keepAliveInterval = time.Second

const (
	codeOldFence    = "old_fence"
	codeNoSlot      = "no_slot"
	codeNotResident = "not_resident"
	codeIDReused    = "request_id_reused"
	codeNotFound    = "request_not_found"
)

// controlRequest is the body of load, unload and fence requests; the last has a fence only.
type controlRequest struct {
	Name    string `json:"lora_name"`
	Version int64  `json:"version"`
	Fence   int64  `json:"fence"`
}

type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int64     `json:"max_tokens"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// runReference is the body of resume and cancel requests; cancel ignores FromIndex.
type runReference struct {
	RequestID string `json:"request_id"`
	FromIndex int64  `json:"from_index"`
}

type cancelResponse struct {
	Run fuchsiaspoke.RunStatus `json:"run"`
}

type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string                 `json:"code"`
	Message string                 `json:"message"`
	Run     fuchsiaspoke.RunStatus `json:"run"`
}

func (e *Engine) handler() http.Handler {
	router := echo.New()
	v1 := router.Group("/v1", e.injectFaults)
	v1.POST("/load_lora_adapter", e.load)
	v1.POST("/unload_lora_adapter", e.unload)
	v1.POST("/fence", e.postFence)
	v1.GET("/report", func(c echo.Context) error { return c.JSON(http.StatusOK, e.laggedReport()) })
	v1.POST("/completions", e.complete)
	v1.POST("/chat/completions", e.complete)
	v1.POST("/resume", e.resume)
	v1.POST("/cancel", e.cancel)
	v1.GET("/cache_events", e.cacheEvents)
	router.GET("/records", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Records()) })
	router.GET("/fault", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Fault()) })
	router.POST("/fault", e.postFault)
	return router
}

// injectFaults applies DelayMillis and Down to a call under /v1.
func (e *Engine) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		f := e.Fault()
		time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
		if f.Down {
			return respondNotRun(c, http.StatusServiceUnavailable, "down", "engine unavailable: fault \"down\" is injected")
		}
		return next(c)
	}
}

// respondNotRun sends an error for a call that had no effect.
func respondNotRun(c echo.Context, status int, code, message string) error {
	return respondError(c, status, code, message, fuchsiaspoke.NotRun)
}

func respondError(c echo.Context, status int, code, message string, run fuchsiaspoke.RunStatus) error {
	return c.JSON(status, errorResponse{Error: errorDetail{Code: code, Message: message, Run: run}})
}

func (e *Engine) postFault(c echo.Context) error {
	f := e.Fault()
	if err := json.NewDecoder(c.Request().Body).Decode(&f); err != nil {
		return echo.ErrBadRequest
	}
	e.SetFault(f)
	return c.JSON(http.StatusOK, e.Fault())
}

// acceptFence raises the highest fencing token received and reports whether the call may proceed; the caller holds the
// lock.
func (e *Engine) acceptFence(fence int64) bool {
	if fence < e.fence && e.ChecksFence && !e.fault.IgnoreFence {
		return false
	}
	e.fence = max(e.fence, fence)
	return true
}

func (e *Engine) postFence(c echo.Context) error {
	var req controlRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&req); err != nil {
		return respondNotRun(c, http.StatusBadRequest, "invalid_request", err.Error())
	}
	e.mu.Lock()
	ok := e.acceptFence(req.Fence)
	e.recordSnapshot()
	e.mu.Unlock()
	if !ok {
		return respondNotRun(c, http.StatusConflict, codeOldFence, "fencing token is lower than the highest one received")
	}
	return c.JSON(http.StatusOK, e.laggedReport())
}

func (e *Engine) complete(c echo.Context) error {
	var req completionRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&req); err != nil {
		return respondNotRun(c, http.StatusBadRequest, "invalid_request", err.Error())
	}
	r, err := e.newRun(c.Request(), req)
	if err != nil {
		return respondNotRun(c, http.StatusBadRequest, "invalid_request", err.Error())
	}
	switch code := e.enqueue(r); code {
	case "":
		return e.stream(c, r, 0)
	case codeIDReused:
		// The earlier request with this id may have run.
		return respondError(c, http.StatusConflict, code, "request id was already used", fuchsiaspoke.RunUnknown)
	default:
		return respondNotRun(c, http.StatusNotFound, code, "adapter is not resident for model "+req.Model)
	}
}

func (e *Engine) newRun(httpReq *http.Request, req completionRequest) (*run, error) {
	name, versionText, ok := strings.Cut(req.Model, "@")
	version, err := strconv.ParseInt(versionText, 10, 64)
	if !ok || err != nil {
		return nil, fmt.Errorf("model %q does not have the form name@version", req.Model)
	}
	id := httpReq.Header.Get("X-Request-Id")
	if id == "" || req.MaxTokens <= 0 {
		return nil, fmt.Errorf("header X-Request-Id and a positive max_tokens are required")
	}
	prompt := req.Prompt
	for _, m := range req.Messages {
		prompt += m.Role + ":" + string(m.Content) + "\n"
	}
	sum := sha256.Sum256([]byte(prompt))
	priority, _ := strconv.ParseInt(httpReq.Header.Get("X-Priority"), 10, 64)
	maxOutputTokens := req.MaxTokens
	if e.OutputTokens != nil {
		maxOutputTokens = max(1, min(maxOutputTokens, e.OutputTokens(prompt, maxOutputTokens)))
	}
	return &run{
		id: id, adapter: fuchsiaspoke.Adapter{Name: name, Version: version},
		prompt: prompt, promptHash: hex.EncodeToString(sum[:]),
		promptTokens:    int64(len(prompt)+bytesPerToken-1) / bytesPerToken,
		maxOutputTokens: maxOutputTokens, priority: priority, headers: httpReq.Header.Clone(),
		arrivedAt: time.Now(), updated: make(chan struct{}), readers: 1,
	}, nil
}

// enqueue adds the run to the waiting queue, or returns the error code if its adapter is not resident or its id is used.
func (e *Engine) enqueue(r *run) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slot, ok := e.adapterSlots[r.adapter]; !ok || !slot.loaded {
		return codeNotResident
	}
	if _, ok := e.runsByID[r.id]; ok {
		return codeIDReused
	}
	e.sequence++
	r.sequence = e.sequence
	e.runsByID[r.id] = r
	e.waiting = append(e.waiting, r)
	e.recordSnapshot()
	select {
	case e.runQueued <- struct{}{}:
	default:
	}
	return ""
}

func (e *Engine) resume(c echo.Context) error {
	var ref runReference
	if err := json.NewDecoder(c.Request().Body).Decode(&ref); err != nil || ref.FromIndex < 0 {
		return respondNotRun(c, http.StatusBadRequest, "invalid_request", "resume request is not valid JSON or has a negative from_index")
	}
	e.mu.Lock()
	r, ok := e.runsByID[ref.RequestID]
	if ok {
		r.readers++
	}
	e.mu.Unlock()
	if !ok {
		return respondError(c, http.StatusNotFound, codeNotFound, "no run with this request_id", fuchsiaspoke.RunUnknown)
	}
	return e.stream(c, r, ref.FromIndex)
}

func (e *Engine) cancel(c echo.Context) error {
	var ref runReference
	if err := json.NewDecoder(c.Request().Body).Decode(&ref); err != nil {
		return respondNotRun(c, http.StatusBadRequest, "invalid_request", err.Error())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.runsByID[ref.RequestID]
	if !ok {
		return respondError(c, http.StatusNotFound, codeNotFound, "no run with this request_id", fuchsiaspoke.RunUnknown)
	}
	e.endRun(r, "cancelled")
	resp := cancelResponse{Run: fuchsiaspoke.Ran}
	if r.admittedAt.IsZero() {
		resp.Run = fuchsiaspoke.NotRun
	}
	return c.JSON(http.StatusOK, resp)
}

func (e *Engine) cacheEvents(c echo.Context) error {
	afterNumber, _ := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(http.StatusOK, e.cache.eventsAfter(afterNumber, time.Now()))
}

// stream sends the run's chunks from index next on until the run ends. The caller has already added it to r.readers.
func (e *Engine) stream(c echo.Context, r *run, next int64) error {
	defer e.releaseReader(r)
	w := c.Response()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	w.Flush()
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		chunks, outcome, updated := e.chunksFrom(r, next)
		for _, chunk := range chunks {
			f := e.Fault()
			if f.TruncateAfter > 0 && next >= f.TruncateAfter {
				return nil
			}
			if err := e.writeChunk(w, r, chunk); err != nil {
				return nil
			}
			next++
		}
		if outcome == "length" {
			_, err := fmt.Fprint(w, "data: [DONE]\n\n")
			return err
		}
		if outcome != "" {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-updated:
		case <-ticker.C:
			if _, err := fmt.Fprint(w, ": waiting\n\n"); err != nil {
				return nil
			}
			w.Flush()
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// writeChunk sends one chunk, changed by the faults DelayMillis, SendOtherRunsChunks and Duplicate.
func (e *Engine) writeChunk(w *echo.Response, r *run, chunk fuchsiaspoke.Chunk) error {
	f := e.Fault()
	time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	if f.SendOtherRunsChunks {
		chunk = e.chunkOfOtherRun(r, chunk)
	}
	copies := 1
	if f.Duplicate {
		copies = 2
	}
	body, err := json.Marshal(wireChunk(chunk))
	if err != nil {
		return err
	}
	for range copies {
		if _, err := fmt.Fprintf(w, "data: %s\n\n", body); err != nil {
			return err
		}
	}
	w.Flush()
	return nil
}

// chunkOfOtherRun returns the chunk with the same index from another running request, or chunk itself if there is none.
func (e *Engine) chunkOfOtherRun(r *run, chunk fuchsiaspoke.Chunk) fuchsiaspoke.Chunk {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, other := range e.running {
		if other != r && chunk.Index < int64(len(other.chunks)) {
			return other.chunks[chunk.Index]
		}
	}
	return chunk
}

// chunksFrom returns the chunks from index next on, the outcome, and a channel that is closed when either changes.
func (e *Engine) chunksFrom(r *run, next int64) ([]fuchsiaspoke.Chunk, string, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.chunks[min(next, int64(len(r.chunks))):], r.outcome, r.updated
}

// releaseReader removes one open connection from the run.
func (e *Engine) releaseReader(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers--
	r.lastDisconnect = time.Now()
}

// wireChunk is a fuchsiaspoke.Chunk with the JSON keys of the engine's API.
type wireChunk struct {
	RequestID    string               `json:"request_id"`
	Index        int64                `json:"index"`
	Text         string               `json:"text"`
	Tokens       int64                `json:"tokens"`
	FinishReason string               `json:"finish_reason,omitempty"`
	Adapter      fuchsiaspoke.Adapter `json:"adapter"`
	PromptTokens int64                `json:"prompt_tokens,omitempty"`
}
