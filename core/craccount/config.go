package craccount

import "camphorroad/core/crpolicy"

// handleConfig applies changed limits. When the number of an account's shares changes, its
// shares start empty, and refill only once the grants of the previous shares have expired.
func (s *State) handleConfig(snap *crpolicy.Snapshot) {
	old := s.snap
	s.snap = snap
	s.entry.invalidateSources()
	if old == nil || snap == nil {
		return
	}
	members := len(s.activeMembers().names)
	for _, a := range snap.AccountsSince(old) {
		before, _ := old.Account(a.Name)
		if before.Rate == a.Rate && before.Burst == a.Burst {
			continue
		}
		s.owner.limitChangedAt[a.Name] = s.owner.refillClock
		same := s.params.shareCount(members, before) == s.params.shareCount(members, a)
		if !same || before.Burst < 1 {
			s.owner.limitChangedAt[a.Name] += s.params.ownerLifetime()
		}
	}
	for key, sh := range s.owner.shares {
		before, _ := old.Account(key.account)
		s.resizeOrDrop(key, sh, before, s.limits(key.account))
	}
}

// resizeOrDrop applies a changed limit to an owned share. It drops the share when the number of
// the account's shares changes or the burst is less than a token.
func (s *State) resizeOrDrop(key shareKey, sh *share, before, after crpolicy.Account) {
	members := len(s.activeMembers().names)
	count := s.params.shareCount(members, after)
	if after.Burst < 1 || count != s.params.shareCount(members, before) {
		delete(s.owner.shares, key)
		return
	}
	sh.refill(s.owner.refillClock)
	sh.resize(after.Rate/float64(count), shareBurst(after.Burst, key.share, count))
}
