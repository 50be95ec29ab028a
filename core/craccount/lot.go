package craccount

import (
	"time"

	"camphorroad/core/crid"
)

const (
	deferBurstFactor = 5           // reports wait while the burst is this often what comes in meanwhile
	grantRetention   = time.Second // void lots are remembered for late counts
)

// heldGrant is one grant held by this daemon.
type heldGrant struct {
	account   crid.Account
	share     int
	tokens    int
	taken     int
	returned  int
	expiresAt crid.Instant
	spends    []spend // since the last report
	deferred  bool    // spent tokens that the owner has not been told of
}

func (s *State) handleGrantUsage(u UsageDelta) {
	l, ok := s.entry.grants[u.Key]
	if !ok {
		return
	}
	l.taken += u.Taken
	if u.Taken > 0 {
		l.spends = append(l.spends, spend{u.Taken, u.LastSpentAt})
	}
	l.returned += u.Returned
	if a, ok := s.entry.accounts[l.account]; ok {
		a.held -= u.Taken + u.Returned
	}
	if u.Returned == 0 && s.canDeferReport(l.account) {
		s.deferReport(u.Key, l)
		return
	}
	s.addUsage(u.Key, l)
}

// canDeferReport reports whether an account's burst bears that spent tokens are told
// late: until then they take up room that the owner could mint into.
func (s *State) canDeferReport(name crid.Account) bool {
	limit := s.limits(name)
	return limit.Burst >= deferBurstFactor*limit.Rate*s.params.ReportInterval.Seconds()
}

func (s *State) deferReport(key GrantKey, l *heldGrant) {
	if !l.deferred {
		l.deferred = true
		s.entry.deferred = append(s.entry.deferred, key)
	}
}

// reportDeferred reports the spent tokens that were kept back, to one owner when a
// message goes there anyway, or to all (owner empty).
func (s *State) reportDeferred(owner crid.Daemon) {
	kept := s.entry.deferred[:0]
	for _, key := range s.entry.deferred {
		l, ok := s.entry.grants[key]
		if !ok {
			continue
		}
		if owner != "" && key.Owner != owner {
			kept = append(kept, key)
			continue
		}
		l.deferred = false
		s.addUsage(key, l)
	}
	s.entry.deferred = kept
}

func (s *State) addUsage(key GrantKey, l *heldGrant) {
	ask := s.out.requestTo(key.Owner)
	use := GrantUsage{Account: l.account, Share: l.share, Inc: key.Inc, Grant: key.ID, Taken: l.taken, Returned: l.returned, Spent: s.spentAges(l)}
	for i := range ask.Usage {
		if ask.Usage[i].Grant == use.Grant && ask.Usage[i].Inc == use.Inc {
			use.Spent = append(ask.Usage[i].Spent, use.Spent...)
			ask.Usage[i] = use
			return
		}
	}
	ask.Usage = append(ask.Usage, use)
}

// dropExpired forgets Asks and lots that no message can refer to any more.
func (s *State) dropExpired() {
	for s.entry.oldestSeq < s.entry.nextSeq {
		sent := s.entry.sent[s.entry.oldestSeq]
		if s.now.Before(sent.at.Add(s.params.Lifetime)) {
			break
		}
		delete(s.entry.sent, s.entry.oldestSeq)
		s.entry.oldestSeq++
	}
	for len(s.entry.grantOrder) > 0 {
		key := s.entry.grantOrder[0]
		if l, ok := s.entry.grants[key]; ok && s.now.Before(l.expiresAt.Add(grantRetention)) {
			break
		}
		delete(s.entry.grants, key)
		s.entry.grantOrder = s.entry.grantOrder[1:]
	}
}
