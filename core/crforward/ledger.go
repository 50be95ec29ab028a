package crforward

import (
	"sync"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// SessionID identifies one session between an entry and an exit. The entry draws
// it at random when it opens the session, tells it in its first message, and
// names with each revocation the session that the forward was sent over.
type SessionID uint64

// LedgerParams bound a Ledger.
type LedgerParams struct {
	// MaxPending is the number of forwards that may wait for their start.
	MaxPending int
	// MaxFences is the number of revocations remembered for forwards that have
	// not arrived.
	MaxFences int
	// MaxRecords is the number of forwards remembered, ended ones included.
	MaxRecords int
	// Retention is the time for which an ended forward is remembered. It must be
	// above the entries' [TrackerParams.Trust] by more than clocks drift in it.
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
	reason   Reason // of stateRefused
}

// ending tells when a record was ended; endings are kept in the order of time.
type ending struct {
	id crid.Request
	at crid.Instant
}

// switches turn single guards off. Only tests set them, to show that each guard
// is needed.
type switches struct {
	dedup, fence, deadline, pause, session bool
}

// Ledger is the exit's memory of the forwards of one session. Nothing starts at
// the upstream except through [Ledger.Start]. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	params   LedgerParams
	session  SessionID
	openedAt crid.Instant
	pulse    *PauseDetector
	records  map[crid.Request]record
	ended    []ending
	pending  int
	running  int
	fences   int
	stale    bool
	draining bool
	closed   bool
	off      switches
}

// NewLedger returns the Ledger of a session that was opened at openedAt, counted
// before its first forward is read. The pulse is the process's; with nil, the
// shell tells of pauses by [Ledger.RecordPause].
func NewLedger(params LedgerParams, session SessionID, openedAt crid.Instant, pulse *PauseDetector) *Ledger {
	return &Ledger{
		params:   params,
		session:  session,
		openedAt: openedAt,
		pulse:    pulse,
		records:  make(map[crid.Request]record),
	}
}

// Register registers a forward that has arrived and will wait for its start. The
// identifier names one attempt: a retry is a new forward with a new one. The
// error is a [*Refusal]; a forward refused here is never started, nor are later
// copies of it. The deadline is on the exit's clock.
func (l *Ledger) Register(id crid.Request, class crpolicy.Class, arrived, deadline crid.Instant) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(arrived)
	if err := l.known(id); err != nil {
		return err
	}
	rec := record{state: statePending, class: class, deadline: deadline}
	if !l.remember(id, rec) {
		return &Refusal{reason: ReasonClosed}
	}
	l.pending++
	reason := l.gate(rec, arrived)
	if reason == 0 && l.pending > l.params.MaxPending {
		reason = ReasonFull
	}
	if reason != 0 {
		l.refuse(id, reason, arrived)
		return &Refusal{reason: reason}
	}
	return nil
}

// Start is the last gate before the upstream is called. The caller reads the
// clock just before; a reading from before a wait would let work run whose
// deadline passed in a pause. At most one Start of an identifier succeeds. The
// error is a [*Refusal], and the forward is then never started.
func (l *Ledger) Start(id crid.Request, now crid.Instant) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec, ok := l.records[id]
	if !ok {
		return &Refusal{reason: ReasonUnregistered}
	}
	if rec.state != statePending && !l.off.dedup {
		return refusalOf(rec)
	}
	if reason := l.gate(rec, now); reason != 0 {
		l.refuse(id, reason, now)
		return &Refusal{reason: reason}
	}
	l.pending--
	l.running++
	rec.state = stateRunning
	l.records[id] = rec
	return nil
}

// Revoke asks that a forward sent over session sentOn be not started any more.
// A forward that has not arrived yet is refused when it comes.
func (l *Ledger) Revoke(id crid.Request, sentOn SessionID, now crid.Instant) RevokeResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	// An exit that restarted has forgotten what it ran in its earlier life. Were
	// it to take a forward of an old session for one that is still on its way, it
	// would vouch "never started" for one that ran.
	if sentOn != l.session && !l.off.session {
		return RevokeResultUnknown
	}
	l.expire(now)
	rec, ok := l.records[id]
	if !ok {
		l.fenceAhead(id)
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

// Cancel refuses a pending forward whose caller or entry went away; a started
// one is the shell's to cancel at the upstream. It reports whether the forward
// is now sure never to start.
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

// Finish tells that a started forward has ended, well or not. A pending one
// counts as cancelled; other forwards are left as they are.
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
		l.end(id, rec, now)
	}
}

// RecordPause tells that the process was found to have been paused. No forward of a
// session opened before now starts any more: while the process slept, forwards
// lay in its buffers, and their time would be counted only from the waking.
func (l *Ledger) RecordPause(now crid.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale = l.stale || !now.Before(l.openedAt)
}

// Drain refuses what is pending and what comes; what runs may finish.
func (l *Ledger) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
}

// Close lets nothing start any more.
func (l *Ledger) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// MustClose reports whether nothing can start over this session any more, so that
// the shell must close it once what runs has finished.
func (l *Ledger) MustClose() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed || l.stale
}

// ShouldRenew reports whether nothing can start any more, or the bound of records is
// near, so that the entry should send its next forwards over a new session. A
// session that reached the bound in full run would refuse all that was on its way.
func (l *Ledger) ShouldRenew() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed || l.stale || len(l.records) >= l.params.MaxRecords/4*3
}

// Dump is a Ledger's part of the state dump.
type Dump struct {
	Pending  int  `json:"pending"`
	Running  int  `json:"running"`
	Once     int  `json:"once"` // pending or running forwards that must run at most once
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
