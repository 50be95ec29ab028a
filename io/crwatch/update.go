package crwatch

import (
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
)

// Revisions are the newest revisions of the store that a daemon holds. A daemon
// sends them with a request for an [Update].
type Revisions struct {
	_             struct{} `cbor:",toarray"`
	Records       crid.Revision
	Configuration crid.Revision
}

// Revisions returns the newest revisions that this daemon holds. That of the records is not
// the one that its watches have reached: they may have passed over a change that peers hold.
func (f *Follower) Revisions() Revisions {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Revisions{Records: f.recordsAt, Configuration: f.configurationRevision()}
}

// configurationRevision returns the revision of the configuration held; zero: none.
func (f *Follower) configurationRevision() crid.Revision {
	var r crid.Revision
	for _, i := range f.values[Configuration] {
		r = max(r, i.Revision)
	}
	return r
}

// Update contains the parts of a daemon's copy of the store that are newer than a
// peer's copy.
type Update struct {
	Records         []Item        `cbor:"r"`
	RecordsRevision crid.Revision `cbor:"n"` // zero: the peer's records are up to date
	Configuration   []Item        `cbor:"c"`
}

// UpdateFor returns the parts that are newer than a peer's revisions. A list of records
// and a configuration are tens of kilobytes each. Sending both to every peer that lacks
// one of them would saturate the link of a daemon with many such peers.
func (f *Follower) UpdateFor(peer Revisions) Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := Update{Configuration: f.compress(f.configurationFor(peer.Configuration))}
	if f.recordsAt <= peer.Records {
		return u
	}
	u.RecordsRevision = f.recordsAt
	for _, i := range f.values[Records] {
		u.Records = append(u.Records, i)
	}
	return u
}

// configurationFor returns the plan if it is newer than a peer's revision, and all
// evacuations: they are small, and a peer may lack one that is older than its plan.
func (f *Follower) configurationFor(revision crid.Revision) []Item {
	var out []Item
	for _, i := range f.values[Configuration] {
		if _, ok := f.opts.Decoder.Evacuation(i); ok || i.Revision > revision {
			out = append(out, i)
		}
	}
	return out
}

// Apply applies the parts of a peer's update that are newer than what this daemon holds.
func (f *Follower) Apply(u Update) error {
	now := f.opts.Clock()
	configuration, err := Decompress(u.Configuration)
	if err != nil {
		return err
	}
	f.applyConfiguration(now, configuration, 0, false)
	f.mu.Lock()
	newer := u.RecordsRevision > f.recordsAt
	if newer {
		f.storeItems(Records, u.Records, u.RecordsRevision, true)
	}
	f.mu.Unlock()
	if newer {
		f.opts.Emit(crmesh.RecordsListed{Now: now, Changes: f.decodeChanges(u.Records), Revision: u.RecordsRevision, FromPeer: true})
	}
	return nil
}
