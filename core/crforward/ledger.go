package crforward

import (
	"sync"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// SessionID identifies a session between an entry and an exit. The entry draws
// it at random when it opens the session and sends it in its first message.
// Each revocation names the session over which the forward was sent.
type SessionID uint64

// LedgerParams limit a Ledger.
type LedgerParams struct {
	// MaxPending is the number of forwards that may wait for their start.
	MaxPending int
	// MaxFences is the number of revocations kept for forwards that have not
	// arrived.
	MaxFences int
	// MaxRecords is the number of records kept, those of ended forwards
	// included.
	MaxRecords int
	// Retention is the time for which the record of an ended forward is kept.
	// It must exceed [TrackerParams.RevokeWindow] of the entries by more than
	// the clocks drift apart in that time.
	Retention time.Duration
}

// DefaultLedgerParams suit a session of up to 800 forwards a second.
func DefaultLedgerParams() LedgerParams {
	return LedgerParams{MaxPending: 1024, MaxFences: 4096, MaxRecords: 65536, Retention: 75 * time.Second}
}

type state uint8

const (
	statePending state = iota + 1
	stateRunning
	stateFinished
	stateRefused
	stateFenced
)

type record struct {
	state    state
	class    crpolicy.Class
	deadline crid.Instant
	reason   Reason // only in stateRefused
}

// endedRecord is the time at which a forward ended. The entries of
// [Ledger.ended] are in the order of time.
type endedRecord struct {
	id crid.Request
	at crid.Instant
}

// disabledGuards disables single guards. Only tests set it, to show that each
// guard is needed.
type disabledGuards struct {
	dedup, fence, deadline, pause, session bool
}

// Ledger is the exit's record of the forwards of one session. Nothing starts at
// the upstream except through [Ledger.Start]. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	params   LedgerParams
	session  SessionID
	openedAt crid.Instant
	detector *PauseDetector
	records  map[crid.Request]record
	ended    []endedRecord
	pending  int
	running  int
	fences   int
	stale    bool
	draining bool
	closed   bool
	disabled disabledGuards
}

// NewLedger returns the Ledger of a session that was opened at openedAt, an
// instant before its first forward is read. The detector is that of the
// process; if it is nil, the caller reports pauses through
// [Ledger.RecordPause].
func NewLedger(params LedgerParams, session SessionID, openedAt crid.Instant, detector *PauseDetector) *Ledger {
	return &Ledger{
		params:   params,
		session:  session,
		openedAt: openedAt,
		detector: detector,
		records:  make(map[crid.Request]record),
	}
}

// Register adds a forward that has arrived and will wait for its start. The
// identifier names one attempt: a retry is a new forward with a new identifier.
// The error is a [*Refusal]; a forward refused here is never started, nor is a
// later copy of it. The deadline is on the exit's clock.
func (l *Ledger) Register(id crid.Request, class crpolicy.Class, arrived, deadline crid.Instant) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evictEnded(arrived)
	if err := l.checkRecorded(id); err != nil {
		return err
	}
	rec := record{state: statePending, class: class, deadline: deadline}
	if !l.addRecord(id, rec) {
		return &Refusal{reason: ReasonClosed}
	}
	l.pending++
	reason := l.blockReason(rec, arrived)
	if reason == 0 && l.pending > l.params.MaxPending {
		reason = ReasonFull
	}
	if reason != 0 {
		l.refuse(id, reason, arrived)
		return &Refusal{reason: reason}
	}
	return nil
}

// Start is the last check before the upstream is called. The caller reads the
// clock just before the call: with a reading from before a wait, a forward
// whose deadline passed during a pause of the process would run. At most one
// Start of an identifier succeeds. The error is a [*Refusal], and the forward
// is then never started.
func (l *Ledger) Start(id crid.Request, now crid.Instant) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec, ok := l.records[id]
	if !ok {
		return &Refusal{reason: ReasonUnregistered}
	}
	if rec.state != statePending && !l.disabled.dedup {
		return refusalOf(rec)
	}
	if reason := l.blockReason(rec, now); reason != 0 {
		l.refuse(id, reason, now)
		return &Refusal{reason: reason}
	}
	l.pending--
	l.running++
	rec.state = stateRunning
	l.records[id] = rec
	return nil
}

