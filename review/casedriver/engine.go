package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of an engine, those of the site file of liuteria-commesse.
const (
	modelName        = "m0"
	adapterSlots     = 8
	maxLoading       = 4
	adapterLoadTime  = 250 * time.Millisecond
	prefillPerMs     = 38.4
	firstEventDelay  = 40 * time.Millisecond
	tokensPerEvent   = 5
	eventInterval    = 30 * time.Millisecond
	reportLag        = 200 * time.Millisecond
	heartbeat        = 1200 * time.Millisecond
	engineSlots      = 96
	cacheTokens      = 182_645
	heldConnections  = 490
	reportedVersions = "1"
)

// adapterState is an adapter that an engine holds, or that is on its way.
type adapterState struct {
	version int64
	loading bool
	// target is the version that replaces the present one once its runs have ended; 0 is none.
	target int64
	// unloading adapters are dropped once their runs have ended.
	unloading bool
	runs      int
}

// engine is a stand-in of one model replica. It reads one prompt at a time.
type engine struct {
	id, service, zone, address string
	// software is the version of the engine's software.
	software string
	born     int64
	store    *store
	rec      *recorder
	// newest returns the newest version of an adapter that was declared.
	newest func(adapter string) int64
	// onAccept is called as a request is accepted, and onBegin as it begins to run, with the version of its adapter.
	onAccept func(e *engine, attempt string)
	onBegin  func(e *engine, attempt, adapter string, version int64)
	// onOrder is called as an order arrives; nil is not.
	onOrder func(e *engine, holder string, token int64)

	prefill sync.Mutex

	mu       sync.Mutex
	adapters map[string]*adapterState
	orders   int64
	holder   string
	history  []reportAt
}

// reportAt is the report of an engine as of a time.
type reportAt struct {
	at  time.Time
	raw []byte
}

// start listens, and registers in the store until ctx ends.
func (e *engine) start(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	e.born = time.Now().UnixMilli()
	e.adapters = make(map[string]*adapterState)
	e.mu.Lock()
	e.recordState()
	e.mu.Unlock()
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(l) }()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			e.publish()
			select {
			case <-ctx.Done():
				_ = server.Close()
				return
			case <-t.C:
			}
		}
	}()
	return nil
}

// publish writes the engine's entry.
func (e *engine) publish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store.put("servers/"+e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.software, "slots": engineSlots, "state": "ready",
		"coldRemainingMs": 0, "stage": "colocated", "models": e.models(), "sequence": e.orders, "born": e.born,
	})
}

// models lists what the engine holds. The caller holds mu.
func (e *engine) models() []any {
	held := []string{}
	for name, a := range e.adapters {
		if !a.loading {
			held = append(held, fmt.Sprintf("%s@%d", name, a.version))
		}
	}
	return []any{map[string]any{"name": modelName, "version": 1, "adapters": held}}
}

// running returns the number of runs. The caller holds mu.
func (e *engine) running() int {
	n := 0
	for _, a := range e.adapters {
		n += a.runs
	}
	return n
}

// recordState adds the present state to the history of reports. The caller holds mu.
func (e *engine) recordState() {
	coming := []string{}
	for name, a := range e.adapters {
		switch {
		case a.loading:
			coming = append(coming, fmt.Sprintf("%s/%s@%d", modelName, name, a.version))
		case a.target > 0:
			coming = append(coming, fmt.Sprintf("%s/%s@%d", modelName, name, a.target))
		}
	}
	raw, _ := json.Marshal(map[string]any{
		"stage": "colocated", "models": e.models(), "coming": coming, "busy": false, "sequence": e.orders, "queued": 0,
		"running": e.running(), "kvUsed": 0, "kvTotal": cacheTokens, "handles": 0, "born": e.born,
	})
	now := time.Now()
	e.history = append(e.history, reportAt{now, raw})
	for len(e.history) > 1 && now.Sub(e.history[1].at) > reportLag {
		e.history = e.history[1:]
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Instance-Id", e.id)
	case "/v1/report":
		e.serveReport(w)
	case "/v1/order":
		e.serveOrder(w, r)
	default:
		e.serveRequest(w, r)
	}
}

