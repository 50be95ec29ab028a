// Package crmesh decides what one daemon believes of the fleet: which plan is in
// force, which targets there are, which peers live, and from whom to fetch what
// the store does not give.
//
// [State] is a reducer: events in, effects out. It reads no clock and does no
// I/O. One goroutine owns it; what traffic needs goes out as an immutable [View].
//
// # Usage
//
//	s := crmesh.New(crmesh.Params{Self: "10.0.0.1", Beat: time.Second})
//	for _, eff := range s.Step(crmesh.PlanRead{Now: now, Plan: plan}) { ... }
package crmesh

import (
	"maps"
	"slices"
	"strings"
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crplace"
	"camphorroad/core/crplan"
	"camphorroad/core/crregistry"
)

const (
	// silentBeats is the number of beats after whose absence a peer counts as
	// silent: one may be lost, and two in a row rarely are.
	silentBeats = 3
	// forgetPeer is the time after which a peer is dropped that no record names.
	forgetPeer = 20 * time.Second
	// pullAfter is how long a daemon may know of a newer plan or list at a peer
	// before it fetches it there. The store's own word, gathered for half a
	// second, comes sooner as a rule, and spares the bytes.
	pullAfter = 600 * time.Millisecond
	// pullEvery is the least time between two fetches.
	pullEvery = 400 * time.Millisecond
	// urgentEvery is the least time between two urgent beats. A target whose
	// judgement trembles would else cost a beat to every peer an answer.
	urgentEvery = 50 * time.Millisecond
	// idlePerPeer is the least time between beats, for each peer of the fleet, to
	// peers elsewhere that offered nothing lately. Each daemon would else send
	// all others a beat a second: at 300 machines that was nine tenths of all
	// bytes between domains. What such a peer does not hear, an offer tells it.
	idlePerPeer = 25 * time.Millisecond
	// askedFor is how long a peer that made an offer counts as interested.
	askedFor = 10 * time.Second
	// crowd is the number of peers above which urgent beats go only to the own
	// domain and to interested peers. Verdicts change 20 times a second in a
	// fleet of 300.
	crowd = 40
	// perPeer is the least time between beats for each peer, so that a daemon
	// of a large fleet sends no more than 250 a second.
	perPeer = 4 * time.Millisecond
)

// Params are a daemon's settings.
type Params struct {
	Self    crid.Daemon // its address without a port
	Domain  crid.Domain
	Service crid.Service
	Address string // of its own target
	Seeds   []crid.Daemon
	Beat    time.Duration // between beats to peers of the same domain
	Far     time.Duration // between beats to peers elsewhere
}

// Beat is what a daemon tells its peers.
type Beat struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Target      crid.Target // empty: its target is not known
	Load        int         // requests running and waiting
	Slots       int
	Sick        uint8 // probability, of 255
	Typical     int64 // milliseconds of a request; zero: not known
	Closed      bool  // its target takes nothing now
	Stopping    bool  // the daemon is about to end
	Version     uint64
	Revision    crid.Revision
}

// Told is the beat as the board wants it.
func (b Beat) Told() crplace.Told {
	return crplace.Told{
		Load:    b.Load,
		Slots:   b.Slots,
		Sick:    float64(b.Sick) / 255,
		Typical: time.Duration(b.Typical) * time.Millisecond,
		Closed:  b.Closed || b.Stopping,
	}
}

// Events.
type (
	// PlanRead is a plan read from the store or fetched from a peer.
	PlanRead struct {
		Now  crid.Instant
		Plan *crplan.Plan
	}
	// Listed is the whole list of records, read at a revision.
	Listed struct {
		Now      crid.Instant
		Changes  []crregistry.Change
		Revision crid.Revision
		Peer     bool // fetched from a peer
	}
	// Changed are changes of the list that follow on the last revision.
	Changed struct {
		Now      crid.Instant
		Changes  []crregistry.Change
		Revision crid.Revision
	}
	// StoreLost tells that the store cannot be read.
	StoreLost struct{ Now crid.Instant }
	// StoreBack tells that the store can be read again.
	StoreBack struct{ Now crid.Instant }
	// Heard is a beat of a peer.
	Heard struct {
		Now  crid.Instant
		From crid.Daemon
		Beat Beat
	}
	// Asked tells that a peer has offered a request.
	Asked struct {
		Now  crid.Instant
		From crid.Daemon
	}
	// Nudge asks for a beat to all peers now: the target's state has changed.
	Nudge struct{ Now crid.Instant }
)

