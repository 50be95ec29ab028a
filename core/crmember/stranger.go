package crmember

import (
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// fromStranger takes what a daemon says that no held list names.
//
// A daemon that starts while the platform is away has no list, so that every
// peer is a stranger to it; were it to ignore them it would never be ready, and
// a fleet that is replaced piece by piece through a long outage would go dark.
// The transport has verified the stranger's certificate, and a daemon that holds
// any list asks only the peers named there.
func (s *State) fromStranger(from crid.Daemon, msg crevent.Message) {
	if len(s.lists) > 0 {
		return
	}
	switch m := msg.(type) {
	case Beat:
		if s.askedStranger && s.now.Sub(s.strangerAt) < s.params.Interval {
			return
		}
		s.askedStranger = true
		s.strangerAt = s.now
		s.emit(crevent.Send{To: from, Msg: Fetch{}})
	case Lists:
		s.onLists(m)
	}
}
