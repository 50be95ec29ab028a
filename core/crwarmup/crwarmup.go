// Package crwarmup limits the requests to a target that has recently started (slow start).
// A cold target fails if it gets too many requests in a second. Package crgate applies the
// limit, at the only daemon that sends requests to the target.
//
// A target may become cold without notice, with the same address and record. Until a health
// check has reported otherwise, [Limiter] assumes that it is cold after every loss of
// contact: a failed connection, a request without a response, a pause in the responses, or
// the start of this daemon. A check is only due when the limit is about to delay requests, so
// that a target with few requests costs none.
//
// A target that restarts between two requests breaks idle connections only, as one does that
// closes them. So what is known of a process counts for the connections that lead to it: those
// that were established while it was alive, as a response on one of them shows. Once a few
// requests are sent on later connections, without such a response meanwhile, the state is not
// known any more.
//
// A daemon that starts does not know what the process before it sent in the last second. Until
// that has passed it sends only checks, at once, and the limit holds for all its processes together.
//
// # Usage
//
//	l := crwarmup.New(now)
//	l.SetParams(crwarmup.NewParams(11, 1.5, 8, 3*time.Second))
//	if l.Wait(now, 0) == 0 {
//		l.Reserve(now)
//		...
//		if l.Send(now, connectedAt) { ...; l.Written(now, writtenAt, connectedAt); ...; l.Responded(connectedAt, now, respondedAt) }
//	}
//	if l.StartCheck(now) { ...; l.RecordCheck(sentAt, now, remaining) }
package crwarmup

import (
	"math"
	"slices"
	"time"

	"camphorroad/core/crid"
)

const (
	// window is the time in which requests are counted. The margin allows for the time
	// between the decision to send a request and its arrival.
	window = time.Second + windowMargin
	// windowMargin is one turn of a busy processor.
	windowMargin = 50 * time.Millisecond
	// allowanceShare is the share that is used of the allowance between the rate that a
	// cold target tolerates and the highest rate allowed. Near the highest rate it may fail.
	allowanceShare = 0.6
	// maxSilence is the time without a response after which the target may have restarted
	// unnoticed.
	maxSilence = time.Second
	// checkInterval is the minimum time between two health checks.
	checkInterval = 500 * time.Millisecond
	// checkTime is the time in which a target with a free slot answers a check.
	checkTime = 100 * time.Millisecond
	// checkPressure is the share of the limit from which on a check is due.
	checkPressure = 0.5
	// burst is the number of requests that may be sent at once. The others are paced, so
	// that an urgent request does not wait for the end of a second in which less urgent
	// ones have used the limit.
	burst = 3
	// maxUnproven is the number of requests that may be sent on connections which may lead to
	// another process, until the target's state is in doubt.
	maxUnproven = 3
	// maxStarts is the number of times that a daemon may start within a window.
	maxStarts = 4
	// historySize is the number of requests that PeakSince considers.
	historySize = 256
)

// Doubt is why a target may be cold although no health check has said so.
type Doubt uint8

// The reasons.
const (
	DoubtNone        Doubt = iota // the target's state is known
	DoubtStart                    // nothing is known of it yet
	DoubtContact                  // a connection failed, or a request got no response
	DoubtSilence                  // it has not responded for some time
	DoubtConnections              // requests were sent on connections that may lead to another process
	DoubtReset                    // another process registered, or an evacuation ended
)

// String returns the reason as logs name it.
func (d Doubt) String() string {
	switch d {
	case DoubtNone:
		return "none"
	case DoubtStart:
		return "start"
	case DoubtContact:
		return "contact"
	case DoubtSilence:
		return "silence"
	case DoubtConnections:
		return "connections"
	case DoubtReset:
		return "reset"
	}
	return "unknown"
}

// Params describe the targets of a service while they are cold.
type Params struct {
	Limit    int           // requests that a cold target may get in a second; zero: no limit
	Spare    int           // requests beyond the limit that it may get in a second now and then
	Duration time.Duration // time for which a target is cold after its start
}

// NewParams returns the parameters of targets that are cold for a time, tolerate rate requests a
// second meanwhile, and may never get more than rate x ratio + slack in a second.
func NewParams(rate, ratio, slack float64, d time.Duration) Params {
	p := Params{Limit: Limit(rate, ratio, slack), Duration: d}
	if p.Limit > 0 {
		p.Spare = max(int(rate*ratio+slack)-p.Limit, 0)
	}
	return p
}

