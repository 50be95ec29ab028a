package crmember

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// TestMain fixes the seed, so that each CI run performs the same steps. The flags
// -rapid.seed and -rapid.checks set another seed or number of checks. The steps also
// depend on the order of the names of the actions.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// Under loss, reordering, duplicates, suspensions, restarts, one-way cuts, clock drift and
// stale lists, no two daemons may hold leases under different lists, or an account gets
// more than its rate. At most one daemon recovers at a time, the limit without a disk.
func TestLeasesUnderOneListOnly(t *testing.T) {
	laterLeases := 0
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(0, rapid.Uint64().Draw(rt, "network"))
		names := daemons("a", "b", "c", "d", "e", "f")
		lists := []crinstance.List{newList(1, names...)}
		c.startAll(lists[0])
		for _, d := range names {
			c.nodes[d].clockRate = rapid.Float64Range(0.99, 1.01).Draw(rt, "rate")
		}
		c.run(4 * time.Second)
		c.faulty = true
		m := &faultMachine{cluster: c, names: names, lists: lists}
		rt.Repeat(map[string]func(*rapid.T){
			"publish": m.publish,
			"read":    m.read,
			"readAll": m.readAll,
			"cut":     m.cutLink,
			"split":   m.split,
			"extend":  m.extendSide,
			"slow":    m.delayLink,
			"heal":    m.heal,
			"pause":   func(rt *rapid.T) { c.nodes[m.pick(rt)].suspended = true },
			"unpause": func(rt *rapid.T) { c.resume(m.pick(rt)) },
			"restart": m.restart,
			"run":     m.run,
			"runLong": func(*rapid.T) { c.run(3 * time.Second) },
			"": func(rt *rapid.T) {
				if len(c.overlaps) > 0 {
					rt.Fatalf("leases under two lists: %s", c.overlaps[0])
				}
				if len(c.disjoint) > 0 {
					rt.Fatalf("no list in common: %s", c.disjoint[0])
				}
			},
		})
		for _, n := range c.nodes {
			if n.lease.Active > 1 {
				laterLeases++
			}
		}
		m.expectLeases(rt)
	})
	if laterLeases == 0 {
		t.Fatal("no run activated a second list; the check proves nothing")
	}
	t.Logf("daemons with a later list active at the end of a run: %d", laterLeases)
}

// expectLeases ends all faults and expects leases again. A rule too strict for any
// lease would be safe, but every request would be refused.
func (m *faultMachine) expectLeases(rt *rapid.T) {
	m.cluster.faulty = false
	m.heal(rt)
	for _, d := range m.names {
		m.cluster.resume(d)
	}
	m.lists = append(m.lists, newList(crid.Revision(len(m.lists)+1), m.names...))
	m.readAll(rt)
	m.cluster.run(8 * time.Second)
	if held := len(m.cluster.leaseHolders()); held != len(m.names) {
		rt.Fatalf("%d of %d daemons hold a lease after the end of all faults", held, len(m.names))
	}
	if len(m.cluster.overlaps) > 0 {
		rt.Fatalf("leases under two lists: %s", m.cluster.overlaps[0])
	}
}

type faultMachine struct {
	cluster *cluster
	names   []crid.Daemon
	lists   []crinstance.List
	left    []crid.Daemon // the sides of the latest partition
	right   []crid.Daemon
}

func (m *faultMachine) pick(rt *rapid.T) crid.Daemon {
	return rapid.SampledFrom(m.names).Draw(rt, "daemon")
}

func (m *faultMachine) publish(rt *rapid.T) {
	members := rapid.Permutation(m.names).Draw(rt, "members")
	n := rapid.IntRange(3, len(members)).Draw(rt, "n")
	m.lists = append(m.lists, newList(crid.Revision(len(m.lists)+1), members[:n]...))
}

func (m *faultMachine) read(rt *rapid.T) {
	d := m.pick(rt)
	if !m.cluster.nodes[d].suspended {
		m.cluster.deliverList(d, rapid.SampledFrom(m.lists).Draw(rt, "list"))
	}
}

func (m *faultMachine) readAll(*rapid.T) {
	for _, d := range m.names {
		if !m.cluster.nodes[d].suspended {
			m.cluster.deliverList(d, m.lists[len(m.lists)-1])
		}
	}
}

func (m *faultMachine) cutLink(rt *rapid.T) {
	from, to := m.pick(rt), m.pick(rt)
	m.cluster.cuts[link{from, to}] = true
	if rapid.Bool().Draw(rt, "both") {
		m.cluster.cuts[link{to, from}] = true
	}
}

// split partitions the fleet in two, and one side reads a list that names only its daemons.
func (m *faultMachine) split(rt *rapid.T) {
	order := rapid.Permutation(m.names).Draw(rt, "order")
	n := rapid.IntRange(3, len(order)-1).Draw(rt, "n")
	m.left, m.right = order[:n], order[n:]
	m.cluster.partition(m.left, m.right)
	m.publishTo(m.left)
	m.cluster.run(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond)
}

// extendSide moves daemons of the side with the newer list to the other side, which may
// then read a list that names only its daemons. One of them may restart with an earlier list.
func (m *faultMachine) extendSide(rt *rapid.T) {
	if len(m.left) < 2 {
		return
	}
	n := rapid.IntRange(1, len(m.left)-1).Draw(rt, "n")
	movers, stay := m.left[:n], m.left[n:]
	side := append(slices.Clone(m.right), movers...)
	m.heal(rt)
	m.cluster.partition(side, stay)
	m.left, m.right = side, stay
	if rapid.Bool().Draw(rt, "restart") {
		m.restartOne(rt, movers[0])
	}
	if len(side) >= 3 && rapid.Bool().Draw(rt, "publish") {
		m.publishTo(side)
	}
	m.cluster.run(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond)
}

func (m *faultMachine) publishTo(side []crid.Daemon) {
	list := newList(crid.Revision(len(m.lists)+1), side...)
	m.lists = append(m.lists, list)
	for _, d := range side {
		if !m.cluster.nodes[d].suspended {
			m.cluster.deliverList(d, list)
		}
	}
}

// delayLink adds seconds of delay to a link.
func (m *faultMachine) delayLink(rt *rapid.T) {
	ms := rapid.IntRange(500, 6000).Draw(rt, "ms")
	m.cluster.delays[link{m.pick(rt), m.pick(rt)}] = time.Duration(ms) * time.Millisecond
}

func (m *faultMachine) heal(*rapid.T) {
	clear(m.cluster.cuts)
	clear(m.cluster.delays)
}

func (m *faultMachine) restart(rt *rapid.T) { m.restartOne(rt, m.pick(rt)) }

func (m *faultMachine) restartOne(rt *rapid.T, d crid.Daemon) {
	for _, n := range m.cluster.nodes {
		if n.state.recovering {
			return
		}
	}
	m.cluster.start(d)
	m.cluster.deliverList(d, rapid.SampledFrom(m.lists).Draw(rt, "list"))
}

func (m *faultMachine) run(rt *rapid.T) {
	ms := rapid.IntRange(10, 1500).Draw(rt, "ms")
	m.cluster.run(time.Duration(ms) * time.Millisecond)
}
