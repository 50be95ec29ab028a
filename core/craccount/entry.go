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
	dryGap      = 50 * time.Millisecond  // between two notes that an account is exhausted
	recallKeep  = 100 * time.Millisecond // demand kept when an owner recalls
	floatFor    = 10 * time.Second       // one spare token is held this long after a request
	aheadPart   = 0.25                   // of the burst, that all entries together hold ahead of demand
	askChunk    = 8                      // tokens asked of one owner before the next is asked, too
	refill      = 0.6                    // ask again when below this part of the target
	scarceAhead = 50 * time.Millisecond  // demand that tokens are held for while the owners are short
	scarceFor   = 500 * time.Millisecond // after an owner was short
	maxRetry    = time.Minute
	voidNever   = crid.Instant(math.MaxInt64)
	warnDryGap  = 10 * time.Second // between two reports that an account is exhausted
	minPlanning = 0.5              // tokens of demand ahead below which none are held
)

// source is what an entry knows of one share's owner.
type source struct {
	owner      crid.Daemon
	askedAt    crid.Instant
	left       int // tokens that the owner had left when it answered
	leftAt     crid.Instant
	want       int // asked for and not answered; zero: none
	shortUntil crid.Instant
}

// account is an account in use at this daemon.
type account struct {
	name      crid.Account
	demand    float64 // requests a second
	recent    int     // requests since the last estimate
	cold      int     // requests that wait for a first token
	held      int     // tokens in the wallet
	rotate    int
	ratedAt   crid.Instant
	usedAt    crid.Instant
	dryAt     crid.Instant
	warnedAt  crid.Instant
	scarce    crid.Instant // an owner was short; little is held ahead until then
	recalled  crid.Instant // asks for no float until then
	sources   []source
	sourcesOK bool
}

// pending is the number of tokens asked for and not answered.
func (a *account) pending() int {
	n := 0
	for i := range a.sources {
		n += a.sources[i].want
	}
	return n
}

type sentAsk struct {
	to crid.Daemon
	at crid.Instant
}

// entry is the asking role of a daemon.
type entry struct {
	accounts map[crid.Account]*account
	order    []crid.Account
	lots     map[GrantKey]*lot
	lotOrder []GrantKey
	unsaid   []GrantKey
	saidAt   crid.Instant
	nextSeq  uint64
	oldSeq   uint64
	sent     map[uint64]sentAsk
}

func newEntry() entry {
	return entry{
		accounts: map[crid.Account]*account{},
		lots:     map[GrantKey]*lot{},
		sent:     map[uint64]sentAsk{},
		nextSeq:  1,
		oldSeq:   1,
	}
}

func (e *entry) names() []crid.Account { return slices.Clone(e.order) }

// reroute has the owners of all accounts found anew.
func (e *entry) reroute() {
	for _, a := range e.accounts {
		a.sourcesOK = false
	}
}

func (e *entry) sendSeq(to crid.Daemon, now crid.Instant) uint64 {
	seq := e.nextSeq
	e.nextSeq++
	e.sent[seq] = sentAsk{to: to, at: now}
	return seq
}

// open returns an account's state, made when there is room for it.
func (s *State) open(name crid.Account) *account {
	if a, ok := s.entry.accounts[name]; ok {
		return a
	}
	if len(s.entry.order) >= s.params.MaxActive {
		s.forgetOldest()
	}
	a := &account{name: name, ratedAt: s.now, usedAt: s.now, rotate: s.firstShare(name)}
	s.entry.accounts[name] = a
	s.entry.order = append(s.entry.order, name)
	return a
}

// firstShare spreads the daemons' first Asks over an account's shares.
func (s *State) firstShare(name crid.Account) int {
	return int(xxhash.Sum64String(string(s.self)+string(name)) % uint64(max(1, s.params.Shares)))
}

func (s *State) forgetOldest() {
	oldest := s.entry.order[0]
	for _, name := range s.entry.order {
		if s.entry.accounts[name].usedAt.Before(s.entry.accounts[oldest].usedAt) {
			oldest = name
		}
	}
	s.reportSeldom(EventTooMany, "account", string(oldest))
	s.forget(oldest)
}

func (s *State) forget(name crid.Account) {
	delete(s.entry.accounts, name)
	i := slices.Index(s.entry.order, name)
	s.entry.order = slices.Delete(s.entry.order, i, i+1)
	s.emit(Forget{Account: name})
}

