package crmember

import (
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// handleUnlisted takes what a daemon says that no held list names.
//
// A daemon that starts while the platform is away has no list, so that every
// peer is a stranger to it; were it to ignore them it would never be ready, and
// a fleet that is replaced piece by piece through a long outage would go dark.
// The transport has verified the stranger's certificate, and a daemon that holds
// any list asks only the peers named there.
func (s *State) handleUnlisted(from crid.Daemon, msg crevent.Message) {
	if len(s.lists) > 0 {
		return
	}
	switch m := msg.(type) {
	case Beat:
		if s.requestedLists && s.now.Sub(s.listsRequestedAt) < s.params.Interval {
			return
		}
		s.requestedLists = true
		s.listsRequestedAt = s.now
		s.emit(crevent.Send{To: from, Msg: Fetch{}})
	case Lists:
		s.handleListResponse(m)
	}
}