// serveReport answers with the state as of some time ago.
func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	raw := e.history[0].raw
	for _, h := range e.history {
		if time.Since(h.at) >= reportLag {
			raw = h.raw
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

// order is the body of an order.
type order struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Version      int64  `json:"version"`
	Expected     *int64 `json:"expected"`
	Holder       string `json:"holder"`
	FencingToken int64  `json:"fencingToken"`
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.onOrder != nil {
		e.onOrder(e, o.Holder, o.FencingToken)
	}
	e.mu.Lock()
	status := e.apply(o)
	e.holder = o.Holder
	e.recordState()
	e.mu.Unlock()
	e.rec.log("engine %s: order %s %s version %d of holder %s, token %d: %d", e.id, o.Operation, o.Adapter, o.Version, o.Holder, o.FencingToken, status)
	w.WriteHeader(status)
}

// apply carries an order out, or begins to, and returns the status of its answer. The caller holds mu.
func (e *engine) apply(o order) int {
	if o.Expected != nil && *o.Expected != e.orders {
		return http.StatusConflict
	}
	if o.Model != modelName || o.Adapter == "" {
		return http.StatusOK
	}
	a := e.adapters[o.Adapter]
	if o.Operation == "unload" {
		return e.unload(o.Adapter, a)
	}
	want := max(o.Version, 1)
	if o.Version == 0 {
		want = e.newest(o.Adapter)
	}
	switch {
	case a == nil && len(e.adapters) >= adapterSlots:
		return http.StatusInternalServerError
	case a == nil && e.loadingCount() >= maxLoading:
		return http.StatusConflict
	case a == nil:
		a = &adapterState{version: want, loading: true}
		e.adapters[o.Adapter] = a
		e.orders++
		e.finishLoad(a)
	case a.unloading:
		return http.StatusConflict
	case a.loading || a.target >= want:
		return http.StatusAccepted
	case a.version >= want:
		return http.StatusOK
	default:
		a.target = want
		e.orders++
		if a.runs == 0 {
			e.replace(a)
		}
	}
	return http.StatusAccepted
}

// unload drops an adapter, at once if no request uses it. The caller holds mu.
func (e *engine) unload(name string, a *adapterState) int {
	switch {
	case a == nil:
		return http.StatusOK
	case a.loading || a.target > 0:
		return http.StatusConflict
	case a.unloading:
		return http.StatusAccepted
	}
	e.orders++
	if a.runs > 0 {
		a.unloading = true
		return http.StatusAccepted
	}
	delete(e.adapters, name)
	return http.StatusOK
}

func (e *engine) loadingCount() int {
	n := 0
	for _, a := range e.adapters {
		if a.loading || a.target > 0 {
			n++
		}
	}
	return n
}

// replace begins to load the version that was ordered in place of one without runs. The caller holds mu.
func (e *engine) replace(a *adapterState) {
	a.version, a.target, a.loading = a.target, 0, true
	e.finishLoad(a)
}

// finishLoad ends a load after its time.
func (e *engine) finishLoad(a *adapterState) {
	time.AfterFunc(adapterLoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		a.loading = false
		e.recordState()
	})
}

// admit decides whether a request may run, and if not, with which status it is turned away.
func (e *engine) admit(adapter, expectVersion string) (a *adapterState, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if adapter == "" {
		return &adapterState{version: 1}, 0
	}
	a = e.adapters[adapter]
	switch {
	case a == nil:
		return nil, http.StatusMisdirectedRequest
	case a.loading || a.unloading || a.target > 0:
		return nil, http.StatusServiceUnavailable
	case expectVersion != "" && expectVersion != strconv.FormatInt(a.version, 10):
		return nil, http.StatusMisdirectedRequest
	}
	a.runs++
	return a, 0
}

// end ends a run.
func (e *engine) end(name string, a *adapterState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.runs--
	switch {
	case a.runs > 0:
	case a.unloading:
		delete(e.adapters, name)
	case a.target > 0 && !a.loading:
		e.replace(a)
	}
	e.recordState()
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	_, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	w.Header().Set("X-Attempt-Id", attempt)
	a, status := e.admit(adapter, r.Header.Get("X-Expect-Version"))
	if status > 0 {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		e.rec.log("engine %s: attempt %s is turned away with %d", e.id, attempt, status)
		return
	}
	defer e.end(adapter, a)
	e.onAccept(e, attempt)
	promptTokens, outTokens := tokenCount(r.Header.Get("X-Token-Count"))
	e.prefill.Lock()
	if r.Context().Err() != nil {
		e.prefill.Unlock()
		return
	}
	time.Sleep(time.Duration(float64(promptTokens)/prefillPerMs) * time.Millisecond)
	e.prefill.Unlock()
	time.Sleep(firstEventDelay)
	if r.Context().Err() != nil {
		return
	}
	e.onBegin(e, attempt, adapter, a.version)
	w.Header().Set("X-Server-Seal", "seal."+e.id+"."+attempt)
	w.Header().Set("X-Weight-Versions", reportedVersions)
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= max(outTokens/tokensPerEvent, 1); n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", n, attempt, n)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
	}
}

func tokenCount(text string) (prompt, out int) {
	in, rest, _ := strings.Cut(text, ",")
	prompt, _ = strconv.Atoi(in)
	out, _ = strconv.Atoi(rest)
	return prompt, out
}
