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
	// idleSizesEnv is the environment variable with the sizes of the fleets to measure,
	// such as "5 10 20 30"; empty: 5.
	idleSizesEnv = "CAMPHORROAD_IDLE_SIZES"
	idleSettle   = 8 * time.Second // path MTU discovery of the sessions has ended
	idleFor      = 10 * time.Second
	// maxControlBytes is the limit of a daemon's control traffic, in bytes per second.
	maxControlBytes = 21_000
)

// The control traffic of an idle fleet grows with the number of pairs of daemons. One
// needless heartbeat per pair is negligible with three daemons and fills the links with
// thirty.
var _ = Describe("an idle fleet", func() {
	sizes := os.Getenv(idleSizesEnv)
	if sizes == "" {
		sizes = "5"
	}
	for _, size := range strings.Fields(sizes) {
		It("keeps each daemon's control traffic below the limit, size "+size, func() {
			n, err := strconv.Atoi(size)
			Expect(err).NotTo(HaveOccurred())
			f := newFleet(n, time.Millisecond, account("surveyor", 50, 100))
			time.Sleep(idleSettle)
			usage, err := f.MeanUsage(withTimeout(time.Minute), idleFor)
			must(err)
			AddReportEntry(fmt.Sprintf(
				"idle daemons=%d cpu=%.2f%% sent=%.0fB/s received=%.0fB/s rss=%.1fMB",
				n, 100*usage.CPU, usage.Sent, usage.Received, usage.Memory/1e6))
			Expect(usage.Sent).To(BeNumerically(">", 0))
			Expect(usage.Sent + usage.Received).To(BeNumerically("<", maxControlBytes))
		})
	}
})
