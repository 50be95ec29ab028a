package craccount

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"camphorroad/core/crevent"
	"camphorroad/core/crmember"
)

// An account sends too much, and each entry wants to hold 300 ms of that ahead.
// When the crowd is gone, tokens lie at entries where nobody asks for them, and
// callers elsewhere are refused inside the rate. So little is held ahead while
// others wait, too; alone at one entry, an account keeps its tokens ahead.
func TestLittleIsHeldAheadWhileOthersWait(t *testing.T) {
	for _, rivals := range []bool{false, true} {
		g := NewWithT(t)
		e, seq := asker(g, ms(10))
		e.snap = limitOf(100, 200)
		a := e.entry.accounts[acct]
		a.demand = 100
		g.Expect(e.target(a)).To(Equal(30))
		item := GrantItem{Account: acct, ID: 1, Tokens: 1, Short: true, Rivals: rivals}
		e.takeGrant("x", Grant{Inc: 9, To: 5, Seq: seq, Items: []GrantItem{item}})
		if rivals {
			g.Expect(e.target(a)).To(Equal(5))
			e.advance(e.now.Add(scarceFor + time.Millisecond))
		}
		g.Expect(e.target(a)).To(Equal(30))
	}
}

// Entries draw more from one share than from another. Were the full one not asked
// first, it would mint in vain, and the account's burst be a part short when an
// owner is lost or callers surge. One not heard of for long may be full again.
func TestTheFullestOwnerIsAskedFirst(t *testing.T) {
	g := NewWithT(t)
	e := newRig("e", flaws{})
	e.now = ms(10000)
	sources := []source{{left: 3, leftAt: ms(9900)}, {left: 8, leftAt: ms(9990)}, {leftAt: ms(9000)}}
	a := &account{name: acct, rotate: 1, sources: sources}
	g.Expect(e.fullestFirst(a, []int{0, 1, 2})).To(Equal([]int{2, 1, 0}))
	g.Expect(e.fullestFirst(a, []int{0, 1})).To(Equal([]int{1, 0}))
}

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
	o := minting(flaws{})
	o.Step(crevent.Stopping{Now: ms(4000)})
	g.Expect(o.ask(ms(4001), 5).Tokens).To(Equal(5))

	e, seq := asker(g, ms(4000))
	e.granted(ms(4001), seq, 1)
	a := e.entry.accounts[acct]
	a.demand = 6
	leaving := []crmember.Peer{{Daemon: "x", Reachable: true, Leaving: true}}
	asked := crevent.Send{To: "x", Msg: Ask{Inc: 5, Seq: 2, Items: []AskItem{{Account: acct, Want: 12, Keep: true}}}}
	g.Expect(e.Step(crmember.PeersChanged{Now: ms(4002), Peers: leaving})).To(ContainElement(asked))
	a.sources[0].want = 0
	g.Expect(e.Step(crmember.PeersChanged{Now: ms(4003), Peers: leaving})).To(BeEmpty(), "once only")
}
