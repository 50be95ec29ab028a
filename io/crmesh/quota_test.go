package crmesh

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crplan"
	"camphorroad/core/crquota"
)

// Guards against requests without limit, granted by an account's owner that has no plan yet.
func TestOwnerWithoutPlanDoesNotGrant(t *testing.T) {
	g := gomega.NewWithT(t)
	const self, account = crid.Daemon("10.0.0.1"), crid.Account("a1")
	lp := &loop{}
	l := &ownerLimiter{
		self: self, loop: lp, limiter: crquota.NewOwnerLimiter(crquota.Tolerance{Window: 5 * time.Second, Overage: 0.25}),
		granted: metrics.NilCounter{}, replacing: metrics.NilCounter{},
	}
	alone := []crid.Daemon{self}
	view := crmesh.View{Members: alone, Owners: alone, Live: alone, Size: 1, Confirmed: 1, Reachable: 1}
	lp.view.Store(&view)
	for _, origin := range []crquota.Origin{crquota.FromPeer, crquota.FromRelay} {
		ok, _, handled := l.grant(account, origin)
		g.Expect(ok).To(gomega.BeFalse())
		g.Expect(handled).To(gomega.BeFalse(), "its peers use their fallback buckets")
	}
	withPlan := view
	var err error
	withPlan.Plan, err = crplan.New(1, nil, []crplan.Account{{Name: account, Rate: 10, Burst: 10}}, nil, crplan.Limits{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lp.view.Store(&withPlan)
	ok, _, handled := l.grant(account, crquota.FromPeer)
	g.Expect(ok && handled).To(gomega.BeTrue())
}
