package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/core/crpolicy"
	"camphorroad/io/crpolicyfile"
	"camphorroad/lab/crfleet"
	labplatform "camphorroad/lab/crplatform"
)

// withdrawals is the number of accounts that the specs below withdraw, one each.
const withdrawals = 5

func withdrawn(i int) crfleet.Account { return account(fmt.Sprintf("gone-%d", i), 1000, 1000) }

// expectRefusedEverywhere waits until every daemon refuses the account's key.
func expectRefusedEverywhere(daemons []*crfleet.Daemon, a crfleet.Account) {
	GinkgoHelper()
	start := time.Now()
	for _, d := range daemons {
		Eventually(func() int { return d.Get(a, "/kits/1").Status }, configDeadline, "50ms").Should(Equal(http.StatusUnauthorized), d.Name())
	}
	AddReportEntry("refused by all daemons after", time.Since(start).Round(time.Millisecond).String())
}

// countServed sends requests for the account to every daemon until the returned
// function is called, which returns how many of them were served.
func countServed(daemons []*crfleet.Daemon, a crfleet.Account) (served func() int64) {
	ctx, cancel := context.WithCancel(context.Background())
	var n atomic.Int64
	var callers sync.WaitGroup
	for _, d := range daemons {
		callers.Go(func() {
			for ctx.Err() == nil {
				if d.Get(a, "/kits/1").Status == http.StatusOK {
					n.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return func() int64 {
		cancel()
		callers.Wait()
		return n.Load()
	}
}

// persistentClient keeps one connection to a daemon and records whether it was reused.
type persistentClient struct {
	client *http.Client
	reused bool
}

func newPersistentClient(http2 bool) *persistentClient {
	var protocols http.Protocols
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	return &persistentClient{client: &http.Client{Transport: &http.Transport{Protocols: &protocols, MaxConnsPerHost: 1}}}
}

func (c *persistentClient) get(d *crfleet.Daemon, a crfleet.Account) int {
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { c.reused = info.Reused },
	})
	return d.Call(ctx, crfleet.Request{Account: a, Method: http.MethodGet, Path: "/kits/1", Client: c.client}).Status
}

var _ = Describe("A withdrawn key", Ordered, ContinueOnFailure, func() {
	var f *crfleet.Fleet
	kept := account("kept", 1000, 1000)

	// withdraw publishes without the accounts up to the i-th.
	withdraw := func(i int) {
		GinkgoHelper()
		accounts := []crfleet.Account{kept}
		for j := i + 1; j < withdrawals; j++ {
			accounts = append(accounts, withdrawn(j))
		}
		_, err := f.SetAccounts(accounts...)
		must(err)
	}

	BeforeAll(func() {
		accounts := []crfleet.Account{kept}
		for i := range withdrawals {
			accounts = append(accounts, withdrawn(i))
		}
		f = newFleet(5, time.Millisecond, accounts...)
	})

	AfterEach(func() {
		for _, d := range f.Daemons() {
			must(d.WaitReady(withTimeout(15 * time.Second)))
			Eventually(func() int { return d.Get(kept, "/kits/1").Status }, "10s", "50ms").Should(Equal(http.StatusOK), d.Name())
		}
	})

	// A thief of a key keeps a connection open. If keys were checked only when a
	// connection is accepted, the key would work for as long as the connection is open.
	It("is refused also on open connections", func() {
		gone := withdrawn(0)
		clients := make(map[*crfleet.Daemon][]*persistentClient)
		for _, d := range f.Daemons() {
			clients[d] = []*persistentClient{newPersistentClient(false), newPersistentClient(true)}
			for _, c := range clients[d] {
				Expect(c.get(d, gone)).To(Equal(http.StatusOK))
			}
		}
		withdraw(0)
		for d, both := range clients {
			for _, c := range both {
				Eventually(func() int { return c.get(d, gone) }, configDeadline, "50ms").Should(Equal(http.StatusUnauthorized), d.Name())
				Expect(c.reused).To(BeTrue(), "the connection was not reused")
			}
		}
	})

	// The daemon that polls the platform for its domain loses both directions to all
	// others at the moment of the withdrawal. The others get it only when one of them
	// takes over the polling.
	It("is refused everywhere also when a reader is isolated", func() {
		var reader *crfleet.Daemon
		for _, d := range f.Daemons() {
			state, err := d.State(withTimeout(5 * time.Second))
			must(err)
			if state.Config.Reader {
				reader = d
			}
		}
		Expect(reader).NotTo(BeNil())
		var others []*crfleet.Daemon
		for _, d := range f.Daemons() {
			if d != reader {
				f.Links().CutBoth(d.Name(), reader.Name())
				others = append(others, d)
			}
		}
		withdraw(1)
		expectRefusedEverywhere(others, withdrawn(1))
		// The reader is isolated: it may refuse because it lacks a quorum or because it has
		// read the withdrawal, but it may not serve.
		Eventually(func() int { return reader.Get(withdrawn(1), "/kits/1").Status }, configDeadline, "50ms").ShouldNot(Equal(http.StatusOK))
		f.Links().HealAll()
		expectRefusedEverywhere(f.Daemons(), withdrawn(1))
	})

	// An invalid bundle is published without the operators' check. If daemons applied it,
	// or dropped the previous one because of it, every caller would be refused.
	It("is refused after the next valid bundle, and an invalid one before it changes nothing", func() {
		invalid, err := crpolicyfile.Pack(crpolicyfile.Policy{Accounts: []crpolicy.Account{{Name: "bad", Rate: -1, Burst: -1}}})
		must(err)
		var values [][]byte
		for _, v := range invalid.Values() {
			values = append(values, v.Data)
		}
		rev, err := f.Platform().Publish(invalid.Manifest(), values)
		must(err)
		rejected := func(d *crfleet.Daemon) func() []string {
			return func() []string {
				state, err := d.State(withTimeout(5 * time.Second))
				must(err)
				return state.Config.Rejected
			}
		}
		for _, d := range f.Daemons() {
			Eventually(rejected(d), configDeadline, "50ms").Should(ContainElement(fmt.Sprint(rev)), d.Name())
			Expect(d.Get(kept, "/kits/1").Status).To(Equal(http.StatusOK), d.Name())
			Expect(d.Get(withdrawn(2), "/kits/1").Status).To(Equal(http.StatusOK), d.Name())
		}
		withdraw(2)
		expectRefusedEverywhere(f.Daemons(), withdrawn(2))
	})

	// The platform's replicas disagree, and it alternates between the states before
	// and after the withdrawal. A daemon without state is started meanwhile.
	It("stays withdrawn while the platform alternates between revisions", func() {
		withdraw(3)
		expectRefusedEverywhere(f.Daemons(), withdrawn(3))
		f.Platform().SetFault(labplatform.Fault{Mode: labplatform.ModeFlap, Delay: 300 * time.Millisecond, Back: 1})
		served := countServed(f.Daemons(), withdrawn(3))
		must(f.Daemon(1).Kill())
		must(f.Daemon(1).Start())
		must(f.Daemon(1).WaitReady(withTimeout(15 * time.Second)))
		time.Sleep(2 * time.Second)
		Expect(served()).To(BeZero())
		f.Platform().SetFault(labplatform.Fault{})
	})

	// A daemon's machine is suspended while a key is withdrawn, and callers with that
	// key wait. On resume the daemon receives their requests before the withdrawal.
	It("is not served by a daemon that was suspended during the withdrawal", func() {
		suspended := f.Daemon(4)
		must(suspended.Suspend())
		withdraw(4)
		expectRefusedEverywhere(f.Daemons()[:4], withdrawn(4))
		time.Sleep(2500 * time.Millisecond)
		var served func() int64
		for range 4 { // several callers wait at the moment of resuming
			before, more := served, countServed([]*crfleet.Daemon{suspended}, withdrawn(4))
			served = func() int64 {
				n := more()
				if before != nil {
					n += before()
				}
				return n
			}
		}
		time.Sleep(300 * time.Millisecond)
		must(suspended.Resume())
		time.Sleep(2 * time.Second)
		Expect(served()).To(BeZero())
		expectRefusedEverywhere(f.Daemons(), withdrawn(4))
	})
})

var _ = Describe("The platform's budget of calls", func() {
	// After a power cut every daemon starts at the same moment. The platform accepts
	// two thousand calls a second from all readers together and refuses the excess,
	// which would leave the whole fleet not ready.
	It("is kept when all daemons start at once, and when idle", func() {
		const daemons = 12
		f := newFleet(daemons, time.Millisecond, account("survey", 1000, 1000))
		start := f.Counts()
		AddReportEntry("calls from start to ready", fmt.Sprintf("%+v, %.1f a daemon", start, float64(start.Total())/daemons))
		time.Sleep(4 * time.Second)
		idle := f.Counts().Total() - start.Total()
		AddReportEntry("calls in 4 s idle", idle)
		// A daemon that reads from the platform itself needs the head, the list, the
		// manifest and two values; twice that leaves room for a retry of each.
		Expect(start.Total()).To(BeNumerically("<=", 10*daemons))
		Expect(idle).To(BeNumerically("<=", 2*daemons))
	})
})
