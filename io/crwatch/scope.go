package crwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/io/crclock"
	"camphorroad/io/crlog"
)

// scopeFollower follows one scope.
type scopeFollower struct {
	*Follower
	scope            Scope
	listed           bool
	listedAt         int           // Follower.compactions when the scope was listed
	progress         progress      // of the watches since the last list or change
	sentAt           crid.Instant  // when the last watch was sent
	wait             time.Duration // of the last watch
	verifiedAt       crid.Instant  // when the scope was last listed
	aligned          bool          // the last watch ended together with those of the other daemons
	restarted        bool          // the last watch was canceled to be sent again
	failingSince     crid.Instant  // zero: calls do not fail
	outageReported   bool          // the store was reported as unavailable
	detectedDirectly bool          // the reason was a failed call of this daemon itself, not a report of a reader
	backoff          time.Duration
}

// poll makes one call, a list or a watch, and applies its answer.
func (s *scopeFollower) poll(ctx context.Context) error {
	if !s.upToDate() {
		return s.list(ctx)
	}
	if s.opts.ReadsFirst() && s.shouldVerify() {
		return s.verify(ctx)
	}
	items, revision, err := s.watch(ctx)
	switch {
	case errors.Is(err, errInterrupted):
		return nil
	case errors.Is(err, ErrCompacted):
		s.relistScopes()
		return nil
	case err != nil:
		return err
	}
	s.recordSuccess()
	if revision == 0 {
		return nil
	}
	if len(items) == 0 {
		s.recordProgress(revision)
		s.advance(revision)
	} else {
		s.aligned = true
		s.progress.reset(s.opts.Clock(), revision)
		s.apply(items, revision, false)
	}
	s.setUnavailable(s.scope, false)
	return nil
}

// advance records that nothing changed up to a revision, so that a daemon that reads
// through this one can continue from there when it reads the store directly.
func (s *scopeFollower) advance(revision crid.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeItems(s.scope, nil, revision, false)
}

// recordProgress records an answer without changes. One that came before the wait was over
// was ended by changes of keys outside the scope, so that none were withheld.
func (s *scopeFollower) recordProgress(revision crid.Revision) {
	now := s.opts.Clock()
	if now.Sub(s.sentAt) < s.wait-earlyMargin {
		s.progress.reset(now, revision)
		return
	}
	s.progress.reach(now, revision, s.sentAt)
}

// errInterrupted means that a watch was canceled before its answer, and is not a failure.
var errInterrupted = errors.New("the watch was interrupted")

// watch waits for changes, or until it is canceled.
func (s *scopeFollower) watch(ctx context.Context) ([]Item, crid.Revision, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.wait = s.nextWait()
	if s.wait > minWait {
		s.mu.Lock()
		s.cancels[s.scope] = cancel
		s.mu.Unlock()
	}
	s.sentAt = s.opts.Clock()
	items, revision, err := s.opts.Store.Watch(ctx, s.scope, s.progress.after(s.sentAt), s.wait)
	cause := context.Cause(ctx)
	if err != nil && (errors.Is(cause, ErrCompacted) || errors.Is(cause, errRestarted)) {
		s.restarted = errors.Is(cause, errRestarted)
		return nil, 0, errInterrupted
	}
	return items, revision, err
}

// nextWait returns how long the next watch waits. A change ends the watches of all
// daemons at the same moment, and so does a restart. The waits are random, so that the
// daemons take turns again. The first wait after such a moment is short: if the store
// stops answering just then, all watches that follow are lost, and the one that times
// out first detects this for all daemons. That of the first reader is always short, since
// all others may draw a long one.
//
// While calls fail, a watch only checks whether the store answers again. A watch that
// is sent while the store does not answer gets no answer later either. With a long
// wait, this daemon would receive no change for seconds after the store has recovered,
// beyond the time within which a new configuration has to be in force.
func (s *scopeFollower) nextWait() time.Duration {
	if s.failingSince != 0 || s.restarted {
		s.restarted, s.aligned = false, true
		return minWait
	}
	meanWait := min(fleetWatchInterval*time.Duration(max(s.opts.ReaderCount(), 1)), maxWait*2/3)
	if s.aligned {
		s.aligned = false
		if s.opts.ReadsFirst() {
			return minWait + rand.N(firstWaitSpread)
		}
		return minWait + rand.N(max(meanWait-minWait, 1))
	}
	return meanWait/2 + rand.N(meanWait)
}

// relistScopes causes all scopes to be listed again. The pending watches of the
// other scopes may have missed changes from the same time; they would return these much
// later.
func (s *scopeFollower) relistScopes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactions++
	s.cancelWatches(ErrCompacted)
}

// upToDate reports whether the scope was listed after the last compaction.
func (s *scopeFollower) upToDate() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed && s.listedAt == s.compactions
}

func (s *scopeFollower) list(ctx context.Context) error {
	s.mu.Lock()
	compactions := s.compactions
	s.mu.Unlock()
	items, revision, err := s.opts.Store.List(ctx, s.scope)
	if err != nil {
		return err
	}
	s.recordSuccess()
	s.recordVerified()
	s.listed, s.listedAt, s.aligned = true, compactions, true
	s.progress.reset(s.opts.Clock(), revision)
	s.apply(items, revision, true)
	s.setUnavailable(s.scope, false)
	if revision == 0 {
		// The store returned no revision to watch from.
		s.listed = false
		return crclock.Sleep(ctx, minBackoff)
	}
	return nil
}

