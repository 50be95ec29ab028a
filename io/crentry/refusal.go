package crentry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"camphorroad/core/crforward"
)

// Headers of responses to callers.
const (
	HeaderOutcome = "Camphorroad-Outcome"
	HeaderRequest = "Camphorroad-Request"
)

// refusal is a response that the entry generates itself.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	outcome    crforward.Outcome // zero: not run
	permanent  bool              // the same request would be refused again
	close      bool              // close the caller's connection after the response
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Outcome    string `json:"outcome"`
	Reason     string `json:"reason"`
	RetryAfter int    `json:"retry,omitempty"` // seconds
}

// refuse writes the refusal at once. Retry-After has whole seconds and is rounded up:
// rounded down, callers would retry too early.
func (e *Entry) refuse(w http.ResponseWriter, b *body, r *refusal) {
	outcome := r.outcome
	if outcome == 0 {
		outcome = crforward.OutcomeNotRun
	}
	e.countOutcome(outcome)
	body := refusalBody{Outcome: outcome.String(), Reason: r.reason}
	h := w.Header()
	if !r.permanent {
		body.RetryAfter = max(1, int((r.retryAfter+time.Second-1)/time.Second))
		h.Set("Retry-After", strconv.Itoa(body.RetryAfter))
	}
	h.Set(HeaderOutcome, outcome.String())
	h.Set("Content-Type", "application/json")
	if r.status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if b.discard(); r.close || !b.connReusable() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(r.status)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *Entry) countOutcome(o crforward.Outcome) {
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
