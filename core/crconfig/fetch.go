package crconfig

import (
	"slices"
	"time"

	"camphorroad/core/crid"
)

// maxRefused bounds the memory of refused configurations.
const maxRefused = 32

// maxText bounds an error's text in a report.
const maxText = 300

// version names one published configuration.
type version struct {
	rev    crid.Revision
	digest Digest
}

// fetch is a newer configuration on its way.
type fetch struct {
	rev         crid.Revision
	digest      Digest
	raw         []byte
	manifest    Manifest
	parts       map[Digest][]byte // beginnings
	atPeer      bool              // some peer has it in force
	atPeerSince crid.Instant
	direct      bool // read from the platform
	reads       map[Digest]crid.Instant
	peer        crid.Daemon // asked now; empty: none
	due         crid.Instant
	tried       map[crid.Daemon]bool
	tries       int
	notBefore   crid.Instant
	selfAt      crid.Instant // when to read the platform ourselves; zero: not yet decided
}

// learn takes word of a configuration from a peer, or from the platform where
// from is empty.
func (s *State) learn(now crid.Instant, r crid.Revision, d Digest, from crid.Daemon) {
	if r == 0 || r < s.conf.rev || slices.Contains(s.refused, version{r, d}) {
		return
	}
	if r == s.conf.rev {
		s.checkSame(r, s.conf.digest, d)
		return
	}
	if s.nextConf != nil && r == s.nextConf.rev {
		s.checkSame(r, s.nextConf.digest, d)
	}
	if from == "" {
		s.offered = version{r, d}
		if s.nextConf != nil && s.nextConf.atPeer {
			// What a peer holds whole comes first: the platform may name a
			// configuration whose values it can not give, and waiting for that
			// one would keep out a withdrawal that all peers have.
			return
		}
	}
	if s.nextConf == nil || r > s.nextConf.rev {
		s.begin(r, d)
	}
	f := s.nextConf
	if f.rev != r || f.digest != d {
		return
	}
	if from == "" {
		f.direct = f.direct || s.watch.reader
		return
	}
	if !f.atPeer {
		f.atPeer = true
		f.atPeerSince = now
	}
}

// checkSame reports two manifests under one revision, which no honest platform
// publishes; the first stays.
func (s *State) checkSame(r crid.Revision, ours, theirs Digest) {
	if ours != theirs && s.conflict != r {
		s.conflict = r // once a revision: the peer tells it twice a second
		s.report(EventConflictingManifests, "revision", rev(r), "ours", ours.String(), "other", theirs.String())
	}
}

// begin turns to a newer configuration. For how long one was missing is counted
// on, so that a quick row of changes does not hide that none arrives.
func (s *State) begin(r crid.Revision, d Digest) {
	f := &fetch{
		rev:    r,
		digest: d,
		parts:  make(map[Digest][]byte),
		reads:  make(map[Digest]crid.Instant),
		tried:  make(map[crid.Daemon]bool),
	}
	if s.nextConf != nil {
		f.atPeer = s.nextConf.atPeer
		f.atPeerSince = s.nextConf.atPeerSince
	}
	s.nextConf = f
}

// missing returns the entries still wanted; at first the manifest itself.
func (s *State) missing() []Entry {
	f := s.nextConf
	if f.raw == nil {
		return []Entry{{Name: ManifestName, Digest: f.digest}}
	}
	var entries []Entry
	for _, e := range f.manifest.Entries {
		if _, ok := s.value(e.Digest); !ok {
			entries = append(entries, e)
		}
	}
	return entries
}

// value finds bytes that are here already, of this or the former configuration.
func (s *State) value(d Digest) ([]byte, bool) {
	if data, ok := s.pieces[d]; ok {
		return data, true
	}
	data, ok := s.conf.values[d]
	return data, ok
}

// advance takes the next step towards a newer configuration.
func (s *State) advance(now crid.Instant) {
	f := s.nextConf
	if f == nil || !s.heard {
		return
	}
	if f.raw != nil && len(s.missing()) == 0 {
		s.install(now)
		return
	}
	if f.direct && f.atPeer && s.watch.limited && len(f.reads) == 0 {
		f.direct = false // a peer is quicker than this daemon's share of the rate
	}
	if f.direct {
		s.readMissing(now)
		return
	}
	if f.peer != "" && now.Before(f.due) {
		return
	}
	if f.peer != "" {
		s.giveUp(f)
	}
	if f.selfAt != 0 && !now.Before(f.selfAt) {
		f.direct = true
		f.selfAt = 0
		s.readMissing(now)
		return
	}
	if !now.Before(f.notBefore) {
		s.pullNext(now)
	}
}

// giveUp turns from the peer that is asked to the next one.
func (s *State) giveUp(f *fetch) {
	f.tried[f.peer] = true
	f.peer = ""
	f.tries++
}

