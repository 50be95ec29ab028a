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

// A daemon of a large fleet says a word to another peer every now and then, for
// weeks. If no session ended, it would hold one with every other daemon, a
// gigabyte of them. One that carries a request, however slow, must stay.
func TestUnusedSessionsAreClosed(t *testing.T) {
	const peers = 20
	g := gomega.NewWithT(t)
	g.Expect(crpeer.DefaultIdle).To(gomega.BeNumerically(">", crforward.DefaultLedgerParams().Retention))
	names := []string{"near"}
	for i := range peers {
		names = append(names, fmt.Sprintf("peer-%d", i))
	}
	dir := authority(t, names...)
	near, _ := listenIdle(t, 500*time.Millisecond, identity(t, dir, "near"))
	addrs := make(map[crid.Daemon]string)
	for _, name := range names[1:] {
		far, _ := listen(t, identity(t, dir, name))
		addrs[crid.Daemon(name)] = far.Addr()
	}
	near.SetAddrs(addrs)
	busy, err := near.Session(t.Context(), "peer-0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	stream, err := busy.Open()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for peer := range addrs {
		_, err := near.Session(t.Context(), peer)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Eventually(near.Sessions, 10*time.Second).Should(gomega.Equal(1))
	_, err = stream.Write([]byte("still here"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(busy.Context().Err()).NotTo(gomega.HaveOccurred())
	busy.Done()
	g.Eventually(near.Sessions, 10*time.Second).Should(gomega.BeZero())
	_, err = near.Session(t.Context(), "peer-0")
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the next use dials again")
}
