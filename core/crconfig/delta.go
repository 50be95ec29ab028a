package crconfig

import (
	"maps"
	"slices"

	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// maxGone bounds the memory of instances that left the list.
const maxGone = 5000

// changes remembers under which list each instance was last seen to change, so
// that a peer with an older list is sent the difference. A change that happened
// between two lists seen here is noted under the later: a peer in between is
// sent it too, which does no harm.
type changes struct {
	since crid.Revision // lists from this one on can be brought up to date
	at    map[crid.Daemon]crid.Revision
	gone  map[crid.Daemon]crid.Revision
}

func (c *changes) reset(since crid.Revision) {
	c.since = since
	c.at = make(map[crid.Daemon]crid.Revision)
	c.gone = make(map[crid.Daemon]crid.Revision)
}

// record notes what differs between two lists.
func (c *changes) record(former, list crinstance.List) {
	if former.Revision() == 0 {
		c.reset(list.Revision())
		return
	}
	for _, in := range list.Instances() {
		old, ok := former.Find(in.Daemon)
		if !ok || !sameInstance(old, in) {
			c.at[in.Daemon] = list.Revision()
			delete(c.gone, in.Daemon)
		}
	}
	for _, in := range former.Instances() {
		if _, ok := list.Find(in.Daemon); !ok {
			c.gone[in.Daemon] = list.Revision()
			delete(c.at, in.Daemon)
		}
	}
	if len(c.gone) > maxGone {
		c.reset(list.Revision())
	}
}

func sameInstance(a, b crinstance.Instance) bool {
	return a.Domain == b.Domain && a.Addr == b.Addr && a.State == b.State && slices.Equal(a.Targets, b.Targets)
}

// after returns what changed in a list after a revision; ok is false where that
// is not known, or is more than limit.
func (c *changes) after(r crid.Revision, list crinstance.List, limit int) (changed []crinstance.Instance, gone []crid.Daemon, ok bool) {
	if r == 0 || r < c.since || r > list.Revision() {
		return nil, nil, false
	}
	for _, d := range slices.Sorted(maps.Keys(c.at)) {
		if c.at[d] <= r {
			continue
		}
		if in, ok := list.Find(d); ok {
			changed = append(changed, in)
		}
	}
	for _, d := range slices.Sorted(maps.Keys(c.gone)) {
		if c.gone[d] > r {
			gone = append(gone, d)
		}
	}
	return changed, gone, len(changed)+len(gone) <= limit
}

// patch brings a list up to a later revision.
func patch(list crinstance.List, r crid.Revision, changed []crinstance.Instance, gone []crid.Daemon) crinstance.List {
	drop := make(map[crid.Daemon]bool, len(changed)+len(gone))
	for _, in := range changed {
		drop[in.Daemon] = true
	}
	for _, d := range gone {
		drop[d] = true
	}
	all := slices.DeleteFunc(list.Instances(), func(in crinstance.Instance) bool { return drop[in.Daemon] })
	return crinstance.NewList(r, slices.Concat(all, changed))
}
