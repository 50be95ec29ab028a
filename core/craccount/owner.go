package craccount

import (
	"slices"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crmember"
	"camphorroad/core/crpolicy"
)

const (
	maxQueueTime   = 400 * time.Millisecond // an unmet request waits at most this long for tokens
	recallInterval = 200 * time.Millisecond // between two recalls for one share
	sweepInterval  = 10 * time.Second       // between two removals of idle shares
	maxEpochs      = 8                      // epochs kept, for shares that are not in use yet
)

type shareKey struct {
	account crid.Account
	share   int
}

// epoch is the period in which one list was active. It begins at a reading of the refill clock
// at which the list became active here, or might have become active elsewhere.
type epoch struct {
	rev      crid.Revision
	members  memberSet
	start    time.Duration
	handover bool // received in a handover, and not active here yet
}

// ownerRole is the state of the owner, which refills shares.
type ownerRole struct {
	refillClock    time.Duration // the time spent with a lease
	advancedTo     crid.Instant
	leaseHeldUntil crid.Instant // the last known instant with a lease
	lastGapAt      crid.Instant // the last known instant without a lease
	leaseLost      bool
	active         crid.Revision
	epochs         []epoch // oldest first; gaps between their leases last a lifetime at most
	shares         map[shareKey]*share
	busy           []shareKey // shares with grants or waiters
	isBusy         map[shareKey]bool
	limitChangedAt map[crid.Account]time.Duration // on the refill clock
	lastGrantID    uint64
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

// advance moves the refill clock forward by the time up to now that a lease covers. The lease of
// a process that was paused has expired when it resumes. If the pause counted, the tokens refilled
// for it would add to those of the daemon that took over the shares.
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

// handleLease begins a new epoch when the active list has changed, or when this daemon was
// without a lease for so long that another may have refilled its shares.
func (s *State) handleLease(ev crmember.Lease) {
	if len(ev.Members) > 0 && !slices.Equal(ev.Members, s.members.names) {
		s.members = newMemberSet(ev.Members)
		s.entry.invalidateSources()
	}
	leaseKept := s.now.Sub(s.owner.leaseHeldUntil) <= s.params.Lifetime
	leaseActive := ev.Active != 0 && s.now.Before(ev.Until)
	s.lease = ev
	s.lease.Members = nil
	s.lease.JointLists = nil
	if !leaseActive {
		s.handleHandover(ev, leaseKept)
		return
	}
	s.reportLeaseGained()
	s.owner.leaseHeldUntil = s.now
	if ev.Active != s.owner.active || !leaseKept {
		s.beginEpoch(ev, leaseKept)
	}
}

// beginEpoch drops the shares that another daemon may have refilled. A new owner refills
// nothing for one lifetime under a lease, so no daemon can have taken over in a gap that is
// not longer. After a longer gap, this daemon counts as a new owner as well.
func (s *State) beginEpoch(ev crmember.Lease, leaseKept bool) {
	if !leaseKept {
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

// dropUnowned drops the shares that this daemon does not own, or has owned only since now.
func (s *State) dropUnowned() {
	for key := range s.owner.shares {
		since, ok := s.ownedSince(key)
		if !ok || since == s.owner.refillClock {
			delete(s.owner.shares, key)
		}
	}
}

// RefillsAllShares reports whether this daemon refills all shares that it owns.
//
// During a rolling replacement, each new process waits a lifetime before it refills. If the
// next daemon were stopped within this time, an account could lose most of its shares at once
// and its callers would be refused within their rate. A daemon must therefore not be reported
// ready earlier.
func (s *State) RefillsAllShares() bool {
	if !s.hasLease() || len(s.owner.epochs) == 0 {
		return false
	}
	return s.owner.refillClock-s.owner.epochs[0].start >= s.params.ownerLifetime()
}

// activeMembers returns the list under which this daemon refills. State.members may be newer.
func (s *State) activeMembers() memberSet {
	if len(s.owner.epochs) == 0 {
		return memberSet{}
	}
	return s.owner.epochs[len(s.owner.epochs)-1].members
}

// ownedSince returns the reading of the refill clock since which this daemon has been the only
// owner of a share, or false when it does not own the share.
//
// The first epoch that counts must have lasted a lifetime, or be the current one. In a shorter
// epoch this daemon had not begun to refill, and the previous owner could have returned within
// a lifetime and kept its tokens: two daemons that swap a share quickly would both refill it.
// The time of a handover does not count either, since the previous owner refills during it.
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

// getOrCreateShare returns an owned share, refilled up to now, or nil when this daemon does not
// own it. A share without requests since this daemon became its owner would have filled from empty
// for all that time, so that creating it late makes no difference.
func (s *State) getOrCreateShare(key shareKey) *share {
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

// refillsFrom is the reading at which a share that this daemon owns since a given reading begins
// to refill. The previous owner's grants, up to the whole burst, can be spent for one more
// lifetime. Tokens refilled in that time would add to them.
func (s *State) refillsFrom(account crid.Account, since time.Duration) time.Duration {
	from := since
	if !s.params.mutations.noTakeoverDelay {
		from += s.params.ownerLifetime()
	}
	return max(from, s.owner.limitChangedAt[account])
}

// handleTokenRequest applies the usage that a request reports, and grants the available tokens.
func (s *State) handleTokenRequest(from crid.Daemon, req TokenRequest) {
	s.applyUsage(from, req.Usage)
	for _, item := range req.Items {
		key := shareKey{item.Account, item.Share}
		sh := s.grantableShare(key)
		if sh == nil || item.Want <= 0 {
			s.out.grant(from, req.Inc, req.Seq, GrantItem{Account: item.Account, Share: item.Share, Short: true})
			continue
		}
		sh.enqueue(waiter{from: from, inc: req.Inc, seq: req.Seq, want: item.Want, waitForRest: item.WaitForRest, until: s.now.Add(maxQueueTime)})
		sh.usedAt = s.now
		s.markBusy(key)
		s.grantToWaiters(key, sh)
	}
}

func (s *State) handleUsageReport(from crid.Daemon, report UsageReport) {
	s.applyUsage(from, report.Usage)
}

// grantableShare returns a share that this daemon may grant from now, or nil. It requires a
// lease, since a successor counts the lifetime of the last grant from the end of the lease.
func (s *State) grantableShare(key shareKey) *share {
	if !s.hasLease() {
		return nil
	}
	sh := s.getOrCreateShare(key)
	if sh == nil {
		s.reportLimited(EventNotOwner, "account", string(key.account))
	}
	return sh
}

func (s *State) applyUsage(from crid.Daemon, usage []GrantUsage) {
	for _, use := range usage {
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

// grantToWaiters divides the balance among the waiters. It recalls unused tokens when that is not
// enough.
func (s *State) grantToWaiters(key shareKey, sh *share) {
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
			s.owner.lastGrantID++
			item.ID = s.owner.lastGrantID
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

// recall sends a recall to each daemon that holds tokens of the share and does not wait for more.
// The daemon then returns the tokens that it does not need at once.
func (s *State) recall(key shareKey, sh *share) {
	if sh.recalledAt != 0 && s.now.Sub(sh.recalledAt) < recallInterval {
		return
	}
	skip := map[crid.Daemon]bool{}
	for _, w := range sh.waiters {
		skip[w.from] = w.want > 0
	}
	for i := range sh.grants {
		g := &sh.grants[i]
		if g.unspent() == 0 || skip[g.to] {
			continue
		}
		skip[g.to] = true
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
			s.grantToWaiters(key, sh)
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

// sweep drops shares that hold no more than a newly created one would. It also drops the time of
// a limit change once a whole burst could be refilled since.
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
