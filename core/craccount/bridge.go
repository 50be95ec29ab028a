package craccount

import (
	"slices"

	"camphorroad/core/crid"
	"camphorroad/core/crmember"
)

// takeBridge goes on during a handover with the shares that every list of it
// gives to this daemon. Whichever of those lists is the active one somewhere,
// no other daemon mints these shares; the others of its shares it drops.
//
// Without it each change of the list would stop all minting until the handover
// is done, and every account would be refused once its entries' tokens are
// spent, though most shares stay where they are.
func (s *State) takeBridge(ev crmember.Lease, kept bool) {
	if !kept || len(s.owner.epochs) == 0 || !s.now.Before(ev.JointUntil) {
		s.tenure.Until = 0
		s.noteLapse()
		return
	}
	s.tenure.Until = ev.JointUntil
	s.owner.heldTo = s.now
	changed := false
	for _, m := range ev.JointLists {
		if !s.hasEpoch(m.Rev) {
			s.addEpoch(epoch{rev: m.Rev, members: newRoster(m.Members), start: s.owner.clock, bridged: true})
			changed = true
		}
	}
	if changed {
		s.dropLost()
	}
}

func (s *State) hasEpoch(rev crid.Revision) bool {
	return slices.ContainsFunc(s.owner.epochs, func(e epoch) bool { return e.rev == rev })
}
