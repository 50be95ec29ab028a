package crmember

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// lost returns whom a daemon takes for lost.
func (w *cluster) down(d crid.Daemon) []crid.Daemon {
	var lost []crid.Daemon
	for _, p := range w.nodes[d].peers {
		if p.Lost() {
			lost = append(lost, p.Daemon)
		}
	}
	slices.Sort(lost)
	return lost
}

func largeCluster() (*cluster, crinstance.List) {
	list := newList(1, daemonNames(45)...)
	w := newCluster(0, 1)
	for _, d := range list.Daemons() {
		w.start(d)
	}
	for _, d := range list.Daemons() {
		w.deliverList(d, list)
	}
	w.run(6 * time.Second)
	return w, list
}

// With more daemons than voters, most peers get a beat only now and then, and
// are not heard for a horizon though nothing is wrong with them. Were they taken
// for lost, each entry would send all its requests to a handful of targets and
// find hardly any owner to ask for tokens.
func TestUnreachableSampledPeersAreNotDown(t *testing.T) {
	g := gomega.NewWithT(t)
	w, node := newVoter(1000)
	for range 4 {
		runSecond(w, node)
	}
	silent, lost := 0, 0
	for _, p := range node.state.peerList() {
		if !p.Reachable {
			silent++
		}
		if p.Lost() {
			lost++
		}
	}
	g.Expect(silent).To(gomega.BeNumerically(">", 500))
	g.Expect(lost).To(gomega.BeZero())
}

// A voter that dies gets a beat in each round, so that everybody notices within
// a horizon and turns to others.
func TestFailedVoterIsDetectedInLargeFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	w, list := largeCluster()
	voter := Voters(list, 0, w.params.MaxVoters)[3]
	delete(w.nodes, voter)
	w.run(w.params.Horizon + 2*w.params.Interval)
	for _, d := range w.names() {
		g.Expect(w.down(d)).To(gomega.Equal([]crid.Daemon{voter}), string(d))
	}
}

// What sampling brings about is told once an interval, while the death of a voter
// is told at once. A daemon that told of each sampled peer by itself would spend
// its allowance of processor time on lists of peers.
func TestSampledPeerChangesAreReportedOncePerInterval(t *testing.T) {
	g := gomega.NewWithT(t)
	w, node := newVoter(1000)
	node.state.params.SampleFor = 0 // the samples change with each round
	node.state.sampleUntil = 0
	runSecond(w, node)
	told := runSecond(w, node)
	g.Expect(told).To(gomega.HaveEach(gomega.HaveField("Passing", true)))
	g.Expect(len(told)).To(gomega.BeNumerically("<=", time.Second/w.params.Interval))
}

// Each peer that a daemon has not beaten with lately costs a handshake. With a new
// sample in every round they take a sixth of a core, and sessions by the thousand.
func TestSampleIsKeptAcrossRounds(t *testing.T) {
	g := gomega.NewWithT(t)
	w, node := newVoter(1000)
	met := make(map[crid.Daemon]bool)
	const seconds = 30
	for range seconds {
		w.packets = nil
		runSecond(w, node)
		for _, p := range node.state.peerList() {
			if p.Sampled && p.Incarnation != 0 {
				met[p.Daemon] = true
			}
		}
	}
	g.Expect(len(met)).To(gomega.BeNumerically("<=", 2*w.params.Sample))
	g.Expect(met).NotTo(gomega.BeEmpty())
}
