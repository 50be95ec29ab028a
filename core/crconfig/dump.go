package crconfig

import "camphorroad/core/crid"

// Dump is the reducer's state for the state dump; it holds no secret.
type Dump struct {
	Revision            crid.Revision `json:"revision"`
	Manifest            string        `json:"manifest"`
	Values              int           `json:"values"`
	List                crid.Revision `json:"list"`
	Instances           int           `json:"instances"`
	Next                crid.Revision `json:"want"`    // newer configuration on its way; zero for none
	MissingValues       int           `json:"missing"` // values of it
	PullingFrom         crid.Daemon   `json:"pulling"` // peer it is pulled from
	FromPlatform        bool          `json:"direct"`  // it is read from the platform
	NextList            crid.Revision `json:"wantlist"`
	Rejected            []string      `json:"refused"` // revisions
	Ready               bool          `json:"ready"`
	Trusted             bool          `json:"trusted"` // at the last tick
	Reader              bool          `json:"reader"`
	Ranked              []crid.Daemon `json:"ranked"` // readers and spares of the domain
	PlatformUnavailable bool          `json:"away"`   // the platform, for this daemon
	Reachable           int           `json:"reachable"`
	KnownPeers          int           `json:"heard"`
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
		PlatformUnavailable: s.watch.away,
		Reachable:           len(s.peers),
		KnownPeers:          len(s.haves),
	}
	if s.nextConf != nil {
		d.Next = s.nextConf.rev
		d.MissingValues = len(s.missing())
		d.PullingFrom = s.nextConf.peer
		d.FromPlatform = s.nextConf.direct
	}
	for _, r := range s.refused {
		d.Rejected = append(d.Rejected, rev(r.rev))
	}
	return d
}
