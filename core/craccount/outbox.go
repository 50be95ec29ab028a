package craccount

import (
	"strconv"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// destination is where a Grant goes and which Ask it answers.
type destination struct {
	to  crid.Daemon
	inc crid.Incarnation
	seq uint64
}

// outbox gathers what one Step sends, one message per destination.
type outbox struct {
	effects []crevent.Effect
	grants  []Grant
	toWhom  []destination
	asks    []Ask
	owners  []crid.Daemon
}

func (o *outbox) grant(to crid.Daemon, inc crid.Incarnation, seq uint64, item GrantItem) {
	dest := destination{to, inc, seq}
	for i := range o.toWhom {
		if o.toWhom[i] == dest {
			o.grants[i].Items = append(o.grants[i].Items, item)
			return
		}
	}
	o.toWhom = append(o.toWhom, dest)
	o.grants = append(o.grants, Grant{To: inc, Seq: seq, Items: []GrantItem{item}})
}

// askFor returns the message that is being gathered for an owner.
func (o *outbox) askFor(owner crid.Daemon) *Ask {
	for i := range o.owners {
		if o.owners[i] == owner {
			return &o.asks[i]
		}
	}
	o.owners = append(o.owners, owner)
	o.asks = append(o.asks, Ask{})
	return &o.asks[len(o.asks)-1]
}

func (s *State) emit(eff crevent.Effect) { s.out.effects = append(s.out.effects, eff) }

func (s *State) report(number int, name, value string) {
	s.emit(crevent.Report{Number: number, Fields: map[string]string{name: value}})
}

// flush turns the outbox into effects. Messages from this daemon's entry to
// its own owner role, and back, are handled on the spot.
func (s *State) flush() []crevent.Effect {
	for len(s.out.grants)+len(s.out.asks) > 0 {
		for _, owner := range s.out.owners {
			s.say(owner)
		}
		asks, owners := s.out.asks, s.out.owners
		grants, toWhom := s.out.grants, s.out.toWhom
		s.out.asks, s.out.owners = nil, nil
		s.out.grants, s.out.toWhom = nil, nil
		for i, ask := range asks {
			s.post(owners[i], s.seal(owners[i], ask))
		}
		for i, grant := range grants {
			grant.Inc = s.inc
			s.post(toWhom[i].to, grant)
		}
	}
	effects := s.out.effects
	s.out.effects = nil
	return effects
}

// seal numbers an Ask; one that asks for nothing goes as a Return.
func (s *State) seal(owner crid.Daemon, ask Ask) crevent.Message {
	if len(ask.Items) == 0 {
		return Return{Uses: ask.Uses}
	}
	ask.Inc = s.inc
	ask.Seq = s.entry.sendSeq(owner, s.now)
	return ask
}

func (s *State) post(to crid.Daemon, msg crevent.Message) {
	if to == s.self {
		s.receive(to, msg)
		return
	}
	s.emit(crevent.Send{To: to, Msg: msg})
}

func itoa(n int) string { return strconv.Itoa(n) }
