package craccount

import (
	"time"

	"camphorroad/core/crid"
)

// minShortBackoff is the least time before an owner that ran short gets a request again.
const minShortBackoff = 20 * time.Millisecond

// handleGrant adds granted tokens to the pool. A Grant is valid only as the answer to a
// TokenRequest that this incarnation sent less than a lifetime ago. Its tokens expire one
// lifetime after that request was sent, by this daemon's clock. If they expired a lifetime
// after arrival, a Grant delayed in a queue or in a paused process could be spent after its owner
// had refilled its room.
func (s *State) handleGrant(from crid.Daemon, g Grant) {
	sent, known := s.entry.sent[g.Seq]
	valid := g.ToInc == s.inc && known && sent.to == from
	expiresAt := sent.at.Add(s.params.Lifetime)
	if s.params.mutations.expireFromArrival {
		valid, expiresAt = g.ToInc == s.inc, s.now.Add(s.params.Lifetime)
	}
	if s.params.mutations.neverExpire {
		expiresAt = neverExpires - crid.Instant(2*grantRetention)
	}
	valid = valid && s.now.Before(expiresAt)
	for _, item := range g.Items {
		if item.Recall {
			s.handleRecall(item)
			continue
		}
		if !valid {
			s.reportLateGrant(item)
			continue
		}
		if item.Tokens > 0 {
			s.addGrant(GrantKey{Owner: from, Inc: g.Inc, ID: item.ID}, item, expiresAt)
		}
		s.noteAnswer(from, item)
	}
}

func (s *State) reportLateGrant(item GrantItem) {
	if item.Tokens > 0 {
		s.reportLimited(EventLateGrant, "account", string(item.Account))
	}
}

// addGrant adds a grant once. Duplicates arrive within the lifetime of the request, and the
// grant is kept for longer than that.
func (s *State) addGrant(key GrantKey, item GrantItem, expiresAt crid.Instant) {
	if _, dup := s.entry.grants[key]; dup && !s.params.mutations.noDedup {
		return
	}
	held := &heldGrant{account: item.Account, share: item.Share, tokens: item.Tokens, expiresAt: expiresAt}
	s.entry.grants[key] = held
	s.entry.grantOrder = append(s.entry.grantOrder, key)
	a, ok := s.entry.accounts[item.Account]
	if !ok {
		held.returned = held.tokens
		s.addUsage(key, held)
		return
	}
	a.held += item.Tokens
	a.coldRequests = max(0, a.coldRequests-item.Tokens)
	s.emit(Deposit{
		Account:   item.Account,
		Share:     item.Share,
		Key:       key,
		Tokens:    item.Tokens,
		Short:     item.Short,
		ExpiresAt: expiresAt,
	})
}

// noteAnswer records an owner's answer, and requests the rest from the other owners when
// this one ran short.
func (s *State) noteAnswer(from crid.Daemon, item GrantItem) {
	a, ok := s.entry.accounts[item.Account]
	if !ok {
		return
	}
	s.resolveSources(a)
	if item.Share < 0 || item.Share >= len(a.sources) || a.sources[item.Share].owner != from {
		return
	}
	src := &a.sources[item.Share]
	src.requested = 0
	src.remaining, src.remainingAt = item.Remaining, s.now
	if !item.Short {
		return
	}
	src.shortUntil = s.now.Add(s.shortBackoff(a, item))
	if item.Contended {
		a.contendedUntil = s.now.Add(contendedTime)
	}
	s.requestMissing(a)
}

// shortBackoff is how long an owner that ran short gets no further requests. It is ShortBackoff
// when the owner sends the rest as it is refilled. Otherwise it ends with the refill of the
// owner's next token, but not before minShortBackoff, so that the next request can have that token.
func (s *State) shortBackoff(a *account, item GrantItem) time.Duration {
	if s.targetTokens(a) > 0 {
		return s.params.ShortBackoff
	}
	after := time.Duration(item.NextTokenMillis) * time.Millisecond
	return min(s.params.ShortBackoff, max(minShortBackoff, after))
}

// handleRecall returns the tokens that the account does not need at once.
func (s *State) handleRecall(item GrantItem) {
	a, ok := s.entry.accounts[item.Account]
	if !ok || a.held == 0 {
		return
	}
	keep := int(a.demand * recallKeepTime.Seconds())
	if keep >= a.held {
		return
	}
	a.noSpareUntil = s.now.Add(spareTokenTime)
	s.emit(Withdraw{Account: item.Account, Keep: keep})
}
