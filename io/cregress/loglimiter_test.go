package cregress

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
)

// Each exit of a full service refuses hundreds of offers per second. Logging all of them
// would use the CPU time that requests need.
func TestRefusalLogIsRateLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	var l logLimiter
	logged := 0
	for at := crid.Instant(time.Hour); at < crid.Instant(time.Hour+3*time.Second); at = at.Add(time.Millisecond) {
		if l.allow(at) {
			logged++
		}
	}
	g.Expect(logged).To(gomega.Equal(3 * maxRefusalsPerSecond))
}
