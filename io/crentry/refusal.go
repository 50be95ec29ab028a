package crentry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"camphorroad/core/crforward"
)

// Headers towards callers.
const (
	HeaderOutcome = "Camphorroad-Outcome"
	HeaderRequest = "Camphorroad-Request"
)

// refusal is a final answer that the entry gives itself.
type refusal struct {
	status  int
	reason  string
	retry   time.Duration
	outcome crforward.Outcome // zero: not run
	final   bool              // coming back unchanged will not help
	close   bool
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Retry   int    `json:"retry,omitempty"` // seconds
}

// refuse writes the refusal at once. Whole seconds are what Retry-After can
// say; rounding down would bring callers back before anything has changed.
func (e *Entry) refuse(w http.ResponseWriter, b *body, r *refusal) {
	outcome := r.outcome
	if outcome == 0 {
		outcome = crforward.OutcomeNotRun
	}
	e.count(outcome)
	body := refusalBody{Outcome: outcome.String(), Reason: r.reason}
	h := w.Header()
	if !r.final {
		body.Retry = max(1, int((r.retry+time.Second-1)/time.Second))
		h.Set("Retry-After", strconv.Itoa(body.Retry))
	}
	h.Set(HeaderOutcome, outcome.String())
	h.Set("Content-Type", "application/json")
	if r.status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if b.take(); r.close || !b.reusable() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(r.status)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *Entry) count(o crforward.Outcome) {
	switch o {
	case crforward.OutcomeAnswered:
		e.counters.Answered.Add(1)
	case crforward.OutcomeNotRun:
		e.counters.NotRun.Add(1)
	case crforward.OutcomeUnknown:
		e.counters.Unknown.Add(1)
	case crforward.OutcomeCut:
		e.counters.Cut.Add(1)
	}
}
