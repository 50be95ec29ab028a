package craccount

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmember"
	"camphorroad/core/crpolicy"
)

const (
	acct     crid.Account     = "firm"
	entryInc crid.Incarnation = 77
)

func limitSnapshot(rate, burst float64) *crpolicy.Snapshot {
	return crpolicy.NewSnapshot(1, nil, []crpolicy.Account{{Name: acct, Rate: rate, Burst: burst}})
}

func ms(n int) crid.Instant { return crid.Instant(time.Duration(n) * time.Millisecond) }

// testState is a reducer that a test drives step by step; acct has rate 100 and burst 20.
type testState struct {
	*State
	seq uint64
}

func newTestState(name crid.Daemon, mutations mutations) *testState {
	params := DefaultParams()
	params.mutations = mutations
	r := &testState{State: New(params)}
	r.Step(crevent.Started{Now: 1, Self: name, Incarnation: 5})
	r.Step(crconfig.Applied{Now: 1, Snapshot: limitSnapshot(100, 20)})
	return r
}

// ownerWithLease returns the owner "x" with a lease for a minute.
func ownerWithLease(mutations mutations) *testState {
	x := newTestState("x", mutations)
	x.giveLease(1, 0, 60000, "x")
	return x
}

func (r *testState) giveLease(rev crid.Revision, from, until int, members ...crid.Daemon) {
	r.Step(crmember.Lease{Now: ms(from), Active: rev, Members: members, Until: ms(until)})
}

// request sends a token request of the entry daemon "e", and returns the answer's item.
func (r *testState) request(at crid.Instant, want int, usage ...GrantUsage) GrantItem {
	r.seq++
	msg := TokenRequest{Inc: entryInc, Seq: r.seq, Items: []TokenRequestItem{{Account: acct, Want: want}}, Usage: usage}
	for _, eff := range r.Step(crevent.Received{Now: at, From: "e", Msg: msg}) {
		if send, ok := eff.(crevent.Send); ok {
			return send.Msg.(Grant).Items[0]
		}
	}
	return GrantItem{}
}

func spentUsage(item GrantItem, n int) GrantUsage {
	return GrantUsage{Account: acct, Inc: 5, Grant: item.ID, Taken: n}
}

// entryWithRequest returns an entry daemon that has sent a token request to the owner "x", and
// the request's number.
func entryWithRequest(g Gomega, at crid.Instant) (*testState, uint64) {
	e := newTestState("e", mutations{})
	e.Step(crmember.Lease{Now: 1, Members: []crid.Daemon{"x"}})
	e.Step(crmember.PeersChanged{Now: 1, Peers: []crmember.Peer{{Daemon: "x", Reachable: true}}})
	for _, eff := range e.Step(UsageDrained{Now: at, Usage: []UsageDelta{{Account: acct, Cold: 5}}}) {
		if send, ok := eff.(crevent.Send); ok {
			return e, send.Msg.(TokenRequest).Seq
		}
	}
	g.Expect("a TokenRequest").To(BeEmpty())
	return nil, 0
}

func poolWith(tokens int, expiresAt crid.Instant) *TokenPool {
	p := NewTokenPool()
	p.Deposit(Deposit{Account: acct, Key: GrantKey{ID: 1}, Tokens: tokens, ExpiresAt: expiresAt})
	return p
}

func (r *testState) receiveGrant(at crid.Instant, seq, id uint64) (deposits []Deposit, reports []int) {
	msg := Grant{Inc: 9, ToInc: 5, Seq: seq, Items: []GrantItem{{Account: acct, ID: id, Tokens: 5}}}
	for _, eff := range r.Step(crevent.Received{Now: at, From: "x", Msg: msg}) {
		switch eff := eff.(type) {
		case Deposit:
			deposits = append(deposits, eff)
		case crevent.Report:
			reports = append(reports, eff.Number)
		}
	}
	return deposits, reports
}

// A Grant is lost. If it never expired, its tokens could not be refilled; if it expired too early,
// they would be spent twice when the Grant arrives after all.
func TestLostGrantBecomesRoomOnlyOnceExpired(t *testing.T) {
	g := NewWithT(t)
	x := ownerWithLease(mutations{})
	g.Expect(x.request(ms(3000), 20).Tokens).To(Equal(20))
	g.Expect(x.request(ms(4990), 20).Tokens).To(BeZero())
	x.Step(crevent.Tick{Now: ms(5075)})
	g.Expect(x.request(ms(5175), 20).Tokens).To(Equal(10))
}

