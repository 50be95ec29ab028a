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
	"camphorroad/lab/crstage"
)

// soakLength is short so that CI stays short; `camphorlab soak` runs longer and with new
// seeds.
const soakLength = 8 * time.Second

// soakNet is the second byte of the soak's loopback addresses.
const soakNet = 90

// soakSeed is a seed to run, and the reason for it.
type soakSeed struct {
	number uint64
	reason string
}

// soakSeeds reads the seeds; lines that start with # are comments.
func soakSeeds() []soakSeed {
	text, err := os.ReadFile("testdata/soak.txt")
	if err != nil {
		panic(err)
	}
	var out []soakSeed
	for line := range strings.Lines(string(text)) {
		number, reason, ok := strings.Cut(strings.TrimSpace(line), " | ")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		seed, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			panic(fmt.Sprintf("testdata/soak.txt: invalid seed %q", number))
		}
		out = append(out, soakSeed{number: seed, reason: reason})
	}
	return out
}

// Faults follow one another and overlap, while callers keep their connections open until
// the daemon has exited. No non-idempotent request runs twice, refused requests do not
// run, responses match requests, rates hold, and a machine without a fault meets its
// time limits.
var _ = Describe("A fleet that joins through the store's records, under faults", Ordered, func() {
	for _, seed := range soakSeeds() {
		It(fmt.Sprintf("keeps its promises, seed %d: %s", seed.number, seed.reason), func(ctx SpecContext) {
			binary, err := os.Executable()
			Expect(err).NotTo(HaveOccurred())
			report, err := crsoak.Run(ctx, crsoak.Options{
				Binary: binary, Env: []string{crfleet.DaemonEnv()}, Dir: GinkgoT().TempDir(), Seed: seed.number, Length: soakLength, Net: soakNet,
			})
			Expect(err).NotTo(HaveOccurred())
			AddReportEntry(report.Summary(), strings.Join(report.Faults(), "\n"))
			Expect(report.Violations()).To(BeEmpty())
		})
	}

	// Guards against responses out of order, requests that run behind a closing response,
	// bodies that are cut or sent twice, and responses that are ready and lost. With this
	// seed three targets fail, two daemons are stopped by SIGTERM meanwhile and start again,
	// and two targets break responses off.
	It("keeps its promises to callers with pipelined requests, uploads and downloads", func(ctx SpecContext) {
		const seed, length = 9775, 5 * time.Second
		binary, err := os.Executable()
		Expect(err).NotTo(HaveOccurred())
		report, err := crsoak.Run(ctx, crsoak.Options{
			Binary: binary, Env: []string{crfleet.DaemonEnv()}, Dir: GinkgoT().TempDir(), Seed: seed, Length: length, Mixed: true, Net: soakNet,
		})
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry(report.Summary(), strings.Join(report.Faults(), "\n"))
		Expect(report.Violations()).To(BeEmpty())
		for _, sort := range []crsoak.Sort{crsoak.Pipelined, crsoak.Upload, crsoak.Download} {
			Expect(report.Served(sort)).NotTo(BeZero(), string(sort))
		}
	})

	// Guards against cold targets that are flooded after restarts between requests, or by daemons that start.
	It("does not flood cold targets", func(ctx SpecContext) {
		const seed, length = 7011, 10 * time.Second
		binary, err := os.Executable()
		Expect(err).NotTo(HaveOccurred())
		report, err := crsoak.Run(ctx, crsoak.Options{
			Binary: binary, Env: []string{crfleet.DaemonEnv()}, Dir: GinkgoT().TempDir(), Seed: seed, Length: length, Cold: true, Net: soakNet,
		})
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry(report.Summary(), strings.Join(report.Faults(), "\n"))
		Expect(report.Violations()).To(BeEmpty())
		Expect(float64(report.Peak(false))).To(BeNumerically(">", crstage.WarmupLimit), "requests to a warm target in a second")
	})
})
