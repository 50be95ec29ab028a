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
	exhaustedInterval       = 50 * time.Millisecond  // between two notes that an account is exhausted
	recallKeepTime          = 100 * time.Millisecond // demand kept when an owner recalls
	spareTokenTime          = 10 * time.Second       // one spare token is held this long after a request
	maxPrefetchFraction     = 0.25                   // of the burst, that all entries together hold ahead of demand
	tokensPerOwner          = 8                      // tokens asked of one owner before the next is asked, too
	lowWatermark            = 0.6                    // ask again when below this part of the target
	contendedPrefetch       = 50 * time.Millisecond  // demand that tokens are held for while the owners are short
	contendedTime           = 500 * time.Millisecond // after an owner was short
	maxRetryAfter           = time.Minute
	neverExpires            = crid.Instant(math.MaxInt64)
	exhaustedReportInterval = 10 * time.Second // between two reports that an account is exhausted
	minPrefetch             = 0.5              // tokens of demand ahead below which none are held
)

// source is what an entry knows of one share's owner.
type source struct {
	owner       crid.Daemon
	requestedAt crid.Instant
	remaining   int // tokens that the owner had left when it answered
	remainingAt crid.Instant
	requested   int // asked for and not answered; zero: none
	shortUntil  crid.Instant
}

// account is an account in use at this daemon.
type account struct {
	name           crid.Account
	demand         float64 // requests a second
	recentRequests int     // requests since the last estimate
	coldRequests   int     // requests that wait for a first token
	held           int     // tokens in the wallet
	nextSource     int
	demandAt       crid.Instant
	usedAt         crid.Instant
	exhaustedAt    crid.Instant
	reportedAt     crid.Instant
	contendedUntil crid.Instant // an owner was short; little is held ahead until then
	noSpareUntil   crid.Instant // asks for no float until then
	sources        []source
	sourcesValid   bool
}

// pending is the number of tokens asked for and not answered.
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

// entryRole is the asking role of a daemon.
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

// invalidateSources has the owners of all accounts found anew.
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

// openAccount returns an account's state, made when there is room for it.
func (s *State) openAccount(name crid.Account) *account {
	if a, ok := s.entry.accounts[name]; ok {
		return a
	}
	if len(s.entry.accountOrder) >= s.params.MaxActive {
		s.forgetLeastRecent()
	}
	a := &account{name: name, demandAt: s.now, usedAt: s.now, nextSource: s.firstShare(name)}
	s.entry.accounts[name] = a
	s.entry.accountOrder = append(s.entry.accountOrder, name)
	return a
}

// firstShare spreads the daemons' first Asks over an account's shares.
func (s *State) firstShare(name crid.Account) int {
	return int(xxhash.Sum64String(string(s.self)+string(name)) % uint64(max(1, s.params.MaxShares)))
}

