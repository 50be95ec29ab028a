package craccount

import (
	"slices"
	"time"

	"camphorroad/core/crid"
)

const (
	maxOverflows = 16                    // kept for one share
	minSpentAge  = 20 * time.Millisecond // spent tokens younger than this are reported without an age
)

// SpentTokens states how long ago, at least, tokens were spent when the report was sent.
type SpentTokens struct {
	_         struct{} `cbor:",toarray"`
	Count     int      // tokens
	AgeMillis int      // milliseconds, by the entry daemon's clock
}

// spend is a number of spent tokens and the latest instant at which one of them was spent.
type spend struct {
	count int
	at    crid.Instant
}

// overflow is a period, on the refill clock, in which a share was not refilled because it had
// no room.
type overflow struct {
	from, to time.Duration
}

// overflows are the periods without room, oldest first, without overlap.
//
// A spent token occupies room until the owner receives the report. If the time from the spend
// to the report were lost, an account near its full burst would lose part of its burst and be
// refused within its limit.
type overflows struct {
	all []overflow
}

func (o *overflows) add(from, to time.Duration) {
	if n := len(o.all); n > 0 && o.all[n-1].to == from {
		o.all[n-1].to = to
		return
	}
	o.all = append(o.all, overflow{from, to})
	if len(o.all) > maxOverflows {
		o.all = slices.Delete(o.all, 0, 1)
	}
}

// reclaim removes overflows after a reading of the refill clock, earliest first and up to limit,
// and returns the time that it removed. If the same time counted for two reports, the share would
// be refilled above its rate. With keepOverflows nothing is removed, so that tests can show this.
func (o *overflows) reclaim(after, limit time.Duration, keepOverflows bool) time.Duration {
	var got time.Duration
	var rest []overflow
	for _, ov := range o.all {
		begin := max(ov.from, after)
		part := max(0, min(ov.to-begin, limit-got))
		got += part
		if part == 0 || keepOverflows {
			rest = append(rest, ov)
			continue
		}
		if ov.from < begin {
			rest = append(rest, overflow{ov.from, begin})
		}
		if begin+part < ov.to {
			rest = append(rest, overflow{begin + part, ov.to})
		}
	}
	o.all = rest
	return got
}

// refillClockAt returns the latest possible reading of the refill clock when a token was spent,
// given the age in a report that has just arrived. The time in transit only makes the token older.
// Readings before the end of a gap in the lease cannot be compared, so the end of the last gap
// is the earliest result.
func (s *State) refillClockAt(ageMillis int) time.Duration {
	ageMillis = min(ageMillis, int(s.params.Lifetime.Milliseconds())) // no grant is older
	elapsed := time.Duration(float64(ageMillis) * (1 - s.params.Drift) * float64(time.Millisecond))
	if s.params.mutations.creditWholeLifetime {
		elapsed = s.params.Lifetime
	}
	at := max(s.now.Add(-elapsed), s.owner.lastGapAt)
	return s.owner.refillClock - s.now.Sub(at)
}

// spentAges returns the ages of a grant's tokens that were spent since its last report, and
// clears them.
func (s *State) spentAges(g *heldGrant) []SpentTokens {
	var all []SpentTokens
	for _, sp := range g.spends {
		age := s.now.Sub(sp.at.Add(maxClockAge))
		if age >= minSpentAge {
			all = append(all, SpentTokens{Count: sp.count, AgeMillis: int(age.Milliseconds())})
		}
	}
	g.spends = nil
	return all
}

// credit refills for the time in which reported tokens occupied room although they were spent.
// It credits no more tokens than were spent, and no time twice.
func (sh *share) credit(spent []SpentTokens, reported int, refillClockAt func(ageMillis int) time.Duration, keepOverflows bool) {
	total := 0
	for _, sp := range spent {
		if sp.Count < 0 || sp.AgeMillis < 0 {
			return
		}
		total += sp.Count
	}
	if total > reported || sh.rate <= 0 {
		return
	}
	for _, sp := range spent {
		limit := time.Duration(float64(sp.Count) / sh.rate * float64(time.Second))
		sh.balance += sh.rate * sh.overflows.reclaim(refillClockAt(sp.AgeMillis), limit, keepOverflows).Seconds()
	}
}
