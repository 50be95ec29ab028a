package craccount

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"camphorroad/core/crevent"
	"camphorroad/core/crmember"
)

// An account exceeds its rate. Tokens prefetched at one entry daemon are then missing for callers
// elsewhere, who are refused within the rate. Prefetch is therefore reduced while other daemons
// wait; an account at a single entry daemon keeps its full prefetch.
func TestPrefetchIsReducedUnderContention(t *testing.T) {
	for _, contended := range []bool{false, true} {
		g := NewWithT(t)
		e, seq := entryWithRequest(g, ms(10))
		e.snap = limitSnapshot(100, 200)
		a := e.entry.accounts[acct]
		a.demand = 100
		g.Expect(e.targetTokens(a)).To(Equal(30))
		item := GrantItem{Account: acct, ID: 1, Tokens: 1, Short: true, Contended: contended}
		e.handleGrant("x", Grant{Inc: 9, ToInc: 5, Seq: seq, Items: []GrantItem{item}})
		if contended {
			g.Expect(e.targetTokens(a)).To(Equal(5))
			e.advance(e.now.Add(contendedTime + time.Millisecond))
		}
		g.Expect(e.targetTokens(a)).To(Equal(30))
	}
}

// Entry daemons take more from one share than from another. If the fullest share did not get the
// first request, its refill would overflow, and less of the burst would be left when an owner is
// lost or demand surges. An owner without a recent answer may be full again.
func TestFullestOwnerGetsFirstRequest(t *testing.T) {
	g := NewWithT(t)
	e := newTestState("e", mutations{})
	e.now = ms(10000)
	sources := []source{{remaining: 3, remainingAt: ms(9900)}, {remaining: 8, remainingAt: ms(9990)}, {remainingAt: ms(9000)}}
	a := &account{name: acct, nextSource: 1, sources: sources}
	g.Expect(e.fullestFirst(a, []int{0, 1, 2})).To(Equal([]int{2, 1, 0}))
	g.Expect(e.fullestFirst(a, []int{0, 1})).To(Equal([]int{1, 0}))
}

// A daemon that stops as planned accepts requests until its callers have moved. These would be
// refused within their rate if it requested no tokens. It prefetches none, since they would be
// lost with it.
func TestStoppingEntryStillRequestsTokens(t *testing.T) {
	g := NewWithT(t)
	e, _ := entryWithRequest(g, ms(100))
	e.Step(crevent.Stopping{Now: ms(120)})
	e.entry.accounts[acct].sources[0].requested = 0
	e.entry.accounts[acct].coldRequests = 0 // earlier requests have given up
	effects := e.Step(UsageDrained{Now: ms(130), Usage: []UsageDelta{{Account: acct, Cold: 2}}})
	items := []TokenRequestItem{{Account: acct, Want: 2}}
	g.Expect(effects).To(ContainElement(crevent.Send{To: "x", Msg: TokenRequest{Inc: 5, Seq: 2, Items: items}}))
	deposits, _ := e.receiveGrant(ms(131), 2, 7)
	g.Expect(deposits).To(HaveLen(1))
}

// The owner of a share stops as planned, and its successor starts empty seconds later. A small
// account's callers would be refused if the owner did not grant its balance before it stops and
// entry daemons did not request it in time.
func TestEntriesPrefetchFromLeavingOwner(t *testing.T) {
	g := NewWithT(t)
	o := ownerWithLease(mutations{})
	o.Step(crevent.Stopping{Now: ms(4000)})
	g.Expect(o.request(ms(4001), 5).Tokens).To(Equal(5))

	e, seq := entryWithRequest(g, ms(4000))
	e.receiveGrant(ms(4001), seq, 1)
	a := e.entry.accounts[acct]
	a.demand = 6
	leaving := []crmember.Peer{{Daemon: "x", Reachable: true, Leaving: true}}
	want := crevent.Send{To: "x", Msg: TokenRequest{Inc: 5, Seq: 2, Items: []TokenRequestItem{{Account: acct, Want: 12, WaitForRest: true}}}}
	g.Expect(e.Step(crmember.PeersChanged{Now: ms(4002), Peers: leaving})).To(ContainElement(want))
	a.sources[0].requested = 0
	g.Expect(e.Step(crmember.PeersChanged{Now: ms(4003), Peers: leaving})).To(BeEmpty(), "once only")
}
