package crview_test

import (
	"testing"

	"github.com/onsi/gomega"

	"camphorroad/core/crmember"
	"camphorroad/core/crroute"
	"camphorroad/core/crview"
)

// In a fleet with more daemons than voters, most peers are only sampled. If being
// unreachable counted for these, a few targets would get all requests.
func TestUnreachablePeersAreAvoidedUnlessSampled(t *testing.T) {
	g := gomega.NewWithT(t)
	s := size{daemons: 3, targets: 3, services: 1, routes: 1}
	in := s.input()
	in.Peers = []crmember.Peer{
		{Daemon: "instance-00001", Reachable: false},
		{Daemon: "instance-00002", Reachable: false, Sampled: true},
	}
	view, err := crview.Build(in)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	statuses := make(map[string]crroute.Status)
	pool := view.Pool(serviceName(0))
	for _, targets := range [][]*crroute.Target{pool.Local(), pool.Remote()} {
		for _, t := range targets {
			statuses[string(t.Daemon())] = t.Status()
		}
	}
	g.Expect(statuses).To(gomega.Equal(map[string]crroute.Status{
		"instance-00000": crroute.StatusReady,
		"instance-00001": crroute.StatusEjected,
		"instance-00002": crroute.StatusReady,
	}))
}
