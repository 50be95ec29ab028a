// Package crforward holds the rules under which a forward between an entry
// daemon and an exit daemon runs at most once, and under which "not run" may be
// said of it.
//
// A request goes caller -> entry -> session -> exit -> upstream. The exit keeps
// one [Ledger] for each session: it alone knows whether a forward was started,
// and its [Ledger.Start] is the last gate before the upstream is called. The
// entry keeps one [Tracker] for each caller's request: it collects what is known
// of every attempt, says whether another may be made, and what is true to tell
// the caller. [RetryBudget] bounds how much retries add to the load, and [PauseDetector]
// notices that the process was frozen.
//
// The two sides' clocks are never compared. A forward carries the time that is
// left for it, and the exit counts that from the arrival; a forward that was
// late on its way is caught by a revocation, by [PauseDetector] or by the session's end.
//
// # Usage
//
// At the exit, with one Pulse for the process:
//
//	ledger := crforward.NewLedger(crforward.DefaultParams(), session, now, pulse)
//	if err := ledger.Offer(id, class, arrived, deadline); err != nil {
//		return refuse(err) // Refusal.NotRun says whether it proves "not run"
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
