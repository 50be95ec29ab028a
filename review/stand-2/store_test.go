package stand2

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// event is a change of the store.
type event struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address  string
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]event
	history  []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: make(map[string]event), changed: make(chan struct{})}
}

func (s *store) listen(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s.address, s.listener = address, l
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a value. It is acknowledged when put returns.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	e := event{Key: key, Value: base64.StdEncoding.EncodeToString(value), Revision: s.revision, Created: created}
	s.items[key] = e
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		respond(w, http.StatusNotFound, map[string]any{"current-rev": s.revision})
		return
	}
	respond(w, http.StatusOK, map[string]any{
		"key": e.Key, "value": e.Value, "revision": e.Revision, "created": e.Created, "lease": 0, "current-rev": s.revision,
	})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []event{}
	for key, e := range s.items {
		if strings.HasPrefix(key, q.Get("path-prefix")) && key > q.Get("after") {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	respond(w, http.StatusOK, map[string]any{"items": list, "has-more": false, "current-rev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		list := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("path-prefix")) {
				list = append(list, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": list, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			respond(w, http.StatusOK, map[string]any{"events": list, "current-rev": revision})
			return
		}
	}
}
