package craccount

import (
	"time"

	"camphorroad/core/crid"
)

const (
	deferBurstFactor = 5           // reports are deferred when the burst is at least this multiple of the refill in a ReportInterval
	grantRetention   = time.Second // how long expired grants are kept for late usage counts
)

// heldGrant is a grant that this entry daemon has received.
type heldGrant struct {
	account   crid.Account
	share     int
	tokens    int
	taken     int
	returned  int
	expiresAt crid.Instant
	spends    []spend // since the last report
	deferred  bool    // some spent tokens have not been reported to the owner
}

func (s *State) handleGrantUsage(u UsageDelta) {
	g, ok := s.entry.grants[u.Key]
	if !ok {
		return
	}
	g.taken += u.Taken
	if u.Taken > 0 {
		g.spends = append(g.spends, spend{u.Taken, u.LastSpentAt})
	}
	g.returned += u.Returned
	if a, ok := s.entry.accounts[g.account]; ok {
		a.held -= u.Taken + u.Returned
	}
	if u.Returned == 0 && s.canDeferReport(g.account) {
		s.deferReport(u.Key, g)
		return
	}
	s.addUsage(u.Key, g)
}

// canDeferReport reports whether an account's burst is large enough to report spent tokens
// late. Until they are reported they occupy room that the owner could refill.
func (s *State) canDeferReport(name crid.Account) bool {
	limit := s.limits(name)
	return limit.Burst >= deferBurstFactor*limit.Rate*s.params.ReportInterval.Seconds()
}

func (s *State) deferReport(key GrantKey, g *heldGrant) {
	if !g.deferred {
		g.deferred = true
		s.entry.deferred = append(s.entry.deferred, key)
	}
}

// reportDeferred reports the spent tokens whose report was deferred. It reports to one owner
// when a message goes there anyway, or to all owners if owner is empty.
func (s *State) reportDeferred(owner crid.Daemon) {
	deferred := s.entry.deferred[:0]
	for _, key := range s.entry.deferred {
		g, ok := s.entry.grants[key]
		if !ok {
			continue
		}
		if owner != "" && key.Owner != owner {
			deferred = append(deferred, key)
			continue
		}
		g.deferred = false
		s.addUsage(key, g)
	}
	s.entry.deferred = deferred
}

func (s *State) addUsage(key GrantKey, g *heldGrant) {
	req := s.out.requestTo(key.Owner)
	usage := GrantUsage{Account: g.account, Share: g.share, Inc: key.Inc, Grant: key.ID, Taken: g.taken, Returned: g.returned, Spent: s.spentAges(g)}
	for i := range req.Usage {
		if req.Usage[i].Grant == usage.Grant && req.Usage[i].Inc == usage.Inc {
			usage.Spent = append(req.Usage[i].Spent, usage.Spent...)
			req.Usage[i] = usage
			return
		}
	}
	req.Usage = append(req.Usage, usage)
}

// dropExpired drops token requests and grants that no further message can refer to.
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
		if g, ok := s.entry.grants[key]; ok && s.now.Before(g.expiresAt.Add(grantRetention)) {
			break
		}
		delete(s.entry.grants, key)
		s.entry.grantOrder = s.entry.grantOrder[1:]
	}
}
