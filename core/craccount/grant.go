package craccount

import (
	"time"

	"camphorroad/core/crid"
)

// minShort bounds how often an owner that is short is asked again.
const minShort = 20 * time.Millisecond

// takeGrant puts granted tokens into the wallet. A Grant counts only as an
// answer to an Ask that this incarnation sent less than a lifetime ago, and
// its tokens are void one lifetime after that sending, by this daemon's clock.
// Were they void a lifetime after arrival, a Grant that lay in a queue, or in
// a paused process, would be spent after its owner had minted in its place.
func (s *State) takeGrant(from crid.Daemon, g Grant) {
	sent, known := s.entry.sent[g.Seq]
	current := g.To == s.inc && known && sent.to == from
	voidAt := sent.at.Add(s.params.Lifetime)
	if s.params.flaws.voidFromArrival {
		current, voidAt = g.To == s.inc, s.now.Add(s.params.Lifetime)
	}
	if s.params.flaws.neverVoid {
		voidAt = voidNever - crid.Instant(2*lotsLinger)
	}
	current = current && s.now.Before(voidAt)
	for _, item := range g.Items {
		if item.Recall {
			s.takeRecall(item)
			continue
		}
		if !current {
			s.noteLate(item)
			continue
		}
		if item.Tokens > 0 {
			s.accept(GrantKey{Owner: from, Inc: g.Inc, ID: item.ID}, item, voidAt)
		}
		s.answered(from, item)
	}
}

func (s *State) noteLate(item GrantItem) {
	if item.Tokens > 0 {
		s.reportSeldom(EventLateGrant, "account", string(item.Account))
	}
}

// accept adds a grant once. Duplicates come within the lifetime of the Ask,
// and the lot is remembered for longer than that.
func (s *State) accept(key GrantKey, item GrantItem, voidAt crid.Instant) {
	if _, dup := s.entry.lots[key]; dup && !s.params.flaws.noDedup {
		return
	}
	l := &lot{account: item.Account, share: item.Share, tokens: item.Tokens, voidAt: voidAt}
	s.entry.lots[key] = l
	s.entry.lotOrder = append(s.entry.lotOrder, key)
	a, ok := s.entry.accounts[item.Account]
	if !ok {
		l.back = l.tokens
		s.addUse(key, l)
		return
	}
	a.held += item.Tokens
	a.cold = max(0, a.cold-item.Tokens)
	s.emit(Deposit{
		Account: item.Account,
		Share:   item.Share,
		Key:     key,
		Tokens:  item.Tokens,
		Short:   item.Short,
		VoidAt:  voidAt,
	})
}

// answered notes that an owner has replied, and turns to the others when it
// was short.
func (s *State) answered(from crid.Daemon, item GrantItem) {
	a, ok := s.entry.accounts[item.Account]
	if !ok {
		return
	}
	s.route(a)
	if item.Share < 0 || item.Share >= len(a.sources) || a.sources[item.Share].owner != from {
		return
	}
	src := &a.sources[item.Share]
	src.want = 0
	src.left, src.leftAt = item.Left, s.now
	if !item.Short {
		return
	}
	src.shortUntil = s.now.Add(s.shortFor(a, item))
	if item.Rivals {
		a.scarce = s.now.Add(scarceFor)
	}
	s.plan(a)
}

// shortFor is how long an owner that was short is left alone. One that sends
// the rest as it is minted need not be asked again soon; of another, the next
// request should have the next token.
func (s *State) shortFor(a *account, item GrantItem) time.Duration {
	if s.target(a) > 0 {
		return s.params.ShortFor
	}
	after := time.Duration(item.After) * time.Millisecond
	return min(s.params.ShortFor, max(minShort, after))
}

// takeRecall gives back what the account does not need here at once.
func (s *State) takeRecall(item GrantItem) {
	a, ok := s.entry.accounts[item.Account]
	if !ok || a.held == 0 {
		return
	}
	keep := int(a.demand * recallKeep.Seconds())
	if keep >= a.held {
		return
	}
	a.recalled = s.now.Add(floatFor)
	s.emit(Withdraw{Account: item.Account, Keep: keep})
}
