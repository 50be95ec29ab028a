// Package crhealth finds sick targets and ejects them, so that the healthy
// capacity of a service never falls below its floor by ejecting.
//
// Traffic goroutines of every daemon count their attempts in a [Recorder]. The
// reducer [State] sends them as a [Digest] to the service's arbiter, which is
// the daemon that ranks first for the service among the members of the active
// list. The arbiter adds up the evidence of all entries, compares each target
// with its peers ([PeerJudge]) and answers each digest with a [Verdict]. A
// verdict holds for a bounded time, counted from the sending of the digest that
// it answers; so an arbiter that is gone or cut off is obeyed no longer, and
// the next one starts only then. docs/design/05-ejection.md gives the argument.
//
// # Usage
//
//	recorder := crhealth.NewRecorder()
//	recorder.Record(target, crhealth.ResultOK, took, account) // by traffic
//
//	s := crhealth.New(crhealth.DefaultParams())
//	s.Step(crhealth.Observed{Now: now, Samples: recorder.Drain(now)}) // each tick
//	for _, effect := range s.Step(ev) {
//		// crevent.Send, crevent.Report and Steer go to the shell.
//	}
package crhealth

import (
	"maps"
	"slices"
	"strings"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
	"camphorroad/core/crpolicy"
)

// place is where a target stands, by the newest list.
type place struct {
	daemon    crid.Daemon
	service   crid.Service
	leaving   bool
	coldSince crid.Instant
	cold      bool
}

// State is the reducer. It is not safe for concurrent use.
type State struct {
	params Params

	now      crid.Instant
	self     crid.Daemon
	life     crid.Incarnation
	stopping bool
	snapshot *crpolicy.Snapshot
	listed   bool
	places   map[crid.Target]*place
	targets  map[crid.Service][]crid.Target // sorted
	peers    map[crid.Daemon]crmember.Peer
	standing standing

	entries map[crid.Service]*entry
	hot     map[crid.Service]bool // services whose Steer changes with time
	dockets map[crid.Service]*docket
	seq     uint64
	number  uint64
	credit  float64 // bytes that digests may take now
	paidAt  crid.Instant
	late    bool

	out []crevent.Effect
}

// New returns a reducer that knows nothing yet.
func New(p Params) *State {
	if p.Judge == nil {
		p.Judge = PeerJudge{}
	}
	return &State{
		params:   p,
		places:   make(map[crid.Target]*place),
		targets:  make(map[crid.Service][]crid.Target),
		peers:    make(map[crid.Daemon]crmember.Peer),
		entries:  make(map[crid.Service]*entry),
		hot:      make(map[crid.Service]bool),
		dockets:  make(map[crid.Service]*docket),
		standing: newStanding(),
	}
}

// Step takes one event and returns what is to be done.
func (s *State) Step(ev crevent.Event) []crevent.Effect {
	s.now = max(s.now, ev.At())
	s.out = nil
	switch ev := ev.(type) {
	case crevent.Started:
		s.self = ev.Self
		s.life = ev.Incarnation
	case crevent.Stopping:
		s.stopping = true
	case crinstance.ListUpdated:
		s.takeList(ev.List)
	case crconfig.InForce:
		s.snapshot = ev.Snapshot
	case crmember.PeersChanged:
		s.takePeers(ev.Peers)
	case crmember.Lease:
		s.takeTenure(ev)
	case Observed:
		s.observe(ev.Samples)
	case crevent.Received:
		s.receive(ev.From, ev.Msg)
	case crevent.Tick:
		s.tick()
	}
	s.steerAfter(ev)
	return s.out
}

func (s *State) emit(e crevent.Effect) { s.out = append(s.out, e) }

func (s *State) report(number int, service crid.Service, target crid.Target, detail string) {
	fields := map[string]string{"service": string(service)}
	if target != "" {
		fields["target"] = string(target)
	}
	if detail != "" {
		fields["detail"] = detail
	}
	s.emit(crevent.Report{Number: number, Fields: fields})
}

// takeList indexes a list. A target that was not in the list before is cold;
// all those of the first list are taken as warm, since their age is unknown.
func (s *State) takeList(list crinstance.List) {
	former := s.places
	s.places = make(map[crid.Target]*place, len(former))
	s.targets = make(map[crid.Service][]crid.Target)
	for _, in := range list.Instances() {
		for _, t := range in.Targets {
			p := &place{daemon: in.Daemon, service: t.Service, leaving: in.Leaving(), cold: s.listed, coldSince: s.now}
			if old, ok := former[t.Name]; ok {
				p.cold, p.coldSince = old.cold, old.coldSince
			}
			s.places[t.Name] = p
			s.targets[t.Service] = append(s.targets[t.Service], t.Name)
		}
	}
	for _, names := range s.targets {
		slices.Sort(names)
	}
	s.listed = true
	for service := range s.entries {
		if len(s.targets[service]) == 0 {
			delete(s.entries, service)
			delete(s.hot, service)
		}
	}
}

// takePeers notes who is reachable. A daemon with a new incarnation has been
// replaced with its instance, so its targets are cold.
func (s *State) takePeers(peers []crmember.Peer) {
	former := s.peers
	s.peers = make(map[crid.Daemon]crmember.Peer, len(peers))
	restarted := make(map[crid.Daemon]bool)
	for _, p := range peers {
		old := former[p.Daemon]
		if old.Incarnation != 0 && p.Incarnation != 0 && old.Incarnation != p.Incarnation {
			restarted[p.Daemon] = true
		}
		s.peers[p.Daemon] = p
	}
	if len(restarted) == 0 {
		return
	}
	for _, p := range s.places {
		if restarted[p.daemon] {
			p.cold = true
			p.coldSince = s.now
			s.hot[p.service] = true
		}
	}
}

// coldNow reports whether a target is in its first seconds.
func (s *State) coldNow(p *place) bool {
	return p.cold && s.now.Sub(p.coldSince) < s.params.ColdStart
}

// isCapacity reports whether a target counts as capacity: listed, not leaving,
// reachable and warm. A daemon that is not among the peers does not count.
func (s *State) isCapacity(target crid.Target) bool {
	p := s.places[target]
	if p == nil || p.leaving || s.coldNow(p) {
		return false
	}
	if p.daemon == s.self {
		return !s.stopping
	}
	peer := s.peers[p.daemon]
	return peer.Reachable && !peer.Leaving
}

// allowance is how many targets of a service may be ejected at one time.
func (s *State) allowance(service crid.Service) int {
	if s.snapshot == nil {
		return 0
	}
	policy, ok := s.snapshot.Service(service)
	if !ok {
		return 0
	}
	capacity := 0
	for _, t := range s.targets[service] {
		if s.isCapacity(t) {
			capacity++
		}
	}
	return max(capacity-policy.Floor, 0)
}

func (s *State) receive(from crid.Daemon, msg crevent.Message) {
	switch msg := msg.(type) {
	case Digest:
		s.takeDigest(from, msg)
	case Verdict:
		s.takeVerdict(from, msg)
	}
}

func (s *State) tick() {
	s.sendDigests()
	s.judgeAll()
}

func sortedServices[V any](m map[crid.Service]V) []crid.Service {
	return slices.SortedFunc(maps.Keys(m), func(a, b crid.Service) int {
		return strings.Compare(string(a), string(b))
	})
}
