// Package engine stands in for a model engine with continuous batching and a few adapter slots.
//
// The model. One loop runs the batch: each step admits waiting requests by priority (lower first, then arrival),
// pays PrefillPerToken for each prompt token that the prefix cache does not hold, pays StepBase, StepPerRequest for
// each running request and StepPerAdapter for each distinct adapter among them, and then gives every running request
// one output token. A request generates max_tokens tokens, or as many as OutputTokens says. A text token is
// "adapter@version/prompt-hash/n ", so that a checker can tell whose answer it is. Four bytes of prompt are a token.
//
// The dialect is JSON over HTTP:
//
//	POST /v1/load_lora_adapter, /v1/unload_lora_adapter  {"lora_name","version","fence"}
//	POST /v1/fence                                       {"fence"}; answers the report
//	GET  /v1/report                                      fuchsiaspoke.EngineReport, ReportLag late
//	POST /v1/completions, /v1/chat/completions           "model":"name@version", X-Request-Id, X-Priority
//	POST /v1/resume                                      {"request_id","from_index"}
//	POST /v1/cancel                                      {"request_id"}; answers {"run"}
//	GET  /v1/cache_events?after=N                        late and with gaps
//
// Streams are server-sent events, one chunk each, with "prompt_tokens" in each, and end with [DONE]; a comment line
// comes each second in which no chunk does. Loads answer when the adapter is resident; they are refused with 409 when
// every slot is taken or the fence is old. A run on an adapter that is not resident is refused with 404. Errors are
// {"error":{"code","message","run"}}. A request whose connections are all broken goes on for two seconds and is then
// cancelled; a finished one can be resumed for some seconds.
//
// GET and POST /fault read and set the faults Down, LateMillis, FailLoads, IgnoreFence, Cross, Duplicate,
// TruncateAfter, Silence and Restart; GET /records gives the record.
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

	orphanGrace = 2 * time.Second
	keepDone    = 10 * time.Second
)

// Engine is one replica of a model engine; its zero value works.
type Engine struct {
	// Slots is the number of adapters held at once; zero stands for 8.
	Slots int
	// Batch is the number of requests that run at once; zero stands for 16.
	Batch int
	// StepBase, StepPerRequest and StepPerAdapter are the parts of a decode step's time.
	StepBase, StepPerRequest, StepPerAdapter time.Duration
	// PrefillPerToken is the time for one prompt token that the prefix cache does not hold.
	PrefillPerToken time.Duration
	// PrefixBlocks is the size of the prefix cache in blocks of 16 tokens; zero stands for 4096.
	PrefixBlocks int
	// ReportLag is how old a report is; zero stands for 200 ms.
	ReportLag time.Duration
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	// Store gives the weights; nil stands for a store of the engine's own.
	Store interface {
		Load(ctx context.Context, adapter fuchsiaspoke.Adapter) error
	}
	// OutputTokens says how many tokens a prompt generates, at most limit; nil stands for limit.
	OutputTokens func(prompt string, limit int64) int64

	server server.Server
	once   sync.Once
	wake   chan struct{}

	mu          sync.Mutex
	ctx         context.Context
	born        time.Time
	incarnation string
	starts      int
	fence       int64
	resident    map[fuchsiaspoke.Adapter]*residency
	waiting     []*run
	running     []*run
	runs        map[string]*run
	sequence    int64
	cache       prefixCache
	snapshots   []snapshot
	fault       fault.Fault
	records     []record.Record
}

// residency is an adapter's hold on a slot; ready is closed when its load has ended.
type residency struct {
	ready chan struct{}
	err   error
	done  bool
}

type snapshot struct {
	at     time.Time
	report fuchsiaspoke.EngineReport
}

// Serve runs the batch and answers on l until ctx ends.
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
		e.loop(ctx)
	}()
	err := e.server.Serve(ctx, l, e.handler())
	cancel()
	<-done
	return err
}

// Restart starts the engine cold: a new incarnation with no adapter, no request, no fence and an empty cache.
func (e *Engine) Restart() {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range slices.Concat(e.running, e.waiting) {
		e.finish(r, "restarted")
	}
	e.start()
}

// SetFault replaces the faults in force.
func (e *Engine) SetFault(f fault.Fault) {
	if f.Restart {
		e.Restart()
		f.Restart = false
	}
	if f.Silence {
		e.server.Silence()
		f.Silence = false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Fault returns the faults in force.
func (e *Engine) Fault() fault.Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}

// Records returns a copy of every ended run, load, unload and violation, in the order in which they ended.
func (e *Engine) Records() []record.Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.records)
}

// Incarnation returns the name that changes with each restart.
func (e *Engine) Incarnation() string {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

func (e *Engine) init() {
	e.once.Do(func() {
		e.wake = make(chan struct{}, 1)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.start()
	})
}

func (e *Engine) start() {
	e.starts++
	e.born = time.Now()
	e.incarnation = fmt.Sprintf("%d-%d", e.starts, e.born.UnixNano())
	e.fence = 0
	e.resident = make(map[fuchsiaspoke.Adapter]*residency)
	e.waiting, e.running = nil, nil
	e.runs = make(map[string]*run)
	e.cache = prefixCache{limit: orDefault(e.PrefixBlocks, defaultPrefixBlocks)}
	e.snapshots = nil
	e.note()
}

func orDefault[T comparable](v, standard T) T {
	var zero T
	if v == zero {
		return standard
	}
	return v
}

// SlotCount returns the number of adapter slots in force.
func (e *Engine) SlotCount() int {
	return orDefault(e.Slots, defaultSlots)
}

// BatchSize returns the number of requests that run at once.
func (e *Engine) BatchSize() int {
	return orDefault(e.Batch, defaultBatch)
}
