package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems is the largest number of items in the response to a range read.
	pageItems = 500
	// storeDelay is the time that the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// watchPoll is how often a waiting watch looks for events.
	watchPoll = 10 * time.Millisecond
	// firstRevision is above 0, as the pages say.
	firstRevision = 100
)

// storeItem is an item of the store, or an event.
type storeItem struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"createdRev,omitempty"`
	Removed    bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	events   []storeItem
}

func newStore() *store { return &store{revision: firstRevision, items: map[string]storeItem{}} }

// put writes a value as JSON. Its return is the acknowledgement.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Value: raw, Revision: s.revision, CreatedRev: cmp.Or(s.items[key].CreatedRev, s.revision)}
	s.items[key] = item
	s.events = append(s.events, item)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/v1/kv-key":
		s.serveKey(w, q.Get("key"))
	case "/v1/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "/v1/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(min(wait, 30_000))*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	item, known := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		storeItem
		CurrentRev int64 `json:"currentRev"`
	}{item, revision})
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storeItem) int { return cmp.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	writeJSON(w, map[string]any{"items": items[:min(len(items), pageItems)], "hasMore": more, "currentRev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	end := time.Now().Add(wait)
	for {
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
			writeJSON(w, map[string]any{"events": events, "currentRev": revision})
			return
		}
		time.Sleep(watchPoll)
	}
}

func writeJSON(w http.ResponseWriter, value any) { _ = json.NewEncoder(w).Encode(value) }
