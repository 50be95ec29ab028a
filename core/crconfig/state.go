package crconfig

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
	"camphorroad/core/crpolicy"
)

// held is the configuration in force, with the bytes that peers may pull.
type held struct {
	rev      crid.Revision
	digest   Digest
	raw      []byte // the manifest
	manifest Manifest
	values   map[Digest][]byte
	snapshot *crpolicy.Snapshot
}

// State is the reducer. It is owned by one goroutine.
type State struct {
	params Params
	parse  Parser
	load   Loader

	digestOf func([]byte) Digest

	self      crid.Daemon
	domain    crid.Domain
	startedAt crid.Instant
	rng       *rand.Rand

	conf     held
	next     *fetch            // a newer configuration under way; nil for none
	offered  version           // newest that the platform named
	pieces   map[Digest][]byte // whole values of what is under way
	refused  []version
	conflict crid.Revision // for which two manifests were reported last
	list     crinstance.List
	listed   int  // live instances of this domain on the list
	voter    bool // this daemon is one of the list's voters
	listing  listFetch
	changes  changes // for peers with an older list

	peers   []crmember.Peer // reachable ones, sorted by daemon
	domains []crmember.Peer // those of this domain that are not known to be lost
	sampled bool            // membership hears some peers only now and then
	haves   map[crid.Daemon]Have
	members int // daemons of the active list, with this one
	until   crid.Instant
	lapsed  bool // standing was lost and has not come back
	trusted bool
	behind  bool

	watch    watch
	spreadAt crid.Instant
	ask      uint64 // marks answers to questions of this life, or since trust was lost
	asked    []crid.Daemon
	told     map[crid.Daemon]bool // who answered ask
	heard    bool                 // enough of them did
	caught   bool                 // and the newest of what they told is in force
	ready    bool
	out      []crevent.Effect
}

// New returns a reducer that waits for crevent.Started.
func New(p Params, parse Parser, load Loader) *State {
	return &State{
		params:   p,
		parse:    parse,
		load:     load,
		digestOf: DigestOf,
		haves:    make(map[crid.Daemon]Have),
		pieces:   make(map[Digest][]byte),
	}
}

// UseDigests replaces the digest function. A replay needs it, since a trace
// holds the digests of the published values but not what is in them.
func (s *State) UseDigests(digestOf func([]byte) Digest) { s.digestOf = digestOf }

// Ready reports whether the daemon may begin to serve: it has asked the
// platform, or enough peers of several domains, and has the newest of what they
// told in force, and a list of instances. It never turns back; see Trusted.
func (s *State) Ready() bool { return s.ready }

// Trusted reports whether keys and policy may still be acted on: the daemon has
// standing, has asked enough peers for news since it last lost standing, and no
// peer has had a newer configuration for long that it could not get.
func (s *State) Trusted(now crid.Instant) bool {
	return s.caught && now.Before(s.until) && !s.isBehind(now)
}

// Snapshot returns the configuration in force; nil for none.
func (s *State) Snapshot() *crpolicy.Snapshot { return s.conf.snapshot }

// Revision returns the revision in force; zero for none.
func (s *State) Revision() crid.Revision { return s.conf.rev }

// List returns the newest list of instances.
func (s *State) List() crinstance.List { return s.list }

// Reader reports whether this daemon holds the watch for its domain.
func (s *State) Reader() bool { return s.watch.reader }

// Step takes one event and returns what is to be done.
func (s *State) Step(ev crevent.Event) []crevent.Effect {
	s.out = nil
	if start, ok := ev.(crevent.Started); ok {
		s.start(start)
		return s.out
	}
	if s.rng == nil {
		return nil
	}
	now := ev.At()
	switch ev := ev.(type) {
	case crevent.Tick:
		s.tick(now)
	case crevent.Received:
		s.receive(now, ev)
	case crmember.PeersChanged:
		s.setPeers(now, ev.Peers)
	case crmember.Lease:
		s.tenure(now, ev)
	case crinstance.ListUpdated:
		if ev.List.Revision() > s.list.Revision() {
			s.adopt(ev.List)
		}
	case WatchResult:
		s.watched(now, ev)
	case Read:
		s.read(now, ev)
	case ListRead:
		s.listRead(now, ev)
	default:
		return nil
	}
	s.checkHeard(now)
	s.advance(now)
	s.advanceList(now)
	s.checkCaught()
	s.checkReady()
	return s.out
}