// At implements crevent.Event.
func (e PlanRead) At() crid.Instant { return e.Now }

// At implements crevent.Event.
func (e Listed) At() crid.Instant { return e.Now }

// At implements crevent.Event.
func (e Changed) At() crid.Instant { return e.Now }

// At implements crevent.Event.
func (e StoreLost) At() crid.Instant { return e.Now }

// At implements crevent.Event.
func (e StoreBack) At() crid.Instant { return e.Now }

// At implements crevent.Event.
func (e Heard) At() crid.Instant { return e.Now }

// At implements crevent.Event.
func (e Asked) At() crid.Instant { return e.Now }

// At implements crevent.Event.
func (e Nudge) At() crid.Instant { return e.Now }

// Effects.
type (
	// UseView gives traffic a new view.
	UseView struct{ View *View }
	// SendBeat sends a beat to peers; the shell fills in the target's state.
	SendBeat struct {
		To       []crid.Daemon
		Stopping bool
		Version  uint64
		Revision crid.Revision
	}
	// Tell passes a peer's word on its target to the board.
	Tell struct {
		Target crid.Target
		Told   crplace.Told
	}
	// Pull fetches plan and list from a peer.
	Pull struct{ From crid.Daemon }
)

// EffectName implements crevent.Effect.
func (UseView) EffectName() string { return "view" }

// EffectName implements crevent.Effect.
func (SendBeat) EffectName() string { return "beat" }

// EffectName implements crevent.Effect.
func (Tell) EffectName() string { return "tell" }

// EffectName implements crevent.Effect.
func (Pull) EffectName() string { return "pull" }

// View is what traffic reads. It is immutable.
type View struct {
	Plan     *crplan.Plan // nil: none yet
	Listed   bool         // a list of targets is known
	Targets  map[crid.Service][]crplace.Candidate
	Own      *crregistry.Record // the record of this daemon's target; nil: none
	Daemons  []crid.Daemon      // this one and the peers that are alive
	Size     int                // daemons of the fleet, alive or not
	Silent   map[crid.Daemon]bool
	Stopping bool
}

type peer struct {
	heard    crid.Instant // zero: never
	beat     Beat
	listed   bool         // a record or a seed names it
	domain   crid.Domain  // empty: not known
	sent     crid.Instant // the last beat to it
	asked    crid.Instant // its last offer; zero: none
	ahead    crid.Instant // since when it is known to hold what this daemon lacks; zero: it does not
	version  uint64       // that it held then
	revision crid.Revision
	isSilent bool
}

// State is what a daemon believes.
type State struct {
	params   Params
	plan     *crplan.Plan
	registry *crregistry.Registry
	listed   bool
	down     bool
	peers    map[crid.Daemon]*peer
	pulled   crid.Instant
	urged    crid.Instant
	nudged   bool
	stopping bool
}

// New returns the state of a daemon that knows nothing but its seeds.
func New(p Params) *State {
	s := &State{params: p, registry: crregistry.New(), peers: make(map[crid.Daemon]*peer)}
	for _, d := range p.Seeds {
		if d != p.Self {
			s.peers[d] = &peer{listed: true}
		}
	}
	return s
}

// Step takes an event and returns what is to be done.
func (s *State) Step(ev crevent.Event) []crevent.Effect {
	switch ev := ev.(type) {
	case PlanRead:
		return s.planRead(ev)
	case Listed:
		return s.list(ev)
	case Changed:
		s.registry.Apply(ev.Now, ev.Changes, ev.Revision)
		return s.relisted(ev.Now)
	case StoreLost:
		s.down = true
		s.registry.Lost()
	case StoreBack:
		s.down = false
		s.registry.Returned(ev.Now)
	case Heard:
		return s.hear(ev)
	case Asked:
		if p := s.peers[ev.From]; p != nil {
			p.asked = ev.Now
		}
	case Nudge:
		s.nudged = true
		return s.beats(ev.Now)
	case crevent.Tick:
		return s.tick(ev.Now)
	case crevent.Stopping:
		s.stopping = true
		return append(s.beatsTo(slices.Sorted(maps.Keys(s.peers)), ev.Now), s.view(ev.Now))
	}
	return nil
}

