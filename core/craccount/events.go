package craccount

import (
	"time"

	"camphorroad/core/crid"
)

// Numbers of the events that this package reports. docs/events.md describes each.
const (
	EventRefillStarted   = 300 // this daemon refills its shares
	EventRefillStopped   = 301 // this daemon stopped refilling
	EventLateGrant       = 302 // a grant arrived after it expired, or for an earlier incarnation, and was not used
	EventNotOwner        = 303 // tokens were requested from a share that this daemon does not own
	EventTooManyAccounts = 304 // more accounts in use than MaxActive
	EventExhausted       = 305 // requests of an account are refused
	EventStopped         = 306 // tokens are returned before the stop
)

// logInterval is the least time between two reports of one number, so that a fault on the
// path of every request does not flood the logs.
const logInterval = 10 * time.Second

// reportLimited reports an event unless its number was reported within logInterval.
func (s *State) reportLimited(number int, name, value string) {
	last, ok := s.eventReportedAt[number]
	if ok && s.now.Sub(last) < logInterval {
		return
	}
	s.eventReportedAt[number] = s.now
	s.report(number, name, value)
}

func (s *State) reportLeaseGained() {
	if s.owner.leaseLost {
		s.owner.leaseLost = false
		s.report(EventRefillStarted, "list", itoa(int(s.lease.Active)))
	}
}

func (s *State) reportLeaseLost() {
	if !s.owner.leaseLost {
		s.owner.leaseLost = true
		s.report(EventRefillStopped, "list", itoa(int(s.owner.active)))
	}
}

// Dump is the reducer's state in the state dump of the process.
type Dump struct {
	Active    crid.Revision `json:"active"`
	Refilling bool          `json:"minting"`
	Stopping  bool          `json:"stopping"`
	Shares    []ShareDump   `json:"shares"`
	Accounts  []AccountDump `json:"accounts"`
}

// ShareDump is a share that this daemon owns.
type ShareDump struct {
	Account     crid.Account `json:"account"`
	Share       int          `json:"share"`
	Rate        float64      `json:"rate"`
	Burst       float64      `json:"burst"`
	Balance     float64      `json:"balance"`
	Outstanding int          `json:"outstanding"`
	Waiting     int          `json:"waiting"`
}

// AccountDump is an account in use at this entry daemon.
type AccountDump struct {
	Account crid.Account  `json:"account"`
	Demand  float64       `json:"demand"`
	Held    int           `json:"held"`
	Owners  []crid.Daemon `json:"owners"`
}
