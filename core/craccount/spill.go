package craccount

import (
	"slices"
	"time"

	"camphorroad/core/crid"
)

const (
	maxOverflows = 16                    // times without room that a share remembers
	minSpentAge  = 20 * time.Millisecond // of a spent token, for its age to be worth telling
)

// SpentTokens tells how long ago, at least, tokens were spent when a report was sent.
type SpentTokens struct {
	_     struct{} `cbor:",toarray"`
	Count int      // tokens
	Age   int      // milliseconds, on the entry's clock
}

// spend is a number of tokens with the latest instant at which one was spent.
type spend struct {
	count int
	at    crid.Instant
}

// overflow is a time, on the minting clock, in which a share minted nothing for
// want of room.
type overflow struct {
	from, to time.Duration
}

// overflows are the times without room, oldest first, none twice.
//
// A spent token takes up room until its owner is told. Were the time from the
// spending to the report not made good, an account that is near its full burst
// would lose a part of it, and be refused inside its limit when it needs it.
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

// reclaim takes out at most so much time that lies after an instant of the
// minting clock, the earliest first, and returns how much it was. What is taken
// out is gone: were it counted for two reports, tokens would be made of nothing.
func (o *overflows) reclaim(after, most time.Duration, keep bool) time.Duration {
	var got time.Duration
	var rest []overflow
	for _, sp := range o.all {
		begin := max(sp.from, after)
		part := max(0, min(sp.to-begin, most-got))
		got += part
		if part == 0 || keep {
			rest = append(rest, sp)
			continue
		}
		if sp.from < begin {
			rest = append(rest, overflow{sp.from, begin})
		}
		if begin+part < sp.to {
			rest = append(rest, overflow{begin + part, sp.to})
		}
	}
	o.all = rest
	return got
}

// refillClockAt is what the minting clock showed, at the latest, when a token was
// spent that a report just received gives an age. The time on the way only
// makes the token older. Over a time without tenure the clocks can not be
// compared: nothing before its end counts.
func (s *State) refillClockAt(age int) time.Duration {
	age = min(age, int(s.params.Lifetime.Milliseconds())) // no grant is older
	passed := time.Duration(float64(age) * (1 - s.params.Drift) * float64(time.Millisecond))
	if s.params.mutations.creditWholeLifetime {
		passed = s.params.Lifetime
	}
	at := max(s.now.Add(-passed), s.owner.lastGapAt)
	return s.owner.refillClock - s.now.Sub(at)
}

// spentAges tells how old the tokens of a lot are that were spent since its last
// report, and forgets them.
func (s *State) spentAges(l *heldGrant) []SpentTokens {
	var all []SpentTokens
	for _, sp := range l.spends {
		age := s.now.Sub(sp.at.Add(maxClockAge))
		if age >= minSpentAge {
			all = append(all, SpentTokens{Count: sp.count, Age: int(age.Milliseconds())})
		}
	}
	l.spends = nil
	return all
}

// credit mints for the time in which tokens, now reported, took up room though
// they were spent: no more than was spent, and no time twice.
func (sh *share) credit(spent []SpentTokens, reported int, reading func(age int) time.Duration, keep bool) {
	total := 0
	for _, sp := range spent {
		if sp.Count < 0 || sp.Age < 0 {
			return
		}
		total += sp.Count
	}
	if total > reported || sh.rate <= 0 {
		return
	}
	for _, sp := range spent {
		most := time.Duration(float64(sp.Count) / sh.rate * float64(time.Second))
		sh.balance += sh.rate * sh.overflows.reclaim(reading(sp.Age), most, keep).Seconds()
	}
}
