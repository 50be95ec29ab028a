package e2e_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// idleSizes names the fleets to measure, such as "5 10 20 30"; empty: 5.
	idleSizes  = "CAMPHORROAD_IDLE_SIZES"
	idleSettle = 8 * time.Second // sessions have found their packet size
	idleFor    = 10 * time.Second
	// controlBytes a second is what a daemon may spend on control.
	controlBytes = 21_000
)

// What daemons say to one another when nothing happens grows with the fleet. A
// beat too many for each pair goes unnoticed in a fleet of three and fills the
// links of a fleet of thirty.
var _ = Describe("an idle fleet", func() {
	sizes := os.Getenv(idleSizes)
	if sizes == "" {
		sizes = "5"
	}
	for _, size := range strings.Fields(sizes) {
		It("keeps a daemon's control bytes within the allowance, of "+size, func() {
			n, err := strconv.Atoi(size)
			Expect(err).NotTo(HaveOccurred())
			f := newFleet(n, time.Millisecond, account("surveyor", 50, 100))
			time.Sleep(idleSettle)
			c, err := f.MeanUsage(within(time.Minute), idleFor)
			must(err)
			AddReportEntry(fmt.Sprintf(
				"idle daemons=%d cpu=%.2f%% sent=%.0fB/s received=%.0fB/s rss=%.1fMB",
				n, 100*c.CPU, c.Sent, c.Received, c.Memory/1e6))
			Expect(c.Sent).To(BeNumerically(">", 0))
			Expect(c.Sent + c.Received).To(BeNumerically("<", controlBytes))
		})
	}
})
