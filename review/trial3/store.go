package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: it serves range reads and watches, and loses nothing.
type store struct {
	mu       sync.Mutex
	items    map[string]storeItem
	events   []storeItem
	revision int64
}

type storeItem struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"createdRev,omitempty"`
	Lease      int64  `json:"lease"`
	Removed    bool   `json:"removed,omitempty"`
}

func newStore() *store { return &store{items: map[string]storeItem{}, revision: 10} }

// put writes a key.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // All values are constant in shape.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Value: raw, Revision: s.revision, CreatedRev: s.revision}
	if old, known := s.items[key]; known {
		item.CreatedRev = old.CreatedRev
	}
	s.items[key] = item
	s.events = append(s.events, item)
}

// remove removes a key, if it is there.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.items[key]; !known {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, storeItem{Key: key, Revision: s.revision, Removed: true})
}

// view is the store as one VM sees it: with other addresses for some replicas, by the real ones.
type view struct {
	store     *store
	addresses map[string]string
}

// of returns the items as the VM sees them.
func (v view) of(items []storeItem) []storeItem {
	for i := range items {
		for from, to := range v.addresses {
			items[i].Value = bytes.ReplaceAll(items[i].Value, []byte(`"`+from+`"`), []byte(`"`+to+`"`))
		}
	}
	return items
}

// ServeHTTP serves the reading calls.
func (v view) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := v.store
	query := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/v1/kv-range":
		s.mu.Lock()
		items := []storeItem{}
		for key, item := range s.items {
			if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
				items = append(items, item)
			}
		}
		answer := map[string]any{"items": v.of(items), "hasMore": false, "currentRev": s.revision}
		s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(answer)
	case "/v1/kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		events, revision := s.watch(r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
		_ = json.NewEncoder(w).Encode(map[string]any{"events": v.of(events), "currentRev": revision})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// watch waits for events after a revision.
func (s *store) watch(r *http.Request, prefix string, after int64, wait time.Duration) ([]storeItem, int64) {
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		events := []storeItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision := s.revision
		s.mu.Unlock()
		if len(events) > 0 || time.Now().After(end) || r.Context().Err() != nil {
			return events, revision
		}
	}
}
