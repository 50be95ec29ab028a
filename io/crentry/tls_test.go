package crentry_test

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"camphorroad/io/crcert"
	"camphorroad/io/crentry"
)

// The server certificate is replaced before it expires. New handshakes must use the new
// one, open connections must continue, and files that do not match must change nothing.
func TestCertificateRotation(t *testing.T) {
	g := gomega.NewWithT(t)
	dir, next := t.TempDir(), t.TempDir()
	g.Expect(crcert.Issue(dir, "old")).To(gomega.Succeed())
	g.Expect(crcert.Issue(next, "new")).To(gomega.Succeed())
	certPath, keyPath := filepath.Join(dir, "old.pem"), filepath.Join(dir, "old.key")
	c, err := crentry.LoadCertificate(certPath, keyPath)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	p := newHarness(t, newRecorder(t).addr())
	srv := crentry.NewServer(p.entry, crentry.ServerOptions{MaxHeaderBytes: 16 << 10, ReadHeaderTimeout: bodyIdle})
	srv.TLSConfig = c.Config()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = srv.ServeTLS(ln, "", "") }()
	t.Cleanup(func() { _ = srv.Close() })

	get := func(client *http.Client) (proto, name string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://"+ln.Addr().String()+"/", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+alphaKey)
		resp, err := client.Do(req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer resp.Body.Close()
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.Proto, resp.TLS.PeerCertificates[0].DNSNames[0]
	}
	client := func(h2 bool) *http.Client {
		conf := &tls.Config{InsecureSkipVerify: true} //nolint:gosec // the test checks the certificate itself
		tr := &http.Transport{TLSClientConfig: conf, ForceAttemptHTTP2: h2}
		t.Cleanup(tr.CloseIdleConnections)
		return &http.Client{Transport: tr}
	}
	kept := client(true)
	proto, name := get(kept)
	g.Expect([]string{proto, name}).To(gomega.Equal([]string{"HTTP/2.0", "old"}))
	proto, _ = get(client(false))
	g.Expect(proto).To(gomega.Equal("HTTP/1.1"))

	replace := func(path, with string) {
		b, err := os.ReadFile(filepath.Join(next, with))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(os.WriteFile(path, b, 0o600)).To(gomega.Succeed())
	}
	replace(certPath, "new.pem")
	g.Expect(c.Reload()).NotTo(gomega.Succeed(), "the key does not match yet")
	_, name = get(client(true))
	g.Expect(name).To(gomega.Equal("old"))
	replace(keyPath, "new.key")
	g.Expect(c.Reload()).To(gomega.Succeed())
	_, name = get(client(true))
	g.Expect(name).To(gomega.Equal("new"))
	_, name = get(kept)
	g.Expect(name).To(gomega.Equal("old"), "the open connection continues")
}