// planRead takes a plan unless a newer one is in force: a store or a peer that
// lags behind must never bring a withdrawn key back.
func (s *State) planRead(ev PlanRead) []crevent.Effect {
	if s.plan != nil && ev.Plan.Version() <= s.plan.Version() {
		return nil
	}
	s.plan = ev.Plan
	return []crevent.Effect{s.view(ev.Now)}
}

func (s *State) list(ev Listed) []crevent.Effect {
	if ev.Peer && s.listed && ev.Revision <= s.registry.Revision() {
		return nil
	}
	s.registry.Replace(ev.Now, ev.Changes, ev.Revision)
	s.listed = true
	return s.relisted(ev.Now)
}

// relisted brings the peers in line with the records.
func (s *State) relisted(now crid.Instant) []crevent.Effect {
	for _, p := range s.peers {
		p.listed = false
	}
	for _, d := range s.params.Seeds {
		if p := s.peers[d]; p != nil {
			p.listed = true
		}
	}
	for _, r := range s.registry.Records() {
		d := DaemonOf(r.Address)
		if d == s.params.Self {
			continue
		}
		p := s.peers[d]
		if p == nil {
			p = &peer{}
			s.peers[d] = p
		}
		p.listed = true
		p.domain = r.Domain
	}
	return []crevent.Effect{s.view(now)}
}

// DaemonOf returns the daemon beside the target with an address: it has the
// machine's address.
func DaemonOf(address string) crid.Daemon {
	host, _, _ := strings.Cut(address, ":")
	return crid.Daemon(host)
}

func (s *State) hear(ev Heard) []crevent.Effect {
	p := s.peers[ev.From]
	if p == nil {
		p = &peer{}
		s.peers[ev.From] = p
	}
	fresh := p.heard == 0 || p.isSilent || p.beat.Stopping != ev.Beat.Stopping
	p.heard, p.beat, p.isSilent = ev.Now, ev.Beat, false
	s.noteAhead(ev.Now, p)
	effects := make([]crevent.Effect, 0, 3)
	if ev.Beat.Target != "" {
		effects = append(effects, Tell{Target: ev.Beat.Target, Told: ev.Beat.Told()})
	}
	if fresh {
		effects = append(effects, s.view(ev.Now))
	}
	return append(effects, s.pull(ev.Now)...)
}

// noteAhead remembers what a peer holds that this daemon lacks. What the store
// brings in the meantime settles it.
func (s *State) noteAhead(now crid.Instant, p *peer) {
	if p.ahead != 0 && s.lacks(p.version, p.revision) {
		return
	}
	p.ahead = 0
	if s.lacks(p.beat.Version, p.beat.Revision) {
		p.ahead, p.version, p.revision = now, p.beat.Version, p.beat.Revision
	}
}

func (s *State) lacks(version uint64, revision crid.Revision) bool {
	return (version > 0 && (s.plan == nil || version > s.plan.Version())) ||
		(revision > 0 && (!s.listed || revision > s.registry.Revision()))
}

// pull fetches from a peer that holds what this daemon has lacked for a while:
// one of the same domain if there is one, as bytes between domains are dear, and
// of these the one heard last.
func (s *State) pull(now crid.Instant) []crevent.Effect {
	if s.stopping || (s.pulled != 0 && now.Sub(s.pulled) < pullEvery) {
		return nil
	}
	var from crid.Daemon
	var best *peer
	for _, d := range slices.Sorted(maps.Keys(s.peers)) {
		p := s.peers[d]
		if p.isSilent || p.ahead == 0 || now.Sub(p.ahead) < pullAfter || !s.lacks(p.version, p.revision) {
			continue
		}
		if best == nil || s.nearer(p, best) {
			from, best = d, p
		}
	}
	if best == nil {
		return nil
	}
	s.pulled = now
	return []crevent.Effect{Pull{From: from}}
}

func (s *State) nearer(a, b *peer) bool {
	if near := a.domain == s.params.Domain; near != (b.domain == s.params.Domain) {
		return near
	}
	return a.heard > b.heard
}

