package crplan_test

import (
	"testing"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crplan"
	"camphorroad/core/crpolicy"
)

func route(name crid.Route, prefix string) crplan.Route {
	return crplan.Route{
		Name: name, Host: "A.example", Prefix: prefix, Class: crpolicy.ClassOnce, MaxTargets: 1,
		Shares: []crplan.Share{{Service: "booking", Weight: 1}},
	}
}

var services = []crplan.Service{{Name: "booking"}, {Name: "dispatch"}}

func TestLongestPrefixMatches(t *testing.T) {
	g := gomega.NewWithT(t)
	p, err := crplan.New(1, []crplan.Route{route("kits", "/kits/"), route("hold", "/kits/hold/")}, nil, services, crplan.Limits{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for path, want := range map[string]crid.Route{"/kits/7": "kits", "/kits/hold/7": "hold", "/kits/": "kits"} {
		r, ok := p.Route("a.EXAMPLE:80", path)
		g.Expect(ok).To(gomega.BeTrue(), path)
		g.Expect(r.Name).To(gomega.Equal(want), path)
	}
	for _, path := range []string{"/kits", "/", "/other/"} {
		_, ok := p.Route("a.example", path)
		g.Expect(ok).To(gomega.BeFalse(), path)
	}
	_, ok := p.Route("b.example", "/kits/7")
	g.Expect(ok).To(gomega.BeFalse())
}

func TestKeyMapsToOneAccount(t *testing.T) {
	g := gomega.NewWithT(t)
	accounts := []crplan.Account{{Name: "survey", Keys: []string{"k1", "k2"}}, {Name: "road", Keys: []string{"k3"}}}
	p, err := crplan.New(1, nil, accounts, services, crplan.Limits{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	a, ok := p.AccountByKey("k2")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(a.Name).To(gomega.Equal(crid.Account("survey")))
	_, ok = p.AccountByKey("")
	g.Expect(ok).To(gomega.BeFalse())
}

func TestInvalidPlanIsRejected(t *testing.T) {
	bad := func(change func(*crplan.Route)) []crplan.Route {
		r := route("hold", "/hold/")
		change(&r)
		return []crplan.Route{r}
	}
	for name, routes := range map[string][]crplan.Route{
		"host":      bad(func(r *crplan.Route) { r.Host = "" }),
		"prefix":    bad(func(r *crplan.Route) { r.Prefix = "/hold" }),
		"class":     bad(func(r *crplan.Route) { r.Class = 0 }),
		"targets":   bad(func(r *crplan.Route) { r.MaxTargets = 0 }),
		"service":   bad(func(r *crplan.Route) { r.Shares[0].Service = "unknown" }),
		"weights":   bad(func(r *crplan.Route) { r.Shares[0].Weight = 0 }),
		"shares":    bad(func(r *crplan.Route) { r.Shares = nil }),
		"duplicate": {route("a", "/x/"), route("b", "/x/")},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := crplan.New(1, routes, nil, services, crplan.Limits{})
			gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred())
		})
	}
	_, err := crplan.New(1, nil, []crplan.Account{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"k"}}}, services, crplan.Limits{})
	gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.ContainSubstring("share a key")))
}

func TestPickFollowsWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	r := crplan.Route{Shares: []crplan.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[crid.Service]int{}
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	g.Expect(counts["a"]).To(gomega.Equal(900))
	g.Expect(counts["b"]).To(gomega.Equal(100))
	g.Expect(r.Pick(0.999999)).To(gomega.Equal(crid.Service("b")))
}
