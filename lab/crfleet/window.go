package crfleet

import (
	"math"
	"slices"
	"time"
)

// AdmissionTimes returns the times at which an account's requests started to run at the
// upstreams, in ascending order. They stand for the times of admission; see [Excess].
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
// minus (burst + rate*w). A result of zero or less means that the account stayed within
// its rate; without requests the result is -Inf. A request may run up to spread after its
// admission, so the runs of a window may lie closer together by spread than its admissions.
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
