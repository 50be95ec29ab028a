package crmesh_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
)

// Guards against domains that are cut off and each grant accounts their whole rates.
func TestDomainsOfLargeFleetNoticeThatTheyAreCutOff(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(120)
	now := c.run(start, 20*time.Second)
	for _, d := range c.names {
		g.Expect(c.view[d].RateFraction(false)).To(gomega.Equal(1.0), string(d))
	}
	c.cut = true
	now = c.run(now, 6*time.Second)
	sum, sides := 0.0, 0.0
	for _, d := range c.names {
		sum += c.view[d].RateFraction(false)
		sides += 2 / float64(len(c.names))
	}
	g.Expect(sum/float64(len(c.names))*sides).To(gomega.BeNumerically("<=", 1.25), "of the rate, on both sides together")
	c.cut = false
	c.run(now, 30*time.Second)
	for _, d := range c.names {
		g.Expect(c.view[d].RateFraction(false)).To(gomega.Equal(1.0), string(d))
	}
}

// Guards against heartbeats whose bytes between domains grow with the fleet.
func TestRemoteHeartbeatsDoNotGrowWithTheFleet(t *testing.T) {
	for _, n := range []int{100, 353, 1000, 5500} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := gomega.NewWithT(t)
			s, peers := largeState(n)
			domains := map[crid.Daemon]int{}
			for i, d := range peers {
				domains[d] = (i + 1) % 6
			}
			remote := 0
			const seconds = 20
			for at := time.Second; at < (1+seconds)*time.Second; at += 100 * time.Millisecond {
				for _, d := range heartbeats(s.Step(crevent.Tick{Now: start.Add(at)})) {
					if domains[d] != 0 {
						remote++
					}
				}
			}
			first := len(peers) * 5 / 6 // each peer gets one at the start
			g.Expect(remote).To(gomega.BeNumerically("<=", first+seconds*25))
		})
	}
}

// Guards against partners that wait for heartbeats which the other daemon does not send.
func TestPartnersAgree(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := func(n int, self crid.Daemon, domain crid.Domain) map[crid.Daemon]int {
		p := params()
		p.Self, p.Domain, p.Seeds = self, domain, nil
		s := crmesh.New(p)
		s.Step(largeFleet(n))
		count := map[crid.Daemon]int{}
		for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
			for _, d := range heartbeats(s.Step(crevent.Tick{Now: start.Add(at)})) {
				count[d]++
			}
		}
		return count
	}
	const a = crid.Daemon("10.1.0.1")
	toB := sent(400, a, "a")
	partners := 0
	for i := 2; i <= 100; i++ {
		b := crid.Daemon(fmt.Sprintf("10.1.0.%d", i))
		if i%4 == 1 {
			continue
		}
		often := toB[b] > 3
		if often {
			partners++
		}
		g.Expect(sent(390, b, "b")[a] > 3).To(gomega.Equal(often), string(b))
	}
	g.Expect(partners).To(gomega.BeNumerically(">", 0))
}