func (s *State) start(ev crevent.Started) {
	s.self = ev.Self
	s.domain = ev.Domain
	s.rng = rand.New(rand.NewPCG(ev.Seed, uint64(ev.Incarnation)))
	s.survey(ev.Now)
	s.watch.refilledAt = ev.Now
	s.watch.heardAt = ev.Now
	s.watch.credit = s.rng.Float64()
	s.watch.aloneAfter = s.params.Grace + s.jitter(s.params.spread())
	s.forget(ev.Now)
	s.spreadAt = ev.Now.Add(s.jitter(s.params.SpreadEvery))
}

func (s *State) tick(now crid.Instant) {
	s.rank(now)
	s.refill(now)
	s.startWatch(now)
	if !now.Before(s.spreadAt) {
		s.spreadAt = now.Add(s.params.SpreadEvery)
		s.askPeers()
		s.tell(s.fellows())
		s.spread()
	}
	s.checkTrust(now)
}

func (s *State) receive(now crid.Instant, ev crevent.Received) {
	switch msg := ev.Msg.(type) {
	case Have:
		s.have(now, ev.From, msg)
	case Pull:
		s.servePull(ev.From, msg)
	case Push:
		s.push(now, ev.From, msg)
	case ListPull:
		s.serveList(ev.From, msg)
	case ListPush:
		s.listPush(now, ev.From, msg)
	}
}

func (s *State) setPeers(now crid.Instant, peers []crmember.Peer) {
	s.peers = s.peers[:0:0]
	s.domains = s.domains[:0:0]
	s.sampled = false
	reachable := make(map[crid.Daemon]bool, len(peers))
	for _, p := range peers {
		s.sampled = s.sampled || p.Sampled
		if p.Reachable {
			s.peers = append(s.peers, p)
			reachable[p.Daemon] = true
		}
		if p.Domain == s.domain && !p.Down() {
			s.domains = append(s.domains, p)
		}
	}
	s.survey(now)
	maps.DeleteFunc(s.haves, func(d crid.Daemon, _ Have) bool {
		return !reachable[d] && !slices.Contains(s.watch.ranked, d)
	})
	s.rank(now)
}

// tenure takes news of this daemon's contact with the others. Contact, not
// tenure, is what trust hangs on: during a handover to a new list of instances
// nobody has tenure, while all go on telling one another of configurations.
func (s *State) tenure(now crid.Instant, ev crmember.Lease) {
	if s.until != 0 && (ev.ContactUntil == 0 || !now.Before(s.until)) {
		s.lapsed = true
	}
	if s.lapsed && now.Before(ev.ContactUntil) {
		s.lapsed = false
		s.forget(now)
	}
	s.until = ev.ContactUntil
	if len(ev.Members) > 0 {
		s.members = len(ev.Members)
	}
}

// checkTrust reports when trust is lost or regained.
func (s *State) checkTrust(now crid.Instant) {
	if behind := s.isBehind(now); behind != s.behind {
		s.behind = behind
		if behind {
			s.report(NumberBehind, "want", rev(s.next.rev), "inforce", rev(s.conf.rev))
		}
	}
	trusted := s.Trusted(now)
	if trusted == s.trusted {
		return
	}
	s.trusted = trusted
	number := NumberTrustLost
	if trusted {
		number = NumberTrustRegained
	}
	s.report(number, "inforce", rev(s.conf.rev))
}

// isBehind reports whether a peer has a newer configuration in force that this
// daemon could not get for too long: a key may be withdrawn there. What only
// the platform names does not count, since a value that the platform names but
// can not give would otherwise stop the whole fleet.
func (s *State) isBehind(now crid.Instant) bool {
	f := s.next
	return f != nil && f.atPeer && now.Sub(f.atPeerSince) > s.params.BehindMax
}

func (s *State) emit(e crevent.Effect) { s.out = append(s.out, e) }

func (s *State) send(to crid.Daemon, msg crevent.Message) {
	s.emit(crevent.Send{To: to, Msg: msg})
}

// report takes the fields as pairs of name and value.
func (s *State) report(number int, pairs ...string) {
	fields := make(map[string]string, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		fields[pairs[i]] = pairs[i+1]
	}
	s.emit(crevent.Report{Number: number, Fields: fields})
}

// jitter draws a time from zero up to d.
func (s *State) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(d)))
}

func rev(r crid.Revision) string { return strconv.FormatUint(uint64(r), 10) }
