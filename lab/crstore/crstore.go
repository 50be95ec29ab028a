// Package crstore is a stand-in of the store on the users' platform: items under
// growing revisions, pages, watches with a bounded history, and the ways in which
// the store fails.
//
// # Usage
//
//	s := crstore.New()
//	server := httptest.NewServer(s)
//	s.Put("op/config", value)
//	s.Fail(crstore.Fault{Mode: crstore.Busy})
package crstore

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode is a way in which the store fails.
type Mode uint8

// The modes.
const (
	None    Mode = iota // answers
	Unavailable                // 503 to every call
	TooManyRequests                // 429 to every call
	Reset               // closes every connection without an answer
	Hang              // takes calls and never answers
	Slow                // answers after the delay
	ResetOnce             // loses the next answer and its connection
)

// Fault is how the store fails until the next one is set.
type Fault struct {
	Mode  Mode
	Delay time.Duration
	// Clients names the callers' addresses, without ports, that are concerned;
	// empty: all.
	Clients []string
}

// pageItems bounds a page of a range.
const pageItems = 50

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	first    uint64 // the oldest revision from which a watch can go on
	revision uint64
	deaf     bool
	fault    Fault
	changed  chan struct{}
	calls    int
}

// New returns an empty store.
func New() *Store {
	return &Store{items: make(map[string]item), revision: 1, first: 1, changed: make(chan struct{})}
}

// Put writes an item.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.note(it)
}

// Remove removes an item.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *Store) note(it item) {
	s.history = append(s.history, it)
	if !s.deaf {
		s.wake()
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// PauseWatches has waiting watches hear nothing of what follows.
func (s *Store) PauseWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = true
}

// Compact drops the history; waiting watches go on waiting, and each fresh one
// that asks for what is gone is told so.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.first = s.revision
	s.deaf = false
}

// SetFault sets how the store fails from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.refuse(w, r) {
		return
	}
	switch r.URL.Path {
	case "/kv-key":
		s.key(w, r)
	case "/kv-range":
		s.list(w, r)
	case "/kv-watch":
		s.watch(w, r)
	default:
		http.NotFound(w, r)
	}
}

// refuse plays the fault; it reports whether the call is over.
func (s *Store) refuse(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.calls++
	f := s.fault
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	if len(f.Clients) > 0 && !slices.Contains(f.Clients, host) {
		f = Fault{}
	}
	if f.Mode == ResetOnce {
		s.fault = Fault{}
	}
	s.mu.Unlock()
	switch f.Mode {
	case Unavailable:
		http.Error(w, "busy", http.StatusServiceUnavailable)
	case TooManyRequests:
		http.Error(w, "too many", http.StatusTooManyRequests)
	case Reset, ResetOnce:
		panic(http.ErrAbortHandler)
	case Hang:
		<-r.Context().Done()
	case Slow:
		time.Sleep(f.Delay)
		return false
	case None:
		return false
	}
	return true
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"error": "no such key", "current-rev": revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		Current uint64 `json:"current-rev"`
	}{it, revision})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]item, 0, len(s.items))
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("path-prefix")) && key > q.Get("after") {
			list = append(list, it)
		}
	}
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > pageItems
	answer(w, http.StatusOK, map[string]any{
		"items": list[:min(len(list), pageItems)], "has-more": more, "current-rev": s.revision,
	})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || err2 != nil || wait > 30000 {
		http.Error(w, "after or wait-ms", http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		events := s.since(after, q.Get("path-prefix"))
		lost := after < s.first
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if lost {
			answer(w, http.StatusGone, map[string]any{"error": "compacted"})
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			answer(w, http.StatusOK, map[string]any{"events": []item{}, "current-rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(after uint64, prefix string) []item {
	if s.deaf {
		return nil
	}
	var out []item
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			out = append(out, it)
		}
	}
	return out
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}
