package crmember

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Heartbeats at the interval of a handover would cost each idle daemon three times its
// allowance of control traffic.
func TestIdleFleetSendsHeartbeatsSlowly(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startedCluster(0, newList(1, daemonNames(25)...))
	c.run(5 * time.Second)
	for _, n := range c.nodes {
		n.sent = nil
	}
	const seconds = 10
	c.run(seconds * time.Second)
	for d, n := range c.nodes {
		perPeer := float64(len(n.sent)) / (24 * seconds)
		g.Expect(perPeer).To(gomega.BeNumerically("~", 2, 0.5), string(d))
	}
	g.Expect(c.leaseHolders()).To(gomega.HaveLen(25))
}

// A link drops everything for 0.7 s while its last contact is already a second old. If
// the peer counted as down, its targets would be avoided and its tokens be unavailable.
func TestShortOutageWhileIdleTakesNoPeerDown(t *testing.T) {
	for phase := range 10 {
		g := gomega.NewWithT(t)
		c := startedCluster(0, newList(1, "a", "b", "c"))
		c.run(5*time.Second + time.Duration(phase)*50*time.Millisecond)
		c.partition(daemons("a"), daemons("b"))
		c.run(700 * time.Millisecond)
		clear(c.cuts)
		for range 40 {
			c.run(50 * time.Millisecond)
			g.Expect(c.down("a")).To(gomega.BeEmpty())
			g.Expect(c.down("b")).To(gomega.BeEmpty())
		}
	}
}
