package e2e_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/lab/crfleet"
	"camphorroad/lab/crsoak"
)

// soakLength is short, so that the check stays short; longer runs and fresh seeds
// are played by hand with `camphorlab soak`.
const soakLength = 8 * time.Second

// soakNet is the second byte of the soak's loopback addresses.
const soakNet = 90

// soakSeeds reads the seeds to play and why.
func soakSeeds() map[uint64]string {
	text, err := os.ReadFile("testdata/soak.txt")
	if err != nil {
		panic(err)
	}
	out := make(map[uint64]string)
	for line := range strings.Lines(string(text)) {
		number, why, ok := strings.Cut(strings.TrimSpace(line), " | ")
		if !ok {
			continue // a comment
		}
		seed, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			panic(fmt.Sprintf("testdata/soak.txt: %q is no seed", number))
		}
		out[seed] = why
	}
	return out
}

// Faults of all kinds come in series and one upon the other, while callers keep
// their connections open until the process at the other end is gone. Whatever
// happens, nothing runs twice, no refusal is a lie, no answer is another's, and no
// account gets more than its rate; and where nothing harmed a machine, it keeps
// its times, too.
var _ = Describe("A fleet that joins through the store's records, under faults", Ordered, func() {
	for seed, why := range soakSeeds() {
		It(fmt.Sprintf("keeps its promises, seed %d: %s", seed, why), func(ctx SpecContext) {
			binary, err := os.Executable()
			Expect(err).NotTo(HaveOccurred())
			report, err := crsoak.Run(ctx, crsoak.Options{
				Binary: binary, Env: []string{crfleet.DaemonEnv()}, Dir: GinkgoT().TempDir(), Seed: seed, Length: soakLength, Net: soakNet,
			})
			Expect(err).NotTo(HaveOccurred())
			AddReportEntry(report.Summary(), strings.Join(report.Faults(), "\n"))
			Expect(report.Broken()).To(BeEmpty())
		})
	}
})
