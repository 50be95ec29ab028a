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

// A change is judged by two plays of one seed. If a play depended on the machine or on
// the order of a map, the difference would say nothing.
func TestASeedAlwaysGivesTheSame(t *testing.T) {
	g := gomega.NewWithT(t)
	x := load(t)
	x.Seeds, x.Length = []uint64{7}, crexperiment.Duration(10*time.Second)
	g.Expect(x.Run()).To(gomega.Equal(x.Run()))
}

// Three in ten targets are sick at any moment and their health pages are good. The
// more a fleet knows of its targets, the more callers it serves: nobody judging,
// each entry by its own answers, exits that see all answers, all states known.
func TestWhoKnowsMoreServesMore(t *testing.T) {
	g := gomega.NewWithT(t)
	x := load(t)
	served := make(map[string]crexperiment.Row)
	for _, r := range x.Rows(x.Run()) {
		served[r.Policy] = r
	}
	g.Expect(served["none"].Served).To(gomega.BeNumerically("<", served["own"].Served))
	g.Expect(served["own"].Served).To(gomega.BeNumerically("<", served["product"].Served))
	g.Expect(served["product"].Served).To(gomega.BeNumerically("<", served["oracle"].Served))
	g.Expect(served["oracle"].Lost).To(gomega.BeZero())
	g.Expect(served["product"].P50).To(gomega.BeNumerically("<", served["own"].P50))
	g.Expect(served["oracle"].Served-served["product"].Served).To(gomega.BeNumerically("<", 0.03), "gap to the limit")
}

// Twice the load that the targets can do comes in. Whatever is not served must be
// refused at once and truly; what is served must come in time.
func TestOverloadIsRefusedAndNotLate(t *testing.T) {
	g := gomega.NewWithT(t)
	x := load(t)
	x.Load, x.Policies, x.Seeds, x.Sick.Share = 5, []string{"product"}, []uint64{1}, 0
	r := x.Run()[0]
	order := r.Kinds["mealorder"]
	g.Expect(order.Asked).To(gomega.BeNumerically(">", 4000))
	g.Expect(order.InTime).To(gomega.BeNumerically(">", 4*order.Late), "%+v", order)
	g.Expect(order.Refused).To(gomega.BeNumerically(">", 4*order.Failed), "%+v", order)
}

func TestMistakesInAFileAreNamed(t *testing.T) {
	good, err := os.ReadFile("testdata/orders.toml")
	if err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string][3]string{
		"unknown key":    {"domains = 3", "zones = 3", "line 6: unknown key [zones]"},
		"no time":        {`every = "9s"`, `every = "often"`, "often"},
		"no service":     {`service = "menus"`, `service = "menu"`, `no service is named "menu"`},
		"no called kind": {`call = "routeread"`, `call = "route"`, `no kind is named "route"`},
		"no slots":       {"slots = 5", "slots = 0", "slots must be 1 or more"},
		"all sick":       {"share = 0.3", "share = 1.0", "share must be from 0 to under 1"},
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

// A day of 24 daemons has to play in less than two seconds on one core: 0.07 s for the
// 40 s of the file.
func BenchmarkADay(b *testing.B) {
	x, err := crexperiment.Load("testdata/orders.toml")
	if err != nil {
		b.Fatal(err)
	}
	x.Policies, x.Seeds = []string{"product"}, []uint64{1}
	for b.Loop() {
		x.Run()
	}
}
