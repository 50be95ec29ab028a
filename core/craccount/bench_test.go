package craccount

import (
	"fmt"
	"math"
	"runtime"
	"testing"

	"camphorroad/core/crid"
)

// BenchmarkTokenPoolTake measures the cost of a request, with all goroutines on one account and
// spread over many.
func BenchmarkTokenPoolTake(b *testing.B) {
	for _, accounts := range []int{1, 1000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			p := NewTokenPool()
			names := make([]crid.Account, accounts)
			for i := range names {
				names[i] = crid.Account(fmt.Sprintf("account%d", i))
				p.Deposit(Deposit{Account: names[i], Key: GrantKey{ID: 1}, Tokens: math.MaxInt, ExpiresAt: neverExpires})
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					p.Take(names[i%accounts], 1)
				}
			})
		})
	}
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkBytesPerAccount measures the memory of an account in use at an entry daemon, in the
// reducer and the pool, with one grant of each share.
func BenchmarkBytesPerAccount(b *testing.B) {
	const accounts = 10000
	for b.Loop() {
		before := heapInUse()
		s, p := New(DefaultParams()), NewTokenPool()
		s.entry.sent[1] = sentRequest{to: "x", at: 1}
		s.now = 2
		for i := range accounts {
			name := crid.Account(fmt.Sprintf("account%05d", i))
			a := s.getOrCreateAccount(name)
			a.sources, a.sourcesValid = make([]source, s.params.MaxShares), true
			for share := range s.params.MaxShares {
				item := GrantItem{Account: name, Share: share, ID: uint64(i*s.params.MaxShares + share), Tokens: 1}
				s.handleGrant("x", Grant{ToInc: s.inc, Seq: 1, Items: []GrantItem{item}})
			}
			for _, eff := range s.flush() {
				if d, ok := eff.(Deposit); ok {
					p.Deposit(d)
				}
			}
		}
		b.ReportMetric((heapInUse()-before)/accounts, "B/account")
		runtime.KeepAlive(s)
		runtime.KeepAlive(p)
	}
}

// BenchmarkBytesPerShare measures the memory of an owned share in use.
func BenchmarkBytesPerShare(b *testing.B) {
	const shares = 10000
	for b.Loop() {
		before := heapInUse()
		s := New(DefaultParams())
		for i := range shares {
			key := shareKey{crid.Account(fmt.Sprintf("account%05d", i)), 0}
			sh := &share{balance: 1}
			sh.grant(uint64(i), "x", 1, 1)
			s.owner.shares[key] = sh
			s.markBusy(key)
		}
		b.ReportMetric((heapInUse()-before)/shares, "B/share")
		runtime.KeepAlive(s)
	}
}

// BenchmarkShareOwners measures finding the owners of an account's shares, which is done for
// each account in use when the list changes.
func BenchmarkShareOwners(b *testing.B) {
	for _, n := range []int{25, 5500} {
		members := make([]crid.Daemon, n)
		for i := range members {
			members[i] = crid.Daemon(fmt.Sprintf("daemon-%04d", i))
		}
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			r := newMemberSet(members)
			for b.Loop() {
				shareOwners("account", r, 4)
			}
		})
	}
}
