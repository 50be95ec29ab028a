package crconfig_test

import (
	"camphorroad/core/crconfig"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// fakePlatform replaces the platform in tests.
type fakePlatform struct {
	heads           []crconfig.Head // oldest first
	values          map[crconfig.Digest][]byte
	list            crinstance.List
	unavailable     bool
	unresponsive    bool // accepts calls without responding, and leaves pending watches unanswered
	lag             int  // serves a head that is this many changes old
	calls           int
	listCalls       int // calls that a read of the list takes
	callsPerSecond  map[int]int
	unreadable      bool                 // values cannot be read
	unreachableFrom map[crid.Daemon]bool // responses do not reach these daemons
}

func (p *fakePlatform) head() crconfig.Head { return p.heads[max(0, len(p.heads)-1-p.lag)] }

func (p *fakePlatform) publish(c content) crid.Revision {
	b := newBundle(c)
	for d, data := range b.values {
		p.values[d] = data
	}
	h := p.heads[len(p.heads)-1]
	h.Rev++
	h.Conf = h.Rev
	h.Manifest = b.digest()
	p.heads = append(p.heads, h)
	return h.Rev
}

// publishList publishes a new list of instances.
func (p *fakePlatform) publishList(instances []crinstance.Instance) crid.Revision {
	h := p.heads[len(p.heads)-1]
	h.Rev++
	h.List = h.Rev
	p.list = crinstance.NewList(h.Rev, instances)
	p.heads = append(p.heads, h)
	return h.Rev
}