// Revoke prevents the start of a forward that was sent over the session sentOn.
// A forward that has not arrived yet is refused when it does.
func (l *Ledger) Revoke(id crid.Request, sentOn SessionID, now crid.Instant) RevokeResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A restarted exit has no record of what it ran before. If it accepted
	// revocations of forwards of an earlier session, it would report "fenced"
	// for a forward that had run.
	if sentOn != l.session && !l.disabled.session {
		return RevokeResultUnknown
	}
	l.evictEnded(now)
	rec, ok := l.records[id]
	if !ok {
		l.addFence(id)
		return RevokeResultFenced
	}
	switch rec.state {
	case stateRunning, stateFinished:
		return RevokeResultStarted
	case statePending:
		l.refuse(id, ReasonFenced, now)
	}
	return RevokeResultFenced
}

// Cancel refuses a pending forward that is given up. A running one must be
// cancelled at the upstream by the caller of Cancel. It reports whether the
// forward is certain never to start.
func (l *Ledger) Cancel(id crid.Request, now crid.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec, ok := l.records[id]
	if !ok {
		return false
	}
	if rec.state == statePending {
		l.refuse(id, ReasonCancelled, now)
		return true
	}
	return rec.state == stateRefused || rec.state == stateFenced
}

// Finish records that a running forward has ended, successfully or not. A
// pending forward is refused as cancelled; others are left as they are.
func (l *Ledger) Finish(id crid.Request, now crid.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.records[id]
	switch rec.state {
	case statePending:
		l.refuse(id, ReasonCancelled, now)
	case stateRunning:
		l.running--
		rec.state = stateFinished
		l.markEnded(id, rec, now)
	}
}

// RecordPause records that the process was paused. No forward starts any more
// over a session that was opened before now: during the pause forwards were in
// the process's buffers, and their remaining time would be counted only from
// its end.
func (l *Ledger) RecordPause(now crid.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale = l.stale || !now.Before(l.openedAt)
}

// Drain refuses pending and new forwards. Running ones may finish.
func (l *Ledger) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
}

// Close refuses all further starts.
func (l *Ledger) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// MustClose reports whether nothing can start over this session any more. The
// session must then be closed once the running forwards have finished.
func (l *Ledger) MustClose() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed || l.stale
}

// ShouldRenew reports whether the entry should send its next forwards over a
// new session: nothing can start any more, or three quarters of MaxRecords are
// in use. A session that reached MaxRecords under load would refuse every
// forward that was on its way.
func (l *Ledger) ShouldRenew() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed || l.stale || len(l.records) >= l.params.MaxRecords/4*3
}

// Dump is a Ledger's part of the state dump.
type Dump struct {
	Pending  int  `json:"pending"`
	Running  int  `json:"running"`
	Once     int  `json:"once"` // pending or running forwards of class once
	Records  int  `json:"records"`
	Fences   int  `json:"fences"`
	Stale    bool `json:"stale"`
	Draining bool `json:"draining"`
	Closed   bool `json:"closed"`
}

// Dump returns the counts and the flags of the Ledger.
func (l *Ledger) Dump() Dump {
	l.mu.Lock()
	defer l.mu.Unlock()
	once := 0
	for _, rec := range l.records {
		if rec.class == crpolicy.ClassOnce && (rec.state == statePending || rec.state == stateRunning) {
			once++
		}
	}
	return Dump{
		Pending:  l.pending,
		Running:  l.running,
		Once:     once,
		Records:  len(l.records),
		Fences:   l.fences,
		Stale:    l.stale,
		Draining: l.draining,
		Closed:   l.closed,
	}
}
