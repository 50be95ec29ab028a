// Package crstore implements a fake of the store on the users' platform: items with
// increasing revisions, paginated ranges, watches over a history that can be
// compacted, and injected faults. crstage, crsoak and the tests of platform and
// io/crmesh use it. The real store's client is in platform; lab/crplatform is the
// fake of the configuration service under /v1.
//
// # Usage
//
//	s := crstore.New()
//	server := httptest.NewServer(s)
//	s.Put("op/config", value)
//	s.SetFault(crstore.Fault{Mode: crstore.Unavailable})
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

// Mode is a kind of fault.
type Mode uint8

// The kinds of faults.
const (
	None            Mode = iota // no fault
	Unavailable                 // 503 to every request
	TooManyRequests             // 429 to every request
	Reset                       // closes every connection without a response
	Hang                        // accepts requests and never responds
	Slow                        // responds after Delay
	ResetOnce                   // closes the connection of the next request without a response, then no fault
)

// Fault is the store's fault until the next SetFault.
type Fault struct {
	Mode  Mode
	Delay time.Duration
	// Clients are the IP addresses to which the fault applies; empty: all.
	Clients []string
}

// pageSize is the maximum number of items in a page of a range.
const pageSize = 50

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// Store is the fake store. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	items     map[string]item
	history   []item
	compacted uint64 // a watch after an older revision gets 410
	revision  uint64
	paused    bool // events are withheld from watches
	fault     Fault
	changed   chan struct{}
	calls     int
}

// New returns an empty store.
func New() *Store {
	return &Store{items: make(map[string]item), revision: 1, compacted: 1, changed: make(chan struct{})}
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
	s.record(it)
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
	s.record(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *Store) record(it item) {
	s.history = append(s.history, it)
	if !s.paused {
		s.notify()
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// PauseWatches withholds all events from watches until Compact.
func (s *Store) PauseWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = true
}

// Compact drops the history and ends PauseWatches. It does not notify waiting watches;
// a new watch after an older revision gets 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
	s.paused = false
}

// SetFault replaces the fault; the zero Fault ends it.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of requests received, failed ones included.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.injectFault(w, r) {
		return
	}
	switch r.URL.Path {
	case "/kv-key":
		s.serveKey(w, r)
	case "/kv-range":
		s.serveRange(w, r)
	case "/kv-watch":
		s.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

// injectFault applies the fault and reports whether the request is finished.
func (s *Store) injectFault(w http.ResponseWriter, r *http.Request) bool {
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
		http.Error(w, "too many requests", http.StatusTooManyRequests)
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

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]any{"error": "no such key", "current-rev": revision})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		Current uint64 `json:"current-rev"`
	}{it, revision})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
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
	more := len(list) > pageSize
	writeJSON(w, http.StatusOK, map[string]any{
		"items": list[:min(len(list), pageSize)], "has-more": more, "current-rev": s.revision,
	})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || waitErr != nil || wait > 30000 {
		http.Error(w, "invalid after or wait-ms", http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		events := s.eventsSince(after, q.Get("path-prefix"))
		isCompacted := after < s.compacted
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if isCompacted {
			writeJSON(w, http.StatusGone, map[string]any{"error": "compacted"})
			return
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": []item{}, "current-rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsSince(after uint64, prefix string) []item {
	if s.paused {
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

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
