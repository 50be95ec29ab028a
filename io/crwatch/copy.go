package crwatch

import (
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
)

// Revisions says what a daemon holds of the store, for a peer that it asks for more.
type Revisions struct {
	_             struct{} `cbor:",toarray"`
	Records       crid.Revision
	Configuration crid.Revision
}

// Revisions returns how far this daemon is.
func (f *Follower) Revisions() Revisions {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Revisions{Records: f.at[Records], Configuration: f.configuration()}
}

// configuration is the revision of the configuration held; zero: none.
func (f *Follower) configuration() crid.Revision {
	var r crid.Revision
	for _, i := range f.values[Configuration] {
		r = max(r, i.Revision)
	}
	return r
}

// Update is what a daemon holds of the store that a peer lacks.
type Update struct {
	Records         []Item        `cbor:"r"`
	RecordsRevision crid.Revision `cbor:"n"` // zero: the peer's are as new
	Configuration   []Item        `cbor:"c"`
}

// UpdateFor returns what is newer than what a peer has. A list of records and a
// configuration are tens of kilobytes each; sent whole to all who lacked one of
// them, they filled the link of a daemon that many asked at a time.
func (f *Follower) UpdateFor(peer Revisions) Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := Update{Configuration: f.pack(f.newer(peer.Configuration))}
	if f.at[Records] <= peer.Records {
		return c
	}
	c.RecordsRevision = f.at[Records]
	for _, i := range f.values[Records] {
		c.Records = append(c.Records, i)
	}
	return c
}

// Apply takes what a peer held, where it is newer.
func (f *Follower) Apply(c Update) error {
	now := f.opts.Clock()
	configuration, err := Decompress(c.Configuration)
	if err != nil {
		return err
	}
	for _, i := range configuration {
		f.plan(now, i)
	}
	f.mu.Lock()
	newer := c.RecordsRevision > f.at[Records]
	if newer {
		f.store(Records, c.Records, c.RecordsRevision, true)
	}
	f.mu.Unlock()
	if newer {
		f.opts.Emit(crmesh.Listed{Now: now, Changes: f.changes(c.Records), Revision: c.RecordsRevision, Peer: true})
	}
	return nil
}
