package craccount

import (
	"strconv"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// destination is the receiver of a Grant and the TokenRequest that it answers.
type destination struct {
	to  crid.Daemon
	inc crid.Incarnation
	seq uint64
}

// outbox collects the messages of one Step, one message per destination.
type outbox struct {
	effects      []crevent.Effect
	grants       []Grant
	destinations []destination
	requests     []TokenRequest
	owners       []crid.Daemon
}

func (o *outbox) grant(to crid.Daemon, inc crid.Incarnation, seq uint64, item GrantItem) {
	dest := destination{to, inc, seq}
	for i := range o.destinations {
		if o.destinations[i] == dest {
			o.grants[i].Items = append(o.grants[i].Items, item)
			return
		}
	}
	o.destinations = append(o.destinations, dest)
	o.grants = append(o.grants, Grant{ToInc: inc, Seq: seq, Items: []GrantItem{item}})
}

// requestTo returns the pending message to an owner. It creates a missing one.
func (o *outbox) requestTo(owner crid.Daemon) *TokenRequest {
	for i := range o.owners {
		if o.owners[i] == owner {
			return &o.requests[i]
		}
	}
	o.owners = append(o.owners, owner)
	o.requests = append(o.requests, TokenRequest{})
	return &o.requests[len(o.requests)-1]
}

func (s *State) emit(eff crevent.Effect) { s.out.effects = append(s.out.effects, eff) }

func (s *State) report(number int, name, value string) {
	s.emit(crevent.Report{Number: number, Fields: map[string]string{name: value}})
}

// flush turns the outbox into effects. Messages between the two roles of this daemon are
// handled directly.
func (s *State) flush() []crevent.Effect {
	for len(s.out.grants)+len(s.out.requests) > 0 {
		for _, owner := range s.out.owners {
			s.reportDeferred(owner)
		}
		requests, owners := s.out.requests, s.out.owners
		grants, destinations := s.out.grants, s.out.destinations
		s.out.requests, s.out.owners = nil, nil
		s.out.grants, s.out.destinations = nil, nil
		for i, req := range requests {
			s.deliver(owners[i], s.finishRequest(owners[i], req))
		}
		for i, grant := range grants {
			grant.Inc = s.inc
			s.deliver(destinations[i].to, grant)
		}
	}
	effects := s.out.effects
	s.out.effects = nil
	return effects
}

// finishRequest numbers a TokenRequest. One without items becomes a UsageReport.
func (s *State) finishRequest(owner crid.Daemon, req TokenRequest) crevent.Message {
	if len(req.Items) == 0 {
		return UsageReport{Usage: req.Usage}
	}
	req.Inc = s.inc
	req.Seq = s.entry.recordRequest(owner, s.now)
	return req
}

func (s *State) deliver(to crid.Daemon, msg crevent.Message) {
	if to == s.self {
		s.receive(to, msg)
		return
	}
	s.emit(crevent.Send{To: to, Msg: msg})
}

func itoa(n int) string { return strconv.Itoa(n) }
