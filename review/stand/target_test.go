package stand

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	healthPath   = "/health"
	idleTimeout  = 10 * time.Second
	queuePerSlot = 4
)

// target is an application target. It is sound unless a field of targetOptions says otherwise.
type target struct {
	opts    targetOptions
	record  *record
	started time.Time
	slots   chan struct{}
	ln      net.Listener

	mu       sync.Mutex
	waiting  int
	ill      bool // its health page says that it is ill, although it is well
	garbling bool
	answers  int // since it began to garble
	spoiled  int // of these, those that were sent a second time
}

type targetOptions struct {
	id, service, address string
	slots                int
	work                 time.Duration
	warmup               time.Duration // time for which it is cold after its start
	extraShare           float64       // largest share of its answers that it sends a second time while it garbles
}

func startTarget(rec *record, opts targetOptions) (*target, error) {
	ln, err := net.Listen("tcp4", opts.address)
	if err != nil {
		return nil, err
	}
	t := &target{opts: opts, record: rec, started: time.Now(), slots: make(chan struct{}, opts.slots), ln: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go t.serve(c)
		}
	}()
	return t, nil
}

func (t *target) setIll(ill bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ill = ill
}

func (t *target) isIll() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ill
}

func (t *target) setGarbling(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.garbling, t.answers, t.spoiled = on, 0, 0
}

// serve handles the requests of a connection, one at a time.
func (t *target) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	var last []byte // the last answer to a request that ran
	var lastID string
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		health := r.Method == http.MethodGet && r.URL.Path == healthPath
		if last != nil && health && t.spoil() {
			t.record.add("target %s sends a second answer to %s, at the point where the next answer is expected", t.opts.id, lastID)
			if _, err := c.Write(last); err != nil {
				return
			}
		}
		last = nil
		if health {
			if !t.serveHealth(c) {
				return
			}
			continue
		}
		answer, ran := t.run(c, br, r, len(body))
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if ran {
			last, lastID = answer, r.Header.Get("Request-Id")
			t.mu.Lock()
			t.answers++
			t.mu.Unlock()
		}
	}
}

// spoil reports whether another answer may be sent a second time.
func (t *target) spoil() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.garbling || float64(t.spoiled+1) > t.opts.extraShare*float64(t.answers) {
		return false
	}
	t.spoiled++
	return true
}

func (t *target) serveHealth(c net.Conn) bool {
	select { // it waits for a slot like a request
	case t.slots <- struct{}{}:
	case <-time.After(idleTimeout):
		return false
	}
	time.Sleep(25 * time.Millisecond)
	<-t.slots
	status := "200 OK"
	if t.isIll() {
		status = "503 Service Unavailable"
	}
	t.record.add("target %s answers a health check with %s", t.opts.id, status)
	cold := max(t.opts.warmup-time.Since(t.started), 0)
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nInstance-Id: %s\r\nInstance-Load: %d,0,%d\r\nWarmup-Milliseconds: %d\r\nContent-Length: 0\r\n\r\n",
		status, t.opts.id, len(t.slots), t.opts.slots, cold.Milliseconds())
	return err == nil
}

func notExecuted(status int, id string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), id)
}

// run runs a request and returns its answer. It returns nil if the connection was closed meanwhile.
func (t *target) run(c net.Conn, br *bufio.Reader, r *http.Request, size int) (answer []byte, ran bool) {
	id := r.Header.Get("Request-Id")
	if id == "" {
		return notExecuted(http.StatusBadRequest, ""), false
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != t.opts.id {
		return notExecuted(http.StatusMisdirectedRequest, id), false
	}
	left := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Milliseconds")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	t.mu.Lock()
	full := t.waiting >= queuePerSlot*t.opts.slots
	if !full {
		t.waiting++
	}
	t.mu.Unlock()
	if full {
		return notExecuted(http.StatusServiceUnavailable, id), false
	}
	deadline := time.NewTimer(left)
	defer deadline.Stop()
	gone := closed(c, br)
	defer gone.stop()
	leave := func() {
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
	}
	select {
	case t.slots <- struct{}{}:
		leave()
	case <-deadline.C:
		leave()
		return notExecuted(http.StatusServiceUnavailable, id), false
	case <-gone.done:
		leave()
		return nil, false
	}
	defer func() { <-t.slots }()
	t.record.ran(t.opts.id, r, size)
	select {
	case <-time.After(t.opts.work):
	case <-deadline.C:
		return t.answer(http.StatusGatewayTimeout, id, nil), true
	case <-gone.done:
		return nil, true
	}
	return t.answer(http.StatusOK, id, []byte("done "+id+"\n")), true
}

func (t *target) answer(status int, id string, body []byte) []byte {
	seal := make([]byte, 8)
	_, _ = rand.Read(seal)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nKeep-Alive: timeout=10\r\nInstance-Load: %d,0,%d\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), id, hex.EncodeToString(seal), len(t.slots), t.opts.slots, len(body))
	b.Write(body)
	return b.Bytes()
}

// watcher waits for the close of a connection while a request runs.
type watcher struct {
	done   chan struct{}
	cancel context.CancelFunc
	ended  chan struct{}
	conn   net.Conn
}

func closed(c net.Conn, br *bufio.Reader) *watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watcher{done: make(chan struct{}), cancel: cancel, ended: make(chan struct{}), conn: c}
	go func() {
		defer close(w.ended)
		_, err := br.Peek(1)
		if err != nil && ctx.Err() == nil && !strings.Contains(err.Error(), "timeout") {
			close(w.done)
		}
	}()
	return w
}

func (w *watcher) stop() {
	w.cancel()
	_ = w.conn.SetReadDeadline(time.Now())
	<-w.ended
	_ = w.conn.SetReadDeadline(time.Time{})
}
