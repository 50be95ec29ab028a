package crconfig

import (
	"slices"
	"time"

	"camphorroad/core/crid"
)

// maxRejected bounds the number of recorded configurations that failed validation.
const maxRejected = 32

// maxErrorBytes bounds the length of an error text in a report.
const maxErrorBytes = 300

// version identifies one published configuration.
type version struct {
	rev    crid.Revision
	digest Digest
}

// fetch is the state of fetching a newer configuration.
type fetch struct {
	rev             crid.Revision
	digest          Digest
	raw             []byte
	manifest        Manifest
	partial         map[Digest][]byte // values received in part
	heldByPeer      bool              // some peer has applied it
	heldByPeerSince crid.Instant
	fromPlatform    bool // read it from the platform instead of a peer
	readDeadlines   map[Digest]crid.Instant
	peer            crid.Daemon // peer with a pull in flight; empty: none
	deadline        crid.Instant
	tried           map[crid.Daemon]bool
	attempts        int
	retryAt         crid.Instant
	fallbackAt      crid.Instant // when to fall back to the platform; zero: not scheduled
}

// observe handles the announcement of a configuration by a peer, or by the
// platform if from is empty.
func (s *State) observe(now crid.Instant, r crid.Revision, d Digest, from crid.Daemon) {
	if r == 0 || r < s.conf.rev || slices.Contains(s.rejected, version{r, d}) {
		return
	}
	if r == s.conf.rev {
		s.checkConflict(r, s.conf.digest, d)
		return
	}
	if s.nextConf != nil && r == s.nextConf.rev {
		s.checkConflict(r, s.nextConf.digest, d)
	}
	if from == "" {
		s.announced = version{r, d}
		if s.nextConf != nil && s.nextConf.heldByPeer {
			// A configuration that a peer has applied is fetched first. The platform
			// may announce a configuration whose values it cannot serve, and waiting
			// for that one would delay a withdrawal that all peers have applied.
			return
		}
	}
	if s.nextConf == nil || r > s.nextConf.rev {
		s.startFetch(r, d)
	}
	f := s.nextConf
	if f.rev != r || f.digest != d {
		return
	}
	if from == "" {
		f.fromPlatform = f.fromPlatform || s.watch.reader
		return
	}
	if !f.heldByPeer {
		f.heldByPeer = true
		f.heldByPeerSince = now
	}
}

// checkConflict reports two different manifests with the same revision, which a
// correct platform never publishes. The first one is kept.
func (s *State) checkConflict(r crid.Revision, ours, other Digest) {
	if ours != other && s.conflictRev != r {
		s.conflictRev = r // report once for each revision, since peers repeat it twice a second
		s.report(EventConflictingManifests, "revision", rev(r), "ours", ours.String(), "other", other.String())
	}
}

// startFetch begins to fetch a newer configuration. It keeps heldByPeerSince, so
// that frequent changes do not hide that none of them is applied here.
func (s *State) startFetch(r crid.Revision, d Digest) {
	f := &fetch{
		rev:           r,
		digest:        d,
		partial:       make(map[Digest][]byte),
		readDeadlines: make(map[Digest]crid.Instant),
		tried:         make(map[crid.Daemon]bool),
	}
	if s.nextConf != nil {
		f.heldByPeer = s.nextConf.heldByPeer
		f.heldByPeerSince = s.nextConf.heldByPeerSince
	}
	s.nextConf = f
}

// missing returns the entries still to be fetched. Until the manifest is fetched,
// it is the only one.
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

// value returns a value that was already fetched, for the next configuration or
// the active one.
func (s *State) value(d Digest) ([]byte, bool) {
	if data, ok := s.fetched[d]; ok {
		return data, true
	}
	data, ok := s.conf.values[d]
	return data, ok
}

// advanceFetch takes the next step in fetching a newer configuration.
func (s *State) advanceFetch(now crid.Instant) {
	f := s.nextConf
	if f == nil || !s.quorumReached {
		return
	}
	if f.raw != nil && len(s.missing()) == 0 {
		s.apply(now)
		return
	}
	if f.fromPlatform && f.heldByPeer && s.watch.unconfirmed && len(f.readDeadlines) == 0 {
		f.fromPlatform = false // a peer is faster than this daemon's share of the platform rate
	}
	if f.fromPlatform {
		s.readMissing(now)
		return
	}
	if f.peer != "" && now.Before(f.deadline) {
		return
	}
	if f.peer != "" {
		s.dropPeer(f)
	}
	if f.fallbackAt != 0 && !now.Before(f.fallbackAt) {
		f.fromPlatform = true
		f.fallbackAt = 0
		s.readMissing(now)
		return
	}
	if !now.Before(f.retryAt) {
		s.pullFromNextPeer(now)
	}
}

