package crconn_test

import (
	"testing"

	"github.com/onsi/gomega"

	"camphorroad/core/crconn"
)

// add adds connections that are expected to fit.
func add(g *gomega.WithT, t *crconn.Table[string], conns ...string) {
	for _, c := range conns {
		_, result := t.Add(c)
		g.Expect(result).To(gomega.Equal(crconn.Added), c)
	}
}

// Guards against connections without requests that keep new ones out.
func TestLongestWaitingConnectionIsClosedForANewOne(t *testing.T) {
	g := gomega.NewWithT(t)
	table := crconn.NewTable[string](3)
	add(g, table, "a", "b", "c")
	table.Busy("a")
	table.Wait("a")
	longest, result := table.Add("d")
	g.Expect(result).To(gomega.Equal(crconn.Full))
	g.Expect(longest).To(gomega.Equal("b"))
	table.Remove("b")
	add(g, table, "d")
}

// Guards against connections that are closed under a request.
func TestBusyConnectionIsNotClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	table := crconn.NewTable[string](2)
	add(g, table, "a", "b")
	table.Busy("a")
	longest, result := table.Add("c")
	g.Expect(result).To(gomega.Equal(crconn.Full))
	g.Expect(longest).To(gomega.Equal("b"))
	_, result = table.Add("c")
	g.Expect(result).To(gomega.Equal(crconn.Refused))
	table.Wait("a")
	longest, result = table.Add("c")
	g.Expect(result).To(gomega.Equal(crconn.Full))
	g.Expect(longest).To(gomega.Equal("a"))
}

func TestReplacedConnectionKeepsItsPlace(t *testing.T) {
	g := gomega.NewWithT(t)
	table := crconn.NewTable[string](1)
	add(g, table, "a")
	table.Busy("a")
	table.Replace("a", "b")
	table.Remove("a")
	table.Wait("a")
	longest, result := table.Add("c")
	g.Expect(result).To(gomega.Equal(crconn.Full))
	g.Expect(longest).To(gomega.Equal("b"))
	table.Remove("b")
	table.Replace("b", "d")
	add(g, table, "c")
}
