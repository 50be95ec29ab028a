package stand

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageItems = 500
	maxWait   = 30 * time.Second
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type change struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []change
	down     bool
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: make(map[string]item), changed: make(chan struct{})}
}

func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, change{Key: key, Value: value, Revision: it.Revision, Created: it.Created})
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown sets whether the store is down: it does nothing and answers 503.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		writeJSON(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			writeJSON(w, http.StatusNotFound, map[string]any{"current-rev": at})
			return
		}
		writeJSON(w, http.StatusOK, struct {
			item
			Current uint64 `json:"current-rev"`
		}{it, at})
	case "/kv-range":
		s.serveRange(w, q.Get("path-prefix"), q.Get("after"))
	case "/kv-watch":
		after, err := strconv.ParseUint(q.Get("after"), 10, 64)
		ms, waitErr := strconv.Atoi(q.Get("wait-ms"))
		if err != nil || waitErr != nil {
			writeJSON(w, http.StatusBadRequest, struct{}{})
			return
		}
		s.serveWatch(w, r, q.Get("path-prefix"), after, min(time.Duration(ms)*time.Millisecond, maxWait))
	default:
		writeJSON(w, http.StatusNotFound, struct{}{})
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var list []item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > pageItems
	if more {
		list = list[:pageItems]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": append([]item{}, list...), "has-more": more, "current-rev": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
				events = append(events, c)
			}
		}
		at, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler) // a waiting watch is cut
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current-rev": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current-rev": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
