package crmesh_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a limit for heads that does not follow the plan.
func TestHeadsAreBoundedByThePlan(t *testing.T) {
	const limit, tooLarge = 8 << 10, 64 << 10
	g := gomega.NewWithT(t)
	f := newFleet(t, 1)
	status := func(n int) int {
		got, _ := f.machines[0].sendRaw("GET /look/a HTTP/1.1\r\nRequest-Id: large\r\nConnection: close\r\n" + headers + "A: " + strings.Repeat("a", n) + "\r\n\r\n")
		return got
	}
	g.Expect(status(tooLarge)).To(gomega.Equal(http.StatusOK))
	f.publishLimits(2, `{"max-header-bytes":8192}`)
	g.Eventually(func() int { return status(tooLarge) }, "5s", "50ms").Should(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))
	g.Expect(status(limit / 2)).To(gomega.Equal(http.StatusOK))
	f.publishLimits(3, `{}`)
	g.Eventually(func() int { return status(tooLarge) }, "5s", "50ms").Should(gomega.Equal(http.StatusOK))
}
