package craccount

import (
	"slices"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crmember"
	"camphorroad/core/crpolicy"
)

const (
	maxQueueTime   = 400 * time.Millisecond // an Ask that could not be met is remembered
	recallInterval = 200 * time.Millisecond // between two recalls for one share
	sweepInterval  = 10 * time.Second       // between two searches for idle shares
	maxEpochs      = 8                      // lists remembered for shares not yet asked for
)

type shareKey struct {
	account crid.Account
	share   int
}

// epoch is a time, on the minting clock, from which a list was active here, or
// from which it might have been active elsewhere.
type epoch struct {
	rev      crid.Revision
	members  memberSet
	start    time.Duration
	handover bool // never active here so far
}

// ownerRole is the minting role of a daemon.
type ownerRole struct {
	refillClock    time.Duration // minting clock: time spent with tenure, nothing else
	advancedTo     crid.Instant
	leaseHeldUntil crid.Instant // the last instant with tenure
	lastGapAt      crid.Instant // the last instant known to be without
	leaseLost      bool
	active         crid.Revision
	epochs         []epoch // with gaps in tenure of at most a lifetime, oldest first
	shares         map[shareKey]*share
	busy           []shareKey // shares with grants or waiters
	isBusy         map[shareKey]bool
	limitChangedAt map[crid.Account]time.Duration // when a limit last changed
	nextID         uint64
	sweptAt        crid.Instant
}

func newOwnerRole() ownerRole {
	return ownerRole{
		leaseLost:      true,
		shares:         map[shareKey]*share{},
		isBusy:         map[shareKey]bool{},
		limitChangedAt: map[crid.Account]time.Duration{},
	}
}

// advance moves the minting clock over the time up to now for which there was
// tenure. A process that was paused wakes with a tenure long run out; were the
// pause minted, its tokens would come on top of those that the daemon which
// took over has minted for the same time.
func (s *State) advance(now crid.Instant) {
	end := min(now, s.lease.Until)
	if s.params.mutations.refillWithoutLease && s.owner.active != 0 {
		end = now
	}
	if d := end.Sub(s.owner.advancedTo); d > 0 {
		s.owner.refillClock += d
		s.owner.leaseHeldUntil = end
	}
	if end.Before(now) {
		s.owner.lastGapAt = max(s.owner.lastGapAt, now)
	}
	s.owner.advancedTo = max(s.owner.advancedTo, now)
	s.now = max(s.now, now)
}

func (s *State) hasLease() bool {
	if s.params.mutations.refillWithoutLease {
		return s.owner.active != 0
	}
	return s.now.Before(s.lease.Until)
}

// handleLease begins a new epoch when the active list has changed, or when this
// daemon was without tenure for so long that another may have minted.
func (s *State) handleLease(ev crmember.Tenure) {
	if len(ev.Members) > 0 && !slices.Equal(ev.Members, s.members.names) {
		s.members = newMemberSet(ev.Members)
		s.entry.invalidateSources()
	}
	kept := s.now.Sub(s.owner.leaseHeldUntil) <= s.params.Lifetime
	acts := ev.Active != 0 && s.now.Before(ev.Until)
	s.lease = ev
	s.lease.Members = nil
	s.lease.Over = nil
	if !acts {
		s.handleHandover(ev, kept)
		return
	}
	s.reportLeaseGained()
	s.owner.leaseHeldUntil = s.now
	if ev.Active != s.owner.active || !kept {
		s.beginEpoch(ev, kept)
	}
}

// beginEpoch drops the shares that another daemon may have minted since. A new
// owner mints nothing for one lifetime of tenure, so after a gap no longer than
// that nobody can have taken over; after a longer one this daemon is new, too.
func (s *State) beginEpoch(ev crmember.Tenure, kept bool) {
	if !kept {
		s.owner.epochs = nil
	}
	s.owner.active = ev.Active
	s.addEpoch(epoch{rev: ev.Active, members: s.members, start: s.owner.refillClock})
	s.dropUnowned()
}

func (s *State) addEpoch(e epoch) {
	s.owner.epochs = append(s.owner.epochs, e)
	if len(s.owner.epochs) > maxEpochs {
		s.owner.epochs = slices.Delete(s.owner.epochs, 0, 1)
	}
}

func (s *State) dropUnowned() {
	for key := range s.owner.shares {
		since, ok := s.ownedSince(key)
		if !ok || since == s.owner.refillClock {
			delete(s.owner.shares, key)
		}
	}
}