func (s *State) tick(now crid.Instant) []crevent.Effect {
	changed := s.registry.Sweep(now)
	for d, p := range s.peers {
		if !p.listed && (p.heard == 0 || now.Sub(p.heard) > forgetPeer) {
			delete(s.peers, d)
			changed = true
			continue
		}
		if silent := s.silent(now, p); silent != p.isSilent {
			p.isSilent = silent
			changed = true
		}
	}
	effects := s.beats(now)
	if changed {
		effects = append(effects, s.view(now))
	}
	return append(effects, s.pull(now)...)
}

// silent reports whether a peer that was heard before is not heard any more. One
// never heard may just have started; its exit will tell.
func (s *State) silent(now crid.Instant, p *peer) bool {
	if p.heard == 0 {
		return false
	}
	return now.Sub(p.heard) > silentBeats*s.idle(p)
}

func (s *State) near(p *peer) bool { return p.domain == s.params.Domain }

// interested reports whether a peer wants to know of this daemon's target.
func (s *State) interested(now crid.Instant, p *peer) bool {
	return s.near(p) || (p.asked != 0 && now.Sub(p.asked) < askedFor)
}

// interval is the time between beats to a peer.
func (s *State) interval(now crid.Instant, p *peer) time.Duration {
	if !s.near(p) && s.interested(now, p) {
		return max(s.params.Far, s.least())
	}
	return s.idle(p)
}

// idle is the time between beats to a peer that offered nothing lately, and so
// the longest between those that it sends.
func (s *State) idle(p *peer) time.Duration {
	if s.near(p) {
		return max(s.params.Beat, s.least())
	}
	return max(s.params.Far, s.least(), idlePerPeer*time.Duration(len(s.peers)))
}

// least keeps a daemon of a large fleet from spending its processor on beats.
func (s *State) least() time.Duration { return perPeer * time.Duration(len(s.peers)) }

// beats returns the beats that are due, or all of them after a nudge.
func (s *State) beats(now crid.Instant) []crevent.Effect {
	urgent := s.nudged && now.Sub(s.urged) >= urgentEvery
	if urgent {
		s.nudged, s.urged = false, now
	}
	due := make([]crid.Daemon, 0, len(s.peers))
	for d, p := range s.peers {
		told := urgent && (len(s.peers) <= crowd || s.interested(now, p))
		if told || p.sent == 0 || now.Sub(p.sent) >= s.interval(now, p) {
			due = append(due, d)
		}
	}
	slices.Sort(due)
	return s.beatsTo(due, now)
}

func (s *State) beatsTo(to []crid.Daemon, now crid.Instant) []crevent.Effect {
	if len(to) == 0 {
		return nil
	}
	for _, d := range to {
		s.peers[d].sent = now
	}
	b := SendBeat{To: to, Stopping: s.stopping, Revision: s.registry.Revision()}
	if s.plan != nil {
		b.Version = s.plan.Version()
	}
	return []crevent.Effect{b}
}

func (s *State) view(_ crid.Instant) UseView {
	v := &View{
		Plan:     s.plan,
		Listed:   s.listed,
		Targets:  make(map[crid.Service][]crplace.Candidate),
		Daemons:  []crid.Daemon{s.params.Self},
		Size:     1,
		Silent:   make(map[crid.Daemon]bool),
		Stopping: s.stopping,
	}
	for _, r := range s.registry.Records() {
		if r.Address == s.params.Address {
			own := r
			v.Own = &own
		}
		if r.Leaving {
			continue
		}
		v.Targets[r.Service] = append(v.Targets[r.Service], crplace.Candidate{
			Target: r.Target, Daemon: DaemonOf(r.Address), Domain: r.Domain, Slots: r.Slots, Cold: r.Warmup > 0,
		})
	}
	for _, d := range slices.Sorted(maps.Keys(s.peers)) {
		p := s.peers[d]
		if p.listed {
			v.Size++
		}
		switch {
		case p.isSilent:
			v.Silent[d] = true
		case p.heard != 0 && !p.beat.Stopping:
			v.Daemons = append(v.Daemons, d)
		}
	}
	slices.Sort(v.Daemons)
	return UseView{View: v}
}
