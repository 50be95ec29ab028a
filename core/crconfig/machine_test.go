package crconfig_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphorroad/core/crid"
)

// fixRapidSeed fixes rapid's seed, so that CI runs the same cases each time.
func fixRapidSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// stateMachine applies random faults to several daemons.
type stateMachine struct {
	f       *fleet
	highest map[crid.Daemon]crid.Revision // highest revision over all runs of a daemon
	newest  crid.Revision
	holders int // daemons that have applied newest
}

func (m *stateMachine) check(t *rapid.T) {
	m.newest = 0
	for _, d := range m.f.running() {
		node := m.f.daemons[d]
		for _, rev := range node.applied {
			if rev < m.highest[d] {
				t.Fatalf("%s went from revision %d to %d", d, m.highest[d], rev)
			}
			m.highest[d] = rev
		}
		node.applied = nil
		m.newest = max(m.newest, node.Revision())
	}
	m.holders = 0
	for _, d := range m.f.running() {
		if m.f.daemons[d].Revision() == m.newest {
			m.holders++
		}
	}
}

// restart replaces a daemon, unless that would lose the newest configuration. The
// platform must serve it, or a majority of all daemons must have it without the
// replaced one.
func (m *stateMachine) restart(t *rapid.T) {
	d := rapid.SampledFrom(m.f.names).Draw(t, "daemon")
	fromPlatform := m.f.platform.lag == 0 && !m.f.platform.unavailable && m.f.platform.head().Conf >= m.newest
	others := m.holders
	if m.f.daemons[d].Revision() == m.newest {
		others--
	}
	if !fromPlatform && others <= len(m.f.names)/2 {
		t.Skip("the newest configuration would be lost")
	}
	m.f.kill(d)
	m.f.start(d)
}

// Publications, platform faults, broken links and restarts occur in random order. A revision
// that decreases at a daemon, also across a restart, would make a withdrawn key valid again.
func TestRevisionNeverDecreases(t *testing.T) {
	fixRapidSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(7, 3, smallFleetParams())
		f.platform.publish(content{})
		f.start(f.names...)
		f.run(6 * time.Second)
		m := &stateMachine{f: f, highest: make(map[crid.Daemon]crid.Revision)}
		published := 0
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"publish": func(t *rapid.T) {
				published++
				f.platform.publish(content{Keys: []string{string(f.names[published%7])}, Bad: rapid.Bool().Draw(t, "bad")})
			},
			"platform": func(t *rapid.T) {
				f.platform.unavailable = rapid.Bool().Draw(t, "unavailable")
				f.platform.lag = rapid.IntRange(0, 3).Draw(t, "lag")
				f.platform.unreadable = rapid.Bool().Draw(t, "unreadable")
			},
			"cut": func(t *rapid.T) {
				from := rapid.SampledFrom(f.names).Draw(t, "from")
				to := rapid.SampledFrom(f.names).Draw(t, "to")
				f.blocked = func(a, b crid.Daemon) bool { return a == from && b == to }
				f.updateMembership()
			},
			"restart": m.restart,
			"wait": func(t *rapid.T) {
				f.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * tick)
			},
		})
		f.platform.unavailable, f.platform.lag, f.platform.unreadable, f.blocked = false, 0, false, nil
		f.updateMembership()
		rev := f.platform.publish(content{Keys: []string{"last"}})
		f.run(40 * time.Second)
		m.check(t)
		for _, d := range f.names {
			if f.daemons[d].Revision() != rev {
				t.Fatalf("%s has revision %d, want %d, after all faults ended: %+v", d, f.daemons[d].Revision(), rev, f.daemons[d].Dump())
			}
		}
	})
}