// The owner's clock is two percent faster than the entry daemon's. Without a margin for drift,
// the owner refills while the entry daemon can still spend.
func TestOwnerExpiryAllowsForClockDrift(t *testing.T) {
	g := NewWithT(t)
	lateTokens := func(m mutations) int {
		x := ownerWithLease(m)
		g.Expect(x.request(ms(3000), 20).Tokens).To(Equal(20))
		x.Step(crevent.Tick{Now: ms(5000)})
		return x.request(ms(5040), 20).Tokens
	}
	g.Expect(lateTokens(mutations{})).To(BeZero())
	g.Expect(lateTokens(mutations{noClockMargin: true})).To(BeNumerically(">", 0))
}

// The network repeats a Grant, or delivers it after its tokens have expired. If its tokens were
// added again, they would be spent twice and the account would exceed its limit.
func TestGrantIsAddedOnceAndBeforeExpiry(t *testing.T) {
	g := NewWithT(t)
	e, seq := entryWithRequest(g, ms(100))
	deposits, _ := e.receiveGrant(ms(110), seq, 1)
	g.Expect(deposits).To(HaveLen(1))
	g.Expect(deposits[0].ExpiresAt).To(Equal(ms(2100)), "expiry counts from the sending of the request")
	deposits, _ = e.receiveGrant(ms(120), seq, 1)
	g.Expect(deposits).To(BeEmpty())
	deposits, reports := e.receiveGrant(ms(2100), seq, 2)
	g.Expect(deposits).To(BeEmpty())
	g.Expect(reports).To(ContainElement(EventLateGrant))
}

// An entry daemon restarts while a Grant to it is in transit. The new process must not accept a
// Grant to the old one, or an answer to a request that it did not send.
func TestRestartedEntryIgnoresOldGrants(t *testing.T) {
	g := NewWithT(t)
	e, seq := entryWithRequest(g, ms(100))
	e.inc = 6
	deposits, _ := e.receiveGrant(ms(110), seq, 1)
	g.Expect(deposits).To(BeEmpty())
	e.inc = 5
	deposits, _ = e.receiveGrant(ms(110), seq+1, 1)
	g.Expect(deposits).To(BeEmpty())
}

// Usage reports arrive reordered or repeated. If an older one counted again, the owner would
// refill room that does not exist.
func TestUsageReportsAreIdempotent(t *testing.T) {
	g := NewWithT(t)
	x := ownerWithLease(mutations{})
	item := x.request(ms(3000), 20)
	x.request(ms(3000), 0, spentUsage(item, 10))
	x.request(ms(3000), 0, spentUsage(item, 10))
	x.request(ms(3000), 0, spentUsage(item, 4))
	x.Step(crevent.Tick{Now: ms(4000)})
	g.Expect(x.request(ms(4000), 20).Tokens).To(Equal(10))
}

// An entry daemon is paused for minutes. Its tokens have expired and been refilled at the
// owner, so it must not spend them.
func TestPausedEntrySpendsNoExpiredTokens(t *testing.T) {
	g := NewWithT(t)
	p := poolWith(3, ms(2000))
	g.Expect(p.Take(acct, ms(1999)).Outcome).To(Equal(Admitted))
	g.Expect(p.Take(acct, ms(2000)).Outcome).To(Equal(Cold))
	usage := p.Drain(ms(2000))
	g.Expect(usage).To(ContainElement(UsageDelta{Account: acct, Key: GrantKey{ID: 1}, Taken: 1, LastSpentAt: ms(1999), Returned: 2}))
}

// An owner is paused and resumes. If it refilled for that time, its tokens would add to those of
// the daemon that took over.
func TestPausedOwnerRefillsNothing(t *testing.T) {
	g := NewWithT(t)
	x := newTestState("x", mutations{})
	x.giveLease(1, 0, 5000, "x")
	item := x.request(ms(4990), 20)
	g.Expect(item.Tokens).To(Equal(20))
	g.Expect(x.request(ms(60000), 20).Tokens).To(BeZero(), "resumed without a lease")
	x.giveLease(1, 60001, 70000, "x")
	g.Expect(x.request(ms(60002), 20).Tokens).To(BeZero(), "renewed lease, empty like a new owner")
	g.Expect(x.request(ms(62300), 20).Tokens).To(BeNumerically(">", 0))
}

// The list changes and a share gets a new owner. The previous owner's grants can be spent for
// one more lifetime; tokens refilled in that time exceed the limit.
func TestNewOwnerWaitsForGrantsOfPreviousOwner(t *testing.T) {
	g := NewWithT(t)
	y := newTestState("y", mutations{})
	y.giveLease(2, 10000, 60000, "y")
	g.Expect(y.request(ms(12070), 20).Tokens).To(BeZero())
	g.Expect(y.request(ms(12120), 20).Tokens).To(Equal(5))
}

// A list change leaves a daemon without a lease for a second. It still owns the share, and an
// idle account keeps its burst.
func TestOwnerKeepsBalanceOverShortLeaseGap(t *testing.T) {
	g := NewWithT(t)
	x := newTestState("x", mutations{})
	x.giveLease(1, 0, 5000, "x")
	x.giveLease(2, 6000, 60000, "x")
	g.Expect(x.request(ms(6001), 20).Tokens).To(Equal(20))
}

