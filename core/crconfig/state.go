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

// activeConf is the applied configuration, with the bytes that peers may pull.
type activeConf struct {
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
	startedAt crid.Instant // time of the start or the last resync
	rng       *rand.Rand

	conf        activeConf
	nextConf    *fetch            // newer configuration being fetched; nil: none
	announced   version           // newest version that the platform announced
	fetched     map[Digest][]byte // complete values of nextConf
	rejected    []version
	conflictRev crid.Revision // revision whose conflicting manifests were reported last
	list        crinstance.List
	domainSize  int  // instances of this domain on the list that are not leaving
	voter       bool // this daemon is one of the list's voters
	nextList    listFetch
	changes     changeLog // for diffs to peers with an older list

	peers        []crmember.Peer // reachable peers, sorted by daemon
	domainPeers  []crmember.Peer // peers of this domain that are not known to be lost
	sampled      bool            // membership only samples some peers
	haves        map[crid.Daemon]Have
	members      int // daemons of the active list, including this one
	contactUntil crid.Instant
	contactLost  bool // contact with the fleet was lost and not regained
	trusted      bool
	behind       bool

	watch         watch
	gossipAt      crid.Instant
	nonce         uint64 // identifies replies to queries since the start or the last resync
	queried       []crid.Daemon
	answered      map[crid.Daemon]bool // queried peers that echoed nonce
	quorumReached bool                 // enough sources replied
	caughtUp      bool                 // and the newest configuration they announced is applied
	ready         bool
	effects       []crevent.Effect
}

// New returns a reducer that ignores all events before crevent.Started.
func New(p Params, parse Parser, load Loader) *State {
	return &State{
		params:   p,
		parse:    parse,
		load:     load,
		digestOf: DigestOf,
		haves:    make(map[crid.Daemon]Have),
		fetched:  make(map[Digest][]byte),
	}
}

// SetDigestFunc replaces the digest function. A replay needs it, since a trace
// contains the digests of the published values but not their bytes.
func (s *State) SetDigestFunc(digestOf func([]byte) Digest) { s.digestOf = digestOf }

// Ready reports whether the daemon may begin to serve. The platform or a quorum
// of peers must have replied, the newest configuration among the replies must be
// applied, and a list of instances must be known. Once true, Ready stays true;
// see Trusted.
func (s *State) Ready() bool { return s.ready }

// Trusted reports whether keys and policy may still be used. The daemon must be in
// contact with the fleet, must have reached a quorum of peers since it last
// regained contact, and must not have failed for longer than BehindMax to fetch a
// newer configuration that a peer has applied.
func (s *State) Trusted(now crid.Instant) bool {
	return s.caughtUp && now.Before(s.contactUntil) && !s.isBehind(now)
}

// Snapshot returns the applied configuration; nil: none.
func (s *State) Snapshot() *crpolicy.Snapshot { return s.conf.snapshot }

// Revision returns the revision of the applied configuration; zero: none.
func (s *State) Revision() crid.Revision { return s.conf.rev }

// List returns the newest list of instances.
func (s *State) List() crinstance.List { return s.list }

// Reader reports whether this daemon watches the platform for its domain.
func (s *State) Reader() bool { return s.watch.reader }

// Step handles one event and returns the effects to perform.
func (s *State) Step(ev crevent.Event) []crevent.Effect {
	s.effects = nil
	if start, ok := ev.(crevent.Started); ok {
		s.handleStarted(start)
		return s.effects
	}
	if s.rng == nil {
		return nil
	}
	now := ev.At()
	switch ev := ev.(type) {
	case crevent.Tick:
		s.handleTick(now)
	case crevent.Received:
		s.handleReceived(now, ev)
	case crmember.PeersChanged:
		s.handlePeers(now, ev.Peers)
	case crmember.Lease:
		s.handleLease(now, ev)
	case crinstance.ListUpdated:
		if ev.List.Revision() > s.list.Revision() {
			s.storeList(ev.List)
		}
	case WatchResult:
		s.handleWatchResult(now, ev)
	case ReadResult:
		s.handleReadResult(now, ev)
	case ListResult:
		s.handleListResult(now, ev)
	default:
		return nil
	}
	s.checkQuorum(now)
	s.advanceFetch(now)
	s.advanceListFetch(now)
	s.checkCaughtUp()
	s.checkReady()
	return s.effects
}

