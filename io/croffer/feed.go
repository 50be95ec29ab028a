package croffer

import (
	"time"

	"camphorroad/core/crid"
	"camphorroad/io/crwatch"
)

// FeedState says whether a daemon can serve as a reader of the store.
type FeedState uint8

// The states.
const (
	// FeedServed: the page holds what was asked for.
	FeedServed FeedState = iota + 1
	// FeedCompacted: the changes asked for are not known any more; list anew.
	FeedCompacted
	// FeedAway: the reader cannot read the store at present.
	FeedAway
	// FeedElsewhere: the daemon does not read the store itself.
	FeedElsewhere
)

// FeedQuery asks a reader for what changed in a part of the store.
type FeedQuery struct {
	_     struct{} `cbor:",toarray"`
	Scope crwatch.Scope
	Whole bool // all items, in place of changes
	After crid.Revision
	Wait  time.Duration
}

// FeedPage is a reader's answer.
type FeedPage struct {
	_     struct{} `cbor:",toarray"`
	State FeedState
	Items []crwatch.Item // packed
	At    crid.Revision  // to go on from
}
