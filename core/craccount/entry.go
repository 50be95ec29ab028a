package craccount

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorroad/core/crid"
)

const (
	exhaustedInterval       = 50 * time.Millisecond  // between two notices to the pool that an account is exhausted
	recallKeepTime          = 100 * time.Millisecond // on a recall, tokens for the demand of this time are kept
	spareTokenTime          = 10 * time.Second       // one spare token is held for this time after a request
	maxPrefetchFraction     = 0.25                   // of the burst, prefetched by all entry daemons together at most
	tokensPerOwner          = 8                      // tokens requested from one owner before another gets a request as well
	lowWatermark            = 0.6                    // fraction of the target below which tokens are requested
	contendedPrefetch       = 50 * time.Millisecond  // replaces PrefetchTime while an account's owners are short
	contendedTime           = 500 * time.Millisecond // how long contendedPrefetch applies after an owner ran short
	maxRetryAfter           = time.Minute
	neverExpires            = crid.Instant(math.MaxInt64)
	exhaustedReportInterval = 10 * time.Second // between two events that report an account as exhausted
	minPrefetch             = 0.5              // tokens; below this none are prefetched
)

// source is an entry daemon's view of the owner of one share.
type source struct {
	owner       crid.Daemon
	requestedAt crid.Instant
	remaining   int // the owner's balance after its last answer
	remainingAt crid.Instant
	requested   int // tokens requested and not yet answered; zero: none
	shortUntil  crid.Instant
}

// account is the state of an account in use at this entry daemon.
type account struct {
	name                 crid.Account
	demand               float64 // requests per second
	recentRequests       int     // since demand was last updated
	coldRequests         int     // that wait for a first token
	held                 int     // tokens in the pool
	nextSource           int
	demandAt             crid.Instant
	usedAt               crid.Instant
	exhaustionNotedAt    crid.Instant // when the pool was last notified that the account is exhausted
	exhaustionReportedAt crid.Instant // when EventExhausted was last reported
	contendedUntil       crid.Instant // few tokens are prefetched until then, since an owner ran short
	noSpareUntil         crid.Instant // no spare token is requested until then
	sources              []source
	sourcesValid         bool
}

// pending is the number of tokens requested and not yet answered.
func (a *account) pending() int {
	n := 0
	for i := range a.sources {
		n += a.sources[i].requested
	}
	return n
}

type sentRequest struct {
	to crid.Daemon
	at crid.Instant
}

// entryRole is the state of the entry daemon, which requests tokens.
type entryRole struct {
	accounts        map[crid.Account]*account
	accountOrder    []crid.Account
	grants          map[GrantKey]*heldGrant
	grantOrder      []GrantKey
	deferred        []GrantKey
	usageReportedAt crid.Instant
	nextSeq         uint64
	oldestSeq       uint64
	sent            map[uint64]sentRequest
}

func newEntryRole() entryRole {
	return entryRole{
		accounts:  map[crid.Account]*account{},
		grants:    map[GrantKey]*heldGrant{},
		sent:      map[uint64]sentRequest{},
		nextSeq:   1,
		oldestSeq: 1,
	}
}

func (e *entryRole) accountNames() []crid.Account { return slices.Clone(e.accountOrder) }

// invalidateSources makes the next use of each account look up its owners again.
func (e *entryRole) invalidateSources() {
	for _, a := range e.accounts {
		a.sourcesValid = false
	}
}

func (e *entryRole) recordRequest(to crid.Daemon, now crid.Instant) uint64 {
	seq := e.nextSeq
	e.nextSeq++
	e.sent[seq] = sentRequest{to: to, at: now}
	return seq
}

// getOrCreateAccount returns an account's state. It creates a missing one, and drops the least
// recently used account when there are MaxActive of them.
func (s *State) getOrCreateAccount(name crid.Account) *account {
	if a, ok := s.entry.accounts[name]; ok {
		return a
	}
	if len(s.entry.accountOrder) >= s.params.MaxActive {
		s.forgetLeastRecentlyUsed()
	}
	a := &account{name: name, demandAt: s.now, usedAt: s.now, nextSource: s.firstShare(name)}
	s.entry.accounts[name] = a
	s.entry.accountOrder = append(s.entry.accountOrder, name)
	return a
}

// firstShare returns the share from which this daemon requests an account's first tokens. It
// differs between daemons, so that their first requests are spread over the shares.
func (s *State) firstShare(name crid.Account) int {
	return int(xxhash.Sum64String(string(s.self)+string(name)) % uint64(max(1, s.params.MaxShares)))
}