// pullNext asks a peer not tried yet; when there is none it begins anew after a
// pause, and settles when to read the platform instead.
func (s *State) pullNext(now crid.Instant) {
	f := s.nextConf
	holder, ok := s.holder()
	if ok {
		f.peer = holder
		s.pull(now)
	}
	if f.selfAt == 0 && (!ok || f.tries >= s.params.PullTries) {
		f.selfAt = now.Add(s.selfDelay())
	}
	if !ok {
		clear(f.tried)
		f.notBefore = now.Add(s.params.PullTimeout + s.jitter(s.params.PullTimeout))
	}
}

// selfDelay spreads the daemons that find no peer to help over time, so that
// all of them together stay within the platform's rate.
func (s *State) selfDelay() time.Duration {
	if s.watch.reader {
		return s.backoff(s.watch.fails)
	}
	return s.params.PeerGrace + s.jitter(s.params.spread())
}

// holder picks a peer that has the wanted configuration in force.
func (s *State) holder() (crid.Daemon, bool) {
	if len(s.peers) == 0 {
		return "", false
	}
	first := s.rng.IntN(len(s.peers))
	for i := range s.peers {
		d := s.peers[(first+i)%len(s.peers)].Daemon
		if s.haves[d].Conf == s.nextConf.rev && s.haves[d].Manifest == s.nextConf.digest && !s.nextConf.tried[d] {
			return d, true
		}
	}
	return "", false
}

// readMissing reads from the platform, within this tick's budget.
func (s *State) readMissing(now crid.Instant) {
	f := s.nextConf
	for _, e := range s.missing() {
		if due, ok := f.reads[e.Digest]; ok {
			if !now.Before(due) {
				s.readFailed(now)
				return
			}
			continue
		}
		if !s.spend() {
			return
		}
		f.reads[e.Digest] = now.Add(s.params.ReadTimeout)
		s.emit(ReadPlatform{Name: e.Name, Digest: e.Digest})
	}
}

// read takes the end of a platform read.
func (s *State) read(now crid.Instant, ev ReadResult) {
	f := s.nextConf
	if f == nil {
		return
	}
	if _, ok := f.reads[ev.Digest]; !ok {
		return
	}
	delete(f.reads, ev.Digest)
	if ev.Fault != FaultNone || s.digestOf(ev.Data) != ev.Digest {
		s.readFailed(now)
		return
	}
	s.collect(ev.Digest, ev.Data)
}

// readFailed turns to the peers, and to the platform again later.
func (s *State) readFailed(now crid.Instant) {
	f := s.nextConf
	s.watch.fails++
	if !f.atPeer {
		s.postpone(now)
		return
	}
	f.direct = false
	clear(f.reads)
	f.selfAt = now.Add(s.selfDelay())
}

// postpone drops what only the platform named and could not give, until the
// next watch names it again, and turns to the newest that a peer holds.
func (s *State) postpone(now crid.Instant) {
	s.nextConf = nil
	s.offered = version{}
	s.watch.seen = 0
	s.watch.notBefore = now.Add(s.backoff(s.watch.fails))
	for _, p := range s.peers {
		have := s.haves[p.Daemon]
		s.learn(now, have.Conf, have.Manifest, p.Daemon)
	}
}

// collect keeps whole bytes whose digest was checked.
func (s *State) collect(d Digest, data []byte) {
	f := s.nextConf
	if d != f.digest {
		s.pieces[d] = data
		return
	}
	m, err := s.parse(data)
	if err != nil {
		s.refuse(err)
		return
	}
	f.raw = data
	f.manifest = m
}

// install validates the whole and puts it in force.
func (s *State) install(now crid.Instant) {
	f := s.nextConf
	byName := make(map[string][]byte, len(f.manifest.Entries))
	values := make(map[Digest][]byte, len(f.manifest.Entries))
	for _, e := range f.manifest.Entries {
		data, _ := s.value(e.Digest)
		byName[e.Name] = data
		values[e.Digest] = data
	}
	snapshot, err := s.load(f.rev, f.manifest, byName)
	if err != nil {
		s.refuse(err)
		return
	}
	former := s.conf.rev
	s.conf = held{rev: f.rev, digest: f.digest, raw: f.raw, manifest: f.manifest, values: values, snapshot: snapshot}
	s.nextConf = nil
	clear(s.pieces)
	s.report(EventApplied, "revision", rev(f.rev), "former", rev(former))
	s.emit(Applied{Now: now, Snapshot: snapshot})
	s.spread()
	s.learn(now, s.offered.rev, s.offered.digest, "")
}

// refuse drops a configuration whole; the former stays in force.
func (s *State) refuse(err error) {
	f := s.nextConf
	s.refused = append(s.refused, version{f.rev, f.digest})
	if len(s.refused) > maxRefused {
		s.refused = s.refused[1:]
	}
	text := err.Error()
	s.report(EventRejected, "revision", rev(f.rev), "inforce", rev(s.conf.rev), "error", text[:min(len(text), maxText)])
	s.nextConf = nil
	clear(s.pieces)
}
