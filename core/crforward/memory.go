package crforward

import "camphorroad/core/crid"

// gate returns why a pending forward must not start now, or 0.
func (l *Ledger) gate(rec record, now crid.Instant) Reason {
	if l.pulse != nil && l.pulse.PausedSince(l.openedAt, now) {
		l.stale = true
	}
	switch {
	case l.closed:
		return ReasonClosed
	case l.stale && !l.off.pause:
		return ReasonStale
	case l.draining:
		return ReasonDraining
	case !now.Before(rec.deadline) && !l.off.deadline:
		return ReasonExpired
	}
	return 0
}

// known returns the refusal of an identifier that is already on record.
func (l *Ledger) known(id crid.Request) error {
	rec, ok := l.records[id]
	if !ok {
		return nil
	}
	if rec.state == stateFenced && l.off.fence {
		l.fences--
		delete(l.records, id)
		return nil
	}
	if l.off.dedup {
		return nil
	}
	return refusalOf(rec)
}

func refusalOf(rec record) *Refusal {
	switch rec.state {
	case stateRefused:
		return &Refusal{reason: rec.reason}
	case stateFenced:
		return &Refusal{reason: ReasonFenced}
	default:
		return &Refusal{reason: ReasonDuplicate}
	}
}

// remember adds a record. At the bound the session is closed instead: a ledger
// that forgot early would take a copy of a finished forward for a new one, or
// vouch "never started" for one that ran.
func (l *Ledger) remember(id crid.Request, rec record) bool {
	if len(l.records) >= l.params.MaxRecords {
		l.closed = true
		return false
	}
	l.records[id] = rec
	return true
}

// fenceAhead remembers, for the session's life, the revocation of a forward that
// has not arrived. When there is no room the closed session is the fence.
func (l *Ledger) fenceAhead(id crid.Request) {
	if l.fences >= l.params.MaxFences {
		l.closed = true
		return
	}
	if l.remember(id, record{state: stateFenced}) {
		l.fences++
	}
}

// refuse ends a pending forward for good. The refusal is kept, since the entry
// takes it for a proof: a copy that came later must not start either.
func (l *Ledger) refuse(id crid.Request, reason Reason, now crid.Instant) {
	rec := l.records[id]
	rec.state = stateRefused
	rec.reason = reason
	l.pending--
	l.end(id, rec, now)
}

func (l *Ledger) end(id crid.Request, rec record, now crid.Instant) {
	l.records[id] = rec
	l.ended = append(l.ended, ending{id: id, at: now})
}

// expire forgets what ended longer ago than Retain. An entry that gets a verdict
// later than its Trust after sending the forward takes it for unknown, so that a
// verdict on a forgotten forward is never believed.
func (l *Ledger) expire(now crid.Instant) {
	n := 0
	for n < len(l.ended) && now.Sub(l.ended[n].at) > l.params.Retention {
		delete(l.records, l.ended[n].id)
		n++
	}
	l.ended = l.ended[n:]
}
