package crpeer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crforward"
	"camphorroad/core/crid"
	"camphorroad/io/crpeer"
)

// Peers to which a daemon sends messages change over time. Unless idle sessions are closed, it ends up with one to
// every daemon of a large fleet, which takes a gigabyte. A session with an open stream must stay.
func TestUnusedSessionsAreClosed(t *testing.T) {
	const peers = 20
	g := gomega.NewWithT(t)
	g.Expect(crpeer.DefaultIdleTimeout).To(gomega.BeNumerically(">", crforward.DefaultLedgerParams().Retention))
	names := []string{"near"}
	for i := range peers {
		names = append(names, fmt.Sprintf("peer-%d", i))
	}
	dir := issueCerts(t, names...)
	near, _ := listenIdle(t, 500*time.Millisecond, identity(t, dir, "near"))
	addrs := make(map[crid.Daemon]string)
	for _, name := range names[1:] {
		far, _ := listen(t, identity(t, dir, name))
		addrs[crid.Daemon(name)] = far.Addr()
	}
	near.SetAddrs(addrs)
	inUse, err := near.Session(t.Context(), "peer-0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	stream, err := inUse.OpenStream()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for peer := range addrs {
		_, err := near.Session(t.Context(), peer)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Eventually(near.Sessions, 10*time.Second).Should(gomega.Equal(1))
	_, err = stream.Write([]byte("still open"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(inUse.Context().Err()).NotTo(gomega.HaveOccurred())
	inUse.ReleaseStream()
	g.Eventually(near.Sessions, 10*time.Second).Should(gomega.BeZero())
	_, err = near.Session(t.Context(), "peer-0")
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the next use dials again")
}
