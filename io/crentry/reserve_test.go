package crentry_test

import (
	"net"
	"testing"

	"github.com/onsi/gomega"

	"camphorroad/io/crentry"
)

// A daemon that has just started can not serve yet. A caller whose connection it
// takes is refused, over and over, instead of trying the next address.
func TestAReservedAddressTakesNoConnections(t *testing.T) {
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
		at, err := crentry.Reserve(host + ":" + port)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(dial()).To(gomega.MatchError(gomega.ContainSubstring("refused")))
		_, err = crentry.Reserve(host + ":" + port)
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("in use")))
		ln, err := at.Listen()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(dial()).To(gomega.Succeed())
		g.Expect(ln.Close()).To(gomega.Succeed())
	}
}
