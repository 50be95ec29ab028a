package craccount

import (
	"slices"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crmember"
	"camphorroad/core/crpolicy"
)

const (
	waitFor    = 400 * time.Millisecond // an Ask that could not be met is remembered
	recallGap  = 200 * time.Millisecond // between two recalls for one share
	sweepGap   = 10 * time.Second       // between two searches for idle shares
	maxHistory = 8                      // lists remembered for shares not yet asked for
)

type shareKey struct {
	account crid.Account
	share   int
}

// epoch is a time, on the minting clock, from which a list was active here, or
// from which it might have been active elsewhere.
type epoch struct {
	rev     crid.Revision
	members roster
	start   time.Duration
	bridged bool // never active here so far
}

// owner is the minting role of a daemon.
type owner struct {
	clock   time.Duration // minting clock: time spent with tenure, nothing else
	last    crid.Instant
	heldTo  crid.Instant // the last instant with tenure
	gapAt   crid.Instant // the last instant known to be without
	lapsed  bool
	active  crid.Revision
	epochs  []epoch // with gaps in tenure of at most a lifetime, oldest first
	shares  map[shareKey]*share
	busy    []shareKey // shares with grants or waiters
	isBusy  map[shareKey]bool
	since   map[crid.Account]time.Duration // when a limit last changed
	nextID  uint64
	sweptAt crid.Instant
}

func newOwner() owner {
	return owner{
		lapsed: true,
		shares: map[shareKey]*share{},
		isBusy: map[shareKey]bool{},
		since:  map[crid.Account]time.Duration{},
	}
}

// advance moves the minting clock over the time up to now for which there was
// tenure. A process that was paused wakes with a tenure long run out; were the
// pause minted, its tokens would come on top of those that the daemon which
// took over has minted for the same time.
func (s *State) advance(now crid.Instant) {
	end := min(now, s.tenure.Until)
	if s.params.flaws.mintAsleep && s.owner.active != 0 {
		end = now
	}
	if d := end.Sub(s.owner.last); d > 0 {
		s.owner.clock += d
		s.owner.heldTo = end
	}
	if end.Before(now) {
		s.owner.gapAt = max(s.owner.gapAt, now)
	}
	s.owner.last = max(s.owner.last, now)
	s.now = max(s.now, now)
}

func (s *State) hasTenure() bool {
	if s.params.flaws.mintAsleep {
		return s.owner.active != 0
	}
	return s.now.Before(s.tenure.Until)
}

// takeTenure begins a new epoch when the active list has changed, or when this
// daemon was without tenure for so long that another may have minted.
func (s *State) takeTenure(ev crmember.Lease) {
	if len(ev.Members) > 0 && !slices.Equal(ev.Members, s.members.names) {
		s.members = newRoster(ev.Members)
		s.entry.reroute()
	}
	kept := s.now.Sub(s.owner.heldTo) <= s.params.Lifetime
	acts := ev.Active != 0 && s.now.Before(ev.Until)
	s.tenure = ev
	s.tenure.Members = nil
	s.tenure.JointLists = nil
	if !acts {
		s.takeBridge(ev, kept)
		return
	}
	s.noteTenure()
	s.owner.heldTo = s.now
	if ev.Active != s.owner.active || !kept {
		s.beginEpoch(ev, kept)
	}
}

// beginEpoch drops the shares that another daemon may have minted since. A new
// owner mints nothing for one lifetime of tenure, so after a gap no longer than
// that nobody can have taken over; after a longer one this daemon is new, too.
func (s *State) beginEpoch(ev crmember.Lease, kept bool) {
	if !kept {
		s.owner.epochs = nil
	}
	s.owner.active = ev.Active
	s.addEpoch(epoch{rev: ev.Active, members: s.members, start: s.owner.clock})
	s.dropLost()
}

func (s *State) addEpoch(e epoch) {
	s.owner.epochs = append(s.owner.epochs, e)
	if len(s.owner.epochs) > maxHistory {
		s.owner.epochs = slices.Delete(s.owner.epochs, 0, 1)
	}
}

func (s *State) dropLost() {
	for key := range s.owner.shares {
		since, ok := s.ownedSince(key)
		if !ok || since == s.owner.clock {
			delete(s.owner.shares, key)
		}
	}
}

// Settled reports whether this daemon mints all shares that it owns.
//
// In a rolling replacement each new process waits out a lifetime before it
// mints. Were the next daemon stopped within it, an account could lose most of
// its shares at once, and its callers would be refused inside their rate; so a
// daemon is not to be called ready before.
func (s *State) Settled() bool {
	if !s.hasTenure() || len(s.owner.epochs) == 0 {
		return false
	}
	return s.owner.clock-s.owner.epochs[0].start >= s.params.ownerLifetime()
}

