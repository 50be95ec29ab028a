package crfleet

import (
	"math"
	"slices"
	"time"
)

// AdmissionTimes returns the times at which an account's requests ran at all
// upstreams, in ascending order.
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

// Excess returns the maximum over all windows of length w of the number of requests
// minus burst + rate*w. At or below zero the account kept to its rate; without requests
// it is -Inf. A request runs up to spread after its admission, so a window may look
// shorter by spread than it was.
func Excess(times []time.Time, a Account, spread time.Duration) float64 {
	worst := math.Inf(-1)
	for i := range times {
		for j := i; j < len(times); j++ {
			w := times[j].Sub(times[i]) + spread
			worst = max(worst, float64(j-i+1)-a.Burst-a.Rate*w.Seconds())
		}
	}
	return worst
}
