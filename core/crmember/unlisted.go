package crmember

import (
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// handleUnlisted handles a message of a daemon that no held list names.
//
// A daemon that starts while the platform is down holds no list, and so no list
// names its peers. If it ignored them it would never become ready, and a fleet that
// is replaced step by step during a long outage would stop serving. The transport
// has verified the sender's certificate. A daemon that holds a list requests lists only
// from peers named in it.
func (s *State) handleUnlisted(from crid.Daemon, msg crevent.Message) {
	if len(s.lists) > 0 {
		return
	}
	switch m := msg.(type) {
	case Heartbeat:
		if s.requestedLists && s.now.Sub(s.listsRequestedAt) < s.params.Interval {
			return
		}
		s.requestedLists = true
		s.listsRequestedAt = s.now
		s.emit(crevent.Send{To: from, Msg: ListRequest{}})
	case ListResponse:
		s.handleListResponse(m)
	}
}