func (s *State) forgetLeastRecentlyUsed() {
	oldest := s.entry.accountOrder[0]
	for _, name := range s.entry.accountOrder {
		if s.entry.accounts[name].usedAt.Before(s.entry.accounts[oldest].usedAt) {
			oldest = name
		}
	}
	s.reportLimited(EventTooManyAccounts, "account", string(oldest))
	s.forgetAccount(oldest)
}

func (s *State) forgetAccount(name crid.Account) {
	delete(s.entry.accounts, name)
	i := slices.Index(s.entry.accountOrder, name)
	s.entry.accountOrder = slices.Delete(s.entry.accountOrder, i, i+1)
	s.emit(Forget{Account: name})
}

// resolveSources finds the owners of an account's shares under the last active list that was received.
func (s *State) resolveSources(a *account) {
	if a.sourcesValid {
		return
	}
	a.sourcesValid = true
	limit := s.limits(a.name)
	count := s.params.shareCount(len(s.members.names), limit)
	if len(s.members.names) == 0 || limit.Burst < 1 {
		a.sources = nil
		return
	}
	owners := shareOwners(a.name, s.members, count)
	sources := make([]source, count)
	for i, owner := range owners {
		sources[i].owner = owner
		if i < len(a.sources) && a.sources[i].owner == owner {
			sources[i] = a.sources[i]
		}
	}
	a.sources = sources
}

// handleUsage updates the counts of tokens and requests, and sends token requests where needed.
func (s *State) handleUsage(usage []UsageDelta) {
	var touched []*account
	for _, u := range usage {
		if u.Key != (GrantKey{}) {
			s.handleGrantUsage(u)
		}
		requests := u.Taken + u.Refused + u.Cold - u.TakenAfterWait
		if requests == 0 {
			continue
		}
		a := s.getOrCreateAccount(u.Account)
		a.recentRequests += requests
		a.coldRequests += u.Cold
		a.usedAt = s.now
		touched = append(touched, a)
	}
	for _, a := range touched {
		s.requestMissing(a)
	}
}

// prefetchTime is how far ahead of the demand tokens are held. It is reduced while the owners are
// short, since requests at other entry daemons may need the tokens at once.
func (s *State) prefetchTime(a *account) time.Duration {
	if s.now.Before(a.contendedUntil) {
		return min(contendedPrefetch, s.params.PrefetchTime)
	}
	return s.params.PrefetchTime
}

// targetTokens is the number of tokens that an account should hold at this entry daemon.
func (s *State) targetTokens(a *account) int {
	if s.stopping {
		return 0
	}
	limit := s.limits(a.name)
	prefetch := a.demand * s.prefetchTime(a).Seconds()
	if limit.Rate > 0 {
		prefetch = min(prefetch, a.demand*limit.Burst/limit.Rate*maxPrefetchFraction)
	}
	if prefetch >= minPrefetch {
		return int(math.Min(math.Ceil(prefetch), limit.Burst))
	}
	largeBurst := limit.Burst >= 2*float64(len(s.members.names))
	recent := s.now.Sub(a.usedAt) < spareTokenTime
	if largeBurst && recent && !s.now.Before(a.noSpareUntil) {
		return 1
	}
	return 0
}

// requestMissing requests the tokens that are missing. It skips an owner that ran short for a
// while: the owner keeps the request in a queue and sends tokens as they are refilled.
func (s *State) requestMissing(a *account) {
	s.resolveSources(a)
	pending := a.pending()
	var available []int
	for i := range a.sources {
		src := &a.sources[i]
		if src.requested == 0 && !s.now.Before(src.shortUntil) && s.canRequestFrom(src.owner) {
			available = append(available, i)
		}
	}
	target := s.targetTokens(a)
	expected := a.held + pending
	need := target + a.coldRequests - expected
	if need <= 0 || (a.coldRequests == 0 && float64(expected) >= lowWatermark*float64(target)) {
		return
	}
	if len(available) == 0 {
		s.noteExhausted(a, pending)
		return
	}
	s.requestFromOwners(a, available, need, target > 0)
}

// requestFromOwners spreads a request over the available owners. A small one goes to a
// single owner.
func (s *State) requestFromOwners(a *account, available []int, need int, waitForRest bool) {
	count := min(len(available), (need+tokensPerOwner-1)/tokensPerOwner)
	part, rest := need/count, need%count
	order := s.fullestFirst(a, available)
	for k := range count {
		share := order[k]
		want := part
		if k < rest {
			want++
		}
		s.requestFromShare(a, share, want, waitForRest)
	}
	a.nextSource += count
}

