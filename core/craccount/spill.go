package craccount

import (
	"slices"
	"time"

	"camphorroad/core/crid"
)

const (
	maxSpills = 16                    // times without room that a share remembers
	leastAge  = 20 * time.Millisecond // of a spent token, for its age to be worth telling
)

// Spent tells how long ago, at least, tokens were spent when a report was sent.
type Spent struct {
	_     struct{} `cbor:",toarray"`
	Count int      // tokens
	Age   int      // milliseconds, on the entry's clock
}

// spend is a number of tokens with the latest instant at which one was spent.
type spend struct {
	count int
	at    crid.Instant
}

// spill is a time, on the minting clock, in which a share minted nothing for
// want of room.
type spill struct {
	from, to time.Duration
}

// spills are the times without room, oldest first, none twice.
//
// A spent token takes up room until its owner is told. Were the time from the
// spending to the report not made good, an account that is near its full burst
// would lose a part of it, and be refused inside its limit when it needs it.
type spills struct {
	all []spill
}

func (o *spills) add(from, to time.Duration) {
	if n := len(o.all); n > 0 && o.all[n-1].to == from {
		o.all[n-1].to = to
		return
	}
	o.all = append(o.all, spill{from, to})
	if len(o.all) > maxSpills {
		o.all = slices.Delete(o.all, 0, 1)
	}
}

// reclaim takes out at most so much time that lies after an instant of the
// minting clock, the earliest first, and returns how much it was. What is taken
// out is gone: were it counted for two reports, tokens would be made of nothing.
func (o *spills) reclaim(after, most time.Duration, keep bool) time.Duration {
	var got time.Duration
	var rest []spill
	for _, sp := range o.all {
		begin := max(sp.from, after)
		part := max(0, min(sp.to-begin, most-got))
		got += part
		if part == 0 || keep {
			rest = append(rest, sp)
			continue
		}
		if sp.from < begin {
			rest = append(rest, spill{sp.from, begin})
		}
		if begin+part < sp.to {
			rest = append(rest, spill{begin + part, sp.to})
		}
	}
	o.all = rest
	return got
}

// reading is what the minting clock showed, at the latest, when a token was
// spent that a report just received gives an age. The time on the way only
// makes the token older. Over a time without tenure the clocks can not be
// compared: nothing before its end counts.
func (s *State) reading(age int) time.Duration {
	age = min(age, int(s.params.Lifetime.Milliseconds())) // no grant is older
	passed := time.Duration(float64(age) * (1 - s.params.Drift) * float64(time.Millisecond))
	if s.params.flaws.creditEarly {
		passed = s.params.Lifetime
	}
	at := max(s.now.Add(-passed), s.owner.gapAt)
	return s.owner.clock - s.now.Sub(at)
}

// ages tells how old the tokens of a lot are that were spent since its last
// report, and forgets them.
func (s *State) ages(l *lot) []Spent {
	var all []Spent
	for _, sp := range l.fresh {
		age := s.now.Sub(sp.at.Add(staleAfter))
		if age >= leastAge {
			all = append(all, Spent{Count: sp.count, Age: int(age.Milliseconds())})
		}
	}
	l.fresh = nil
	return all
}

// credit mints for the time in which tokens, now reported, took up room though
// they were spent: no more than was spent, and no time twice.
func (sh *share) credit(spent []Spent, reported int, reading func(age int) time.Duration, keep bool) {
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
		sh.balance += sh.rate * sh.spills.reclaim(reading(sp.Age), most, keep).Seconds()
	}
}
