package e2e_test

import (
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Certificates run out and are replaced by files of the same names. Operators send
// SIGHUP; a daemon that stopped on it, or took half-written files, would cut its
// callers.
var _ = Describe("certificates", func() {
	It("are read again on SIGHUP, and stay as they were when the files are bad", func() {
		a := account{name: "survey", rate: 100, burst: 100}
		f := newFleet(3, time.Millisecond, a)
		d := f.daemons[0]
		Expect(d.cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Eventually(d.log.String, 5*time.Second).Should(ContainSubstring(`"event":130`))
		Expect(os.WriteFile(filepath.Join(f.dir, d.name+".pem"), []byte("broken"), 0o600)).To(Succeed())
		Expect(d.cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Eventually(d.log.String, 5*time.Second).Should(ContainSubstring(`"event":131`))
		req, err := http.NewRequest(http.MethodGet, "http://"+d.http+"/kits", nil) //nolint:noctx // the client bounds it
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+a.key())
		resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})
})
