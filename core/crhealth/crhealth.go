// Package crhealth ejects unhealthy targets by outlier detection over the whole fleet.
// Ejections never take the healthy capacity of a service below a minimum, its floor.
//
// Traffic goroutines of every daemon count their attempts in a [Recorder]. The reducer
// [State], which core/crdaemon runs, sends the counts as a [Digest] to the service's
// arbiter: the daemon with the highest rendezvous hash for the service among the
// members of the active instance list (core/crmember). The arbiter adds up the counts
// of all entry daemons, compares each target with its peers ([PeerJudge]) and replies
// to each digest with a [Verdict]. A verdict is valid for a bounded time from the
// sending of the digest that it answers. The verdicts of an arbiter that is down or
// partitioned therefore expire, and the next arbiter sends its first verdict only then.
// docs/design/05-ejection.md gives the argument.
//
// Package crjudge, in contrast, estimates the health of one target from the responses
// that its own exit receives.
//
// # Usage
//
//	recorder := crhealth.NewRecorder()
//	recorder.Record(target, crhealth.ResultOK, took, account) // by traffic
//
//	s := crhealth.New(crhealth.DefaultParams())
//	s.Step(crhealth.Observed{Now: now, Samples: recorder.Drain(now)}) // each tick
//	for _, effect := range s.Step(ev) {
//		// The caller executes crevent.Send, crevent.Report and RoutingUpdate.
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

// placement is the daemon and service of a target, according to the newest list.
type placement struct {
	daemon    crid.Daemon
	service   crid.Service
	leaving   bool
	coldSince crid.Instant
	cold      bool
}

// State is the reducer. It is not safe for concurrent use.
type State struct {
	params Params

	now         crid.Instant
	self        crid.Daemon
	incarnation crid.Incarnation
	stopping    bool
	snapshot    *crpolicy.Snapshot
	listed      bool
	placements  map[crid.Target]*placement
	targets     map[crid.Service][]crid.Target // sorted
	peers       map[crid.Daemon]crmember.Peer
	lease       leaseState

	entries       map[crid.Service]*entry
	timeVarying   map[crid.Service]bool // services whose RoutingUpdate changes with time
	detectors     map[crid.Service]*detector
	digestSeq     uint64
	verdictNumber uint64
	digestTokens  float64 // bytes that digests may use now
	refilledAt    crid.Instant
	digestsLate   bool

	out []crevent.Effect
}

// New returns a reducer without state.
func New(p Params) *State {
	if p.Judge == nil {
		p.Judge = PeerJudge{}
	}
	return &State{
		params:      p,
		placements:  make(map[crid.Target]*placement),
		targets:     make(map[crid.Service][]crid.Target),
		peers:       make(map[crid.Daemon]crmember.Peer),
		entries:     make(map[crid.Service]*entry),
		timeVarying: make(map[crid.Service]bool),
		detectors:   make(map[crid.Service]*detector),
		lease:       newLeaseState(),
	}
}

// Step handles one event and returns its effects.
func (s *State) Step(ev crevent.Event) []crevent.Effect {
	s.now = max(s.now, ev.At())
	s.out = nil
	switch ev := ev.(type) {
	case crevent.Started:
		s.self = ev.Self
		s.incarnation = ev.Incarnation
	case crevent.Stopping:
		s.stopping = true
	case crinstance.ListUpdated:
		s.applyList(ev.List)
	case crconfig.Applied:
		s.snapshot = ev.Snapshot
	case crmember.PeersChanged:
		s.applyPeers(ev.Peers)
	case crmember.Lease:
		s.applyLease(ev)
	case Observed:
		s.observe(ev.Samples)
	case crevent.Received:
		s.receive(ev.From, ev.Msg)
	case crevent.Tick:
		s.tick()
	}
	s.updateRoutingAfter(ev)
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

// applyList indexes a list. A target that was not in the previous list is cold. All
// targets of the first list count as warm, since their age is unknown.
func (s *State) applyList(list crinstance.List) {
	previous := s.placements
	s.placements = make(map[crid.Target]*placement, len(previous))
	s.targets = make(map[crid.Service][]crid.Target)
	for _, in := range list.Instances() {
		for _, t := range in.Targets {
			p := &placement{daemon: in.Daemon, service: t.Service, leaving: in.Leaving(), cold: s.listed, coldSince: s.now}
			if old, ok := previous[t.Name]; ok {
				p.cold, p.coldSince = old.cold, old.coldSince
			}
			s.placements[t.Name] = p
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
			delete(s.timeVarying, service)
		}
	}
}

// applyPeers records which daemons are reachable. A new incarnation of a daemon means
// that its whole instance was replaced, so its targets are cold.
func (s *State) applyPeers(peers []crmember.Peer) {
	previous := s.peers
	s.peers = make(map[crid.Daemon]crmember.Peer, len(peers))
	restarted := make(map[crid.Daemon]bool)
	for _, p := range peers {
		old := previous[p.Daemon]
		if old.Incarnation != 0 && p.Incarnation != 0 && old.Incarnation != p.Incarnation {
			restarted[p.Daemon] = true
		}
		s.peers[p.Daemon] = p
	}
	if len(restarted) == 0 {
		return
	}
	for _, p := range s.placements {
		if restarted[p.daemon] {
			p.cold = true
			p.coldSince = s.now
			s.timeVarying[p.service] = true
		}
	}
}

// isCold reports whether a target started less than ColdStart ago.
func (s *State) isCold(p *placement) bool {
	return p.cold && s.now.Sub(p.coldSince) < s.params.ColdStart
}

// isCapacity reports whether a target counts as capacity: listed, not leaving,
// reachable and warm. A target whose daemon is not among the peers does not count.
func (s *State) isCapacity(target crid.Target) bool {
	p := s.placements[target]
	if p == nil || p.leaving || s.isCold(p) {
		return false
	}
	if p.daemon == s.self {
		return !s.stopping
	}
	peer := s.peers[p.daemon]
	return peer.Reachable && !peer.Leaving
}

// allowance returns the number of targets of a service that may be ejected at one
// time.
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
		s.handleDigest(from, msg)
	case Verdict:
		s.handleVerdict(from, msg)
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
