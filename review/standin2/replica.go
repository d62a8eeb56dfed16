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

const (
	modelName = "base"
	// adapterCount is the number of adapters that the configuration names, a1 and so on.
	adapterCount = 3000
	adapterSlots = 8
	// adapterLoadTime is how long an adapter takes from the store, and warmLoadTime one that the replica held recently.
	adapterLoadTime = 250 * time.Millisecond
	warmLoadTime    = 25 * time.Millisecond
	// idleTime is how long a replica keeps an idle connection.
	idleTime = 15 * time.Second
	// reportAge is the age of what a report says.
	reportAge = 200 * time.Millisecond
)

// replica is a stand-in for a replica of a plain service or, if engine is set, for one of a model service.
type replica struct {
	id, service, address string
	engine               bool
	work                 time.Duration
	slots                chan struct{}
	server               *http.Server
	mu                   sync.Mutex
	born                 int64
	orders               int64
	adapters             map[string]time.Time
	held                 map[string]bool
	// received are all orders, in the order of their arrival.
	received []receivedOrder
	past     []engineState
}

// receivedOrder is an order as it arrived, and the status of its answer.
type receivedOrder struct {
	at      time.Time
	holder  string
	token   int64
	adapter string
	status  int
}

// engineState is what a report says, as of a moment.
type engineState struct {
	at       time.Time
	orders   int64
	adapters map[string]time.Time
}

// startReplica starts a replica, which registers in the store.
func startReplica(s *store, id, service string, engine bool, work time.Duration, slots int) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, service: service, address: l.Addr().String(), engine: engine, work: work, slots: make(chan struct{}, slots),
		born: time.Now().UnixMilli(), adapters: map[string]time.Time{}, held: map[string]bool{},
	}
	r.server = &http.Server{Handler: r, IdleTimeout: idleTime}
	go func() { _ = r.server.Serve(l) }()
	return r, r.publish(s, "ready")
}

// publish writes the replica's entry.
func (r *replica) publish(s *store, state string) error {
	r.mu.Lock()
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": "a", "version": "v1", "slots": cap(r.slots), "state": state, "coldRemainingMs": 0,
		"born": r.born, "sequence": r.orders,
	}
	r.mu.Unlock()
	if r.engine {
		entry["stage"] = "colocated"
		entry["models"] = []any{map[string]any{"name": modelName, "version": 1, "adapters": []string{}}}
	}
	_, err := s.put("servers/"+r.id, entry)
	return err
}

// leave reports that the replica drains, serves for the time, and ends.
func (r *replica) leave(s *store, serves time.Duration) error {
	if err := r.publish(s, "draining"); err != nil {
		return err
	}
	time.Sleep(serves)
	s.remove("servers/" + r.id)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := r.server.Shutdown(ctx); err != nil {
		return r.server.Close()
	}
	return nil
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleTime.Seconds())))
	if id := q.Header.Get("X-Attempt-Id"); id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.engine && q.URL.Path == "/v1/report":
		r.report(w)
	case r.engine && q.URL.Path == "/v1/order":
		r.order(w, q)
	case r.engine:
		r.stream(w, q)
	default:
		r.answer(w, q)
	}
}

// answer runs a request of a plain service.
func (r *replica) answer(w http.ResponseWriter, q *http.Request) {
	select {
	case r.slots <- struct{}{}:
	case <-q.Context().Done():
		return
	}
	defer func() { <-r.slots }()
	time.Sleep(r.work)
	w.Header().Set("X-Server-Seal", "seal-of-"+r.id)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(r.slots), cap(r.slots)))
	_, _ = fmt.Fprintf(w, "%s of %s ran %s\n", r.id, r.service, q.Header.Get("X-Attempt-Id"))
}

// state returns the state as of reportAge ago. The caller holds mu.
func (r *replica) state() engineState {
	out := engineState{}
	for _, p := range r.past {
		if time.Since(p.at) >= reportAge {
			out = p
		}
	}
	return out
}

// keep keeps the state for reports. The caller holds mu.
func (r *replica) keep() {
	copied := make(map[string]time.Time, len(r.adapters))
	for name, at := range r.adapters {
		copied[name] = at
	}
	r.past = append(r.past, engineState{time.Now(), r.orders, copied})
	if len(r.past) > 400 {
		r.past = r.past[200:]
	}
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state()
	loaded, coming := []string{}, []string{}
	for name, ready := range s.adapters {
		if time.Now().Add(-reportAge).After(ready) {
			loaded = append(loaded, name+"@1")
		} else {
			coming = append(coming, modelName+"/"+name+"@1")
		}
	}
	respond(w, map[string]any{
		"born": r.born, "stage": "colocated", "busy": false, "sequence": s.orders, "queued": 0, "running": len(r.slots), "kvUsed": 1000, "kvTotal": 182645,
		"handles": 0, "coming": coming, "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": loaded}},
	})
}

// exists reports whether the model has an adapter of that name.
func exists(adapter string) bool {
	n, err := strconv.Atoi(strings.TrimPrefix(adapter, "a"))
	return err == nil && strings.HasPrefix(adapter, "a") && n >= 1 && n <= adapterCount
}

// engineOrder is the body of an order.
type engineOrder struct {
	Operation, Model, Adapter, Holder string
	Expected                          *int64
	FencingToken                      int64
}

// order answers an order.
func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	var o engineOrder
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status := r.carryOut(o)
	r.received = append(r.received, receivedOrder{time.Now(), o.Holder, o.FencingToken, o.Adapter, status})
	w.WriteHeader(status)
}

// carryOut carries out an order, and returns the status of the answer. One for an adapter that the model doesn't have is answered 400: no such
// order exists. The caller holds mu.
func (r *replica) carryOut(o engineOrder) int {
	if o.Expected != nil && *o.Expected != r.orders {
		return http.StatusConflict
	}
	if o.Model != modelName || !exists(o.Adapter) {
		return http.StatusBadRequest
	}
	ready, known := r.adapters[o.Adapter]
	status := http.StatusAccepted
	switch {
	case o.Operation == "unload":
		delete(r.adapters, o.Adapter)
		status = http.StatusOK
	case known && time.Now().After(ready):
		return http.StatusOK
	case known:
		return status
	default:
		load := adapterLoadTime
		if r.held[o.Adapter] {
			load = warmLoadTime
		}
		r.adapters[o.Adapter], r.held[o.Adapter] = time.Now().Add(load), true
	}
	r.orders++
	r.keep()
	return status
}

// stream runs a request of a model service: a few events after the prompt was read.
func (r *replica) stream(w http.ResponseWriter, q *http.Request) {
	model, adapter, _ := strings.Cut(q.Header.Get("X-Model"), "/")
	r.mu.Lock()
	ready, known := r.adapters[adapter]
	r.mu.Unlock()
	if model != modelName || adapter != "" && !known {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if adapter != "" && time.Now().Before(ready) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.slots <- struct{}{}
	defer func() { <-r.slots }()
	w.Header().Set("X-Server-Seal", "seal-of-"+r.id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(r.work)
	for n := 1; n <= 5; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, r.id, q.Header.Get("X-Attempt-Id")); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
