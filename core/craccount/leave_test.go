package craccount

import (
	"testing"

	. "github.com/onsi/gomega"

	"camphorroad/core/crevent"
	"camphorroad/core/crmember"
)

// A daemon is stopped as planned and still takes new work for a moment, until its
// callers have turned away. Those that come in this moment would be refused inside
// their rate if it asked for no more tokens; but it holds none ahead, since they
// would be lost with it.
func TestAStoppingEntryStillServesWhoComes(t *testing.T) {
	g := NewWithT(t)
	e, _ := asker(g, ms(100))
	e.Step(crevent.Stopping{Now: ms(120)})
	e.entry.accounts[acct].sources[0].want = 0
	e.entry.accounts[acct].cold = 0 // who asked before has given up
	effects := e.Step(Used{Now: ms(130), Usage: []Usage{{Account: acct, Cold: 2}}})
	items := []AskItem{{Account: acct, Want: 2}}
	g.Expect(effects).To(ContainElement(crevent.Send{To: "x", Msg: Ask{Inc: 5, Seq: 2, Items: items}}))
	deposits, _ := e.granted(ms(131), 2, 7)
	g.Expect(deposits).To(HaveLen(1))
}

// The owner of a share is stopped as planned. Its successor starts empty seconds
// later; what the owner has would be lost, and a small account's callers refused,
// if it did not grant while it can, and entries did not ask once more in time.
func TestEntriesStockUpFromALeavingOwner(t *testing.T) {
	g := NewWithT(t)
	o := newRig("x", flaws{})
	o.tenured(1, 1, 60000, "x")
	o.Step(crevent.Stopping{Now: ms(4000)})
	g.Expect(o.ask(ms(4001), 5).Tokens).To(Equal(5))

	e, seq := asker(g, ms(4000))
	e.granted(ms(4001), seq, 1)
	a := e.entry.accounts[acct]
	a.demand = 6
	leaving := []crmember.Peer{{Daemon: "x", Reachable: true, Leaving: true}}
	asked := crevent.Send{To: "x", Msg: Ask{Inc: 5, Seq: 2, Items: []AskItem{{Account: acct, Want: 12, Keep: true}}}}
	g.Expect(e.Step(crmember.Peers{Now: ms(4002), Peers: leaving})).To(ContainElement(asked))
	a.sources[0].want = 0
	g.Expect(e.Step(crmember.Peers{Now: ms(4003), Peers: leaving})).To(BeEmpty(), "once only")
}
