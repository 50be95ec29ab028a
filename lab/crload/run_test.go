package crload_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/lab/crload"
	"camphorroad/lab/crupstream"
)

// If a request's planned time is read only after the next request has been planned, its
// latency is below the service time.
func TestLatencyIsNeverBelowTheServiceTime(t *testing.T) {
	g := gomega.NewWithT(t)
	const service = 20 * time.Millisecond
	srv := httptest.NewServer(crupstream.New(crupstream.Options{Name: "u", Slots: 50, ServiceTime: service}))
	defer srv.Close()
	report, err := crload.Run(t.Context(), crload.Plan{
		Seconds: 0.5, Seed: 1, Entries: []string{srv.URL},
		Accounts: []crload.Account{{Name: "a", Rate: 200, Calls: []crload.Call{{Method: "GET", Path: "/x"}}}},
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(report.Samples()).NotTo(gomega.BeEmpty())
	for _, sample := range report.Samples() {
		g.Expect(sample.Result).To(gomega.Equal(crload.Answered))
		g.Expect(sample.Latency).To(gomega.BeNumerically(">=", service))
	}
}
