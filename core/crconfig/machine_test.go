package crconfig_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphorroad/core/crid"
)

// seeded fixes rapid's seed, so that CI runs the same cases each time.
func seeded(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// machine drives several daemons through a faulty life.
type machine struct {
	f       *fleet
	highest map[crid.Daemon]crid.Revision // over all lives of a name
	maximum crid.Revision
	newer   int // daemons that have the maximum
}

func (m *machine) check(t *rapid.T) {
	m.maximum = 0
	for _, d := range m.f.alive() {
		life := m.f.daemons[d]
		for _, rev := range life.inForce {
			if rev < m.highest[d] {
				t.Fatalf("%s went from %d to %d", d, m.highest[d], rev)
			}
			m.highest[d] = rev
		}
		life.inForce = nil
		m.maximum = max(m.maximum, life.Revision())
	}
	m.newer = 0
	for _, d := range m.f.alive() {
		if m.f.daemons[d].Revision() == m.maximum {
			m.newer++
		}
	}
}

// restart replaces a daemon, if the newest survives: the platform has it, or a
// majority of all daemons have it without the one replaced.
func (m *machine) restart(t *rapid.T) {
	d := rapid.SampledFrom(m.f.names).Draw(t, "daemon")
	fromPlatform := m.f.plat.back == 0 && !m.f.plat.away && m.f.plat.head().Conf >= m.maximum
	others := m.newer
	if m.f.daemons[d].Revision() == m.maximum {
		others--
	}
	if !fromPlatform && others <= len(m.f.names)/2 {
		t.Skip("the newest would be lost")
	}
	m.f.kill(d)
	m.f.start(d)
}

// A fleet lives through publications, platforms that are away, stale or
// unreadable, cut links and replaced daemons. A revision that goes back at any
// daemon, also over its replacement, gives a withdrawn key its life back.
func TestRevisionNeverDecreases(t *testing.T) {
	seeded(t)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(7, 3, quick())
		f.plat.publish(content{})
		f.start(f.names...)
		f.run(6 * time.Second)
		m := &machine{f: f, highest: make(map[crid.Daemon]crid.Revision)}
		published := 0
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"publish": func(t *rapid.T) {
				published++
				f.plat.publish(content{Keys: []string{string(f.names[published%7])}, Bad: rapid.Bool().Draw(t, "bad")})
			},
			"platform": func(t *rapid.T) {
				f.plat.away = rapid.Bool().Draw(t, "away")
				f.plat.back = rapid.IntRange(0, 3).Draw(t, "back")
				f.plat.lost = rapid.Bool().Draw(t, "lost")
			},
			"cut": func(t *rapid.T) {
				from := rapid.SampledFrom(f.names).Draw(t, "from")
				to := rapid.SampledFrom(f.names).Draw(t, "to")
				f.cut = func(a, b crid.Daemon) bool { return a == from && b == to }
				f.membership()
			},
			"restart": m.restart,
			"wait": func(t *rapid.T) {
				f.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * tick)
			},
		})
		f.plat.away, f.plat.back, f.plat.lost, f.cut = false, 0, false, nil
		f.membership()
		rev := f.plat.publish(content{Keys: []string{"last"}})
		f.run(40 * time.Second)
		m.check(t)
		for _, d := range f.names {
			if f.daemons[d].Revision() != rev {
				t.Fatalf("%s has %d, not %d, when all is mended: %+v", d, f.daemons[d].Revision(), rev, f.daemons[d].Dump())
			}
		}
	})
}