// RefillsAllShares reports whether this daemon mints all shares that it owns.
//
// In a rolling replacement each new process waits out a lifetime before it
// mints. Were the next daemon stopped within it, an account could lose most of
// its shares at once, and its callers would be refused inside their rate; so a
// daemon is not to be called ready before.
func (s *State) RefillsAllShares() bool {
	if !s.hasLease() || len(s.owner.epochs) == 0 {
		return false
	}
	return s.owner.refillClock-s.owner.epochs[0].start >= s.params.ownerLifetime()
}

// activeMembers is the list under which this daemon mints; members may be newer.
func (s *State) activeMembers() memberSet {
	if len(s.owner.epochs) == 0 {
		return memberSet{}
	}
	return s.owner.epochs[len(s.owner.epochs)-1].members
}

// ownedSince returns the reading of the minting clock since which this daemon
// has been the share's only owner; false when it does not own it.
//
// The first epoch that counts must have lasted a lifetime, or be the present
// one. In a shorter one this daemon had not begun to mint, and the owner before
// it might have come back within a lifetime and kept its tokens: two daemons
// that swap a share quickly would both take it for theirs. Nor does a time count
// in which the list was handed over, for the owner before went on in it.
func (s *State) ownedSince(key shareKey) (time.Duration, bool) {
	limit := s.limits(key.account)
	count := s.params.shareCount(len(s.activeMembers().names), limit)
	last := len(s.owner.epochs) - 1
	first := last + 1
	for first > 0 {
		members := s.owner.epochs[first-1].members
		same := s.params.shareCount(len(members.names), limit) == count
		if !same || !s.owns(key, members, limit) {
			break
		}
		first--
	}
	if first > last {
		return 0, false
	}
	for !s.params.mutations.countShortEpochs && first < last && s.owner.epochs[first+1].start-s.owner.epochs[first].start < s.params.ownerLifetime() {
		first++
	}
	for !s.params.mutations.countHandovers && first <= last && s.owner.epochs[first].handover {
		first++
	}
	if first > last {
		return 0, false
	}
	return s.owner.epochs[first].start, true
}

func (s *State) owns(key shareKey, members memberSet, limit crpolicy.Account) bool {
	count := s.params.shareCount(len(members.names), limit)
	if key.share < 0 || key.share >= count {
		return false
	}
	owners := shareOwners(key.account, members, key.share+1)
	return owners[key.share] == s.self
}

// share returns an owned share, minted up to now; nil when not owned here. A
// share that nobody asked for since this daemon came to own it has grown from
// empty all that time, so that creating it late makes no difference.
func (s *State) share(key shareKey) *share {
	if sh, ok := s.owner.shares[key]; ok {
		sh.refill(s.owner.refillClock)
		return sh
	}
	limit := s.limits(key.account)
	since, ok := s.ownedSince(key)
	if !ok || limit.Burst < 1 {
		return nil
	}
	count := s.params.shareCount(len(s.activeMembers().names), limit)
	sh := &share{
		rate:       limit.Rate / float64(count),
		burst:      shareBurst(limit.Burst, key.share, count),
		refilledTo: s.refillsFrom(key.account, since),
		usedAt:     s.now,
	}
	s.owner.shares[key] = sh
	sh.refill(s.owner.refillClock)
	return sh
}

// refillsFrom is when a share that came to this daemon at since begins to fill.
// The grants of whoever owned it before can be spent for one lifetime more, up
// to the whole burst; minting at once would put new tokens beside them.
func (s *State) refillsFrom(account crid.Account, since time.Duration) time.Duration {
	from := since
	if !s.params.mutations.noTakeoverDelay {
		from += s.params.ownerLifetime()
	}
	return max(from, s.owner.limitChangedAt[account])
}

// handleTokenRequest settles the reports of an Ask and serves it as far as there are tokens.
func (s *State) handleTokenRequest(from crid.Daemon, ask TokenRequest) {
	s.applyUsage(from, ask.Usage)
	for _, item := range ask.Items {
		key := shareKey{item.Account, item.Share}
		sh := s.grantableShare(key)
		if sh == nil || item.Want <= 0 {
			s.out.grant(from, ask.Inc, ask.Seq, GrantItem{Account: item.Account, Share: item.Share, Short: true})
			continue
		}
		sh.enqueue(waiter{from: from, inc: ask.Inc, seq: ask.Seq, want: item.Want, waitForRest: item.WaitForRest, until: s.now.Add(maxQueueTime)})
		sh.usedAt = s.now
		s.markBusy(key)
		s.serve(key, sh)
	}
}

