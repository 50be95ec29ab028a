package crforward

import "camphorroad/core/crid"

// blockReason returns why a pending forward must not start now, or 0.
func (l *Ledger) blockReason(rec record, now crid.Instant) Reason {
	if l.detector != nil && l.detector.PausedSince(l.openedAt, now) {
		l.stale = true
	}
	switch {
	case l.closed:
		return ReasonClosed
	case l.stale && !l.disabled.pause:
		return ReasonStale
	case l.draining:
		return ReasonDraining
	case !now.Before(rec.deadline) && !l.disabled.deadline:
		return ReasonExpired
	}
	return 0
}

// checkRecorded returns the refusal of an identifier that already has a record.
func (l *Ledger) checkRecorded(id crid.Request) error {
	rec, ok := l.records[id]
	if !ok {
		return nil
	}
	if rec.state == stateFenced && l.disabled.fence {
		l.fences--
		delete(l.records, id)
		return nil
	}
	if l.disabled.dedup {
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

// addRecord adds a record. At MaxRecords it closes the session instead: if
// records were evicted early, a copy of a finished forward would be accepted as
// new, or a revocation of a forward that ran would be answered with "fenced".
func (l *Ledger) addRecord(id crid.Request, rec record) bool {
	if len(l.records) >= l.params.MaxRecords {
		l.closed = true
		return false
	}
	l.records[id] = rec
	return true
}

// addFence keeps the revocation of a forward that has not arrived, until the
// session ends. At MaxFences it closes the session, and the forward is refused
// because of that.
func (l *Ledger) addFence(id crid.Request) {
	if l.fences >= l.params.MaxFences {
		l.closed = true
		return
	}
	if l.addRecord(id, record{state: stateFenced}) {
		l.fences++
	}
}

// refuse ends a pending forward permanently. The record is kept, since the entry
// treats the refusal as proof that the forward did not run: a copy that arrives
// later must not start either.
func (l *Ledger) refuse(id crid.Request, reason Reason, now crid.Instant) {
	rec := l.records[id]
	rec.state = stateRefused
	rec.reason = reason
	l.pending--
	l.markEnded(id, rec, now)
}

func (l *Ledger) markEnded(id crid.Request, rec record, now crid.Instant) {
	l.records[id] = rec
	l.ended = append(l.ended, endedRecord{id: id, at: now})
}

// evictEnded deletes the records that ended more than Retention ago. The entry
// ignores the result of a revocation that comes later than its RevokeWindow
// after sending the forward, so that no result about an evicted record counts.
func (l *Ledger) evictEnded(now crid.Instant) {
	n := 0
	for n < len(l.ended) && now.Sub(l.ended[n].at) > l.params.Retention {
		delete(l.records, l.ended[n].id)
		n++
	}
	l.ended = l.ended[n:]
}
