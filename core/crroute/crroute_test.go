package crroute_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crroute"
)

func table(t testing.TB, routes ...crpolicy.Route) *crroute.Table {
	t.Helper()
	svc := crpolicy.Service{Name: "booking", Routes: routes}
	tab, err := crroute.NewTable(crpolicy.NewSnapshot(1, []crpolicy.Service{svc}, nil))
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

func TestMatchPrefersMostSpecificRoute(t *testing.T) {
	tab := table(t,
		crpolicy.Route{Name: "root", Prefix: "/"},
		crpolicy.Route{Name: "kits", Prefix: "/kits"},
		crpolicy.Route{Name: "hold", Prefix: "/kits/hold", Methods: []string{"POST"}},
		crpolicy.Route{Name: "status", Prefix: "/kits/hold", Methods: []string{"GET"}},
		crpolicy.Route{Name: "lab", Prefix: "/kits", Host: "Lab.example"},
	)
	for _, c := range []struct{ host, method, path, want string }{
		{"a.example", "GET", "/", "root"},
		{"a.example", "GET", "/kitsch", "root"},
		{"a.example", "GET", "/kits", "kits"},
		{"a.example", "GET", "/kits/", "kits"},
		{"a.example", "POST", "/kits/hold/7", "hold"},
		{"a.example", "GET", "/kits/hold", "status"},
		{"a.example", "PUT", "/kits/hold", "kits"},
		{"lab.EXAMPLE:8080", "POST", "/kits/hold", "lab"},
		{"lab.example.", "GET", "/other", "root"},
	} {
		_, route, ok := tab.Match(c.host, c.method, c.path)
		gomega.NewWithT(t).Expect(ok).To(gomega.BeTrue())
		gomega.NewWithT(t).Expect(string(route.Name)).To(gomega.Equal(c.want), "%+v", c)
	}
	_, _, ok := table(t, crpolicy.Route{Name: "kits", Prefix: "/kits"}).Match("h", "GET", "/other")
	gomega.NewWithT(t).Expect(ok).To(gomega.BeFalse())
}

func TestTableRejectsConflictingRoutes(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, routes := range [][]crpolicy.Route{
		{{Name: "a", Prefix: "/x"}, {Name: "b", Prefix: "/x/"}},
		{{Name: "a", Prefix: "/x", Methods: []string{"GET"}}, {Name: "b", Prefix: "/x", Methods: []string{"PUT", "GET"}}},
		{{Name: "a", Prefix: "/x/../y"}},
		{{Name: "a", Prefix: "/x!y"}},
	} {
		svc := crpolicy.Service{Name: "booking", Routes: routes}
		_, err := crroute.NewTable(crpolicy.NewSnapshot(1, []crpolicy.Service{svc}, nil))
		var routeErr *crroute.RouteError
		g.Expect(errors.As(err, &routeErr)).To(gomega.BeTrue(), "%+v", routes)
	}
}

// A caller spells a path so that the route table and the upstream see different
// resources: a request that must run once would be retried under a repeat route.
func TestAmbiguousPathsAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	for path, want := range map[string]crroute.PathFault{
		"":                 crroute.PathRelative,
		"kits":             crroute.PathRelative,
		"/a/../hold":       crroute.PathDotSegment,
		"/a/..":            crroute.PathDotSegment,
		"/./a":             crroute.PathDotSegment,
		"//hold":           crroute.PathEmptySegment,
		"/a//b":            crroute.PathEmptySegment,
		"/a%2fhold":        crroute.PathEncoded,
		"/a%2Fhold":        crroute.PathEncoded,
		"/a/%2e%2E/hold":   crroute.PathEncoded,
		"/%68old":          crroute.PathEncoded,
		"/a%5chold":        crroute.PathEncoded,
		"/a/..%3b/hold":    crroute.PathEncoded,
		"/a/..;/hold":      crroute.PathForbidden,
		`/a\hold`:          crroute.PathForbidden,
		"/a%00":            crroute.PathForbidden,
		"/a%":              crroute.PathMalformed,
		"/a%2":             crroute.PathMalformed,
		"/a%zz":            crroute.PathMalformed,
		"/a/%252e%252e/b/": crroute.PathMalformed,
	} {
		var pathErr *crroute.PathError
		g.Expect(errors.As(crroute.CheckPath(path), &pathErr)).To(gomega.BeTrue(), path)
		g.Expect(pathErr.Fault()).To(gomega.Equal(want), path)
	}
	for _, path := range []string{"/", "/a", "/a/", "/a/b.c/..d", "/a/%20b", "/a%25", "/%E4%BD%A0"} {
		g.Expect(crroute.CheckPath(path)).To(gomega.Succeed(), path)
	}
}