// handOver notifies the reducer of a handover from list 1 to list 2.
func (r *testState) handOver(from, until int, first, second crid.Daemon) {
	lists := []crmember.Membership{{Rev: 1, Members: []crid.Daemon{first}}, {Rev: 2, Members: []crid.Daemon{second}}}
	for at := from; at < until; at += 500 {
		r.Step(crmember.Lease{Now: ms(at), JointUntil: ms(at + 600), JointLists: lists})
	}
}

// A daemon fails, and the others hand over to a list without it. If their owners stopped
// refilling meanwhile, every account would be refused for seconds.
func TestOwnerRefillsDuringHandover(t *testing.T) {
	g := NewWithT(t)
	x := newTestState("x", mutations{})
	x.giveLease(1, 0, 5000, "x")
	x.handOver(5000, 9000, "x", "x")
	g.Expect(x.request(ms(9000), 20).Tokens).To(Equal(20))
	x = newTestState("x", mutations{})
	x.giveLease(1, 0, 5000, "x")
	x.handOver(5000, 9000, "x", "y")
	g.Expect(x.request(ms(9000), 20).Tokens).To(BeZero(), "the newest list assigns the share to another daemon")
}

// The previous owner refills during a long handover. If the new owner counted that time as its
// own, it would refill while the previous owner's grants can be spent.
func TestHandoverTimeDoesNotCountForNewOwner(t *testing.T) {
	g := NewWithT(t)
	tokens := func(m mutations) int {
		y := newTestState("y", m)
		y.giveLease(1, 0, 5000, "x")
		y.handOver(5000, 15000, "x", "y")
		y.giveLease(2, 15000, 60000, "y")
		return y.request(ms(15010), 20).Tokens
	}
	g.Expect(tokens(mutations{})).To(BeZero())
	g.Expect(tokens(mutations{countHandovers: true})).To(Equal(20))
}

// The list flaps, and two daemons swap a share twice within two seconds. If a daemon that never
// refilled counted as the previous owner, both would fill the bucket.
func TestQuickOwnerSwapsDoNotRefillTwice(t *testing.T) {
	g := NewWithT(t)
	tokens := func(m mutations) int {
		x, y := newTestState("x", m), newTestState("y", m)
		y.giveLease(1, 0, 5000, "y")
		x.giveLease(2, 5000, 6300, "x")
		y.giveLease(3, 6300, 6400, "y")
		n := y.request(ms(6390), 20).Tokens
		x.giveLease(4, 6400, 60000, "x")
		return n + x.request(ms(7400), 20).Tokens
	}
	g.Expect(tokens(mutations{})).To(Equal(20))
	g.Expect(tokens(mutations{countShortEpochs: true})).To(BeNumerically(">", 25))
}

// An owner is replaced by a process of the same name. Usage reports for the old process's grants
// must not make room in the new one's bucket.
func TestRestartedOwnerIgnoresOldReports(t *testing.T) {
	g := NewWithT(t)
	x := ownerWithLease(mutations{})
	item := x.request(ms(3000), 20)
	old := spentUsage(item, 20)
	old.Inc = 4
	x.request(ms(3000), 0, old)
	g.Expect(x.request(ms(4000), 20).Tokens).To(BeZero())
}

// An operator changes an account's limit. A lower limit cuts the balance at once; a higher one
// fills at its rate and gives no sudden burst.
func TestLowerLimitAppliesAtOnceHigherFillsAtRate(t *testing.T) {
	g := NewWithT(t)
	x := ownerWithLease(mutations{})
	x.request(ms(3000), 1)
	x.Step(crconfig.Applied{Now: ms(3001), Snapshot: limitSnapshot(10, 12)})
	g.Expect(x.request(ms(3002), 20).Tokens).To(Equal(11), "one is outstanding")
	x.Step(crevent.Tick{Now: ms(5100)})
	x.Step(crconfig.Applied{Now: ms(9000), Snapshot: limitSnapshot(10, 15)})
	g.Expect(x.request(ms(9001), 20).Tokens).To(Equal(12))
}

// A daemon that stops returns its tokens, so that callers elsewhere can use them.
func TestStoppingEntryReturnsTokens(t *testing.T) {
	g := NewWithT(t)
	e, seq := entryWithRequest(g, ms(100))
	p := NewTokenPool()
	deposits, _ := e.receiveGrant(ms(110), seq, 1)
	p.Deposit(deposits[0])
	for _, eff := range e.Step(crevent.Stopping{Now: ms(120)}) {
		if eff, ok := eff.(Withdraw); ok {
			p.Withdraw(eff)
		}
	}
	effects := e.Step(UsageDrained{Now: ms(121), Usage: p.Drain(ms(121))})
	usage := GrantUsage{Account: acct, Inc: 9, Grant: 1, Returned: 5}
	g.Expect(effects).To(ContainElement(crevent.Send{To: "x", Msg: UsageReport{Usage: []GrantUsage{usage}}}))
	g.Expect(p.Take(acct, ms(122)).Outcome).NotTo(Equal(Admitted))
}

