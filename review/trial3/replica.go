package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Behaviour of the replicas.
const (
	// eventInterval is the time between two events of a stream, and eventCount their number.
	eventInterval = 40 * time.Millisecond
	eventCount    = 6
	// downTime is how long a replica is down after a crash; its entry lapses after entryLifetime without a heartbeat.
	downTime      = 3 * time.Second
	entryLifetime = 3600 * time.Millisecond
)

// replica is a stand-in for one replica, a model engine, at one address. It serves one process after the other.
type replica struct {
	t       *trial
	name    string
	zone    string
	address string
	// published is the address that its entry names; "" is address.
	published string
	// crashAt is called for a request at each step of its answer, and reports whether the process ends there.
	crashAt func(r *http.Request, eventsSent int) bool
	// onRun is called as a request begins to run.
	onRun func(r *http.Request, replica string)
	// slots is how many requests run at once, and places how many more wait; events is the length of a stream.
	slots, places, events int
	// brittle makes the replica fall over if it turns many requests away; nil does not.
	brittle *brittleness
	// adapters are those that the engine holds or loads; it is empty where a case uses the base model alone.
	adapters adapterSet

	mu       sync.Mutex
	server   *http.Server
	id       string
	starts   int
	born     int64
	orders   atomic.Int64
	crashing atomic.Bool
	downs    []time.Duration
	// countedFalls are those for which most of what was turned away came from VMs in touch.
	countedFalls atomic.Int32
}

// startReplicas starts n engines.
func (t *trial) startReplicas(n int, set func(*replica)) ([]*replica, error) {
	var out []*replica
	for i := range n {
		l, err := listenOn("127.0.0.1")
		if err != nil {
			return nil, err
		}
		r := &replica{
			t: t, name: fmt.Sprintf("%s-%d", textService, i+1), zone: zones[i%len(zones)], address: l.Addr().String(),
			crashAt: func(*http.Request, int) bool { return false }, onRun: t.noteRun,
			slots: engineSlots, places: 3 * engineSlots, events: eventCount,
		}
		set(r)
		r.run(l)
		out = append(out, r)
	}
	t.atEnd(func() {
		for _, r := range out {
			r.mu.Lock()
			r.crashing.Store(true)
			_ = r.server.Close()
			r.mu.Unlock()
		}
	})
	return out, nil
}

// noteRun records that a request begins to run.
func (t *trial) noteRun(r *http.Request, replica string) {
	t.notef("%s runs %s", replica, r.Header.Get("X-Attempt-Id"))
}

// run begins a process of the replica, which has a new id.
func (r *replica) run(l net.Listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	r.id, r.born = fmt.Sprintf("i-%s-%d", r.name, r.starts), time.Now().UnixMilli()
	r.orders.Store(0)
	r.adapters.clear()
	r.crashing.Store(false)
	r.server = &http.Server{Handler: &process{replica: r, id: r.id, born: r.born, slots: make(chan struct{}, r.slots)}}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
	r.publish("ready")
}

// publish writes the replica's entry. The caller holds mu.
func (r *replica) publish(state string) {
	entry := map[string]any{
		"service": textService, "address": cmp.Or(r.published, r.address), "zone": r.zone, "version": "v1", "slots": r.slots, "state": state,
		"coldRemainingMs": 0, "sequence": r.orders.Load(), "born": r.born, "stage": "colocated",
		"models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []string{}}},
	}
	r.t.store.put("servers/"+r.id, entry)
}

// leave publishes that the replica is draining. Its process serves on for staysFor.
func (r *replica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish("draining")
	id := r.id
	time.AfterFunc(staysFor, func() { r.t.store.remove("servers/" + id) })
}

// crash ends the process: its port is closed and its connections are reset. Another process comes after downTime.
func (r *replica) crash(cause string) {
	if r.crashing.Swap(true) {
		return
	}
	r.mu.Lock()
	id := r.id
	_ = r.server.Close()
	r.downs = append(r.downs, r.t.now())
	n := len(r.downs)
	r.mu.Unlock()
	r.t.notef("%s (%s) crashes, %s; crash %d of it", r.name, id, cause, n)
	time.AfterFunc(entryLifetime, func() { r.t.store.remove("servers/" + id) })
	time.AfterFunc(downTime, r.restart)
}