// Limit returns the number of requests that a cold target may get in a second. It tolerates
// rate, and may never get more than rate x ratio + slack.
func Limit(rate, ratio, slack float64) int {
	if rate <= 0 {
		return 0
	}
	highest := max(rate*ratio+slack, rate)
	return max(int(math.Floor(rate+allowanceShare*(highest-rate))), 1)
}

// Limiter limits the requests to one target. It is not safe for concurrent use.
type Limiter struct {
	params       Params
	uncertain    bool         // the target may have restarted since the last check
	doubt        Doubt        // why it was last uncertain
	lostAt       crid.Instant // the last loss of contact
	suspectAt    crid.Instant // since when a cold process may have got requests; zero: it is not known
	aliveAt      crid.Instant // when the process whose state is known was last alive; zero: it is not known
	unproven     int          // requests sent since then on connections established later
	unprovenAt   crid.Instant // when the first of them was sent
	contactSince crid.Instant // first response after the loss, of the process that responds now; zero: none yet
	contactAt    crid.Instant // when that process was last alive
	lastResponse crid.Instant
	coldSince    crid.Instant
	coldUntil    crid.Instant
	lastCheck    crid.Instant
	daemonStart  crid.Instant
	heldUntil    crid.Instant // until then an earlier process of this daemon may have used the limit
	reserved     int
	nextPaced    crid.Instant // when the next request is due at an even pace
	sent         []request    // the last ones, oldest first
}

// request is a request that was sent.
type request struct {
	at          crid.Instant
	connectedAt crid.Instant // when its connection was established
}

// New returns a limiter for a target of which nothing is known.
func New(now crid.Instant) *Limiter { return &Limiter{uncertain: true, doubt: DoubtStart, lostAt: now} }

// SetDaemonStart records when this daemon started. Another process of it may have sent requests
// until then.
func (l *Limiter) SetDaemonStart(at crid.Instant) { l.daemonStart, l.heldUntil = at, at.Add(window) }

// SetParams replaces the parameters.
func (l *Limiter) SetParams(p Params) {
	l.params = p
}

// Cold reports whether the target is cold, or has to be treated so.
func (l *Limiter) Cold(now crid.Instant) bool {
	if l.params.Limit == 0 {
		return false
	}
	if l.uncertain && l.contactSince != 0 && now.Sub(l.contactSince) >= l.params.Duration {
		l.concludeWarm()
	}
	return l.uncertain || now < l.coldUntil
}

// concludeWarm ends the doubt about a process that has responded for as long as a target is cold,
// unless requests sent since its last response may have reached another one.
func (l *Limiter) concludeWarm() {
	later := 0
	for _, r := range l.sent {
		if r.connectedAt > l.contactAt {
			later++
		}
	}
	if later <= maxUnproven {
		l.setProcess(l.contactAt)
	}
}

// Remaining returns the time for which the target is known to stay cold.
func (l *Limiter) Remaining(now crid.Instant) time.Duration {
	if l.params.Limit == 0 {
		return 0
	}
	return max(l.coldUntil.Sub(now), 0)
}

// Limit returns the limit while the target is known to be cold, and zero otherwise.
func (l *Limiter) Limit(now crid.Instant) int {
	if l.Remaining(now) == 0 {
		return 0
	}
	return l.params.Limit
}

// ContactLost records that the target may have restarted.
func (l *Limiter) ContactLost(now crid.Instant) { l.lose(now, DoubtContact) }

func (l *Limiter) lose(now crid.Instant, d Doubt) {
	if !l.uncertain {
		l.suspectAt = now
		if l.unproven > 0 {
			l.suspectAt = l.unprovenAt
		}
	}
	l.uncertain, l.doubt, l.lostAt, l.contactSince, l.contactAt = true, d, now, 0, 0
}

// setProcess records that the target's state is that of the process which was alive at an
// instant.
func (l *Limiter) setProcess(aliveAt crid.Instant) {
	l.uncertain, l.aliveAt, l.unproven = false, aliveAt, 0
	for _, r := range l.sent {
		if r.connectedAt <= aliveAt {
			continue
		}
		if l.unproven++; l.unproven == 1 {
			l.unprovenAt = r.at
		}
	}
}

// Reset records that the target may be cold without having restarted.
func (l *Limiter) Reset(now crid.Instant) {
	l.lose(now, DoubtReset)
	l.aliveAt, l.suspectAt = 0, 0
}

