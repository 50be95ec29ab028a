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
	acct    crid.Account     = "firm"
	entryIn crid.Incarnation = 77
)

func limitOf(rate, burst float64) *crpolicy.Snapshot {
	return crpolicy.NewSnapshot(1, nil, []crpolicy.Account{{Name: acct, Rate: rate, Burst: burst}})
}

func ms(n int) crid.Instant { return crid.Instant(time.Duration(n) * time.Millisecond) }

// rig is one reducer that is driven by hand; acct has rate 100 and burst 20.
type rig struct {
	*State
	seq uint64
}

func newRig(name crid.Daemon, flaws flaws) *rig {
	params := DefaultParams()
	params.flaws = flaws
	r := &rig{State: New(params)}
	r.Step(crevent.Started{Now: 1, Self: name, Incarnation: 5})
	r.Step(crconfig.InForce{Now: 1, Snapshot: limitOf(100, 20)})
	return r
}

// minting returns an owner, "x", with tenure for a minute.
func minting(flaws flaws) *rig {
	x := newRig("x", flaws)
	x.tenured(1, 0, 60000, "x")
	return x
}

func (r *rig) tenured(rev crid.Revision, from, until int, members ...crid.Daemon) {
	r.Step(crmember.Lease{Now: ms(from), Active: rev, Members: members, Until: ms(until)})
}

// ask has the entry "e" ask for tokens, and returns the item it is answered with.
func (r *rig) ask(at crid.Instant, want int, uses ...Use) GrantItem {
	r.seq++
	msg := Ask{Inc: entryIn, Seq: r.seq, Items: []AskItem{{Account: acct, Want: want}}, Uses: uses}
	for _, eff := range r.Step(crevent.Received{Now: at, From: "e", Msg: msg}) {
		if send, ok := eff.(crevent.Send); ok {
			return send.Msg.(Grant).Items[0]
		}
	}
	return GrantItem{}
}

func spent(item GrantItem, n int) Use {
	return Use{Account: acct, Inc: 5, Grant: item.ID, Taken: n}
}

// asker returns an entry that has asked the owner "x", and the Ask's number.
func asker(g Gomega, at crid.Instant) (*rig, uint64) {
	e := newRig("e", flaws{})
	e.Step(crmember.Lease{Now: 1, Members: []crid.Daemon{"x"}})
	e.Step(crmember.PeersChanged{Now: 1, Peers: []crmember.Peer{{Daemon: "x", Reachable: true}}})
	for _, eff := range e.Step(Used{Now: at, Usage: []Usage{{Account: acct, Cold: 5}}}) {
		if send, ok := eff.(crevent.Send); ok {
			return e, send.Msg.(Ask).Seq
		}
	}
	g.Expect("an Ask").To(BeEmpty())
	return nil, 0
}

func holding(tokens int, voidAt crid.Instant) *Wallet {
	w := NewWallet()
	w.Deposit(Deposit{Account: acct, Key: GrantKey{ID: 1}, Tokens: tokens, VoidAt: voidAt})
	return w
}