func target(name string, domain crid.Domain, status crroute.Status, weight int) *crroute.Target {
	return crroute.NewTarget(crid.Target(name), "d", domain, status, weight, new(crroute.Load))
}

func pickCounts(p *crroute.Pool[*crroute.Target], info crroute.PickInfo, n int) map[crid.Target]int {
	seen := make(map[crid.Target]int)
	for range n {
		if c, ok := (crroute.TwoChoices[*crroute.Target]{}).Pick(p, info); ok {
			seen[c.Name()]++
		}
	}
	return seen
}

func TestTwoChoicesPrefersLocalDomainUntilBusier(t *testing.T) {
	g := gomega.NewWithT(t)
	local := target("local", "a", crroute.StatusReady, crroute.FullWeight)
	remote := target("remote", "b", crroute.StatusReady, crroute.FullWeight)
	p := crroute.NewPool("a", []*crroute.Target{remote, local})
	info := crroute.PickInfo{IntN: rand.New(rand.NewPCG(1, 2)).IntN}
	g.Expect(pickCounts(p, info, 100)).To(gomega.Equal(map[crid.Target]int{"local": 100}))
	for range 3 {
		local.Load().Begin()
	}
	g.Expect(pickCounts(p, info, 100)).To(gomega.Equal(map[crid.Target]int{"remote": 100}))
}

func TestTwoChoicesHonorsSlowStartWeight(t *testing.T) {
	g := gomega.NewWithT(t)
	p := crroute.NewPool("a", []*crroute.Target{
		target("cold", "a", crroute.StatusReady, 100), target("warm", "a", crroute.StatusReady, crroute.FullWeight),
	})
	seen := pickCounts(p, crroute.PickInfo{IntN: rand.New(rand.NewPCG(1, 2)).IntN}, 10_000)
	g.Expect(seen["cold"]).To(gomega.BeNumerically("~", 1000, 300))
}

// A one-way partition makes first one target unreachable, then all. Requests to the first
// would time out; with no target used at the end, requests would be refused needlessly.
func TestTwoChoicesAvoidsUnreachableTargetsUnlessAllAre(t *testing.T) {
	g := gomega.NewWithT(t)
	a := target("a", "m", crroute.StatusReady, crroute.FullWeight)
	b := target("b", "m", crroute.StatusReady, crroute.FullWeight)
	ejected := target("ejected", "m", crroute.StatusEjected, crroute.FullWeight)
	leaving := target("leaving", "m", crroute.StatusLeaving, crroute.FullWeight)
	p := crroute.NewPool("m", []*crroute.Target{leaving, ejected, a, b})
	info := crroute.PickInfo{Now: 1000, IntN: rand.New(rand.NewPCG(1, 2)).IntN}
	a.Load().RecordUnreachable(info.Now)
	a.Load().RecordUnreachable(info.Now)
	g.Expect(pickCounts(p, info, 50)).To(gomega.Equal(map[crid.Target]int{"b": 50}))
	b.Load().RecordUnreachable(info.Now)
	g.Expect(pickCounts(p, info, 50)).To(gomega.Equal(map[crid.Target]int{"b": 50}), "its avoidance ends first")
	info.Tried = []crid.Target{"a", "b"}
	g.Expect(pickCounts(p, info, 50)).To(gomega.Equal(map[crid.Target]int{"ejected": 50}))
	info.Tried = append(info.Tried, "ejected")
	g.Expect(pickCounts(p, info, 50)).To(gomega.BeEmpty(), "a leaving target takes no requests")
	info = crroute.PickInfo{Now: info.Now.Add(time.Second), IntN: info.IntN}
	g.Expect(pickCounts(p, info, 50)).To(gomega.HaveLen(2), "avoidance ends by itself")
}

