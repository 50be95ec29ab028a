package cregress

import (
	"strconv"

	"camphorroad/core/crgate"
	"camphorroad/core/crid"
	"camphorroad/core/crregistry"
	"camphorroad/io/crdialect"
	"camphorroad/io/crlog"
)

// reasonLeaving is the reason of refusals once the target has said that it leaves.
const reasonLeaving = "leaving"

// targetProcess identifies one process of a target.
type targetProcess struct {
	target        crid.Target
	startedMillis int64
}

func processOf(r *crregistry.Record) targetProcess {
	return targetProcess{target: r.Target, startedMillis: r.StartedMillis}
}

// handleAnnouncements acts on what a response says of the target itself: the limit that it
// names, and whether it leaves. r is the target's record at the time of the request. A late
// response of a process that is gone has no effect.
func (x *Exit) handleAnnouncements(now crid.Instant, r crregistry.Record, info crdialect.ResponseInfo) {
	x.lifecycle.Lock()
	defer x.lifecycle.Unlock()
	if current := x.target.Load(); current == nil || processOf(current) != processOf(&r) {
		return
	}
	if !info.Limit.Unknown {
		before := x.gate.Limit()
		if x.gate.AnnounceLimit(now, info.Limit.Rate) {
			x.logLimit(before, "target")
		}
	}
	if info.Leaving {
		x.markLeaving(r)
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

// markLeaving refuses all requests until there is another process of the target. The caller holds
// x.lifecycle.
func (x *Exit) markLeaving(r crregistry.Record) {
	p := processOf(&r)
	if old := x.leaving.Load(); old != nil && *old == p {
		return
	}
	x.leaving.Store(&p)
	x.closeGate()
	x.opts.Log.Event(crlog.TargetLeaving, crlog.Fields{"target": string(r.Target)})
	x.opts.OnTargetChange()
}

// isLeaving reports whether the target has said that it leaves.
func (x *Exit) isLeaving(r *crregistry.Record) bool {
	p := x.leaving.Load()
	return p != nil && r != nil && *p == processOf(r)
}

// Announced describes what the target says of itself in its responses.
type Announced struct {
	Limit   float64 `json:"limit"` // requests a second that it takes; zero: it names no limit
	Leaving bool    `json:"leaving"`
	Refused int64   `json:"refused"` // offers refused while it named a limit
}

// Announced returns what the target says of itself.
func (x *Exit) Announced() Announced {
	return Announced{Limit: x.gate.Limit(), Leaving: x.isLeaving(x.target.Load()), Refused: x.limitRefusals.Load()}
}

// Shares returns the use of the target's slots by accounts above their shares.
func (x *Exit) Shares() crgate.Shares { return x.gate.Shares(x.opts.Clock()) }