// minters is the list under which this daemon mints; members may be newer.
func (s *State) minters() roster {
	if len(s.owner.epochs) == 0 {
		return roster{}
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
	count := s.params.shareCount(len(s.minters().names), limit)
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
	for !s.params.flaws.shortEpochs && first < last && s.owner.epochs[first+1].start-s.owner.epochs[first].start < s.params.ownerLifetime() {
		first++
	}
	for !s.params.flaws.bridgeAll && first <= last && s.owner.epochs[first].bridged {
		first++
	}
	if first > last {
		return 0, false
	}
	return s.owner.epochs[first].start, true
}

func (s *State) owns(key shareKey, members roster, limit crpolicy.Account) bool {
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
		sh.mint(s.owner.clock)
		return sh
	}
	limit := s.limits(key.account)
	since, ok := s.ownedSince(key)
	if !ok || limit.Burst < 1 {
		return nil
	}
	count := s.params.shareCount(len(s.minters().names), limit)
	sh := &share{
		rate:   limit.Rate / float64(count),
		burst:  shareBurst(limit.Burst, key.share, count),
		minted: s.mintsFrom(key.account, since),
		usedAt: s.now,
	}
	s.owner.shares[key] = sh
	sh.mint(s.owner.clock)
	return sh
}

// mintsFrom is when a share that came to this daemon at since begins to fill.
// The grants of whoever owned it before can be spent for one lifetime more, up
// to the whole burst; minting at once would put new tokens beside them.
func (s *State) mintsFrom(account crid.Account, since time.Duration) time.Duration {
	from := since
	if !s.params.flaws.noPhantom {
		from += s.params.ownerLifetime()
	}
	return max(from, s.owner.since[account])
}

// takeAsk settles the reports of an Ask and serves it as far as there are tokens.
func (s *State) takeAsk(from crid.Daemon, ask Ask) {
	s.settle(from, ask.Uses)
	for _, item := range ask.Items {
		key := shareKey{item.Account, item.Share}
		sh := s.mayGrant(key)
		if sh == nil || item.Want <= 0 {
			s.out.grant(from, ask.Inc, ask.Seq, GrantItem{Account: item.Account, Share: item.Share, Short: true})
			continue
		}
		sh.wait(waiter{from: from, inc: ask.Inc, seq: ask.Seq, want: item.Want, keep: item.Keep, until: s.now.Add(waitFor)})
		sh.usedAt = s.now
		s.markBusy(key)
		s.serve(key, sh)
	}
}

func (s *State) takeReturn(from crid.Daemon, ret Return) { s.settle(from, ret.Uses) }

// mayGrant returns the share when this daemon may grant from it now. Without
// tenure it may not: its successor counts the last grant from the end of that.
func (s *State) mayGrant(key shareKey) *share {
	if !s.hasTenure() {
		return nil
	}
	sh := s.share(key)
	if sh == nil {
		s.reportSeldom(EventNotOwner, "account", string(key.account))
	}
	return sh
}

func (s *State) settle(from crid.Daemon, uses []Use) {
	for _, use := range uses {
		key := shareKey{use.Account, use.Share}
		sh, ok := s.owner.shares[key]
		if !ok || use.Inc != s.inc {
			continue
		}
		if !s.params.flaws.settleFirst {
			sh.mint(s.owner.clock)
		}
		sh.expire(s.now)
		sh.settle(from, use, func(spent []Spent, reported int) {
			sh.credit(spent, reported, s.reading, s.params.flaws.creditTwice)
		})
	}
}

// serve divides what there is among those who wait, and recalls unused tokens
// when that is not enough.
func (s *State) serve(key shareKey, sh *share) {
	sh.expire(s.now)
	sh.prune(s.now)
	unmet := false
	for i, n := range sh.allot() {
		w := &sh.waiters[i]
		w.want -= n
		short := w.want > 0
		unmet = unmet || short
		if n == 0 && w.silent {
			continue
		}
		w.silent = true
		item := GrantItem{Account: key.account, Share: key.share, Tokens: n, Short: short}
		if short {
			item.After = int(sh.nextToken().Milliseconds())
			item.Rivals = len(sh.waiters) > 1
		}
		if n > 0 {
			s.owner.nextID++
			item.ID = s.owner.nextID
			sh.grant(item.ID, w.from, n, s.now.Add(s.params.ownerLifetime()))
			item.Left = int(sh.balance)
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
	if sh.recalledAt != 0 && s.now.Sub(sh.recalledAt) < recallGap {
		return
	}
	asked := map[crid.Daemon]bool{}
	for _, w := range sh.waiters {
		asked[w.from] = w.want > 0
	}
	for i := range sh.grants {
		g := &sh.grants[i]
		if g.open() == 0 || asked[g.to] {
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
	if !s.hasTenure() {
		s.noteLapse()
	}
	kept := s.owner.busy[:0]
	for _, key := range s.owner.busy {
		sh := s.owner.shares[key]
		if sh == nil {
			delete(s.owner.isBusy, key)
			continue
		}
		sh.mint(s.owner.clock)
		sh.expire(s.now)
		if s.hasTenure() {
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
	if s.now.Sub(s.owner.sweptAt) < sweepGap {
		return
	}
	s.owner.sweptAt = s.now
	for key, sh := range s.owner.shares {
		sh.mint(s.owner.clock)
		if sh.idle() && s.now.Sub(sh.usedAt) > s.params.IdleAfter {
			delete(s.owner.shares, key)
		}
	}
	for account, since := range s.owner.since {
		limit := s.limits(account)
		if (s.owner.clock-since).Seconds()*limit.Rate >= limit.Burst {
			delete(s.owner.since, account)
		}
	}
}
