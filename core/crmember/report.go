package crmember

import (
	"strconv"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// Numbers of the reported events. docs/events.md describes each.
const (
	EventLeaseAcquired   = 200
	EventLeaseLost       = 201
	EventListAdopted     = 202
	EventListIgnored     = 203
	EventListsFull       = 204
	EventRecovered       = 205
	EventColdStart       = 206
	EventPeerReachable   = 207
	EventPeerUnreachable = 208
	EventPeerLeaving     = 209
	EventPeerRestarted   = 210
	EventNotListed       = 211
)

func (s *State) report(number int, fields map[string]string) {
	s.emit(crevent.Report{Number: number, Fields: fields})
}

func (s *State) reportList(number int, rev crid.Revision) {
	s.report(number, map[string]string{"list": strconv.FormatUint(uint64(rev), 10)})
}

func (s *State) reportPeer(number int, d crid.Daemon) {
	s.report(number, map[string]string{"peer": string(d)})
}
