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
	idleSettle = 8 * time.Second // path MTU discovery of the sessions has ended
	idleFor    = 10 * time.Second
	// controlBytes is the control traffic allowed to a daemon, in bytes a second.
	controlBytes = 21_000
)

// Control traffic of an idle fleet grows with its size. One needless heartbeat for
// each pair is negligible among three daemons and fills the links among thirty.
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
			c, err := f.MeanUsage(withTimeout(time.Minute), idleFor)
			must(err)
			AddReportEntry(fmt.Sprintf(
				"idle daemons=%d cpu=%.2f%% sent=%.0fB/s received=%.0fB/s rss=%.1fMB",
				n, 100*c.CPU, c.Sent, c.Received, c.Memory/1e6))
			Expect(c.Sent).To(BeNumerically(">", 0))
			Expect(c.Sent + c.Received).To(BeNumerically("<", controlBytes))
		})
	}
})