// A target responds to every request at once with an error, so it has the fewest
// requests in flight. Compared by load alone it would fail nearly all callers.
func TestTwoChoicesDoesNotPreferFastFailingTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	broken := target("broken", "m", crroute.StatusReady, crroute.FullWeight)
	good := target("good", "m", crroute.StatusReady, crroute.FullWeight)
	good.Load().Begin()
	for range 5 {
		broken.Load().RecordFailure()
	}
	p := crroute.NewPool("m", []*crroute.Target{broken, good})
	seen := pickCounts(p, crroute.PickInfo{IntN: rand.New(rand.NewPCG(1, 2)).IntN}, 1000)
	g.Expect(seen["broken"]).To(gomega.BeNumerically("<", 350))
}

func TestRoundRobinAlternates(t *testing.T) {
	g := gomega.NewWithT(t)
	p := crroute.NewPool("m", []*crroute.Target{
		target("a", "m", crroute.StatusReady, 1), target("b", "m", crroute.StatusEjected, 1),
	})
	var rr crroute.RoundRobin[*crroute.Target]
	seen := make(map[crid.Target]int)
	for range 10 {
		c, _ := rr.Pick(p, crroute.PickInfo{})
		seen[c.Name()]++
	}
	g.Expect(seen).To(gomega.Equal(map[crid.Target]int{"a": 5, "b": 5}))
}

func BenchmarkMatch12000Routes(b *testing.B) {
	routes := make([]crpolicy.Route, 0, 12_000)
	for i := range cap(routes) {
		routes = append(routes, crpolicy.Route{Name: "r", Prefix: fmt.Sprintf("/s%d/r%d", i%1800, i)})
	}
	tab := table(b, routes...)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, ok := tab.Match("api.example:443", "GET", "/s100/r1900/a/b"); !ok {
			b.Fatal("no match")
		}
	}
}

func BenchmarkCheckPath(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		_ = crroute.CheckPath("/booking/kits/hold/2026-12-02/rover")
	}
}

func BenchmarkPick26Targets(b *testing.B) {
	targets := make([]*crroute.Target, 0, 26)
	for i := range cap(targets) {
		domain := crid.Domain(fmt.Sprint(i % 4))
		targets = append(targets, target(fmt.Sprint(i), domain, crroute.StatusReady, crroute.FullWeight))
	}
	p := crroute.NewPool("0", targets)
	var picker crroute.Picker[*crroute.Target] = crroute.TwoChoices[*crroute.Target]{}
	info := crroute.PickInfo{Now: crid.Instant(time.Hour), IntN: rand.New(rand.NewPCG(1, 2)).IntN}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = picker.Pick(p, info)
	}
}

// A restarted daemon has no policy yet and refuses at once, so its targets seem the
// least loaded. Picked again, they refuse a request three times while others are ready.
func TestNotReadyTargetIsAvoidedBriefly(t *testing.T) {
	g := gomega.NewWithT(t)
	var l crroute.Load
	now := crid.Instant(time.Minute)
	l.RecordNotReady(now)
	g.Expect(l.Avoided(now)).To(gomega.BeTrue())
	g.Expect(l.Avoided(now.Add(time.Second))).To(gomega.BeFalse())
	for range 20 {
		l.RecordNotReady(now)
	}
	g.Expect(l.Avoided(now.Add(time.Second))).To(gomega.BeFalse(), "repeated calls must not prolong it: the target is healthy")
	l.RecordUnreachable(now)
	until := l.AvoidedUntil()
	l.RecordNotReady(now.Add(-time.Second))
	g.Expect(l.AvoidedUntil()).To(gomega.Equal(until), "a longer avoidance is kept")
}

// A draining target refuses all requests before the list marks it; those of class once fail,
// as they are not retried. Targets that refuse only some in an overload must not be avoided.
func TestTargetThatOnlyShedsIsAvoided(t *testing.T) {
	g := gomega.NewWithT(t)
	var draining, busy crroute.Load
	for range 5 {
		draining.RecordShed(1)
		busy.RecordShed(1)
		busy.RecordSuccess()
	}
	g.Expect(draining.Avoided(2)).To(gomega.BeTrue())
	g.Expect(busy.Avoided(2)).To(gomega.BeFalse())
}
