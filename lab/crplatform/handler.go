package crplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"camphorroad/core/crconfig"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/io/crplatform"
)

const (
	maxWait      = time.Minute
	pollInterval = 20 * time.Millisecond // of a waiting watch, which is not notified when a delayed list becomes visible
	pageSize     = 2000                  // instances
	maxPageBytes = 900_000               // of the instances' JSON, below the client's limit of a response
	maxUpload    = 256 << 20             // bytes of a published bundle
)

// Upload is a bundle as published by an operator.
type Upload struct {
	Manifest []byte   `json:"manifest"`
	Values   [][]byte `json:"values"`
}

// Published is the response to an operator's change.
type Published struct {
	Rev crid.Revision `json:"rev"`
}

// Handler serves the platform's protocol under /v1 and the operator's endpoints under
// /lab. Requests under /lab are not counted, and faults do not apply to them.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/watch", p.withFault(func(c *Counts) { c.Watch++ }, p.serveWatch))
	mux.HandleFunc("GET /v1/value/{name...}", p.withFault(func(c *Counts) { c.Value++ }, p.serveValue))
	mux.HandleFunc("GET /v1/instances", p.withFault(func(c *Counts) { c.Instances++ }, p.serveInstances))
	mux.HandleFunc("GET /lab/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) })
	mux.HandleFunc("POST /lab/publish", p.servePublish)
	mux.HandleFunc("PUT /lab/instances", p.serveSetInstances)
	mux.HandleFunc("PUT /lab/fault", p.serveSetFault)
	return mux
}

// withFault counts a request and applies the current fault to it.
func (p *Platform) withFault(add func(*Counts), next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.count(add)
		f := p.currentFault()
		switch f.Mode {
		case ModeReset:
			panic(http.ErrAbortHandler) // net/http closes the connection
		case ModeHang:
			<-r.Context().Done()
			return
		case ModeSlow:
			select {
			case <-time.After(f.Delay):
			case <-r.Context().Done():
				return
			}
		}
		next(w, r)
	}
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, waitErr := time.ParseDuration(r.FormValue("wait"))
	if err != nil || waitErr != nil {
		http.Error(w, "give after=REVISION and wait=DURATION", http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(min(wait, maxWait))
	defer deadline.Stop()
	for {
		s, changed := p.current()
		switch p.currentFault().Mode {
		case ModeReset, ModeHang:
			panic(http.ErrAbortHandler) // the fault also ends waiting watches
		}
		if s.head.Rev != crid.Revision(after) {
			writeJSON(w, s.head)
			return
		}
		select {
		case <-changed:
		case <-time.After(pollInterval):
		case <-deadline.C:
			writeJSON(w, s.head)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	var digest crconfig.Digest
	if err := digest.UnmarshalText([]byte(r.FormValue("digest"))); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	data, ok := p.value(digest)
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	s, _ := p.current()
	after := crid.Daemon(r.FormValue("after"))
	page := crplatform.Page{Rev: s.head.List}
	bytes := 0
	for _, in := range s.instances {
		if in.Daemon <= after {
			continue
		}
		text, err := json.Marshal(in)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		bytes += len(text)
		if n := len(page.Instances); n == pageSize || (n > 0 && bytes > maxPageBytes) {
			page.Next = page.Instances[n-1].Daemon
			break
		}
		page.Instances = append(page.Instances, in)
	}
	writeJSON(w, page)
}

func (p *Platform) servePublish(w http.ResponseWriter, r *http.Request) {
	var up Upload
	if !readJSON(w, r, &up) {
		return
	}
	rev, err := p.Publish(up.Manifest, up.Values)
	if err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	writeJSON(w, Published{Rev: rev})
}

func (p *Platform) serveSetInstances(w http.ResponseWriter, r *http.Request) {
	var instances []crinstance.Instance
	if !readJSON(w, r, &instances) {
		return
	}
	writeJSON(w, Published{Rev: p.SetInstances(instances)})
}

func (p *Platform) serveSetFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !readJSON(w, r, &f) {
		return
	}
	p.SetFault(f)
	writeJSON(w, f)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxUpload)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the client has disconnected
}
