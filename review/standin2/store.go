package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historyTime is how long the store keeps its history, as the settings of the VMs say.
	historyTime = 20 * time.Second
	// maxPageItems and maxPageBytes bound a page of a range.
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// item is an entry of the store, or its removal.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"createdRev,omitempty"`
	Removed    bool   `json:"removed,omitempty"`

	at time.Time
}

// store is a stand-in for the platform's store: it loses nothing, and its answers are linearizable.
type store struct {
	address string

	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision int64
	// discarded is the newest revision that the history no longer has.
	discarded int64
	changed   chan struct{}
	// largestWatch is the size of the largest answer to a watch, and watchesAbove counts those above 4 MiB.
	largestWatch int
	watchesAbove int
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), items: map[string]item{}, revision: 10, changed: make(chan struct{})}
	v := view{store: s, seen: func(value []byte) []byte { return value }}
	go func() { _ = http.Serve(l, v.handler()) }()
	return s, nil
}

// view is how one VM sees the store.
type view struct {
	*store
	// seen returns a value as the VM sees it.
	seen func(value []byte) []byte
}

// serveView serves a view on an address of its own. A VM that is given it sees other addresses of replicas, where proxies listen.
func (s *store) serveView(addresses map[string]string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	v := view{store: s, seen: func(value []byte) []byte {
		for from, to := range addresses {
			value = bytes.ReplaceAll(value, []byte(from), []byte(to))
		}
		return value
	}}
	go func() { _ = http.Serve(l, v.handler()) }()
	return l.Addr().String(), nil
}

func (s view) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	return mux
}

// item returns an entry as the VM sees it.
func (s view) item(i item) item {
	i.Value = s.seen(i.Value)
	return i
}

// put writes an entry. The time of its return is that of the acknowledgement.
func (s *store) put(key string, value any) (size int, err error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, known := s.items[key]; known {
		created = old.CreatedRev
	}
	i := item{Key: key, Value: raw, Revision: s.revision, CreatedRev: created, at: time.Now()}
	s.items[key] = i
	s.append(i)
	return len(raw), nil
}

// remove removes an entry.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Removed: true, at: time.Now()})
}

// append adds to the history, and wakes what waits for it. The caller holds mu.
func (s *store) append(i item) {
	s.events = append(s.events, i)
	s.discard()
	close(s.changed)
	s.changed = make(chan struct{})
}

// discard drops what is older than historyTime from the history. The caller holds mu.
func (s *store) discard() {
	for len(s.events) > 0 && time.Since(s.events[0].at) > historyTime {
		s.discarded = s.events[0].Revision
		s.events = s.events[1:]
	}
}

func (s view) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, known := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, s.item(i))
}

func (s view) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var all []item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			all = append(all, s.item(i))
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(all, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	page, size := 0, 0
	for page < len(all) && page < maxPageItems && (page == 0 || size+len(all[page].Value) <= maxPageBytes) {
		size += len(all[page].Value)
		page++
	}
	respond(w, map[string]any{"items": all[:page], "hasMore": page < len(all), "currentRev": revision})
}

func (s view) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	prefix := r.URL.Query().Get("prefix")
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.discard()
		if after < s.discarded || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, s.item(e))
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		ended := false
		if len(events) == 0 && wait > 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				ended = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || wait == 0 || ended {
			s.countWatch(respond(w, map[string]any{"events": events, "currentRev": revision}))
			return
		}
	}
}

func (s *store) countWatch(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.largestWatch = max(s.largestWatch, size)
	if size > 4<<20 {
		s.watchesAbove++
	}
}

// respond writes a value as JSON and returns its size.
func respond(w http.ResponseWriter, value any) int {
	raw, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return 0
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw)
	return len(raw)
}