func (r *replica) restart() {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		r.t.logf("%s can't listen again: %v", r.name, err)
		return
	}
	r.run(l)
	r.t.notef("%s is back as %s", r.name, r.id)
}

// crashes returns the times of all crashes so far.
func (r *replica) crashes() []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Duration(nil), r.downs...)
}

// process is one process of a replica.
type process struct {
	replica *replica
	id      string
	born    int64
	// slots has room for the requests that run; waiting counts those that wait.
	slots   chan struct{}
	waiting atomic.Int32
}

// ServeHTTP serves requests, orders, reports and health checks.
func (p *process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", p.id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.WriteHeader(http.StatusOK)
	case "/v1/report":
		p.report(w)
	case "/v1/order":
		p.order(w, r)
	default:
		p.serve(w, r)
	}
}

func (p *process) report(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	loaded, coming := p.replica.adapters.list()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": loaded}}, "busy": false,
		"sequence": p.replica.orders.Load(), "queued": 0, "running": len(p.slots), "kvUsed": 0, "kvTotal": cacheTokens,
		"handles": 0, "born": p.born, "coming": coming,
	})
}

// order carries out an order, unless it expects another count of orders.
func (p *process) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Model != modelName {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(p.replica.adapters.carryOut(o, &p.replica.orders, p.replica.t.now()))
}

// serve runs a request.
func (p *process) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if b := p.replica.brittle; b != nil && b.isOn(p.replica.t.now()) {
		w.Header().Set("Server-Brittle", strconv.Itoa(brittleLimit))
	}
	if !p.enter(r) {
		w.Header().Set("X-Server-Load", p.load())
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-p.slots }()
	w.Header().Set("X-Server-Load", p.load())
	p.replica.onRun(r, p.replica.name)
	w.Header().Set("X-Server-Seal", "seal."+p.id+"."+id)
	p.stream(w, r)
}

// load returns the load that answers state.
func (p *process) load() string {
	return fmt.Sprintf("%d,%d,%d", len(p.slots), p.waiting.Load(), cap(p.slots))
}

// enter waits for a slot, and reports whether the request got one.
func (p *process) enter(r *http.Request) bool {
	select {
	case p.slots <- struct{}{}:
		return true
	default:
	}
	if int(p.waiting.Add(1)) > p.placesNow() {
		p.waiting.Add(-1)
		p.reject(r)
		return false
	}
	defer p.waiting.Add(-1)
	select {
	case p.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// placesNow returns how many requests may wait now.
func (p *process) placesNow() int {
	if b := p.replica.brittle; b != nil && b.letsFewerWait(p.replica.t.now()) {
		return brittlePlaces
	}
	return p.replica.places
}

// reject records that a request was turned away for want of room, on which a brittle replica may fall over.
func (p *process) reject(r *http.Request) {
	p.replica.t.notef("%s turns %s away", p.replica.name, r.Header.Get("X-Attempt-Id"))
	b := p.replica.brittle
	if b == nil {
		return
	}
	now := p.replica.t.now()
	falls, counts := b.reject(rejection{now, p.replica.t.sentInTouch(r.Header.Get("X-Attempt-Id"), now)})
	if !falls {
		return
	}
	if counts {
		p.replica.countedFalls.Add(1)
	}
	p.replica.crash(fmt.Sprintf("it turned too many requests away, most of VMs in touch: %v", counts))
}

// stream answers with a stream of events.
func (p *process) stream(w http.ResponseWriter, r *http.Request) {
	model, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	known, ready := p.replica.adapters.has(adapter)
	if model != modelName || adapter != "" && !known {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if adapter != "" && !ready {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	control := http.NewResponseController(w)
	for n := 0; ; n++ {
		if p.replica.crashAt(r, n) {
			p.replica.crash(fmt.Sprintf("request %s after %d events", r.Header.Get("X-Attempt-Id"), n))
			return
		}
		if n == p.replica.events {
			return
		}
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: text %d\n\n", n+1, n+1)
		_ = control.Flush()
	}
}
