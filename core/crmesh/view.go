package crmesh

import (
	"cmp"
	"slices"

	"camphorroad/core/crid"
	"camphorroad/core/crplace"
	"camphorroad/core/crregistry"
)

// targetIndex holds what views contain of the records. It is built again only when the
// records or the evacuations have changed, and views share it.
type targetIndex struct {
	version     uint64        // changes with targets and own; zero: not built yet
	records     uint64        // version of the records it was built from
	evacuations crid.Revision // revision of the evacuations it was built from
	targets     map[crid.Service][]crplace.Candidate
	own         *crregistry.Record
}

// indexTargets returns the index of the current records.
func (s *State) indexTargets() targetIndex {
	records, evacuations := s.registry.Version(), s.evacuations.Revision()
	if records == 0 || records != s.targets.records || evacuations != s.targets.evacuations {
		s.targets = s.buildIndex(records, evacuations)
	}
	return s.targets
}

func (s *State) buildIndex(records uint64, evacuations crid.Revision) targetIndex {
	x := targetIndex{version: s.targets.version + 1, records: records, evacuations: evacuations, targets: make(map[crid.Service][]crplace.Candidate)}
	for _, r := range s.registry.Records() {
		if r.Address == s.params.Address {
			own := r
			x.own = &own
		}
		if r.Leaving || s.evacuations.Contains(r.Domain) {
			continue
		}
		x.targets[r.Service] = append(x.targets[r.Service], crplace.Candidate{
			Target: r.Target, Daemon: DaemonOf(r.Address), Domain: r.Domain, Slots: r.Slots, Cold: r.Warmup > 0, StartedMillis: r.StartedMillis,
		})
	}
	return x
}

// publishView returns the effect that publishes the current view.
func (s *State) publishView(now crid.Instant) PublishView {
	s.viewOutdated, s.lastView = false, now
	index := s.indexTargets()
	v := &View{
		Plan:           s.plan,
		HasRecords:     s.hasRecords,
		Targets:        index.targets,
		TargetsVersion: index.version,
		OwnRecord:      index.own,
		Size:           1,
		Confirmed:      1,
		Reachable:      1,
		NoticeTime:     s.noticeTime(),
		Unresponsive:   make(map[crid.Daemon]bool),
		Evacuations:    s.evacuations.List(),
		OwnEvacuated:   s.evacuations.Contains(s.params.Domain),
		EvacuationEnd:  s.evacuations.EndOf(s.params.Domain),
		Stopping:       s.stopping,
		Readers:        s.readers(),
		StoreReaders:   s.storeReaders(),
		ReadsFirst:     s.readsFirst(),
		ReadersPending: s.readersPending(),
	}
	s.countReachable(now, v)
	for _, p := range s.sortedPeers() {
		s.addToView(v, p)
	}
	// Peers take over the accounts of a stopping daemon. If it remained their owner,
	// each stopping daemon would grant their rate once more to its own callers.
	if !s.stopping || len(v.Live) == 0 {
		v.Live = insertSorted(v.Live, s.params.Self)
		v.Owners = insertSorted(v.Owners, s.params.Self)
		v.Members = insertSorted(v.Members, s.params.Self)
	}
	if len(v.Live) <= 1 {
		v.Owners = slices.Clone(v.Live) // no owner can be queried
	}
	if s.ownersSince == 0 || !slices.Equal(v.Owners, s.owners) {
		s.owners, s.ownersSince = v.Owners, now
	}
	v.OwnersSince = s.ownersSince
	return PublishView{View: v}
}

// addToView adds a peer to a view. The peers are added in the order of their names.
func (*State) addToView(v *View, p *peer) {
	if p.known || p.isHeard() {
		v.Size++
	}
	if p.unresponsive {
		v.Unresponsive[p.name] = true
	}
	if p.heartbeat.Stopping {
		return
	}
	if p.unresponsive && p.mayServe() {
		v.Silent = append(v.Silent, p.name)
	}
	if p.granting {
		v.Granting = append(v.Granting, p.name)
	}
	if p.isHeard() {
		v.Live = append(v.Live, p.name)
	}
	if p.mayBeUp() {
		v.Owners = append(v.Owners, p.name)
	}
	if p.mayBeUp() || p.hasRecord || p.mayServe() {
		v.Members = append(v.Members, p.name)
	}
}

func insertSorted(names []crid.Daemon, name crid.Daemon) []crid.Daemon {
	i, _ := slices.BinarySearch(names, name)
	return slices.Insert(names, i, name)
}

// newPeer returns the state of a peer of which nothing is known but its name.
func newPeer(d crid.Daemon) *peer { return &peer{name: d, readerRank: rank(d, readerSalt)} }

func (s *State) addPeer(d crid.Daemon) *peer {
	p := newPeer(d)
	s.peers[d] = p
	s.sorted = nil
	return p
}

func (s *State) removePeer(d crid.Daemon) {
	delete(s.peers, d)
	delete(s.ahead, d)
	s.sorted = nil
}

// sortedPeers returns the peers sorted by name. Callers must not modify the result.
func (s *State) sortedPeers() []*peer {
	if s.sorted == nil {
		s.sorted = make([]*peer, 0, len(s.peers))
		for _, p := range s.peers {
			s.sorted = append(s.sorted, p)
		}
		slices.SortFunc(s.sorted, func(a, b *peer) int { return cmp.Compare(a.name, b.name) })
	}
	return s.sorted
}
