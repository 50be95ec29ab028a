package crfleet

import (
	"math"
	"slices"
	"time"
)

// AdmissionTimes returns when an account's requests ran, over all upstreams, in
// order.
func (f *Fleet) AdmissionTimes(account string) []time.Time {
	var at []time.Time
	for _, run := range f.Log() {
		if run.Account == account {
			at = append(at, run.At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// Excess is by how many requests the worst window exceeds burst + rate*w; at or
// below zero the account kept to its rate, and it is -Inf if nothing ran. A request runs up to spread after
// it was admitted, so that a window may look shorter by that than it was.
func Excess(at []time.Time, a Account, spread time.Duration) float64 {
	worst := math.Inf(-1)
	for i := range at {
		for j := i; j < len(at); j++ {
			w := at[j].Sub(at[i]) + spread
			worst = max(worst, float64(j-i+1)-a.Burst-a.Rate*w.Seconds())
		}
	}
	return worst
}
