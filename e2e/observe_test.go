package e2e_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/command/factory"
	"camphorroad/command/state"
)

var _ = Describe("The admin endpoints", func() {
	// An operator reads a daemon's metrics and state dump while it serves requests; both
	// must include the latest requests.
	It("count requests and show the state by part", func() {
		a := account("survey", 1000, 1000)
		f := newFleet(3, time.Millisecond, a)
		d := f.Daemon(0)
		for range 5 {
			Expect(d.Get(a, "/kits/1").Status).To(Equal(http.StatusOK))
		}
		resp, err := http.Get(d.AdminURL() + "/metrics") //nolint:noctx // a test's request
		must(err)
		defer resp.Body.Close()
		page, err := io.ReadAll(resp.Body)
		must(err)
		Expect(string(page)).To(MatchRegexp(`(?m)^camphorroad_requests_answered_total ([5-9]|\d\d+)$`))
		Expect(string(page)).To(MatchRegexp(`(?m)^camphorroad_request_seconds_count ([5-9]|\d\d+)$`))
		Expect(string(page)).To(MatchRegexp(`(?m)^camphorroad_standing 1$`))
		Expect(string(page)).To(MatchRegexp(`(?m)^camphorroad_control_sent_bytes_total [1-9]`))
		Expect(string(page)).NotTo(ContainSubstring(a.Name))

		var out bytes.Buffer
		addr := strings.TrimPrefix(d.AdminURL(), "http://")
		must(state.NewShow(addr, "account").Run(GinkgoT().Context(), &factory.Factory{Out: &out}))
		Expect(out.String()).To(And(ContainSubstring(`"wallet"`), ContainSubstring(a.Name)))
		Expect(out.String()).NotTo(ContainSubstring(a.Key()))
	})
})
