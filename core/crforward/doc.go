// Package crforward implements the protocol by which an exit daemon runs each
// forward at most once, and by which the entry daemon determines whether it may
// report a request as not run.
//
// A request goes caller -> entry -> session -> exit -> upstream. The entry is
// the daemon that receives it, the exit is the daemon that serves its target,
// and the session (io/crpeer) is the connection between them. A forward is one
// attempt at sending a request to an exit. The exit (io/crexit) keeps one
// [Ledger] per session. Only the exit has a record of whether a forward was
// started, and [Ledger.Start] is the last check before the upstream is called.
// The entry (io/crentry) keeps one [Tracker] per request: it records what is
// known of each attempt, whether another attempt is allowed, and which [Outcome]
// to report. [RetryBudget] limits the load that retries add, and
// [PauseDetector] detects that the process was suspended.
//
// The clocks of the two daemons are never compared. A forward carries its
// remaining time, and the exit counts that time from the arrival. A forward
// that was delayed on its way is kept from starting by a revocation, by
// [PauseDetector] or by the end of the session.
//
// Requests from io/cringress to io/cregress do not use this package; their
// retries are limited for the whole fleet by core/crbudget.
//
// # Usage
//
// At the exit, with one PauseDetector per process:
//
//	ledger := crforward.NewLedger(crforward.DefaultLedgerParams(), session, now, detector)
//	if err := ledger.Register(id, class, arrived, deadline); err != nil {
//		return refuse(err) // Refusal.NotRun is whether it proves "not run"
//	}
//	defer ledger.Finish(id, clock.Now())
//	// ... wait for a slot ...
//	if err := ledger.Start(id, clock.Now()); err != nil { // clock read again
//		return refuse(err)
//	}
//	// call the upstream
//
// At the entry:
//
//	tracker := crforward.NewTracker(class, crforward.DefaultTrackerParams())
//	for {
//		n := tracker.Begin()
//		// tracker.Sent(n, now) before the first byte is written, and so on
//		if !tracker.MayRetry() || !budget.Take(now) {
//			return tracker.Outcome()
//		}
//	}
package crforward
