package crmember

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// One daemon of five fails. If a lease ended with the oldest of the contacts with all
// peers, no daemon could act, and one failed machine would have every request refused.
func TestLeaseExpiryFollowsQuorumNotMinimum(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startedCluster(0, newList(1, "a", "b", "c", "d", "e"))
	delete(c.nodes, "e")
	c.run(c.params.ContactTimeout + time.Second)
	s := c.nodes["a"].state
	now := c.nodes["a"].clock(c.now)
	minimum := now
	for _, p := range s.peers {
		minimum = min(minimum, p.lastContact.Add(s.params.ContactTimeout))
	}
	t.Logf("one of five daemons failed %v ago: the lease ends in %v by the majority, in %v by the minimum",
		c.params.ContactTimeout+time.Second, s.lease.Until.Sub(now), minimum.Sub(now))
	g.Expect(minimum).To(gomega.BeNumerically("<", now))
	g.Expect(s.lease.Until).To(gomega.BeNumerically(">", now))
}
