package crconfig

import "camphorroad/core/crid"

// Dump is the reducer's state for the state dump; it contains no secrets.
type Dump struct {
	Revision            crid.Revision `json:"revision"`
	Manifest            string        `json:"manifest"`
	Values              int           `json:"values"`
	List                crid.Revision `json:"list"`
	Instances           int           `json:"instances"`
	Next                crid.Revision `json:"want"`    // configuration being fetched; zero: none
	MissingValues       int           `json:"missing"` // of Next
	PullingFrom         crid.Daemon   `json:"pulling"` // peer that Next is pulled from; empty: none
	FromPlatform        bool          `json:"direct"`  // Next is read from the platform
	NextList            crid.Revision `json:"wantlist"`
	Rejected            []string      `json:"refused"` // revisions that failed validation
	Ready               bool          `json:"ready"`
	Trusted             bool          `json:"trusted"` // as of the last tick
	Reader              bool          `json:"reader"`
	Ranked              []crid.Daemon `json:"ranked"` // readers and standbys of the domain
	PlatformUnavailable bool          `json:"away"`   // this daemon's last call failed
	Reachable           int           `json:"reachable"`
	KnownPeers          int           `json:"heard"` // daemons whose last Have is stored
}

// Dump returns the state as a JSON-ready value.
func (s *State) Dump() any {
	d := Dump{
		Revision:            s.conf.rev,
		Manifest:            s.conf.digest.String(),
		Values:              len(s.conf.values),
		List:                s.list.Revision(),
		Instances:           s.list.Len(),
		NextList:            s.nextList.want,
		Ready:               s.ready,
		Trusted:             s.trusted,
		Reader:              s.watch.reader,
		Ranked:              s.watch.ranked,
		PlatformUnavailable: s.watch.unavailable,
		Reachable:           len(s.peers),
		KnownPeers:          len(s.haves),
	}
	if s.nextConf != nil {
		d.Next = s.nextConf.rev
		d.MissingValues = len(s.missing())
		d.PullingFrom = s.nextConf.peer
		d.FromPlatform = s.nextConf.fromPlatform
	}
	for _, r := range s.rejected {
		d.Rejected = append(d.Rejected, rev(r.rev))
	}
	return d
}
