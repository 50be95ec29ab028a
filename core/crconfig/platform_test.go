package crconfig_test

import (
	"camphorroad/core/crconfig"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// platform is a fake of what is published, as of a moment.
type platform struct {
	heads   []crconfig.Head // oldest first
	values  map[crconfig.Digest][]byte
	list    crinstance.List
	away    bool
	silent  bool // takes calls, and answers none of those that wait or come
	back    int  // serves a head this many changes old
	calls   int
	pages   int // calls that the list takes
	perSec  map[int]int
	lost    bool                 // values can not be read
	cutFrom map[crid.Daemon]bool // one way: answers do not arrive
}

func (p *platform) head() crconfig.Head { return p.heads[max(0, len(p.heads)-1-p.back)] }

func (p *platform) publish(c content) crid.Revision {
	b := makeBundle(c)
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

// relist changes the list of instances.
func (p *platform) relist(instances []crinstance.Instance) crid.Revision {
	h := p.heads[len(p.heads)-1]
	h.Rev++
	h.List = h.Rev
	p.list = crinstance.NewList(h.Rev, instances)
	p.heads = append(p.heads, h)
	return h.Rev
}
