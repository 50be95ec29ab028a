package crpolicyfile_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"camphorroad/core/crconfig"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crpolicyfile"
)

// BenchmarkLoad measures the time to load a configuration, and its size on the wire.
func BenchmarkLoad(b *testing.B) {
	for _, n := range []int{8, 20_000, 410_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			bundle, err := crpolicyfile.Pack(manyAccounts(n))
			if err != nil {
				b.Fatal(err)
			}
			m, values := unpackBundle(b, bundle)
			total := 0
			for _, data := range values {
				total += len(data)
			}
			for b.Loop() {
				if _, err := crpolicyfile.Load(1, m, values); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(total)/float64(n), "B/account")
			b.ReportMetric(float64(len(values)), "values")
			b.ReportMetric(float64(len(bundle.Manifest())), "manifest-B")
		})
	}
}

// BenchmarkChange measures a change of one account in a daemon that has loaded the
// previous configuration: the time to load it, and the time to find the accounts that
// may differ, compared with a walk through all accounts.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{20_000, 410_000} {
		policy := manyAccounts(n)
		var pub publisher
		load := crpolicyfile.NewLoader().Load
		rev := crid.Revision(0)
		change := func(b *testing.B) (crconfig.Manifest, map[string][]byte) {
			rev++
			policy.Accounts[int(rev)*7919%n].Rate++
			return pub.publish(b, policy)
		}
		m, values := change(b)
		previous, err := load(rev, m, values)
		if err != nil {
			b.Fatal(err)
		}
		snap := previous
		b.Run(fmt.Sprintf("accounts=%d/load", n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				m, values := change(b)
				previous = snap
				b.StartTimer()
				if snap, err = load(rev, m, values); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("accounts=%d/since", n), func(b *testing.B) {
			for b.Loop() {
				lookUpAll(previous, snap.AccountsSince(previous))
			}
		})
		b.Run(fmt.Sprintf("accounts=%d/walk", n), func(b *testing.B) {
			for b.Loop() {
				lookUpAll(previous, snap.Accounts())
			}
		})
	}
}

// lookUpAll looks up every account in the previous configuration, as craccount does.
func lookUpAll(previous *crpolicy.Snapshot, accounts []crpolicy.Account) {
	for _, a := range accounts {
		previous.Account(a.Name)
	}
}

// BenchmarkSnapshot measures the memory of a loaded configuration, including the bytes of
// its values that are kept for peers, and the time to look up a key.
func BenchmarkSnapshot(b *testing.B) {
	const accounts = 410_000
	for _, keys := range []int{1, 2} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			policy := manyAccounts(accounts)
			for i, a := range policy.Accounts[:accounts*(keys-1)] {
				policy.Accounts[i].Keys = append(a.Keys, crpolicy.HashKey("second of "+string(a.Name)))
			}
			bundle, err := crpolicyfile.Pack(policy)
			if err != nil {
				b.Fatal(err)
			}
			before := liveHeapBytes()
			m, values := unpackBundle(b, bundle)
			for name, data := range values {
				values[name] = bytes.Clone(data)
			}
			load := crpolicyfile.NewLoader().Load
			snap, err := load(1, m, values)
			if err != nil {
				b.Fatal(err)
			}
			used := liveHeapBytes() - before
			h := crpolicy.HashKey("account-000007")
			for b.Loop() {
				if _, ok := snap.AccountByKey(h); !ok {
					b.Fatal("not found")
				}
			}
			b.ReportMetric(float64(used)/accounts, "B/account")
			for _, v := range []any{policy, bundle, values, load} {
				runtime.KeepAlive(v)
			}
		})
	}
}

// liveHeapBytes returns the bytes of the live liveHeapBytes. It collects garbage twice, since buffer pools
// survive one collection.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