func (s *State) handleStarted(ev crevent.Started) {
	s.self = ev.Self
	s.domain = ev.Domain
	s.rng = rand.New(rand.NewPCG(ev.Seed, uint64(ev.Incarnation)))
	s.rankDomain(ev.Now)
	s.watch.refilledAt = ev.Now
	s.watch.majorityAt = ev.Now
	s.watch.tokens = s.rng.Float64()
	s.watch.unconfirmedSettleTime = s.params.PeerGrace + s.jitter(s.params.staggerWindow())
	s.resync(ev.Now)
	s.gossipAt = ev.Now.Add(s.jitter(s.params.GossipInterval))
}

func (s *State) handleTick(now crid.Instant) {
	s.updateRole(now)
	s.refill(now)
	s.startWatch(now)
	if !now.Before(s.gossipAt) {
		s.gossipAt = now.Add(s.params.GossipInterval)
		s.queryPeers()
		s.sendHave(s.otherRanked())
		s.gossip()
	}
	s.checkTrust(now)
}

func (s *State) handleReceived(now crid.Instant, ev crevent.Received) {
	switch msg := ev.Msg.(type) {
	case Have:
		s.handleHave(now, ev.From, msg)
	case Pull:
		s.servePull(ev.From, msg)
	case Push:
		s.handlePush(now, ev.From, msg)
	case ListPull:
		s.serveListPull(ev.From, msg)
	case ListPush:
		s.handleListPush(now, ev.From, msg)
	}
}

func (s *State) handlePeers(now crid.Instant, peers []crmember.Peer) {
	s.peers = s.peers[:0:0]
	s.domainPeers = s.domainPeers[:0:0]
	s.sampled = false
	reachable := make(map[crid.Daemon]bool, len(peers))
	for _, p := range peers {
		s.sampled = s.sampled || p.Sampled
		if p.Reachable {
			s.peers = append(s.peers, p)
			reachable[p.Daemon] = true
		}
		if p.Domain == s.domain && !p.Down() {
			s.domainPeers = append(s.domainPeers, p)
		}
	}
	s.rankDomain(now)
	maps.DeleteFunc(s.haves, func(d crid.Daemon, _ Have) bool {
		return !reachable[d] && !slices.Contains(s.watch.ranked, d)
	})
	s.updateRole(now)
}

// handleLease handles a change of this daemon's contact with the fleet. Trust
// depends on contact and not on a lease: during a handover to a new list of
// instances no daemon has a lease, while all of them still exchange
// configurations.
func (s *State) handleLease(now crid.Instant, ev crmember.Lease) {
	if s.contactUntil != 0 && (ev.ContactUntil == 0 || !now.Before(s.contactUntil)) {
		s.contactLost = true
	}
	if s.contactLost && now.Before(ev.ContactUntil) {
		s.contactLost = false
		s.resync(now)
	}
	s.contactUntil = ev.ContactUntil
	if len(ev.Members) > 0 {
		s.members = len(ev.Members)
	}
}

// checkTrust reports when trust is lost or regained.
func (s *State) checkTrust(now crid.Instant) {
	if behind := s.isBehind(now); behind != s.behind {
		s.behind = behind
		if behind {
			s.report(EventBehind, "want", rev(s.nextConf.rev), "inforce", rev(s.conf.rev))
		}
	}
	trusted := s.Trusted(now)
	if trusted == s.trusted {
		return
	}
	s.trusted = trusted
	number := EventTrustLost
	if trusted {
		number = EventTrustRegained
	}
	s.report(number, "inforce", rev(s.conf.rev))
}

// isBehind reports whether a peer has applied a newer configuration that this
// daemon failed to fetch for longer than BehindMax: a key may be withdrawn there.
// A configuration that only the platform announces does not count. Otherwise one
// whose values the platform cannot serve would stop the whole fleet.
func (s *State) isBehind(now crid.Instant) bool {
	f := s.nextConf
	return f != nil && f.heldByPeer && now.Sub(f.heldByPeerSince) > s.params.BehindMax
}

func (s *State) emit(e crevent.Effect) { s.effects = append(s.effects, e) }

func (s *State) send(to crid.Daemon, msg crevent.Message) {
	s.emit(crevent.Send{To: to, Msg: msg})
}

// report emits a crevent.Report; pairs alternates field names and values.
func (s *State) report(number int, pairs ...string) {
	fields := make(map[string]string, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		fields[pairs[i]] = pairs[i+1]
	}
	s.emit(crevent.Report{Number: number, Fields: fields})
}

// jitter returns a random duration in [0,d).
func (s *State) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(d)))
}

func rev(r crid.Revision) string { return strconv.FormatUint(uint64(r), 10) }
