package craccount

import (
	"time"

	"camphorroad/core/crid"
)

const (
	ampleBurst = 5           // reports wait while the burst is this often what comes in meanwhile
	lotsLinger = time.Second // void lots are remembered for late counts
)

// lot is one grant held by this daemon.
type lot struct {
	account crid.Account
	share   int
	tokens  int
	taken   int
	back    int
	voidAt  crid.Instant
	fresh   []spend // since the last report
	unsaid  bool    // spent tokens that the owner has not been told of
}

func (s *State) takeLotUsage(u Usage) {
	l, ok := s.entry.lots[u.Key]
	if !ok {
		return
	}
	l.taken += u.Taken
	if u.Taken > 0 {
		l.fresh = append(l.fresh, spend{u.Taken, u.Spent})
	}
	l.back += u.Back
	if a, ok := s.entry.accounts[l.account]; ok {
		a.held -= u.Taken + u.Back
	}
	if u.Back == 0 && s.ample(l.account) {
		s.keepUnsaid(u.Key, l)
		return
	}
	s.addUse(u.Key, l)
}

// ample reports whether an account's burst bears that spent tokens are told
// late: until then they take up room that the owner could mint into.
func (s *State) ample(name crid.Account) bool {
	limit := s.limits(name)
	return limit.Burst >= ampleBurst*limit.Rate*s.params.ReportGap.Seconds()
}

func (s *State) keepUnsaid(key GrantKey, l *lot) {
	if !l.unsaid {
		l.unsaid = true
		s.entry.unsaid = append(s.entry.unsaid, key)
	}
}

// say reports the spent tokens that were kept back, to one owner when a
// message goes there anyway, or to all (owner empty).
func (s *State) say(owner crid.Daemon) {
	kept := s.entry.unsaid[:0]
	for _, key := range s.entry.unsaid {
		l, ok := s.entry.lots[key]
		if !ok {
			continue
		}
		if owner != "" && key.Owner != owner {
			kept = append(kept, key)
			continue
		}
		l.unsaid = false
		s.addUse(key, l)
	}
	s.entry.unsaid = kept
}

func (s *State) addUse(key GrantKey, l *lot) {
	ask := s.out.askFor(key.Owner)
	use := Use{Account: l.account, Share: l.share, Inc: key.Inc, Grant: key.ID, Taken: l.taken, Back: l.back, Spent: s.ages(l)}
	for i := range ask.Uses {
		if ask.Uses[i].Grant == use.Grant && ask.Uses[i].Inc == use.Inc {
			use.Spent = append(ask.Uses[i].Spent, use.Spent...)
			ask.Uses[i] = use
			return
		}
	}
	ask.Uses = append(ask.Uses, use)
}

// dropOld forgets Asks and lots that no message can refer to any more.
func (s *State) dropOld() {
	for s.entry.oldSeq < s.entry.nextSeq {
		sent := s.entry.sent[s.entry.oldSeq]
		if s.now.Before(sent.at.Add(s.params.Lifetime)) {
			break
		}
		delete(s.entry.sent, s.entry.oldSeq)
		s.entry.oldSeq++
	}
	for len(s.entry.lotOrder) > 0 {
		key := s.entry.lotOrder[0]
		if l, ok := s.entry.lots[key]; ok && s.now.Before(l.voidAt.Add(lotsLinger)) {
			break
		}
		delete(s.entry.lots, key)
		s.entry.lotOrder = s.entry.lotOrder[1:]
	}
}
