package craccount

import "camphorroad/core/crpolicy"

// takeConfig applies changed limits. A share whose number per account changes
// starts anew, and waits for the grants of the former ones to be void.
func (s *State) takeConfig(snap *crpolicy.Snapshot) {
	old := s.snap
	s.snap = snap
	s.entry.reroute()
	if old == nil || snap == nil {
		return
	}
	members := len(s.minters().names)
	for _, a := range snap.AccountsSince(old) {
		before, _ := old.Account(a.Name)
		if before.Rate == a.Rate && before.Burst == a.Burst {
			continue
		}
		s.owner.since[a.Name] = s.owner.clock
		same := s.params.shareCount(members, before) == s.params.shareCount(members, a)
		if !same || before.Burst < 1 {
			s.owner.since[a.Name] += s.params.ownerLifetime()
		}
	}
	for key, sh := range s.owner.shares {
		before, _ := old.Account(key.account)
		s.resize(key, sh, before, s.limits(key.account))
	}
}

func (s *State) resize(key shareKey, sh *share, before, after crpolicy.Account) {
	members := len(s.minters().names)
	count := s.params.shareCount(members, after)
	if after.Burst < 1 || count != s.params.shareCount(members, before) {
		delete(s.owner.shares, key)
		return
	}
	sh.mint(s.owner.clock)
	sh.resize(after.Rate/float64(count), shareBurst(after.Burst, key.share, count))
}
