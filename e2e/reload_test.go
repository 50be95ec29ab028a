package e2e_test

import (
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Certificates that expire are replaced by files of the same names, and operators send
// SIGHUP. A daemon that stopped on the signal, or loaded incomplete files, would cut its
// callers' requests.
var _ = Describe("certificates", func() {
	It("are reloaded on SIGHUP, and stay in use when the new files are invalid", func() {
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
