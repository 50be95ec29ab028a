package crmember

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// down returns the peers that count as down at a daemon.
func (c *cluster) down(d crid.Daemon) []crid.Daemon {
	var down []crid.Daemon
	for _, p := range c.nodes[d].peers {
		if p.Down() {
			down = append(down, p.Daemon)
		}
	}
	slices.Sort(down)
	return down
}

func largeCluster() (*cluster, crinstance.List) {
	list := newList(1, daemonNames(45)...)
	c := newCluster(0, 1)
	for _, d := range list.Daemons() {
		c.start(d)
	}
	for _, d := range list.Daemons() {
		c.deliverList(d, list)
	}
	c.run(6 * time.Second)
	return c, list
}

// Most peers of a large fleet are sampled and out of contact for most of the time. If
// they counted as down, each entry would use a handful of targets and token owners.
func TestUnreachableSampledPeersAreNotDown(t *testing.T) {
	g := gomega.NewWithT(t)
	c, node := newVoter(1000)
	for range 4 {
		runSecond(c, node)
	}
	unreachable, down := 0, 0
	for _, p := range node.state.peerList() {
		if !p.Reachable {
			unreachable++
		}
		if p.Down() {
			down++
		}
	}
	g.Expect(unreachable).To(gomega.BeNumerically(">", 500))
	g.Expect(down).To(gomega.BeZero())
}

// A voter that fails is detected by all daemons within the contact timeout.
func TestFailedVoterIsDetectedInLargeFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	c, list := largeCluster()
	voter := Voters(list, 0, c.params.MaxVoters)[3]
	delete(c.nodes, voter)
	c.run(c.params.ContactTimeout + 2*c.params.Interval)
	for _, d := range c.names() {
		g.Expect(c.down(d)).To(gomega.Equal([]crid.Daemon{voter}), string(d))
	}
}

// If each change of a sampled peer caused a notice, a daemon would spend its allowance
// of processor time on lists of peers. A failed voter is still reported at once.
func TestSampledPeerChangesAreReportedOncePerInterval(t *testing.T) {
	g := gomega.NewWithT(t)
	c, node := newVoter(1000)
	node.state.params.SampleDuration = 0 // a new sample in each round
	node.state.sampleUntil = 0
	runSecond(c, node)
	notices := runSecond(c, node)
	g.Expect(notices).To(gomega.HaveEach(gomega.HaveField("SampledOnly", true)))
	g.Expect(len(notices)).To(gomega.BeNumerically("<=", time.Second/c.params.Interval))
}

// Each peer that is new to the sample costs a handshake. A new sample in every round
// costs a sixth of a core, and thousands of sessions.
func TestSampleIsKeptAcrossRounds(t *testing.T) {
	g := gomega.NewWithT(t)
	c, node := newVoter(1000)
	sampled := make(map[crid.Daemon]bool)
	const seconds = 30
	for range seconds {
		c.packets = nil
		runSecond(c, node)
		for _, p := range node.state.peerList() {
			if p.Sampled && p.Incarnation != 0 {
				sampled[p.Daemon] = true
			}
		}
	}
	g.Expect(len(sampled)).To(gomega.BeNumerically("<=", 2*c.params.SampleSize))
	g.Expect(sampled).NotTo(gomega.BeEmpty())
}
