// Package crlimit limits the requests to a target that names in its responses how many it
// takes in a second, from all daemons together (rate limit, backpressure). Package crgate
// applies the limit, at the only daemon that sends requests to the target.
//
// The limit holds for as long as the responses name one, and changes with each of them. It
// is a token bucket with a small burst, since requests that come at once do not help a target
// in need.
//
// A daemon that starts again does not know the limit until the first response. Until then it
// follows the entry daemons that have received one ([Limiter.Suggest]).
//
// # Usage
//
//	var l crlimit.Limiter
//	l.Announce(now, 2.5)
//	if l.Wait(now, 0) == 0 {
//		l.Reserve(now)
//		... // l.Cancel() if the request is not sent
//	}
package crlimit

import (
	"time"

	"camphorroad/core/crid"
)

const (
	// burst is the number of requests that may be sent at once after a pause.
	burst = 2.0
	// minRate is the lowest limit in requests a second. A lower one would hide its end, which
	// only a response shows.
	minRate = 0.25
)

// Limiter limits the requests to one target. The zero value knows of no limit. It is not
// safe for concurrent use.
type Limiter struct {
	rate       float64 // requests a second; zero: no limit
	announced  bool    // a response has told whether there is a limit
	tokens     float64 // requests that may be sent now
	refilledAt crid.Instant
}

// Announce records the limit that a response names, in requests a second; zero means that it
// names none. It reports whether the limit has changed.
func (l *Limiter) Announce(now crid.Instant, rate float64) bool {
	l.announced = true
	return l.set(now, rate)
}

// Suggest records a limit that an entry daemon knows from an earlier response. Any response
// that this daemon has received itself is newer.
func (l *Limiter) Suggest(now crid.Instant, rate float64) bool {
	if l.announced || rate <= 0 {
		return false
	}
	return l.set(now, rate)
}

// set replaces the limit. A new one starts without tokens: requests were sent until now.
func (l *Limiter) set(now crid.Instant, rate float64) bool {
	if rate > 0 {
		rate = max(rate, minRate)
	}
	if rate == l.rate {
		return false
	}
	if l.rate == 0 {
		l.tokens, l.refilledAt = 0, now
	}
	l.refill(now)
	l.rate = rate
	return true
}

// Reset forgets what is known of the target.
func (l *Limiter) Reset() { *l = Limiter{} }

// Rate returns the limit in requests a second; zero means that there is none.
func (l *Limiter) Rate() float64 { return l.rate }

// Wait returns the time until a request may be sent that has the given number of requests
// before it.
func (l *Limiter) Wait(now crid.Instant, ahead int) time.Duration {
	if l.rate == 0 {
		return 0
	}
	l.refill(now)
	missing := float64(ahead+1) - l.tokens
	if missing <= 0 {
		return 0
	}
	return max(time.Duration(missing/l.rate*float64(time.Second)), time.Millisecond)
}

// Reserve takes a token for a request that is sent soon.
func (l *Limiter) Reserve(now crid.Instant) {
	if l.rate > 0 {
		l.refill(now)
		l.tokens--
	}
}

// Cancel gives back the token of a request that is not sent.
func (l *Limiter) Cancel() {
	if l.rate > 0 {
		l.tokens = min(l.tokens+1, burst)
	}
}

func (l *Limiter) refill(now crid.Instant) {
	l.tokens = min(l.tokens+max(now.Sub(l.refilledAt).Seconds(), 0)*l.rate, burst)
	l.refilledAt = max(l.refilledAt, now)
}
