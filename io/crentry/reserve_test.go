package crentry_test

import (
	"net"
	"testing"

	"github.com/onsi/gomega"

	"camphorroad/io/crentry"
)

// A daemon that has just started cannot serve yet. If it accepted connections, it would
// refuse each request of a caller that could have used another address.
func TestReservedAddressRefusesConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, host := range []string{"127.0.0.1", ""} {
		free, err := net.Listen("tcp", host+":0") //nolint:noctx // finds a port
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, port, _ := net.SplitHostPort(free.Addr().String())
		g.Expect(free.Close()).To(gomega.Succeed())
		dial := func() error {
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", "127.0.0.1:"+port)
			if err == nil {
				_ = conn.Close()
			}
			return err
		}
		reservation, err := crentry.Reserve(host + ":" + port)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(dial()).To(gomega.MatchError(gomega.ContainSubstring("refused")))
		_, err = crentry.Reserve(host + ":" + port)
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("in use")))
		ln, err := reservation.Listen()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(dial()).To(gomega.Succeed())
		g.Expect(ln.Close()).To(gomega.Succeed())
	}
}
