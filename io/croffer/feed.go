package croffer

import (
	"time"

	"camphorroad/core/crid"
	"camphorroad/io/crwatch"
)

// FeedState reports whether a daemon can serve reads of the store.
type FeedState uint8

// The states.
const (
	// FeedServed: the page holds the requested items.
	FeedServed FeedState = iota + 1
	// FeedCompacted: the requested changes have been compacted; a full read is needed.
	FeedCompacted
	// FeedUnavailable: the reader cannot read the store at present.
	FeedUnavailable
	// FeedNotReader: the daemon does not read the store itself.
	FeedNotReader
)

// FeedQuery requests the changes in a part of the store from a reader.
type FeedQuery struct {
	_     struct{} `cbor:",toarray"`
	Scope crwatch.Scope
	Full  bool // all items instead of changes
	After crid.Revision
	Wait  time.Duration
}

// FeedPage is the answer to a FeedQuery.
type FeedPage struct {
	_        struct{} `cbor:",toarray"`
	State    FeedState
	Items    []crwatch.Item // large values are compressed
	Revision crid.Revision  // After of the next query
	Packed   []byte         // a list of records, in place of Items; see crwatch.Pack
}
