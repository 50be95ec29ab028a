package crwarmup_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crwarmup"
)

// Guards against a daemon that is paused between its decision to send requests and their writing.
func TestRequestsThatAreWrittenLateCountWhenTheyArrive(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 9)) //nolint:gosec // a test must be reproducible
		l := crwarmup.New(start)
		l.SetParams(crwarmup.NewParams(tolerated, 1.5, 8, 3*time.Second))
		l.RecordCheck(start, start, time.Minute)
		var arrivals, unwritten []crid.Instant
		for now := start; now < start.Add(30*time.Second); {
			now = now.Add(time.Duration(1+rng.IntN(5)) * time.Millisecond)
			if rng.IntN(400) == 0 {
				now = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond) // the process is paused
				for _, at := range unwritten {
					l.Written(at, now, start)
					arrivals = append(arrivals, now)
				}
				unwritten = nil
			}
			if len(unwritten) < 5+int(seed%20) && l.Wait(now, 0) == 0 {
				l.Reserve(now)
				if l.Send(now, start) {
					unwritten = append(unwritten, now)
				}
			}
		}
		if peak := peakOf(arrivals); float64(peak) > mostASec {
			t.Errorf("seed %d: %d requests in a second, %v are allowed", seed, peak, mostASec)
		}
	}
}
