package craccount

import (
	"slices"

	"camphorroad/core/crid"
	"camphorroad/core/crmember"
)

// handleHandover keeps the lease during a handover, for the shares that every list of the
// handover assigns to this daemon. No other daemon refills these shares, whichever list is
// active elsewhere. All other shares are dropped.
//
// Otherwise every change of the list would stop all refilling until the handover ends. Entry
// daemons would run out of tokens and refuse every account, although most shares do not move.
func (s *State) handleHandover(ev crmember.Lease, leaseKept bool) {
	if !leaseKept || len(s.owner.epochs) == 0 || !s.now.Before(ev.JointUntil) {
		s.lease.Until = 0
		s.reportLeaseLost()
		return
	}
	s.lease.Until = ev.JointUntil
	s.owner.leaseHeldUntil = s.now
	changed := false
	for _, m := range ev.JointLists {
		if !s.hasEpoch(m.Rev) {
			s.addEpoch(epoch{rev: m.Rev, members: newMemberSet(m.Members), start: s.owner.refillClock, handover: true})
			changed = true
		}
	}
	if changed {
		s.dropUnowned()
	}
}

func (s *State) hasEpoch(rev crid.Revision) bool {
	return slices.ContainsFunc(s.owner.epochs, func(e epoch) bool { return e.rev == rev })
}
