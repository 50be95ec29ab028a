package e2e_test

import (
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Expired certificates are replaced by files of the same names, and operators send
// SIGHUP. A daemon that stopped on it, or loaded incomplete files, would cut its
// callers.
var _ = Describe("certificates", func() {
	It("are read again on SIGHUP, and stay as they were when the files are bad", func() {
		a := account("survey", 100, 100)
		f := newFleet(3, time.Millisecond, a)
		d := f.Daemon(0)
		must(d.Reload())
		Eventually(d.Log, 5*time.Second).Should(ContainSubstring(`"event":130`))
		must(os.WriteFile(d.CertFile(), []byte("broken"), 0o600))
		must(d.Reload())
		Eventually(d.Log, 5*time.Second).Should(ContainSubstring(`"event":131`))
		Eventually(func() int { return d.Get(a, "/kits").Status }, 5*time.Second).Should(Equal(http.StatusOK))
	})
})