// Responded records a response to a request that was sent at an instant, on a connection that was
// established at another. The process that responded was alive at aliveAt: when the response was
// read, if the connection is still open, and otherwise when the request was sent.
func (l *Limiter) Responded(connectedAt, sentAt, aliveAt crid.Instant) {
	l.lastResponse = max(l.lastResponse, aliveAt)
	if connectedAt <= l.aliveAt && (!l.uncertain || aliveAt >= l.lostAt) {
		l.setProcess(max(l.aliveAt, aliveAt))
	}
	if sentAt < l.lostAt {
		return
	}
	if l.contactSince == 0 || connectedAt > l.contactAt {
		l.contactSince = aliveAt // it may be another process than the one that responded before
	}
	l.contactAt = max(l.contactAt, aliveAt)
}

// Wait returns the time until a request may be sent that has the given number of requests
// before it.
func (l *Limiter) Wait(now crid.Instant, ahead int) time.Duration {
	l.detectSilence(now)
	if !l.Cold(now) {
		return 0
	}
	return max(l.limitedWait(now, ahead), l.heldWait(now))
}

// heldWait returns the time for which earlier processes of this daemon are expected to delay a request.
// It is short while a check is due or pending, which opens a warm target.
func (l *Limiter) heldWait(now crid.Instant) time.Duration {
	held := max(l.heldUntil.Sub(now), 0)
	if l.params.Spare < maxStarts {
		return held
	}
	answered := now.Add(checkTime)
	if l.lastCheck != 0 {
		answered = l.lastCheck.Add(checkTime)
	}
	if now >= answered {
		return held
	}
	return min(held, answered.Sub(now))
}

// limitedWait returns the time for which the requests of this process delay a request that has the
// given number of requests before it.
func (l *Limiter) limitedWait(now crid.Instant, ahead int) time.Duration {
	paced := l.nextPaced.Add(l.pace() * time.Duration(ahead-burst+1)).Sub(now)
	return max(paced, l.windowWait(now, ahead), 0)
}

// pace returns the time between two requests at the limit.
func (l *Limiter) pace() time.Duration { return window / time.Duration(l.params.Limit) }

// windowWait returns the time until the window has room for a request that has the given
// number of requests before it.
func (l *Limiter) windowWait(now crid.Instant, ahead int) time.Duration {
	recent := l.recent(now)
	excess := len(recent) + l.reserved + ahead + 1 - l.params.Limit
	if excess <= 0 {
		return 0
	}
	// Each of the excess requests takes the place of an earlier one that leaves the window,
	// in turn. The places that are not used yet are assumed to be taken now.
	turn, place := (excess-1)/l.params.Limit, (excess-1)%l.params.Limit
	sentAt := now
	if place < len(recent) {
		sentAt = recent[place]
	}
	return max(sentAt.Add(window*time.Duration(turn+1)).Sub(now), time.Millisecond)
}

// detectSilence treats the target as possibly restarted if no response arrived recently.
func (l *Limiter) detectSilence(now crid.Instant) {
	if !l.uncertain && now.Sub(l.lastResponse) > maxSilence {
		l.lose(now, DoubtSilence)
	}
}

// Reserve reserves a place for a request that is sent later.
func (l *Limiter) Reserve(now crid.Instant) {
	l.reserved++
	if l.Cold(now) {
		l.nextPaced = max(l.nextPaced, now).Add(l.pace())
	}
}

// Cancel gives back a reserved place.
func (l *Limiter) Cancel() { l.reserved = max(l.reserved-1, 0) }

// Send converts a reserved place into a request that is sent now, on a connection that was
// established at an instant. It returns false, and gives the place back, if the target has become
// cold since and has no room.
func (l *Limiter) Send(now, connectedAt crid.Instant) bool {
	l.Cancel()
	cold := l.Cold(now)
	unproven := !l.uncertain && connectedAt > l.aliveAt
	full := (cold || unproven) && len(l.recent(now)) >= l.params.Limit
	if unproven {
		if l.unproven++; l.unproven == 1 {
			l.unprovenAt = now
		}
		if full || l.unproven > maxUnproven {
			l.lose(now, DoubtConnections)
		}
	}
	if (full || now < l.heldUntil) && l.Cold(now) {
		return false
	}
	l.record(request{at: now, connectedAt: connectedAt})
	return true
}

// Written records when a request that was sent at an instant has been written to its connection. If
// the process was paused in between, the request counts again.
func (l *Limiter) Written(sentAt, writtenAt, connectedAt crid.Instant) {
	if writtenAt.Sub(sentAt) > windowMargin {
		l.record(request{at: writtenAt, connectedAt: connectedAt})
	}
}

