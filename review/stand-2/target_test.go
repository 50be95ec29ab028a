package stand2

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// target is a stand-in of a target: it runs a request for the time that its path names,
// and answers with a body that only this request has.
type target struct {
	rec     *record
	id      string
	service string
	address string
	born    int64
	server  *http.Server
	running atomic.Int64
}

const targetSlots = 5

func newTarget(rec *record, id, service, address string) *target {
	return &target{rec: rec, id: id, service: service, address: address, born: time.Now().UnixMilli()}
}

func (t *target) listen() error {
	l, err := net.Listen("tcp4", t.address)
	if err != nil {
		return err
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	go func() { _ = t.server.Serve(l) }()
	return nil
}

func (t *target) close() { _ = t.server.Close() }

// entry is what the target registers in the store.
func (t *target) entry(zone string) []byte {
	data, err := json.Marshal(map[string]any{
		"address": t.address, "born": t.born,
		"information": map[string]any{"service": t.service, "version": "v1", "zone": zone, "slots": targetSlots},
		"status":      map[string]any{"state": "ready", "sequence": 1, "warmup-remaining-ms": 0},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// seal is the signature of a response.
func seal(id string, body []byte) string {
	return fmt.Sprintf("%x.%x", crc32.ChecksumIEEE([]byte(id)), crc32.ChecksumIEEE(body))
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", t.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	h.Set("Instance-Load", fmt.Sprintf("%d,0,%d", t.running.Load(), targetSlots))
	if id != "" {
		h.Set("Request-Id", id)
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != t.id {
		h.Set("Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if t.running.Add(1) > targetSlots {
		t.running.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.running.Add(-1)
	t.rec.ran(id, t.id, r.Method+" "+r.URL.Path, r.Header.Get("Tenant-Name"), r.Header.Get("Deadline-Milliseconds"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("work"))
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-r.Context().Done():
		t.rec.ended(id, t.id, "cut")
		return
	}
	out := []byte(fmt.Sprintf("done %s by %s, %d bytes\n", id, t.id, len(body)))
	h.Set("Response-Seal", seal(id, out))
	h.Set("Content-Length", strconv.Itoa(len(out)))
	t.rec.ended(id, t.id, "200")
	_, _ = w.Write(out)
}