func (s *State) requestFromShare(a *account, share, want int, waitForRest bool) {
	src := &a.sources[share]
	src.requested, src.requestedAt = want, s.now
	req := s.out.requestTo(src.owner)
	req.Items = append(req.Items, TokenRequestItem{Account: a.name, Share: share, Want: want, WaitForRest: waitForRest})
}

// fullestFirst orders the available owners by their estimated balance, highest first. Plain
// round robin would drain one share while the refill of another overflows, and less would be
// left when an owner is lost.
func (s *State) fullestFirst(a *account, available []int) []int {
	rate := s.limits(a.name).Rate / float64(len(a.sources))
	order := make([]int, 0, len(available))
	for k := range available {
		order = append(order, available[(a.nextSource+k)%len(available)])
	}
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Compare(a.sources[y].estimatedTokens(s.now, rate), a.sources[x].estimatedTokens(s.now, rate))
	})
	return order
}

// estimatedTokens extrapolates an owner's balance from its last answer.
func (src *source) estimatedTokens(now crid.Instant, rate float64) float64 {
	return float64(src.remaining) + rate*now.Sub(src.remainingAt).Seconds()
}

// noteExhausted makes the pool refuse requests at once, since no owner has a token.
func (s *State) noteExhausted(a *account, pending int) {
	if a.held > 0 || pending > 0 || (a.coldRequests == 0 && s.now.Sub(a.exhaustionNotedAt) < exhaustedInterval) {
		return
	}
	a.exhaustionNotedAt = s.now
	a.coldRequests = 0
	s.emit(Deposit{Account: a.name, ExhaustedUntil: s.exhaustedUntil(a), RetryAfter: s.retryAfter(a)})
	if a.exhaustionReportedAt == 0 || s.now.Sub(a.exhaustionReportedAt) >= exhaustedReportInterval {
		a.exhaustionReportedAt = s.now
		s.report(EventExhausted, "account", string(a.name))
	}
}

// exhaustedUntil is when the first owner may have a token again.
func (s *State) exhaustedUntil(a *account) crid.Instant {
	until := s.now.Add(s.params.ShortBackoff)
	for i := range a.sources {
		if a.sources[i].shortUntil > s.now {
			until = min(until, a.sources[i].shortUntil)
		}
	}
	return until
}

// retryAfter is the time in which the account's rate covers one second of the demand at this
// daemon, and one more request.
func (s *State) retryAfter(a *account) time.Duration {
	limit := s.limits(a.name)
	if limit.Rate <= 0 {
		return maxRetryAfter
	}
	seconds := (1 + a.demand) / limit.Rate
	return min(maxRetryAfter, time.Duration(seconds*float64(time.Second)))
}

func (s *State) tickEntry() {
	for _, name := range s.entry.accountNames() {
		a := s.entry.accounts[name]
		s.updateDemand(a)
		s.expireRequests(a)
		if s.now.Sub(a.usedAt) > s.params.IdleAfter && a.held == 0 {
			s.forgetAccount(name)
			continue
		}
		s.requestMissing(a)
		if a.pending() == 0 {
			a.coldRequests = 0
		}
	}
	if s.now.Sub(s.entry.usageReportedAt) >= s.params.ReportInterval {
		s.entry.usageReportedAt = s.now
		s.reportDeferred("")
	}
	s.dropExpired()
}

// updateDemand moves the demand estimate towards the rate since the last update.
func (s *State) updateDemand(a *account) {
	dt := s.now.Sub(a.demandAt)
	if dt <= 0 {
		return
	}
	weight := 1 - math.Exp(-dt.Seconds()/s.params.DemandTimeConstant.Seconds())
	a.demand += weight * (float64(a.recentRequests)/dt.Seconds() - a.demand)
	a.recentRequests, a.demandAt = 0, s.now
}

// expireRequests abandons token requests without an answer. The message or the owner is lost,
// and requests go to the other owners instead.
func (s *State) expireRequests(a *account) {
	for i := range a.sources {
		src := &a.sources[i]
		if src.requested > 0 && s.now.Sub(src.requestedAt) >= s.params.RequestTimeout {
			src.requested = 0
			a.coldRequests = 0
			src.shortUntil = s.now.Add(s.params.ShortBackoff)
		}
	}
}
