package croffer

import (
	"encoding/base64"
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"

	"camphorroad/core/crbudget"
	"camphorroad/core/crid"
)

func TestCallReportsSurviveTheHeader(t *testing.T) {
	g := gomega.NewWithT(t)
	report := crbudget.CallReport{Runs: 12.5, Calls: []crbudget.Call{{Service: "desk", PerRun: 0.7}}, Failed: []crid.Service{"desk"}}
	g.Expect(decodeCalls(encodeCalls(report))).To(gomega.Equal(report))
	g.Expect(encodeCalls(crbudget.CallReport{Runs: 3})).To(gomega.BeEmpty(), "a target that makes no calls sends no header")
}

// Guards against a peer's report that makes the cost of a retry endless.
func TestInvalidCallReportsAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	encode := func(r crbudget.CallReport) string {
		data, err := cbor.Marshal(r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return base64.RawStdEncoding.EncodeToString(data)
	}
	for name, header := range map[string]string{
		"no base64":     "%%",
		"no CBOR":       "aaaa",
		"endless":       encode(crbudget.CallReport{Runs: 1, Calls: []crbudget.Call{{Service: "desk", PerRun: math.Inf(1)}}}),
		"not a number":  encode(crbudget.CallReport{Runs: 1, Calls: []crbudget.Call{{Service: "desk", PerRun: math.NaN()}}}),
		"negative":      encode(crbudget.CallReport{Runs: 1, Calls: []crbudget.Call{{Service: "desk", PerRun: -1}}}),
		"endless runs":  encode(crbudget.CallReport{Runs: math.Inf(1)}),
		"negative runs": encode(crbudget.CallReport{Runs: -1}),
	} {
		g.Expect(decodeCalls(header)).To(gomega.Equal(crbudget.CallReport{}), name)
	}
}
