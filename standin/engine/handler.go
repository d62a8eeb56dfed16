package engine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/store"
	"github.com/labstack/echo/v4"
)

const commentEvery = time.Second

const (
	codeOldFence    = "old_fence"
	codeNoSlot      = "no_slot"
	codeNotResident = "not_resident"
	codeReused      = "request_id_reused"
	codeNotFound    = "request_not_found"
)

type order struct {
	Name    string `json:"lora_name"`
	Version int64  `json:"version"`
	Fence   int64  `json:"fence"`
}

type completion struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int64     `json:"max_tokens"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type reference struct {
	RequestID string `json:"request_id"`
	FromIndex int64  `json:"from_index"`
}

type cancelled struct {
	Run fuchsiaspoke.RunStatus `json:"run"`
}

type failure struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Code    string                 `json:"code"`
	Message string                 `json:"message"`
	Run     fuchsiaspoke.RunStatus `json:"run"`
}

func (e *Engine) handler() http.Handler {
	router := echo.New()
	v1 := router.Group("/v1", e.misbehave)
	v1.POST("/load_lora_adapter", e.load)
	v1.POST("/unload_lora_adapter", e.unload)
	v1.POST("/fence", e.claim)
	v1.GET("/report", func(c echo.Context) error { return c.JSON(http.StatusOK, e.report()) })
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

func (e *Engine) misbehave(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		f := e.Fault()
		time.Sleep(time.Duration(f.LateMillis) * time.Millisecond)
		if f.Down {
			return refuse(c, http.StatusServiceUnavailable, "down", "the engine is down")
		}
		return next(c)
	}
}

func refuse(c echo.Context, status int, code, message string) error {
	return refuseAs(c, status, code, message, fuchsiaspoke.NotRun)
}

func refuseAs(c echo.Context, status int, code, message string, run fuchsiaspoke.RunStatus) error {
	return c.JSON(status, failure{Error: failureDetail{Code: code, Message: message, Run: run}})
}

func (e *Engine) postFault(c echo.Context) error {
	f := e.Fault()
	if err := json.NewDecoder(c.Request().Body).Decode(&f); err != nil {
		return echo.ErrBadRequest
	}
	e.SetFault(f)
	return c.JSON(http.StatusOK, e.Fault())
}

// checkFence notes the number and reports whether the order may be carried out; the lock is held.
func (e *Engine) checkFence(fence int64) bool {
	if fence < e.fence && e.ChecksFence && !e.fault.IgnoreFence {
		return false
	}
	e.fence = max(e.fence, fence)
	return true
}

func (e *Engine) claim(c echo.Context) error {
	var o order
	if err := json.NewDecoder(c.Request().Body).Decode(&o); err != nil {
		return refuse(c, http.StatusBadRequest, "invalid_request", err.Error())
	}
	e.mu.Lock()
	ok := e.checkFence(o.Fence)
	e.note()
	e.mu.Unlock()
	if !ok {
		return refuse(c, http.StatusConflict, codeOldFence, "a higher fencing number was seen")
	}
	return c.JSON(http.StatusOK, e.report())
}

func (e *Engine) load(c echo.Context) error {
	var o order
	if err := json.NewDecoder(c.Request().Body).Decode(&o); err != nil || o.Name == "" {
		return refuse(c, http.StatusBadRequest, "invalid_request", "no adapter")
	}
	adapter := fuchsiaspoke.Adapter{Name: o.Name, Version: o.Version}
	held, code := e.beginLoad(adapter, o.Fence)
	if code != "" {
		return refuse(c, http.StatusConflict, code, "cannot load "+o.Name)
	}
	select {
	case <-held.ready:
	case <-c.Request().Context().Done():
		return nil
	}
	if held.err != nil {
		return refuse(c, http.StatusInternalServerError, "load_failed", held.err.Error())
	}
	return c.NoContent(http.StatusOK)
}

// beginLoad takes a slot and starts the load, or joins the one under way.
func (e *Engine) beginLoad(adapter fuchsiaspoke.Adapter, fence int64) (*residency, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFence(fence) {
		return nil, codeOldFence
	}
	if held, ok := e.resident[adapter]; ok {
		return held, ""
	}
	if len(e.resident) >= e.SlotCount() {
		return nil, codeNoSlot
	}
	held := &residency{ready: make(chan struct{})}
	e.resident[adapter] = held
	fail := e.fault.FailLoads > 0
	if fail {
		e.fault.FailLoads--
	}
	if e.Store == nil {
		e.Store = &store.Store{}
	}
	// The load outlives a caller that goes away, as an engine's does, and ends with the engine.
	go e.finishLoad(e.ctx, adapter, held, fail, fence)
	return held, ""
}

func (e *Engine) finishLoad(ctx context.Context, adapter fuchsiaspoke.Adapter, held *residency, fail bool, fence int64) {
	began := time.Now()
	err := e.Store.Load(ctx, adapter)
	if err == nil && fail {
		err = fmt.Errorf("load of %s failed", adapter.Name)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	defer close(held.ready)
	if err == nil && e.resident[adapter] != held {
		err = fmt.Errorf("the engine restarted or unloaded %s", adapter.Name)
	}
	done := record.Record{
		Kind: "load", Start: began, End: time.Now(), Adapter: adapter, Incarnation: e.incarnation, Fence: fence,
	}
	if err != nil {
		held.err = err
		done.Kind = "load_failed"
		done.Detail = err.Error()
		if e.resident[adapter] == held {
			delete(e.resident, adapter)
		}
	}
	held.done = err == nil
	e.records = append(e.records, done)
	e.note()
}

func (e *Engine) unload(c echo.Context) error {
	var o order
	if err := json.NewDecoder(c.Request().Body).Decode(&o); err != nil {
		return refuse(c, http.StatusBadRequest, "invalid_request", err.Error())
	}
	adapter := fuchsiaspoke.Adapter{Name: o.Name, Version: o.Version}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFence(o.Fence) {
		return refuse(c, http.StatusConflict, codeOldFence, "a higher fencing number was seen")
	}
	if _, ok := e.resident[adapter]; !ok {
		return refuse(c, http.StatusNotFound, codeNotResident, "the adapter is not resident")
	}
	now := time.Now()
	done := record.Record{
		Kind: "unload", Start: now, End: now, Adapter: adapter, Incarnation: e.incarnation, Fence: o.Fence,
	}
	e.records = append(e.records, done)
	if n := e.inUse(adapter); n > 0 {
		done.Kind = "violation"
		done.Detail = fmt.Sprintf("evicted in use by %d requests", n)
		e.records = append(e.records, done)
	}
	delete(e.resident, adapter)
	for _, r := range slices.Concat(e.running, e.waiting) {
		if r.adapter == adapter {
			e.finish(r, "evicted")
		}
	}
	e.note()
	return c.NoContent(http.StatusOK)
}

func (e *Engine) complete(c echo.Context) error {
	var in completion
	if err := json.NewDecoder(c.Request().Body).Decode(&in); err != nil {
		return refuse(c, http.StatusBadRequest, "invalid_request", err.Error())
	}
	r, err := e.newRun(c.Request(), in)
	if err != nil {
		return refuse(c, http.StatusBadRequest, "invalid_request", err.Error())
	}
	switch code := e.enqueue(r); code {
	case "":
		return e.stream(c, r, 0)
	case codeReused:
		// The request of that id may well have run.
		return refuseAs(c, http.StatusConflict, code, "the request id was seen before", fuchsiaspoke.RunUnknown)
	default:
		return refuse(c, http.StatusNotFound, code, "cannot run "+in.Model)
	}
}

func (e *Engine) newRun(request *http.Request, in completion) (*run, error) {
	name, number, ok := strings.Cut(in.Model, "@")
	version, err := strconv.ParseInt(number, 10, 64)
	if !ok || err != nil {
		return nil, fmt.Errorf("model %q is not name@version", in.Model)
	}
	id := request.Header.Get("X-Request-Id")
	if id == "" || in.MaxTokens <= 0 {
		return nil, fmt.Errorf("X-Request-Id and max_tokens are required")
	}
	prompt := in.Prompt
	for _, m := range in.Messages {
		prompt += m.Role + ":" + string(m.Content) + "\n"
	}
	sum := sha256.Sum256([]byte(prompt))
	priority, _ := strconv.ParseInt(request.Header.Get("X-Priority"), 10, 64)
	limit := in.MaxTokens
	if e.OutputTokens != nil {
		limit = max(1, min(limit, e.OutputTokens(prompt, limit)))
	}
	return &run{
		id: id, adapter: fuchsiaspoke.Adapter{Name: name, Version: version},
		prompt: prompt, promptHash: hex.EncodeToString(sum[:]),
		promptTokens: int64(len(prompt)+bytesPerToken-1) / bytesPerToken,
		limit:        limit, priority: priority, headers: request.Header.Clone(),
		arrived: time.Now(), grown: make(chan struct{}), readers: 1,
	}, nil
}

// enqueue takes the run in or returns the code of its refusal.
func (e *Engine) enqueue(r *run) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if held, ok := e.resident[r.adapter]; !ok || !held.done {
		return codeNotResident
	}
	if _, ok := e.runs[r.id]; ok {
		return codeReused
	}
	e.sequence++
	r.sequence = e.sequence
	e.runs[r.id] = r
	e.waiting = append(e.waiting, r)
	e.note()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return ""
}

func (e *Engine) resume(c echo.Context) error {
	var ref reference
	if err := json.NewDecoder(c.Request().Body).Decode(&ref); err != nil || ref.FromIndex < 0 {
		return refuse(c, http.StatusBadRequest, "invalid_request", "no request")
	}
	e.mu.Lock()
	r, ok := e.runs[ref.RequestID]
	if ok {
		r.readers++
	}
	e.mu.Unlock()
	if !ok {
		return refuseAs(c, http.StatusNotFound, codeNotFound, "unknown request", fuchsiaspoke.RunUnknown)
	}
	return e.stream(c, r, ref.FromIndex)
}

func (e *Engine) cancel(c echo.Context) error {
	var ref reference
	if err := json.NewDecoder(c.Request().Body).Decode(&ref); err != nil {
		return refuse(c, http.StatusBadRequest, "invalid_request", err.Error())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.runs[ref.RequestID]
	if !ok {
		return refuseAs(c, http.StatusNotFound, codeNotFound, "unknown request", fuchsiaspoke.RunUnknown)
	}
	e.finish(r, "cancelled")
	answer := cancelled{Run: fuchsiaspoke.Ran}
	if r.began.IsZero() {
		answer.Run = fuchsiaspoke.NotRun
	}
	return c.JSON(http.StatusOK, answer)
}

func (e *Engine) cacheEvents(c echo.Context) error {
	after, _ := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(http.StatusOK, e.cache.since(after, time.Now()))
}

// stream writes the run's chunks from an index on; its caller has counted it among the readers.
func (e *Engine) stream(c echo.Context, r *run, next int64) error {
	defer e.detach(r)
	w := c.Response()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	w.Flush()
	ticker := time.NewTicker(commentEvery)
	defer ticker.Stop()
	for {
		chunks, outcome, grown := e.rest(r, next)
		for _, chunk := range chunks {
			f := e.Fault()
			if f.TruncateAfter > 0 && next >= f.TruncateAfter {
				return nil
			}
			if err := e.write(w, r, chunk); err != nil {
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
		case <-grown:
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

// write sends one chunk, or what the faults in force make of it.
func (e *Engine) write(w *echo.Response, r *run, chunk fuchsiaspoke.Chunk) error {
	f := e.Fault()
	time.Sleep(time.Duration(f.LateMillis) * time.Millisecond)
	if f.Cross {
		chunk = e.crossed(r, chunk)
	}
	times := 1
	if f.Duplicate {
		times = 2
	}
	body, err := json.Marshal(wireChunk(chunk))
	if err != nil {
		return err
	}
	for range times {
		if _, err := fmt.Fprintf(w, "data: %s\n\n", body); err != nil {
			return err
		}
	}
	w.Flush()
	return nil
}

// crossed returns the chunk with the same index of another run, if there is one.
func (e *Engine) crossed(r *run, chunk fuchsiaspoke.Chunk) fuchsiaspoke.Chunk {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, other := range e.running {
		if other != r && chunk.Index < int64(len(other.chunks)) {
			return other.chunks[chunk.Index]
		}
	}
	return chunk
}

func (e *Engine) rest(r *run, next int64) ([]fuchsiaspoke.Chunk, string, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.chunks[min(next, int64(len(r.chunks))):], r.outcome, r.grown
}

func (e *Engine) detach(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers--
	r.lost = time.Now()
}

// wireChunk is a chunk in the dialect's JSON.
type wireChunk struct {
	RequestID    string               `json:"request_id"`
	Index        int64                `json:"index"`
	Text         string               `json:"text"`
	Tokens       int64                `json:"tokens"`
	FinishReason string               `json:"finish_reason,omitempty"`
	Adapter      fuchsiaspoke.Adapter `json:"adapter"`
	PromptTokens int64                `json:"prompt_tokens,omitempty"`
}
