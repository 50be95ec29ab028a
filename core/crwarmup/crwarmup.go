// Package crwarmup limits the requests to a target that has recently started (slow start).
// A cold target fails if it gets too many requests in a second. Package crgate applies the
// limit, at the only daemon that sends requests to the target.
//
// A target may become cold without notice, with the same address and record. Until a health
// check has reported otherwise, [Limiter] assumes that it is cold after every loss of
// contact: a failed connection, a request without a response, a pause in the responses, or
// the start of this daemon. A response on a connection that is older than the loss shows
// that the target has not restarted. A check is only due when the limit is about to delay
// requests, so that a target with few requests costs none.
//
// # Usage
//
//	l := crwarmup.New(now)
//	l.SetParams(crwarmup.Params{Limit: crwarmup.Limit(11, 1.5, 8), Duration: 3 * time.Second})
//	if l.Wait(now, 0) == 0 {
//		l.Reserve(now)
//		...
//		if l.Send(now) { ... }
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
	// checkPressure is the share of the limit from which on a check is due.
	checkPressure = 0.5
	// burst is the number of requests that may be sent at once. The others are paced, so
	// that an urgent request does not wait for the end of a second in which less urgent
	// ones have used the limit.
	burst = 3
	// historySize is the number of requests that PeakSince considers.
	historySize = 256
)

// Doubt is why a target may be cold although no health check has said so.
type Doubt uint8

// The reasons.
const (
	DoubtNone    Doubt = iota // the target's state is known
	DoubtStart                // nothing is known of it yet
	DoubtContact              // a connection failed, or a request got no response
	DoubtSilence              // it has not responded for some time
	DoubtReset                // another process registered, or an evacuation ended
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
	case DoubtReset:
		return "reset"
	}
	return "unknown"
}

// Params describe the targets of a service while they are cold.
type Params struct {
	Limit    int           // requests that a cold target may get in a second; zero: no limit
	Duration time.Duration // time for which a target is cold after its start
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
	knownAt      crid.Instant // when the state was last known; zero: never
	contactSince crid.Instant // first response after it; zero: none yet
	lastResponse crid.Instant
	coldUntil    crid.Instant
	lastCheck    crid.Instant
	reserved     int
	nextPaced    crid.Instant   // when the next request is due at an even pace
	sent         []crid.Instant // the last requests, oldest first
}

// New returns a limiter for a target of which nothing is known.
func New(now crid.Instant) *Limiter { return &Limiter{uncertain: true, doubt: DoubtStart, lostAt: now} }

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
		l.uncertain, l.knownAt = false, now
	}
	return l.uncertain || now < l.coldUntil
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
	l.uncertain, l.doubt, l.lostAt, l.contactSince = true, d, now, 0
}

// Reset records that the target may be cold without having restarted.
func (l *Limiter) Reset(now crid.Instant) {
	l.lose(now, DoubtReset)
	l.knownAt = 0
}

// Responded records a response to a request that was sent at an instant, on a connection
// that was established at another.
func (l *Limiter) Responded(connectedAt, sentAt, now crid.Instant) {
	l.lastResponse = now
	if connectedAt <= l.knownAt {
		l.uncertain, l.knownAt = false, now // the same process as when its state was known
	}
	if l.contactSince == 0 && sentAt >= l.lostAt {
		l.contactSince = now
	}
}

// Wait returns the time until a request may be sent that has the given number of requests
// before it.
func (l *Limiter) Wait(now crid.Instant, ahead int) time.Duration {
	l.detectSilence(now)
	if !l.Cold(now) {
		return 0
	}
	pace := l.pace()
	paced := l.nextPaced.Add(pace * time.Duration(ahead-burst+1)).Sub(now)
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

// Send converts a reserved place into a request that is sent now. It returns false, and
// gives the place back, if the target has become cold since and has no room.
func (l *Limiter) Send(now crid.Instant) bool {
	l.Cancel()
	if l.Cold(now) && len(l.recent(now)) >= l.params.Limit {
		return false
	}
	l.record(now)
	return true
}

// StartCheck reports whether a health check is due, and records it as a request.
func (l *Limiter) StartCheck(now crid.Instant) bool {
	if !l.Cold(now) || !l.uncertain || (l.lastCheck != 0 && now.Sub(l.lastCheck) < checkInterval) {
		return false
	}
	used := len(l.recent(now)) + l.reserved
	delays := float64(used) >= checkPressure*float64(l.params.Limit) || l.Wait(now, 0) > 0
	if !delays || len(l.recent(now)) >= l.params.Limit {
		return false
	}
	l.lastCheck = now
	l.record(now)
	return true
}

// RecordCheck records the result of a health check: the time for which the target stays
// cold. It is ignored if contact was lost after the check was sent.
func (l *Limiter) RecordCheck(sentAt, now crid.Instant, remaining time.Duration) {
	if sentAt < l.lostAt {
		return
	}
	l.uncertain, l.lastResponse, l.knownAt = false, now, now
	l.coldUntil = now.Add(remaining)
}

func (l *Limiter) record(now crid.Instant) {
	l.sent = append(l.sent, now)
	if drop := len(l.sent) - max(l.params.Limit, historySize); drop > 0 {
		l.sent = append(l.sent[:0], l.sent[drop:]...)
	}
}

// recent returns the requests in the window that ends now, and the last Params.Limit of them
// at most.
func (l *Limiter) recent(now crid.Instant) []crid.Instant {
	last := l.sent[max(len(l.sent)-l.params.Limit, 0):]
	for i, at := range last {
		if now.Sub(at) < window {
			return last[i:]
		}
	}
	return nil
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
	first, _ := slices.BinarySearch(l.sent, at)
	peak := 0
	for i := first; i < len(l.sent); i++ {
		for l.sent[i].Sub(l.sent[first]) >= time.Second {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}