func (r *rig) granted(at crid.Instant, seq, id uint64) (deposits []Deposit, reports []int) {
	msg := Grant{Inc: 9, To: 5, Seq: seq, Items: []GrantItem{{Account: acct, ID: id, Tokens: 5}}}
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

// A Grant is lost on the way. Nobody can spend its tokens, and callers would
// miss them for good if the owner did not take them for void in the end; taken
// for void too soon, they would be spent twice should the Grant arrive after all.
func TestLostGrantBecomesRoomOnlyWhenVoid(t *testing.T) {
	g := NewWithT(t)
	x := minting(flaws{})
	g.Expect(x.ask(ms(3000), 20).Tokens).To(Equal(20))
	g.Expect(x.ask(ms(4990), 20).Tokens).To(BeZero())
	x.Step(crevent.Tick{Now: ms(5075)})
	g.Expect(x.ask(ms(5175), 20).Tokens).To(Equal(10))
}

// Two clocks run apart by two percent, the owner's fast and the entry's slow.
// Without an allowance the owner mints while the entry can still spend.
func TestVoidAllowsForDrift(t *testing.T) {
	g := NewWithT(t)
	late := func(f flaws) int {
		x := minting(f)
		g.Expect(x.ask(ms(3000), 20).Tokens).To(Equal(20))
		x.Step(crevent.Tick{Now: ms(5000)})
		return x.ask(ms(5040), 20).Tokens
	}
	g.Expect(late(flaws{})).To(BeZero())
	g.Expect(late(flaws{tightVoid: true})).To(BeNumerically(">", 0))
}

// The network repeats a Grant, or delivers it after the tokens are void. Added
// again, they would be spent twice, and the account exceeds its limit.
func TestGrantCountsOnceAndInTime(t *testing.T) {
	g := NewWithT(t)
	e, seq := asker(g, ms(100))
	deposits, _ := e.granted(ms(110), seq, 1)
	g.Expect(deposits).To(HaveLen(1))
	g.Expect(deposits[0].VoidAt).To(Equal(ms(2100)), "void counts from the sending of the Ask")
	deposits, _ = e.granted(ms(120), seq, 1)
	g.Expect(deposits).To(BeEmpty())
	deposits, reports := e.granted(ms(2100), seq, 2)
	g.Expect(deposits).To(BeEmpty())
	g.Expect(reports).To(ContainElement(EventLateGrant))
}

// An entry is replaced while a Grant is under way to it. The new process must
// not take what was meant for the old one, nor an answer to no Ask of its own.
func TestRestartedEntryRefusesOldGrants(t *testing.T) {
	g := NewWithT(t)
	e, seq := asker(g, ms(100))
	e.inc = 6
	deposits, _ := e.granted(ms(110), seq, 1)
	g.Expect(deposits).To(BeEmpty())
	e.inc = 5
	deposits, _ = e.granted(ms(110), seq+1, 1)
	g.Expect(deposits).To(BeEmpty())
}

// Reports overtake one another, or come twice. If an older one counted again,
// the owner would believe in room that is not there.
func TestReportsAreIdempotent(t *testing.T) {
	g := NewWithT(t)
	x := minting(flaws{})
	item := x.ask(ms(3000), 20)
	x.ask(ms(3000), 0, spent(item, 10))
	x.ask(ms(3000), 0, spent(item, 10))
	x.ask(ms(3000), 0, spent(item, 4))
	x.Step(crevent.Tick{Now: ms(4000)})
	g.Expect(x.ask(ms(4000), 20).Tokens).To(Equal(10))
}

// An entry is frozen for minutes and resumes. Its tokens have been minted anew
// in the meantime, so it must not spend them.
func TestPausedEntrySpendsNothingVoid(t *testing.T) {
	g := NewWithT(t)
	w := holding(3, ms(2000))
	g.Expect(w.Take(acct, ms(1999)).Outcome).To(Equal(Admitted))
	g.Expect(w.Take(acct, ms(2000)).Outcome).To(Equal(Cold))
	usage := w.Drain(ms(2000))
	g.Expect(usage).To(ContainElement(Usage{Account: acct, Key: GrantKey{ID: 1}, Taken: 1, Spent: ms(1999), Back: 2}))
}

// An owner is frozen and resumes. Had it minted for that time, its tokens would
// come on top of those of the daemon that took over.
func TestPausedOwnerMintsNothing(t *testing.T) {
	g := NewWithT(t)
	x := newRig("x", flaws{})
	x.tenured(1, 0, 5000, "x")
	item := x.ask(ms(4990), 20)
	g.Expect(item.Tokens).To(Equal(20))
	g.Expect(x.ask(ms(60000), 20).Tokens).To(BeZero(), "woken without tenure")
	x.tenured(1, 60001, 70000, "x")
	g.Expect(x.ask(ms(60002), 20).Tokens).To(BeZero(), "renewed, as empty as a new owner")
	g.Expect(x.ask(ms(62300), 20).Tokens).To(BeNumerically(">", 0))
}

// The list changes and another daemon owns the share. What its predecessor
// granted can be spent for a while; tokens minted beside that are too many.
func TestSuccessorWaitsForThePredecessorsGrants(t *testing.T) {
	g := NewWithT(t)
	y := newRig("y", flaws{})
	y.tenured(2, 10000, 60000, "y")
	g.Expect(y.ask(ms(12070), 20).Tokens).To(BeZero())
	g.Expect(y.ask(ms(12120), 20).Tokens).To(Equal(5))
}

// A list change leaves a daemon without tenure for a second. It is still the
// share's owner, and an account at rest keeps its burst.
func TestOwnerKeepsItsBalanceOverAShortGap(t *testing.T) {
	g := NewWithT(t)
	x := newRig("x", flaws{})
	x.tenured(1, 0, 5000, "x")
	x.tenured(2, 6000, 60000, "x")
	g.Expect(x.ask(ms(6001), 20).Tokens).To(Equal(20))
}

// bridged tells a reducer of a handover from list 1 to list 2.
func (r *rig) bridged(from, until int, first, second crid.Daemon) {
	over := []crmember.Membership{{Rev: 1, Members: []crid.Daemon{first}}, {Rev: 2, Members: []crid.Daemon{second}}}
	for at := from; at < until; at += 500 {
		r.Step(crmember.Lease{Now: ms(at), JointUntil: ms(at + 600), JointLists: over})
	}
}

// A daemon is lost, and the others hand over to a list without it. Did their
// owners stop meanwhile, every account would be refused for seconds.
func TestOwnerGoesOnThroughAHandover(t *testing.T) {
	g := NewWithT(t)
	x := newRig("x", flaws{})
	x.tenured(1, 0, 5000, "x")
	x.bridged(5000, 9000, "x", "x")
	g.Expect(x.ask(ms(9000), 20).Tokens).To(Equal(20))
	x = newRig("x", flaws{})
	x.tenured(1, 0, 5000, "x")
	x.bridged(5000, 9000, "x", "y")
	g.Expect(x.ask(ms(9000), 20).Tokens).To(BeZero(), "the newest list gives the share to another")
}

// A handover takes long, and the former owner goes on in it. Did the next one
// count that time as its own, it would mint beside tokens that are still out.
func TestHandoverGivesNothingToANewOwner(t *testing.T) {
	g := NewWithT(t)
	tokens := func(f flaws) int {
		y := newRig("y", f)
		y.tenured(1, 0, 5000, "x")
		y.bridged(5000, 15000, "x", "y")
		y.tenured(2, 15000, 60000, "y")
		return y.ask(ms(15010), 20).Tokens
	}
	g.Expect(tokens(flaws{})).To(BeZero())
	g.Expect(tokens(flaws{bridgeAll: true})).To(Equal(20))
}

// The list flaps and two daemons swap a share, and swap it again, within two
// seconds. If a daemon that never began to mint counted as the former owner,
// both would fill the same bucket.
func TestQuickSwapsMakeNoSecondOwner(t *testing.T) {
	g := NewWithT(t)
	tokens := func(f flaws) int {
		x, y := newRig("x", f), newRig("y", f)
		y.tenured(1, 0, 5000, "y")
		x.tenured(2, 5000, 6300, "x")
		y.tenured(3, 6300, 6400, "y")
		n := y.ask(ms(6390), 20).Tokens
		x.tenured(4, 6400, 60000, "x")
		return n + x.ask(ms(7400), 20).Tokens
	}
	g.Expect(tokens(flaws{})).To(Equal(20))
	g.Expect(tokens(flaws{shortEpochs: true})).To(BeNumerically(">", 25))
}

// An owner is replaced by a process of the same name. Reports on the old one's
// grants must not make room in the new one's bucket.
func TestRestartedOwnerIgnoresOldReports(t *testing.T) {
	g := NewWithT(t)
	x := minting(flaws{})
	item := x.ask(ms(3000), 20)
	old := spent(item, 20)
	old.Inc = 4
	x.ask(ms(3000), 0, old)
	g.Expect(x.ask(ms(4000), 20).Tokens).To(BeZero())
}

// Operators lower an account's limit. What is above it is gone at once; a
// raised limit fills at its rate and gives no sudden burst.
func TestChangedLimitShrinksAtOnceAndGrowsAtRate(t *testing.T) {
	g := NewWithT(t)
	x := minting(flaws{})
	x.ask(ms(3000), 1)
	x.Step(crconfig.InForce{Now: ms(3001), Snapshot: limitOf(10, 12)})
	g.Expect(x.ask(ms(3002), 20).Tokens).To(Equal(11), "one is outstanding")
	x.Step(crevent.Tick{Now: ms(5100)})
	x.Step(crconfig.InForce{Now: ms(9000), Snapshot: limitOf(10, 15)})
	g.Expect(x.ask(ms(9001), 20).Tokens).To(Equal(12))
}

// A daemon is asked to stop while it holds tokens. It hands them back, so that
// callers elsewhere have them.
func TestStoppingHandsBack(t *testing.T) {
	g := NewWithT(t)
	e, seq := asker(g, ms(100))
	w := NewWallet()
	deposits, _ := e.granted(ms(110), seq, 1)
	w.Deposit(deposits[0])
	for _, eff := range e.Step(crevent.Stopping{Now: ms(120)}) {
		if eff, ok := eff.(Withdraw); ok {
			w.Withdraw(eff)
		}
	}
	effects := e.Step(Used{Now: ms(121), Usage: w.Drain(ms(121))})
	use := Use{Account: acct, Inc: 9, Grant: 1, Back: 5}
	g.Expect(effects).To(ContainElement(crevent.Send{To: "x", Msg: Return{Uses: []Use{use}}}))
	g.Expect(w.Take(acct, ms(122)).Outcome).NotTo(Equal(Admitted))
}

// All callers of an account turn from one daemon to two others at one moment.
// Together they get its burst, and not a token more.
func TestRacingDaemonsShareOneBurst(t *testing.T) {
	g := NewWithT(t)
	w := newNet(3, 3, DefaultParams(), crpolicy.Account{Name: acct, Rate: 1, Burst: 20})
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

// One entry holds a small account's tokens for callers that went away, and
// callers elsewhere are short. The tokens are recalled and follow the callers.
func TestUnusedTokensFollowTheCallers(t *testing.T) {
	g := NewWithT(t)
	w := newNet(3, 3, DefaultParams(), crpolicy.Account{Name: acct, Rate: 0.01, Burst: 5})
	w.run(600 * time.Second)
	for range 5 {
		w.nodes[0].wallet.Take(acct, w.clock(w.nodes[0]))
	}
	w.run(100 * time.Millisecond)
	admitted := 0
	for range 5 {
		w.request(w.nodes[1], acct, count(&admitted))
		w.run(250 * time.Millisecond)
	}
	g.Expect(admitted).To(BeNumerically(">=", 4))
}

// Many requests race for the last tokens of a wallet; each token admits one.
func TestWalletSpendsEachTokenOnce(t *testing.T) {
	g := NewWithT(t)
	w := holding(1000, ms(1000))
	var admitted atomic.Int64
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for range 200 {
				if w.Take(acct, 1).Outcome == Admitted {
					admitted.Add(1)
				}
			}
		})
	}
	wg.Wait()
	g.Expect(admitted.Load()).To(BeEquivalentTo(1000))
}