// route finds the owners of an account's shares under the list last known.
func (s *State) route(a *account) {
	if a.sourcesOK {
		return
	}
	a.sourcesOK = true
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

// takeUsage counts what requests did and asks for more where that is needed.
func (s *State) takeUsage(usage []Usage) {
	var touched []*account
	for _, u := range usage {
		if u.Key != (GrantKey{}) {
			s.takeLotUsage(u)
		}
		asked := u.Taken + u.Refused + u.Cold - u.Again
		if asked == 0 {
			continue
		}
		a := s.open(u.Account)
		a.recent += asked
		a.cold += u.Cold
		a.usedAt = s.now
		touched = append(touched, a)
	}
	for _, a := range touched {
		s.plan(a)
	}
}

// ahead is the demand that an account holds tokens for. While the owners are
// short, what one entry holds ahead another lacks for a request of this moment.
func (s *State) ahead(a *account) time.Duration {
	if s.now.Before(a.scarce) {
		return min(scarceAhead, s.params.Ahead)
	}
	return s.params.Ahead
}

// target is how many tokens an account should have at hand here.
func (s *State) target(a *account) int {
	if s.stopping {
		return 0
	}
	limit := s.limits(a.name)
	ahead := a.demand * s.ahead(a).Seconds()
	if limit.Rate > 0 {
		ahead = min(ahead, a.demand*limit.Burst/limit.Rate*aheadPart)
	}
	if ahead >= minPlanning {
		return int(math.Min(math.Ceil(ahead), limit.Burst))
	}
	ample := limit.Burst >= 2*float64(len(s.members.names))
	recent := s.now.Sub(a.usedAt) < floatFor
	if ample && recent && !s.now.Before(a.recalled) {
		return 1
	}
	return 0
}

// plan asks the owners for what is missing. An owner that was short is left
// out for a while: it remembers the Ask and sends tokens as it mints them.
func (s *State) plan(a *account) {
	s.route(a)
	pending := a.pending()
	var free []int
	for i := range a.sources {
		src := &a.sources[i]
		if src.want == 0 && !s.now.Before(src.shortUntil) && s.askable(src.owner) {
			free = append(free, i)
		}
	}
	target := s.target(a)
	at := a.held + pending
	need := target + a.cold - at
	if need <= 0 || (a.cold == 0 && float64(at) >= refill*float64(target)) {
		return
	}
	if len(free) == 0 {
		s.noteDry(a, pending)
		return
	}
	s.askOwners(a, free, need, target > 0)
}

// askOwners spreads an Ask over the free owners; a small one goes to a single
// owner, in turn.
func (s *State) askOwners(a *account, free []int, need int, keep bool) {
	asked := min(len(free), (need+askChunk-1)/askChunk)
	part, rest := need/asked, need%asked
	order := s.fullestFirst(a, free)
	for k := range asked {
		share := order[k]
		want := part
		if k < rest {
			want++
		}
		s.askShare(a, share, want, keep)
	}
	a.rotate += asked
}

func (s *State) askShare(a *account, share, want int, keep bool) {
	src := &a.sources[share]
	src.want, src.askedAt = want, s.now
	ask := s.out.askFor(src.owner)
	ask.Items = append(ask.Items, AskItem{Account: a.name, Share: share, Want: want, Keep: keep})
}

// fullestFirst orders the free owners by the tokens that they may have now. In
// turn, one share would be drained while another is full and mints in vain, and
// what is left would be the less when an owner is lost.
func (s *State) fullestFirst(a *account, free []int) []int {
	rate := s.limits(a.name).Rate / float64(len(a.sources))
	order := make([]int, 0, len(free))
	for k := range free {
		order = append(order, free[(a.rotate+k)%len(free)])
	}
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Compare(a.sources[y].level(s.now, rate), a.sources[x].level(s.now, rate))
	})
	return order
}

// level is how many tokens an owner may have, by its last answer.
func (src *source) level(now crid.Instant, rate float64) float64 {
	return float64(src.left) + rate*now.Sub(src.leftAt).Seconds()
}

// noteDry lets requests be refused at once, since no owner has a token.
func (s *State) noteDry(a *account, pending int) {
	if a.held > 0 || pending > 0 || (a.cold == 0 && s.now.Sub(a.dryAt) < dryGap) {
		return
	}
	a.dryAt = s.now
	a.cold = 0
	s.emit(Deposit{Account: a.name, DryUntil: s.dryUntil(a), RetryAfter: s.retryAfter(a)})
	if a.warnedAt == 0 || s.now.Sub(a.warnedAt) >= warnDryGap {
		a.warnedAt = s.now
		s.report(EventExhausted, "account", string(a.name))
	}
}

// dryUntil is when the first owner may have a token again.
func (s *State) dryUntil(a *account) crid.Instant {
	until := s.now.Add(s.params.ShortFor)
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
		return maxRetry
	}
	seconds := (1 + a.demand) / limit.Rate
	return min(maxRetry, time.Duration(seconds*float64(time.Second)))
}

func (s *State) tickEntry() {
	for _, name := range s.entry.names() {
		a := s.entry.accounts[name]
		s.rate(a)
		s.timeOut(a)
		if s.now.Sub(a.usedAt) > s.params.IdleAfter && a.held == 0 {
			s.forget(name)
			continue
		}
		s.plan(a)
		if a.pending() == 0 {
			a.cold = 0
		}
	}
	if s.now.Sub(s.entry.saidAt) >= s.params.ReportGap {
		s.entry.saidAt = s.now
		s.say("")
	}
	s.dropOld()
}

// rate moves the demand estimate towards the rate seen since the last one.
func (s *State) rate(a *account) {
	dt := s.now.Sub(a.ratedAt)
	if dt <= 0 {
		return
	}
	weight := 1 - math.Exp(-dt.Seconds()/s.params.Smooth.Seconds())
	a.demand += weight * (float64(a.recent)/dt.Seconds() - a.demand)
	a.recent, a.ratedAt = 0, s.now
}

// timeOut gives up Asks without an answer: the message or the owner is lost,
// and the other owners are asked in its place.
func (s *State) timeOut(a *account) {
	for i := range a.sources {
		src := &a.sources[i]
		if src.want > 0 && s.now.Sub(src.askedAt) >= s.params.AskTimeout {
			src.want = 0
			a.cold = 0
			src.shortUntil = s.now.Add(s.params.ShortFor)
		}
	}
}
