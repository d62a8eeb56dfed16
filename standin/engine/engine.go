// Package engine simulates a model engine with continuous batching and a few adapter slots.
//
// One loop runs the batch. Each step admits waiting requests by priority (lowest value first, then by arrival) and
// takes StepBase, plus StepPerRequest for each running request, StepPerAdapter for each distinct adapter among them and
// PrefillPerToken for each prompt token of the admitted requests that the prefix cache does not hold. At its end every
// running request receives one output token. A request generates max_tokens tokens, or as many as OutputTokens
// returns. The text of a token is "adapter@version/prompt-hash/n ", so that a checker can attribute it to a request.
// Four bytes of prompt count as one token.
//
// The API is JSON over HTTP:
//
//	POST /v1/load_lora_adapter, /v1/unload_lora_adapter  {"lora_name","version","fence"}
//	POST /v1/fence                                       {"fence"}; the response is the report
//	GET  /v1/report                                      fuchsiaspoke.EngineReport as of ReportLag ago
//	POST /v1/completions, /v1/chat/completions           "model":"name@version", X-Request-Id, X-Priority
//	POST /v1/resume                                      {"request_id","from_index"}
//	POST /v1/cancel                                      {"request_id"}; the response is {"run"}
//	GET  /v1/cache_events?after=N                        delayed and with gaps
//
// Responses to completions and resumes are server-sent events with one chunk each, which carries "prompt_tokens", and
// end with [DONE]; a comment line is sent every second as a keep-alive. A load responds once the adapter is resident. It
// is refused with 409 when every slot is taken, and, if the engine checks fencing tokens, when its token is lower than
// the highest one received. A completion for an adapter that is not resident is refused with 404. Errors are
// {"error":{"code","message","run"}}. A request without open connections runs on for two seconds and is then
// cancelled; a finished request can be resumed for ten seconds.
//
// GET and POST /fault read and set the injected faults, of which the engine applies Down, DelayMillis, FailLoads,
// IgnoreFence, SendOtherRunsChunks, Duplicate, TruncateAfter, StallConnections and Restart. GET /records returns the records.
package engine

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/fault"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/server"
)

const (
	defaultSlots           = 8
	defaultBatch           = 16
	defaultStepBase        = 8 * time.Millisecond
	defaultStepPerRequest  = 200 * time.Microsecond
	defaultStepPerAdapter  = 400 * time.Microsecond
	defaultPrefillPerToken = 50 * time.Microsecond
	defaultPrefixBlocks    = 4096
	defaultReportLag       = 200 * time.Millisecond

	// disconnectedRunTimeout is how long a run without open connections continues before it is cancelled.
	disconnectedRunTimeout = 2 * time.Second
	// finishedRunRetention is how long an ended run is kept so that it can be resumed.
	finishedRunRetention = 10 * time.Second
)

// Engine simulates one replica of a model engine; its zero value is ready to use.
type Engine struct {
	// Slots is the number of adapters that can be resident or loading at once; zero means 8.
	Slots int
	// Batch is the maximum number of requests in the batch; zero means 16.
	Batch int
	// StepBase, StepPerRequest and StepPerAdapter make up the time of a decode step; zero means 8 ms, 200 µs and 400 µs.
	StepBase, StepPerRequest, StepPerAdapter time.Duration
	// PrefillPerToken is the time for one prompt token that the prefix cache does not hold; zero means 50 µs.
	PrefillPerToken time.Duration
	// PrefixBlocks is the capacity of the prefix cache in blocks of 16 tokens; zero means 4096.
	PrefixBlocks int
	// ReportLag is the age of the state that a report shows; zero means 200 ms.
	ReportLag time.Duration
	// ChecksFence makes the engine refuse loads, unloads and fence requests whose fencing token is lower than the highest
	// one received.
	ChecksFence bool
	// Store loads adapter weights; nil means a store used by this engine alone.
	Store interface {
		Load(ctx context.Context, adapter fuchsiaspoke.Adapter) error
	}
	// OutputTokens returns the number of tokens to generate for a prompt, which is clamped to 1..limit; nil means limit.
	OutputTokens func(prompt string, limit int64) int64

	server    server.Server
	once      sync.Once
	runQueued chan struct{}

	mu           sync.Mutex
	ctx          context.Context
	startedAt    time.Time
	incarnation  string
	startCount   int
	fence        int64
	adapterSlots map[fuchsiaspoke.Adapter]*adapterSlot
	waiting      []*run
	running      []*run
	runsByID     map[string]*run
	sequence     int64
	cache        prefixCache
	snapshots    []snapshot
	fault        fault.Fault
	records      []record.Record
}

// adapterSlot is a slot occupied by an adapter that is loading or resident.
type adapterSlot struct {
	// loadEnded is closed when the load has succeeded or failed.
	loadEnded chan struct{}
	err       error
	loaded    bool
}

// snapshot is the engine's state at takenAt.
type snapshot struct {
	takenAt time.Time
	report  fuchsiaspoke.EngineReport
}

// Serve runs the batch loop and serves HTTP on l until ctx ends.
func (e *Engine) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.init()
	e.mu.Lock()
	e.ctx = ctx
	e.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.runBatchLoop(ctx)
	}()
	err := e.server.Serve(ctx, l, e.handler())
	cancel()
	<-done
	return err
}

// Restart simulates a cold start: it ends all requests and begins a new incarnation with no adapters, no fencing token
// and an empty prefix cache.
func (e *Engine) Restart() {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range slices.Concat(e.running, e.waiting) {
		e.endRun(r, "restarted")
	}
	e.startIncarnation()
}

// SetFault replaces the injected faults. Restart and StallConnections take effect once and are not kept.
func (e *Engine) SetFault(f fault.Fault) {
	if f.Restart {
		e.Restart()
		f.Restart = false
	}
	if f.StallConnections {
		e.server.StallOpenConnections()
		f.StallConnections = false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Fault returns the injected faults.
func (e *Engine) Fault() fault.Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}

// Records returns a copy of the records of all ended runs, requests that ended while waiting, ended loads, unloads and
// violations, in the order in which they ended.
func (e *Engine) Records() []record.Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.records)
}

// Incarnation returns the identifier of the engine's current start, which changes with each restart.
func (e *Engine) Incarnation() string {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

func (e *Engine) init() {
	e.once.Do(func() {
		e.runQueued = make(chan struct{}, 1)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.startIncarnation()
	})
}

// startIncarnation begins a new incarnation without adapters, requests and cached prompts; the caller holds the lock.
func (e *Engine) startIncarnation() {
	e.startCount++
	e.startedAt = time.Now()
	e.incarnation = fmt.Sprintf("%d-%d", e.startCount, e.startedAt.UnixNano())
	e.fence = 0
	e.adapterSlots = make(map[fuchsiaspoke.Adapter]*adapterSlot)
	e.waiting, e.running = nil, nil
	e.runsByID = make(map[string]*run)
	e.cache = prefixCache{capacityBlocks: orDefault(e.PrefixBlocks, defaultPrefixBlocks)}
	e.snapshots = nil
	e.recordSnapshot()
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// SlotCount returns the number of adapter slots, with the default applied.
func (e *Engine) SlotCount() int {
	return orDefault(e.Slots, defaultSlots)
}

// BatchSize returns the maximum number of requests in the batch, with the default applied.
func (e *Engine) BatchSize() int {
	return orDefault(e.Batch, defaultBatch)
}
