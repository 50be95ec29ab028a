package crpolicyfile_test

import (
	"fmt"
	"testing"

	"camphorroad/core/crid"
	"camphorroad/io/crpolicyfile"
)

// BenchmarkLoad tells what putting a configuration in force costs a daemon, and
// how large it is on the wire.
func BenchmarkLoad(b *testing.B) {
	for _, n := range []int{8, 20_000, 410_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			bundle, err := crpolicyfile.Pack(manyAccounts(n))
			if err != nil {
				b.Fatal(err)
			}
			m, values := loadable(b, bundle)
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

// BenchmarkChange tells what a change of one account costs a daemon that has the
// former configuration in force.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{20_000, 410_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			policy := manyAccounts(n)
			var pub publisher
			load := crpolicyfile.NewLoader().Load
			m, values := pub.publish(b, policy)
			if _, err := load(0, m, values); err != nil {
				b.Fatal(err)
			}
			rev := crid.Revision(0)
			for b.Loop() {
				b.StopTimer()
				rev++
				policy.Accounts[int(rev)*7919%n].Rate++
				m, values := pub.publish(b, policy)
				b.StartTimer()
				if _, err := load(rev, m, values); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
