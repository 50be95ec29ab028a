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
	maxWait   = time.Minute
	poll      = 20 * time.Millisecond // at which a waiting watch looks for a lagging list
	pageSize  = 2000                  // instances a page
	pageBytes = 900_000               // of their JSON, to stay below the limit of an answer
	maxUpload = 256 << 20             // bytes of a published bundle
)

// Upload is a whole bundle as the operator's side publishes it.
type Upload struct {
	Manifest []byte   `json:"manifest"`
	Values   [][]byte `json:"values"`
}

// Published is the answer to a change from the operator's side.
type Published struct {
	Rev crid.Revision `json:"rev"`
}

// Handler serves the platform's protocol under /v1, and the operator's side
// under /lab, which is never counted and never fails.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/watch", p.faulty(func(c *Counts) { c.Watch++ }, p.serveWatch))
	mux.HandleFunc("GET /v1/value/{name...}", p.faulty(func(c *Counts) { c.Value++ }, p.serveValue))
	mux.HandleFunc("GET /v1/instances", p.faulty(func(c *Counts) { c.Instances++ }, p.serveInstances))
	mux.HandleFunc("GET /lab/counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, p.Counts()) })
	mux.HandleFunc("POST /lab/publish", p.servePublish)
	mux.HandleFunc("PUT /lab/instances", p.serveSetInstances)
	mux.HandleFunc("PUT /lab/fault", p.serveSetFault)
	return mux
}

// faulty counts a call and lets the current fault act on it.
func (p *Platform) faulty(add func(*Counts), next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.count(add)
		f := p.currentFault()
		switch f.Mode {
		case ModeAway:
			panic(http.ErrAbortHandler) // net/http cuts the connection
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
	ends := time.NewTimer(min(wait, maxWait))
	defer ends.Stop()
	for {
		s, changed := p.visible()
		switch p.currentFault().Mode {
		case ModeAway, ModeHang:
			panic(http.ErrAbortHandler) // going away also cuts those who wait
		}
		if s.head.Rev != crid.Revision(after) {
			reply(w, s.head)
			return
		}
		select {
		case <-changed:
		case <-time.After(poll):
		case <-ends.C:
			reply(w, s.head)
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
	s, _ := p.visible()
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
		if n := len(page.Instances); n == pageSize || (n > 0 && bytes > pageBytes) {
			page.Next = page.Instances[n-1].Daemon
			break
		}
		page.Instances = append(page.Instances, in)
	}
	reply(w, page)
}

func (p *Platform) servePublish(w http.ResponseWriter, r *http.Request) {
	var up Upload
	if !read(w, r, &up) {
		return
	}
	rev, err := p.Publish(up.Manifest, up.Values)
	if err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	reply(w, Published{Rev: rev})
}

func (p *Platform) serveSetInstances(w http.ResponseWriter, r *http.Request) {
	var instances []crinstance.Instance
	if !read(w, r, &instances) {
		return
	}
	reply(w, Published{Rev: p.SetInstances(instances)})
}

func (p *Platform) serveSetFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !read(w, r, &f) {
		return
	}
	p.SetFault(f)
	reply(w, f)
}

func read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxUpload)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a caller that left has no use for it
}
