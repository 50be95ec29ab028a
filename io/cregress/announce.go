package cregress

import (
	"strconv"

	"camphorroad/core/crid"
	"camphorroad/io/crdialect"
	"camphorroad/io/crlog"
)

// handleAnnouncements acts on what a response says of the target itself.
func (x *Exit) handleAnnouncements(now crid.Instant, info crdialect.ResponseInfo) {
	if !info.Limit.Unknown {
		before := x.gate.Limit()
		if x.gate.AnnounceLimit(now, info.Limit.Rate) {
			x.logLimit(before, "target")
		}
	}
}

// logLimit logs a change of the limit. One that merely varies is not logged.
func (x *Exit) logLimit(before float64, source string) {
	after := x.gate.Limit()
	if (before > 0) == (after > 0) {
		return
	}
	x.opts.Log.Event(crlog.TargetLimitChanged, crlog.Fields{
		"target": string(x.Target()), "before": formatRate(before), "limit": formatRate(after), "source": source,
	})
	x.opts.OnTargetChange()
}

func formatRate(rate float64) string { return strconv.FormatFloat(rate, 'f', 2, 64) }

// Announced describes what the target says of itself in its responses.
type Announced struct {
	Limit   float64 `json:"limit"`   // requests a second that it takes; zero: it names no limit
	Refused int64   `json:"refused"` // offers refused because of the limit
}

// Announced returns what the target says of itself.
func (x *Exit) Announced() Announced {
	return Announced{Limit: x.gate.Limit(), Refused: x.limitRefusals.Load()}
}