// StartCheck reports whether a health check is due, and records it as a request. None is due while
// the limit is in force whatever the check would show.
func (l *Limiter) StartCheck(now crid.Instant) bool {
	if !l.Cold(now) || !l.uncertain || now < l.coldUntil || (l.lastCheck != 0 && now.Sub(l.lastCheck) < checkInterval) {
		return false
	}
	used := len(l.recent(now)) + l.reserved
	delays := float64(used) >= checkPressure*float64(l.params.Limit) || l.limitedWait(now, 0) > 0
	if now < l.heldUntil {
		// The checks of successive processes do not exceed what the target may get.
		delays = l.params.Spare >= maxStarts
	}
	if !delays || len(l.recent(now)) >= l.params.Limit && !l.sparesCheck(now) {
		return false
	}
	l.lastCheck = now
	l.record(request{at: now, connectedAt: now})
	return true
}

// sparesCheck reports whether a check may be sent although the window is full. The requests in it may
// be what a warm target was sent on new connections, and then only a check opens it.
func (l *Limiter) sparesCheck(now crid.Instant) bool {
	return l.params.Spare > maxStarts && (l.lastCheck == 0 || now.Sub(l.lastCheck) >= window)
}

// RecordCheck records the result of a health check: the time for which the target stays
// cold. It is ignored if contact was lost after the check was sent.
func (l *Limiter) RecordCheck(sentAt, now crid.Instant, remaining time.Duration) {
	if sentAt < l.lostAt {
		return
	}
	// A warm process started at least the duration ago, so it may be the one known before.
	same := remaining == 0 && l.aliveAt != 0 && now.Sub(l.aliveAt) < l.params.Duration
	if coldFor := l.params.Duration - remaining; coldFor >= 0 && now < l.heldUntil {
		l.inherit(l.daemonStart.Sub(sentAt.Add(-coldFor)))
	}
	if remaining > 0 || l.uncertain && !same {
		if now.Sub(l.coldUntil) >= window {
			l.coldSince = l.suspectAt
		}
		l.coldUntil = now.Add(remaining)
	}
	l.coldUntil = min(l.coldUntil, now.Add(remaining))
	l.lastResponse = now
	l.setProcess(now)
}

// inherit counts, in place of a whole second's limit, what earlier processes of this daemon may have
// sent in the given time that the target was cold before this one started.
func (l *Limiter) inherit(coldBefore time.Duration) {
	l.heldUntil = 0
	if coldBefore <= 0 || l.params.Limit == 0 {
		return
	}
	// A process sends a few requests before it is in doubt, a burst, a check, and then paced requests.
	n := min(maxUnproven+burst+1+int(coldBefore/l.pace())+1, l.params.Limit)
	earlier := slices.Repeat([]request{{at: l.daemonStart, connectedAt: l.daemonStart}}, n)
	l.sent = append(earlier, l.sent...)
}

func (l *Limiter) record(r request) {
	l.sent = append(l.sent, r)
	if drop := len(l.sent) - max(l.params.Limit, historySize); drop > 0 {
		l.sent = append(l.sent[:0], l.sent[drop:]...)
	}
}

// recent returns when the requests in the window that ends now were sent, and the last
// Params.Limit of them at most. It leaves out those that a cold process cannot have got.
func (l *Limiter) recent(now crid.Instant) []crid.Instant {
	out := make([]crid.Instant, 0, l.params.Limit)
	for _, r := range slices.Backward(l.sent) {
		if now.Sub(r.at) >= window || len(out) >= l.params.Limit {
			break
		}
		if l.mayHaveReachedColdProcess(r) {
			out = append(out, r.at)
		}
	}
	slices.Reverse(out)
	return out
}

// mayHaveReachedColdProcess returns false for a request that was sent to a process which was known
// to be warm. Only requests on later connections can have reached another process.
func (l *Limiter) mayHaveReachedColdProcess(r request) bool {
	known := r.at >= l.coldSince && r.at < l.coldUntil
	return known || r.connectedAt > l.aliveAt || l.uncertain && r.at >= l.suspectAt
}

// Doubt returns why the target is treated as cold without a check that says so.
func (l *Limiter) Doubt() Doubt {
	if !l.uncertain {
		return DoubtNone
	}
	return l.doubt
}

// PeakSince returns the highest number of requests that were sent within a second since an
// instant. It considers the last requests only, so that it may be too low.
func (l *Limiter) PeakSince(at crid.Instant) int {
	first := slices.IndexFunc(l.sent, func(r request) bool { return r.at >= at })
	if first < 0 {
		return 0
	}
	peak := 0
	for i := first; i < len(l.sent); i++ {
		for l.sent[i].at.Sub(l.sent[first].at) >= time.Second {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}
