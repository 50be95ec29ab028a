package cregress

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
)

// A service is full for minutes and each of its exits refuses hundreds of offers a
// second. A line for each would take the processor from what is served.
func TestLinesOfRefusedOffersAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var l lines
	written := 0
	for at := crid.Instant(time.Hour); at < crid.Instant(time.Hour+3*time.Second); at = at.Add(time.Millisecond) {
		if l.allow(at) {
			written++
		}
	}
	g.Expect(written).To(gomega.Equal(3 * refusalLines))
}