// The first request of an account at a daemon finds no token there. It waits
// once for the owners' answer, and not at all when they are known to be short.
func TestAdmitWaitsOnceWhenCold(t *testing.T) {
	g := NewWithT(t)
	w := NewWallet()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	clock := func() crid.Instant { return 1 }
	var wg sync.WaitGroup
	wg.Go(func() {
		<-w.Wanted()
		w.Deposit(Deposit{Account: acct, Key: GrantKey{ID: 1}, Tokens: 1, VoidAt: ms(1000)})
	})
	g.Expect(w.Admit(ctx, acct, clock).Outcome).To(Equal(Admitted))
	wg.Wait()
	w.Deposit(Deposit{Account: acct, DryUntil: ms(100), RetryAfter: time.Second})
	g.Expect(w.Admit(ctx, acct, clock)).To(Equal(Decision{Outcome: Refused, RetryAfter: time.Second}))
}

// A process is paused for an hour after a request has read the clock. The token
// it then takes is void, and admitting it would exceed the account's limit.
func TestPauseInsideAdmitRefuses(t *testing.T) {
	g := NewWithT(t)
	w := holding(1, ms(1000))
	readings := []crid.Instant{1, ms(3600_000)}
	clock := func() crid.Instant {
		now := readings[0]
		readings = readings[1:]
		return now
	}
	g.Expect(w.Admit(t.Context(), acct, clock).Outcome).To(Equal(Refused))
}

// A daemon leaves the list. Only its own shares may move: each share that moves
// is without tokens for two seconds, and callers are refused meanwhile.
func TestOnlySharesOfTheLeavingDaemonMove(t *testing.T) {
	g := NewWithT(t)
	var members []crid.Daemon
	for i := range 25 {
		members = append(members, crid.Daemon(fmt.Sprintf("d%02d", i)))
	}
	owned, moved := map[crid.Daemon]int{}, 0
	for i := range 1000 {
		name := crid.Account(fmt.Sprintf("account%d", i))
		before := shareOwners(name, newRoster(members), 4)
		after := shareOwners(name, newRoster(members[1:]), 4)
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
	g.Expect(moved).To(BeNumerically("<", 30), "distinct owners move a few more")
}