func (s *State) forgetLeastRecent() {
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

// resolveSources finds the owners of an account's shares under the list last known.
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

// handleUsage counts what requests did and asks for more where that is needed.
func (s *State) handleUsage(usage []UsageDelta) {
	var touched []*account
	for _, u := range usage {
		if u.Key != (GrantKey{}) {
			s.handleGrantUsage(u)
		}
		asked := u.Taken + u.Refused + u.Cold - u.TakenAfterWait
		if asked == 0 {
			continue
		}
		a := s.openAccount(u.Account)
		a.recentRequests += asked
		a.coldRequests += u.Cold
		a.usedAt = s.now
		touched = append(touched, a)
	}
	for _, a := range touched {
		s.requestMissing(a)
	}
}

// prefetchTime is the demand that an account holds tokens for. While the owners are
// short, what one entry holds prefetchTime another lacks for a request of this moment.
func (s *State) prefetchTime(a *account) time.Duration {
	if s.now.Before(a.contendedUntil) {
		return min(contendedPrefetch, s.params.PrefetchTime)
	}
	return s.params.PrefetchTime
}

// targetTokens is how many tokens an account should have at hand here.
func (s *State) targetTokens(a *account) int {
	if s.stopping {
		return 0
	}
	limit := s.limits(a.name)
	ahead := a.demand * s.prefetchTime(a).Seconds()
	if limit.Rate > 0 {
		ahead = min(ahead, a.demand*limit.Burst/limit.Rate*maxPrefetchFraction)
	}
	if ahead >= minPrefetch {
		return int(math.Min(math.Ceil(ahead), limit.Burst))
	}
	ample := limit.Burst >= 2*float64(len(s.members.names))
	recent := s.now.Sub(a.usedAt) < spareTokenTime
	if ample && recent && !s.now.Before(a.noSpareUntil) {
		return 1
	}
	return 0
}

// requestMissing asks the owners for what is missing. An owner that was short is left
// out for a while: it remembers the Ask and sends tokens as it mints them.
func (s *State) requestMissing(a *account) {
	s.resolveSources(a)
	pending := a.pending()
	var free []int
	for i := range a.sources {
		src := &a.sources[i]
		if src.requested == 0 && !s.now.Before(src.shortUntil) && s.canRequestFrom(src.owner) {
			free = append(free, i)
		}
	}
	target := s.targetTokens(a)
	at := a.held + pending
	need := target + a.coldRequests - at
	if need <= 0 || (a.coldRequests == 0 && float64(at) >= lowWatermark*float64(target)) {
		return
	}
	if len(free) == 0 {
		s.noteExhausted(a, pending)
		return
	}
	s.requestFromOwners(a, free, need, target > 0)
}

// requestFromOwners spreads an Ask over the free owners; a small one goes to a single
// owner, in turn.
func (s *State) requestFromOwners(a *account, free []int, need int, keep bool) {
	asked := min(len(free), (need+tokensPerOwner-1)/tokensPerOwner)
	part, rest := need/asked, need%asked
	order := s.fullestFirst(a, free)
	for k := range asked {
		share := order[k]
		want := part
		if k < rest {
			want++
		}
		s.requestFromShare(a, share, want, keep)
	}
	a.nextSource += asked
}

func (s *State) requestFromShare(a *account, share, want int, keep bool) {
	src := &a.sources[share]
	src.requested, src.requestedAt = want, s.now
	ask := s.out.requestTo(src.owner)
	ask.Items = append(ask.Items, TokenRequestItem{Account: a.name, Share: share, Want: want, WaitForRest: keep})
}

// fullestFirst orders the free owners by the tokens that they may have now. In
// turn, one share would be drained while another is full and mints in vain, and
// what is left would be the less when an owner is lost.
func (s *State) fullestFirst(a *account, free []int) []int {
	rate := s.limits(a.name).Rate / float64(len(a.sources))
	order := make([]int, 0, len(free))
	for k := range free {
		order = append(order, free[(a.nextSource+k)%len(free)])
	}
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Compare(a.sources[y].estimatedTokens(s.now, rate), a.sources[x].estimatedTokens(s.now, rate))
	})
	return order
}

// estimatedTokens is how many tokens an owner may have, by its last answer.
func (src *source) estimatedTokens(now crid.Instant, rate float64) float64 {
	return float64(src.remaining) + rate*now.Sub(src.remainingAt).Seconds()
}

// noteExhausted lets requests be refused at once, since no owner has a token.
func (s *State) noteExhausted(a *account, pending int) {
	if a.held > 0 || pending > 0 || (a.coldRequests == 0 && s.now.Sub(a.exhaustedAt) < exhaustedInterval) {
		return
	}
	a.exhaustedAt = s.now
	a.coldRequests = 0
	s.emit(Deposit{Account: a.name, ExhaustedUntil: s.exhaustedUntil(a), RetryAfter: s.retryAfter(a)})
	if a.reportedAt == 0 || s.now.Sub(a.reportedAt) >= exhaustedReportInterval {
		a.reportedAt = s.now
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

// retryAfter is the time in which the account's rate serves one second of the
// demand seen here, and one request more.
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

// updateDemand moves the demand estimate towards the updateDemand seen since the last one.
func (s *State) updateDemand(a *account) {
	dt := s.now.Sub(a.demandAt)
	if dt <= 0 {
		return
	}
	weight := 1 - math.Exp(-dt.Seconds()/s.params.DemandTimeConstant.Seconds())
	a.demand += weight * (float64(a.recentRequests)/dt.Seconds() - a.demand)
	a.recentRequests, a.demandAt = 0, s.now
}

// expireRequests gives up Asks without an answer: the message or the owner is lost,
// and the other owners are asked in its place.
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