// All callers of an account move from one daemon to two others at once. Together they get its
// burst and not one token more.
func TestRacingDaemonsShareOneBurst(t *testing.T) {
	g := NewWithT(t)
	w := newTestNet(3, 3, DefaultParams(), crpolicy.Account{Name: acct, Rate: 1, Burst: 20})
	w.run(30 * time.Second)
	admitted := 0
	for range 100 {
		for _, nd := range w.nodes[:2] {
			w.request(nd, acct, count(&admitted))
		}
	}
	w.run(100 * time.Millisecond)
	g.Expect(admitted).To(Equal(20))
}

// An entry daemon holds a small account's tokens for callers that have left, while callers
// elsewhere run short. The tokens are recalled and granted to the other entry daemon.
func TestUnusedTokensAreRecalled(t *testing.T) {
	g := NewWithT(t)
	w := newTestNet(3, 3, DefaultParams(), crpolicy.Account{Name: acct, Rate: 0.01, Burst: 5})
	w.run(600 * time.Second)
	for range 5 {
		w.nodes[0].pool.Take(acct, w.clock(w.nodes[0]))
	}
	w.run(100 * time.Millisecond)
	admitted := 0
	for range 5 {
		w.request(w.nodes[1], acct, count(&admitted))
		w.run(250 * time.Millisecond)
	}
	g.Expect(admitted).To(BeNumerically(">=", 4))
}

// Many requests race for the last tokens of a pool; each token admits one request.
func TestPoolSpendsEachTokenOnce(t *testing.T) {
	g := NewWithT(t)
	p := poolWith(1000, ms(1000))
	var admitted atomic.Int64
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for range 200 {
				if p.Take(acct, 1).Outcome == Admitted {
					admitted.Add(1)
				}
			}
		})
	}
	wg.Wait()
	g.Expect(admitted.Load()).To(BeEquivalentTo(1000))
}

// The first request of an account at a daemon finds no token. It waits once for the owners'
// answer, and not at all when the account is known to be exhausted.
func TestAdmitWaitsOnceWhenCold(t *testing.T) {
	g := NewWithT(t)
	p := NewTokenPool()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	clock := func() crid.Instant { return 1 }
	var wg sync.WaitGroup
	wg.Go(func() {
		<-p.DrainNeeded()
		p.Deposit(Deposit{Account: acct, Key: GrantKey{ID: 1}, Tokens: 1, ExpiresAt: ms(1000)})
	})
	g.Expect(p.Admit(ctx, acct, clock).Outcome).To(Equal(Admitted))
	wg.Wait()
	p.Deposit(Deposit{Account: acct, ExhaustedUntil: ms(100), RetryAfter: time.Second})
	g.Expect(p.Admit(ctx, acct, clock)).To(Equal(Decision{Outcome: Refused, RetryAfter: time.Second}))
}

// A process is paused for an hour after a request has read the clock. The token that it then
// takes has expired, and admitting it would exceed the account's limit.
func TestAdmitRefusesAfterPause(t *testing.T) {
	g := NewWithT(t)
	p := poolWith(1, ms(1000))
	readings := []crid.Instant{1, ms(3600_000)}
	clock := func() crid.Instant {
		now := readings[0]
		readings = readings[1:]
		return now
	}
	g.Expect(p.Admit(t.Context(), acct, clock).Outcome).To(Equal(Refused))
}

// A daemon leaves the list. Only its shares may move: a share that moves has no tokens for two
// seconds, and callers are refused meanwhile.
func TestOnlySharesOfTheLeavingDaemonMove(t *testing.T) {
	g := NewWithT(t)
	var members []crid.Daemon
	for i := range 25 {
		members = append(members, crid.Daemon(fmt.Sprintf("d%02d", i)))
	}
	owned, moved := map[crid.Daemon]int{}, 0
	for i := range 1000 {
		name := crid.Account(fmt.Sprintf("account%d", i))
		before := shareOwners(name, newMemberSet(members), 4)
		after := shareOwners(name, newMemberSet(members[1:]), 4)
		for share, d := range before {
			owned[d]++
			if d != members[0] && after[share] != d {
				moved++
			}
		}
	}
	for _, d := range members {
		g.Expect(owned[d]).To(BeNumerically("~", 160, 60), string(d))
	}
	g.Expect(moved).To(BeNumerically("<", 30), "keeping owners distinct moves a few more")
}
