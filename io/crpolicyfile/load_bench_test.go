package crpolicyfile_test

import (
	"fmt"
	"testing"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crpolicyfile"
)

// BenchmarkLoad tells what putting a configuration in force costs a daemon, and
// how large it is on the wire.
func BenchmarkLoad(b *testing.B) {
	for _, n := range []int{8, 10_000, 100_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			var p crpolicyfile.Policy
			for i := range n {
				name := fmt.Sprintf("account-%06d", i)
				p.Accounts = append(p.Accounts, crpolicy.Account{
					Name: crid.Account(name), Rate: 1, Burst: 1, Keys: []crpolicy.KeyHash{crpolicy.HashKey(name)},
				})
			}
			bundle, err := crpolicyfile.Pack(p)
			if err != nil {
				b.Fatal(err)
			}
			m, err := crpolicyfile.ParseManifest(bundle.Manifest())
			if err != nil {
				b.Fatal(err)
			}
			values := make(map[string][]byte)
			total := 0
			for _, v := range bundle.Values() {
				values[v.Name] = v.Data
				total += len(v.Data)
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