// shouldVerify reports whether the first reader lists the scope again.
func (s *scopeFollower) shouldVerify() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	interval := verifyInterval
	if s.verifyDue[s.scope] {
		interval = minVerifyInterval
	}
	return s.opts.Clock().Sub(s.verifiedAt) >= interval
}

// verify lists the scope, and applies the list if the watches have passed over a change.
func (s *scopeFollower) verify(ctx context.Context) error {
	items, revision, err := s.opts.Store.List(ctx, s.scope)
	if err != nil {
		return err
	}
	s.recordSuccess()
	s.recordVerified()
	if s.matches(items) && len(s.endedEvacuations(items, revision)) == 0 {
		return nil
	}
	s.opts.Log.Event(crlog.WatchMissedChange, crlog.Fields{"scope": s.scope.String(), "rev": formatRevision(revision)})
	s.progress.reset(s.opts.Clock(), revision)
	s.apply(items, revision, true)
	return nil
}

func (s *scopeFollower) recordVerified() {
	s.verifiedAt = s.opts.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verifyDue[s.scope] = false
}

// matches reports whether the copy has all items of a list up to the revision that the
// watches have reached. They still deliver later ones.
func (s *scopeFollower) matches(items []Item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, reached := s.values[s.scope], s.progress.last()
	return !slices.ContainsFunc(items, func(i Item) bool {
		return i.Revision <= reached && held[i.Key].Revision < i.Revision
	})
}

// apply stores items and emits their event. If complete is set, they are all items of
// the scope.
func (s *scopeFollower) apply(items []Item, revision crid.Revision, complete bool) {
	now := s.opts.Clock()
	if s.scope == Configuration {
		s.applyConfiguration(now, items, revision, complete)
		return
	}
	s.mu.Lock()
	s.storeItems(Records, items, revision, complete)
	s.mu.Unlock()
	changes := s.decodeChanges(items)
	if complete {
		s.opts.Emit(crmesh.RecordsListed{Now: now, Changes: changes, Revision: revision})
		return
	}
	s.opts.Emit(crmesh.RecordsChanged{Now: now, Changes: changes, Revision: revision})
}

// recordSuccess records an answer of the store. It does not make the scope available to
// peers; the caller does so after it has applied the answer. Before that, a peer would
// get a list without targets.
func (s *scopeFollower) recordSuccess() {
	sinceLast := s.recordAnswer()
	s.failingSince, s.backoff = 0, 0
	if !s.outageReported {
		return
	}
	s.outageReported, s.detectedDirectly = false, false
	s.opts.Log.Event(crlog.StoreRecovered, crlog.Fields{"scope": s.scope.String(), "quiet": roundToMillis(sinceLast)})
	s.emitAvailability(false, false)
}

// recordAnswer records the time of an answer, and returns the time since the previous
// one.
func (s *scopeFollower) recordAnswer() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock()
	sinceLast := now.Sub(s.lastRead[s.scope])
	s.lastRead[s.scope] = now
	return sinceLast
}

// handleFailure records a failed call, restarts the watches if it timed out, and waits for
// the backoff.
func (s *scopeFollower) handleFailure(ctx context.Context, err error) {
	s.failures.Add(1)
	now := s.opts.Clock()
	if s.failingSince == 0 {
		s.failingSince = now
	}
	timedOut := errors.Is(err, context.DeadlineExceeded)
	if timedOut {
		s.RestartWatches()
		s.backoff = 0 // the timeout itself has already limited the load on the store
	}
	if timedOut || now.Sub(s.failingSince) >= outageThreshold || errors.Is(err, ErrUnavailable) {
		s.reportOutage(err)
	}
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	_ = crclock.Sleep(ctx, s.backoff/2+rand.N(s.backoff/2+1)) // Run checks whether the context has ended
}

// reportOutage reports that the store cannot be read: once if the readers report it, and
// once more if this daemon's own calls fail.
func (s *scopeFollower) reportOutage(err error) {
	reportedByPeers := errors.Is(err, ErrUnavailable)
	if s.outageReported && (s.detectedDirectly || reportedByPeers) {
		return
	}
	s.outageReported, s.detectedDirectly = true, !reportedByPeers
	s.setUnavailable(s.scope, true)
	s.opts.Log.Event(crlog.StoreUnavailable, crlog.Fields{
		"scope": s.scope.String(), "error": err.Error(), "quiet": roundToMillis(s.SinceLastRead(s.scope)),
	})
	s.emitAvailability(true, reportedByPeers)
}

// emitAvailability emits an event when the records cannot be read from the store any
// more, and when they can be read again. If reportedByPeers is set, the readers that
// this daemon queries have reported the outage.
func (s *scopeFollower) emitAvailability(unavailable, reportedByPeers bool) {
	if s.scope != Records {
		return
	}
	now := s.opts.Clock()
	if unavailable {
		s.opts.Emit(crmesh.StoreUnavailable{Now: now, ReportedByPeers: reportedByPeers})
		return
	}
	s.opts.Emit(crmesh.StoreAvailable{Now: now})
}

func roundToMillis(d time.Duration) string { return d.Round(time.Millisecond).String() }
