package crmember

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Nothing happens for hours. Beats at the pace of a handover would take three
// times the allowance of control from every daemon, for nothing.
func TestIdleFleetSendsHeartbeatsSlowly(t *testing.T) {
	g := gomega.NewWithT(t)
	w := startedCluster(0, newList(1, daemonNames(25)...))
	w.run(5 * time.Second)
	for _, n := range w.nodes {
		n.sent = nil
	}
	const seconds = 10
	w.run(seconds * time.Second)
	for d, n := range w.nodes {
		perPeer := float64(len(n.sent)) / (24 * seconds)
		g.Expect(perPeer).To(gomega.BeNumerically("~", 2, 0.5), string(d))
	}
	g.Expect(w.leaseHolders()).To(gomega.HaveLen(25))
}

// A switch drops everything between two daemons for most of a second. At rest
// evidence is a second old by then, and a peer taken for lost for that would have
// its targets avoided and its tokens out of reach.
func TestShortOutageWhileIdleTakesNoPeerDown(t *testing.T) {
	for phase := range 10 {
		g := gomega.NewWithT(t)
		w := startedCluster(0, newList(1, "a", "b", "c"))
		w.run(5*time.Second + time.Duration(phase)*50*time.Millisecond)
		w.partition(daemons("a"), daemons("b"))
		w.run(700 * time.Millisecond)
		clear(w.cuts)
		for range 40 {
			w.run(50 * time.Millisecond)
			g.Expect(w.down("a")).To(gomega.BeEmpty())
			g.Expect(w.down("b")).To(gomega.BeEmpty())
		}
	}
}
