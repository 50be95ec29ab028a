package crconfig

import (
	"maps"
	"slices"

	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// maxRemoved bounds the number of removed instances in a changeLog.
const maxRemoved = 5000

// changeLog records the list revision at which each instance last changed, so
// that a peer with an older list is sent a diff. A change that happened between
// two lists received here is recorded under the later revision. A peer with a
// list in between is sent that change too, which does no harm.
type changeLog struct {
	base      crid.Revision // oldest revision that a diff can start from
	changedAt map[crid.Daemon]crid.Revision
	removedAt map[crid.Daemon]crid.Revision
}

func (c *changeLog) reset(base crid.Revision) {
	c.base = base
	c.changedAt = make(map[crid.Daemon]crid.Revision)
	c.removedAt = make(map[crid.Daemon]crid.Revision)
}

// record adds the differences between two lists.
func (c *changeLog) record(previous, list crinstance.List) {
	if previous.Revision() == 0 {
		c.reset(list.Revision())
		return
	}
	for _, in := range list.Instances() {
		old, ok := previous.Find(in.Daemon)
		if !ok || !sameInstance(old, in) {
			c.changedAt[in.Daemon] = list.Revision()
			delete(c.removedAt, in.Daemon)
		}
	}
	for _, in := range previous.Instances() {
		if _, ok := list.Find(in.Daemon); !ok {
			c.removedAt[in.Daemon] = list.Revision()
			delete(c.changedAt, in.Daemon)
		}
	}
	if len(c.removedAt) > maxRemoved {
		c.reset(list.Revision())
	}
}

func sameInstance(a, b crinstance.Instance) bool {
	return a.Domain == b.Domain && a.Addr == b.Addr && a.State == b.State && slices.Equal(a.Targets, b.Targets)
}

// diff returns the changes from the base revision to the list. It reports false
// if the log does not reach back to the base, or if they exceed limit.
func (c *changeLog) diff(base crid.Revision, list crinstance.List, limit int) (changed []crinstance.Instance, removed []crid.Daemon, ok bool) {
	if base == 0 || base < c.base || base > list.Revision() {
		return nil, nil, false
	}
	for _, d := range slices.Sorted(maps.Keys(c.changedAt)) {
		if c.changedAt[d] <= base {
			continue
		}
		if in, ok := list.Find(d); ok {
			changed = append(changed, in)
		}
	}
	for _, d := range slices.Sorted(maps.Keys(c.removedAt)) {
		if c.removedAt[d] > base {
			removed = append(removed, d)
		}
	}
	return changed, removed, len(changed)+len(removed) <= limit
}

// applyDiff applies a diff to a list.
func applyDiff(list crinstance.List, r crid.Revision, changed []crinstance.Instance, removed []crid.Daemon) crinstance.List {
	replaced := make(map[crid.Daemon]bool, len(changed)+len(removed))
	for _, in := range changed {
		replaced[in.Daemon] = true
	}
	for _, d := range removed {
		replaced[d] = true
	}
	all := slices.DeleteFunc(list.Instances(), func(in crinstance.Instance) bool { return replaced[in.Daemon] })
	return crinstance.NewList(r, slices.Concat(all, changed))
}
