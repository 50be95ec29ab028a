package crexperiment_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/lab/crexperiment"
)

func load(t *testing.T) *crexperiment.Experiment {
	t.Helper()
	x, err := crexperiment.Load("testdata/orders.toml")
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// Two runs with one seed must not differ by the machine or by map iteration order.
func TestSameSeedGivesSameResult(t *testing.T) {
	g := gomega.NewWithT(t)
	x := load(t)
	x.Seeds, x.Length = []uint64{7}, crexperiment.Duration(10*time.Second)
	g.Expect(x.Run()).To(gomega.Equal(x.Run()))
}

// Three in ten targets are unhealthy at any moment while their health checks pass. The
// served share must rise from no detection to detection per entry, to detection at the
// exits, and to complete information.
func TestServedShareRisesWithHealthInformation(t *testing.T) {
	g := gomega.NewWithT(t)
	x := load(t)
	served := make(map[string]crexperiment.Row)
	for _, r := range x.Rows(x.Run()) {
		served[r.Policy] = r
	}
	g.Expect(served["none"].Served).To(gomega.BeNumerically("<", served["own"].Served))
	g.Expect(served["own"].Served).To(gomega.BeNumerically("<", served["product"].Served))
	g.Expect(served["product"].Served).To(gomega.BeNumerically("<", served["oracle"].Served))
	g.Expect(served["oracle"].OnceFailed).To(gomega.BeZero())
	g.Expect(served["product"].P50).To(gomega.BeNumerically("<", served["own"].P50))
	g.Expect(served["oracle"].Served-served["product"].Served).To(gomega.BeNumerically("<", 0.03), "gap to the limit")
}

// At twice the capacity of the targets, excess requests must be refused at once, without being
// run, and served requests must meet their objective.
func TestOverloadIsRefusedNotLate(t *testing.T) {
	g := gomega.NewWithT(t)
	x := load(t)
	x.Load, x.Policies, x.Seeds, x.Faults.Share = 5, []string{"product"}, []uint64{1}, 0
	r := x.Run()[0]
	order := r.Kinds["mealorder"]
	g.Expect(order.Requests).To(gomega.BeNumerically(">", 4000))
	g.Expect(order.InTime).To(gomega.BeNumerically(">", 4*order.Late), "%+v", order)
	g.Expect(order.Refused).To(gomega.BeNumerically(">", 4*order.Failed), "%+v", order)
}

func TestLoadReportsInvalidFile(t *testing.T) {
	good, err := os.ReadFile("testdata/orders.toml")
	if err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string][3]string{
		"unknown key":         {"domains = 3", "zones = 3", "line 6: unknown key [zones]"},
		"invalid duration":    {`every = "9s"`, `every = "often"`, "often"},
		"unknown service":     {`service = "menus"`, `service = "menu"`, `no service is named "menu"`},
		"unknown nested kind": {`call = "routeread"`, `call = "route"`, `no kind is named "route"`},
		"no slots":            {"slots = 5", "slots = 0", "slots must be 1 or more"},
		"share of one":        {"share = 0.3", "share = 1.0", "share must be from 0 to under 1"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			file := filepath.Join(t.TempDir(), "x.toml")
			g.Expect(os.WriteFile(file, []byte(strings.Replace(string(good), change[0], change[1], 1)), 0o600)).To(gomega.Succeed())
			_, err := crexperiment.Load(file)
			g.Expect(err).To(gomega.MatchError(crexperiment.ErrExperiment))
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(change[2])))
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(file)))
		})
	}
}

// A day of 24 daemons must be simulated in less than two seconds on one core: 0.07 s for
// the 40 s of the file.
func BenchmarkDay(b *testing.B) {
	x, err := crexperiment.Load("testdata/orders.toml")
	if err != nil {
		b.Fatal(err)
	}
	x.Policies, x.Seeds = []string{"product"}, []uint64{1}
	for b.Loop() {
		x.Run()
	}
}

// Guards against requests that are late behind busy targets, more than 0.015 beyond complete information.
func TestStaleLoadReportsDoNotDelayRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	x, err := crexperiment.Load("testdata/large.toml")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	x.Load, x.Length, x.Policies = 1.8, crexperiment.Duration(6*time.Second), []string{"product", "oracle"}
	late := make(map[string]float64)
	for _, r := range x.Run() {
		n, requests := 0, 0
		for _, c := range r.Kinds {
			n, requests = n+c.Late, requests+c.Requests
		}
		late[r.Policy] = float64(n) / float64(requests)
	}
	g.Expect(late["product"]).To(gomega.BeNumerically("<=", late["oracle"]+0.015), "%v", late)
}