// dropPeer stops pulling from the current peer.
func (s *State) dropPeer(f *fetch) {
	f.tried[f.peer] = true
	f.peer = ""
	f.attempts++
}

// pullFromNextPeer pulls from a peer that was not tried yet. If none is left, it
// starts over after a pause. It also schedules the fallback to the platform then,
// and after PullTries failed pulls.
func (s *State) pullFromNextPeer(now crid.Instant) {
	f := s.nextConf
	holder, ok := s.pickHolder()
	if ok {
		f.peer = holder
		s.sendPull(now)
	}
	if f.fallbackAt == 0 && (!ok || f.attempts >= s.params.PullTries) {
		f.fallbackAt = now.Add(s.fallbackDelay())
	}
	if !ok {
		clear(f.tried)
		f.retryAt = now.Add(s.params.PullTimeout + s.jitter(s.params.PullTimeout))
	}
}

// fallbackDelay staggers the fallback of all daemons without a suitable peer, so
// that together they stay within the platform's rate.
func (s *State) fallbackDelay() time.Duration {
	if s.watch.reader {
		return s.backoff(s.watch.failures)
	}
	return s.params.PeerGrace + s.jitter(s.params.staggerWindow())
}

// pickHolder returns a random untried peer that has applied the configuration.
func (s *State) pickHolder() (crid.Daemon, bool) {
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

// readMissing reads the missing values from the platform, within the rate limit.
func (s *State) readMissing(now crid.Instant) {
	f := s.nextConf
	for _, e := range s.missing() {
		if deadline, ok := f.readDeadlines[e.Digest]; ok {
			if !now.Before(deadline) {
				s.readFailed(now)
				return
			}
			continue
		}
		if !s.takeCall() {
			return
		}
		f.readDeadlines[e.Digest] = now.Add(s.params.ReadTimeout)
		s.emit(ReadPlatform{Name: e.Name, Digest: e.Digest})
	}
}

// handleReadResult handles the result of a platform read.
func (s *State) handleReadResult(now crid.Instant, ev ReadResult) {
	f := s.nextConf
	if f == nil {
		return
	}
	if _, ok := f.readDeadlines[ev.Digest]; !ok {
		return
	}
	delete(f.readDeadlines, ev.Digest)
	if ev.Fault != FaultNone || s.digestOf(ev.Data) != ev.Digest {
		s.readFailed(now)
		return
	}
	s.addValue(ev.Digest, ev.Data)
}

// readFailed switches to pulling from peers, and schedules another fallback to the
// platform. A configuration that no peer has is abandoned.
func (s *State) readFailed(now crid.Instant) {
	f := s.nextConf
	s.watch.failures++
	if !f.heldByPeer {
		s.abandonFetch(now)
		return
	}
	f.fromPlatform = false
	clear(f.readDeadlines)
	f.fallbackAt = now.Add(s.fallbackDelay())
}

// abandonFetch drops a configuration that no peer has and that the platform
// could not serve, until the next watch announces it again. It then starts to
// fetch the newest configuration that a peer has applied.
func (s *State) abandonFetch(now crid.Instant) {
	s.nextConf = nil
	s.announced = version{}
	s.watch.platformRev = 0
	s.watch.nextAt = now.Add(s.backoff(s.watch.failures))
	for _, p := range s.peers {
		have := s.haves[p.Daemon]
		s.observe(now, have.Conf, have.Manifest, p.Daemon)
	}
}

// addValue stores a complete value whose digest was verified. The manifest is also
// parsed.
func (s *State) addValue(d Digest, data []byte) {
	f := s.nextConf
	if d != f.digest {
		s.fetched[d] = data
		return
	}
	m, err := s.parse(data)
	if err != nil {
		s.reject(err)
		return
	}
	f.raw = data
	f.manifest = m
}

// apply validates the complete configuration and makes it the active one.
func (s *State) apply(now crid.Instant) {
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
		s.reject(err)
		return
	}
	previous := s.conf.rev
	s.conf = activeConf{rev: f.rev, digest: f.digest, raw: f.raw, manifest: f.manifest, values: values, snapshot: snapshot}
	s.nextConf = nil
	clear(s.fetched)
	s.report(EventApplied, "revision", rev(f.rev), "former", rev(previous))
	s.emit(Applied{Now: now, Snapshot: snapshot})
	s.gossip()
	s.observe(now, s.announced.rev, s.announced.digest, "")
}

// reject drops a configuration that failed validation; the active one is kept.
func (s *State) reject(err error) {
	f := s.nextConf
	s.rejected = append(s.rejected, version{f.rev, f.digest})
	if len(s.rejected) > maxRejected {
		s.rejected = s.rejected[1:]
	}
	text := err.Error()
	s.report(EventRejected, "revision", rev(f.rev), "inforce", rev(s.conf.rev), "error", text[:min(len(text), maxErrorBytes)])
	s.nextConf = nil
	clear(s.fetched)
}