func (s *State) handleUsageReport(from crid.Daemon, ret UsageReport) { s.applyUsage(from, ret.Usage) }

// grantableShare returns the share when this daemon may grant from it now. Without
// tenure it may not: its successor counts the last grant from the end of that.
func (s *State) grantableShare(key shareKey) *share {
	if !s.hasLease() {
		return nil
	}
	sh := s.share(key)
	if sh == nil {
		s.reportLimited(EventNotOwner, "account", string(key.account))
	}
	return sh
}

func (s *State) applyUsage(from crid.Daemon, uses []GrantUsage) {
	for _, use := range uses {
		key := shareKey{use.Account, use.Share}
		sh, ok := s.owner.shares[key]
		if !ok || use.Inc != s.inc {
			continue
		}
		if !s.params.mutations.applyUsageFirst {
			sh.refill(s.owner.refillClock)
		}
		sh.expire(s.now)
		sh.applyUsage(from, use, func(spent []SpentTokens, reported int) {
			sh.credit(spent, reported, s.refillClockAt, s.params.mutations.creditTwice)
		})
	}
}

// serve divides what there is among those who wait, and recalls unused tokens
// when that is not enough.
func (s *State) serve(key shareKey, sh *share) {
	sh.expire(s.now)
	sh.prune(s.now)
	unmet := false
	for i, n := range sh.allocate() {
		w := &sh.waiters[i]
		w.want -= n
		short := w.want > 0
		unmet = unmet || short
		if n == 0 && w.notified {
			continue
		}
		w.notified = true
		item := GrantItem{Account: key.account, Share: key.share, Tokens: n, Short: short}
		if short {
			item.NextTokenMillis = int(sh.nextToken().Milliseconds())
			item.Contended = len(sh.waiters) > 1
		}
		if n > 0 {
			s.owner.nextID++
			item.ID = s.owner.nextID
			sh.grant(item.ID, w.from, n, s.now.Add(s.params.ownerLifetime()))
			item.Remaining = int(sh.balance)
		}
		s.out.grant(w.from, w.inc, w.seq, item)
	}
	if unmet {
		s.recall(key, sh)
	}
	sh.prune(s.now)
}

// recall asks those that hold tokens of the share, and want none, to give back
// what they do not need at once.
func (s *State) recall(key shareKey, sh *share) {
	if sh.recalledAt != 0 && s.now.Sub(sh.recalledAt) < recallInterval {
		return
	}
	asked := map[crid.Daemon]bool{}
	for _, w := range sh.waiters {
		asked[w.from] = w.want > 0
	}
	for i := range sh.grants {
		g := &sh.grants[i]
		if g.unspent() == 0 || asked[g.to] {
			continue
		}
		asked[g.to] = true
		sh.recalledAt = s.now
		s.out.grant(g.to, 0, 0, GrantItem{Account: key.account, Share: key.share, Recall: true})
	}
}

func (s *State) markBusy(key shareKey) {
	if !s.owner.isBusy[key] {
		s.owner.isBusy[key] = true
		s.owner.busy = append(s.owner.busy, key)
	}
}

func (s *State) tickOwner() {
	if !s.hasLease() {
		s.reportLeaseLost()
	}
	kept := s.owner.busy[:0]
	for _, key := range s.owner.busy {
		sh := s.owner.shares[key]
		if sh == nil {
			delete(s.owner.isBusy, key)
			continue
		}
		sh.refill(s.owner.refillClock)
		sh.expire(s.now)
		if s.hasLease() {
			s.serve(key, sh)
		}
		if len(sh.grants)+len(sh.waiters) == 0 {
			delete(s.owner.isBusy, key)
			continue
		}
		kept = append(kept, key)
	}
	s.owner.busy = kept
	s.sweep()
}

// sweep drops shares that hold no more than a new one would.
func (s *State) sweep() {
	if s.now.Sub(s.owner.sweptAt) < sweepInterval {
		return
	}
	s.owner.sweptAt = s.now
	for key, sh := range s.owner.shares {
		sh.refill(s.owner.refillClock)
		if sh.idle() && s.now.Sub(sh.usedAt) > s.params.IdleAfter {
			delete(s.owner.shares, key)
		}
	}
	for account, since := range s.owner.limitChangedAt {
		limit := s.limits(account)
		if (s.owner.refillClock-since).Seconds()*limit.Rate >= limit.Burst {
			delete(s.owner.limitChangedAt, account)
		}
	}
}
