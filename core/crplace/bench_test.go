package crplace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crplace"
	"camphorroad/core/crpolicy"
)

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{30, 282, 1000, 5500} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			bal := crplace.NewBalancer()
			var all []crplace.Candidate
			for i := range n {
				c := crplace.Candidate{Target: crid.Target(fmt.Sprintf("t%d", i)), Daemon: crid.Daemon(fmt.Sprintf("d%d", i)), Domain: crid.Domain("abcdef"[i%6 : i%6+1]), Slots: 5}
				all = append(all, c)
				bal.Report(c.Target, crplace.LoadReport{Load: i % 6, Slots: 5, Typical: time.Duration(500+i) * time.Millisecond})
			}
			now := crid.Instant(time.Hour)
			for b.Loop() {
				now = now.Add(time.Millisecond)
				bal.Choose(now, all, crplace.Request{Class: crpolicy.ClassRepeat, Domain: "a", Rand: rand.Float64})
			}
		})
	}
}
