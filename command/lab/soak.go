package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"camphorroad/command/factory"
	"camphorroad/lab/crsoak"
)

// SoakOptions are the options of `soak`.
type SoakOptions struct {
	First    uint64        `default:"1" help:"First seed."`
	Seeds    uint64        `default:"1" help:"Number of seeds."`
	Length   time.Duration `default:"15s" help:"Duration of the faults of each run."`
	Machines int           `default:"6" help:"Daemons in each run."`
	Jobs     int           `default:"1" help:"Concurrent runs."`
	Mixed    bool          `help:"Add callers with pipelined requests, uploads and downloads."`
	Cold     bool          `help:"Make targets cold after each start, and add faults that make them cold."`
	Net      int           `default:"60" help:"Second byte of the loopback addresses of the first job."`
	Keep     string        `placeholder:"DIR" help:"Keep the logs of runs that violated an invariant in DIR."`
	Binary   string        `placeholder:"FILE" help:"Daemon executable; default camphorroad in the directory of this program."`
}

// Help is shown with the command's flags.
func (*SoakOptions) Help() string {
	return `Runs fleets of real processes against fakes of the store and of targets, with
random faults from each seed, and prints the invariants that were violated. Exits
with 1 if there were any.

EXAMPLES
  $ camphorlab soak --first 7
  $ camphorlab soak --seeds 50 --jobs 3 --keep soaks
  $ camphorlab soak --mixed --seeds 20
  $ camphorlab soak --cold --seeds 20`
}

// Run runs all seeds.
func (o *SoakOptions) Run(ctx context.Context, f *factory.Factory) error {
	binary, err := daemonBinary(o.Binary)
	if err != nil {
		return err
	}
	seeds := make(chan uint64)
	violations := make(chan int, o.Seeds)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer close(seeds)
		for i := range o.Seeds {
			select {
			case seeds <- o.First + i:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		return nil
	})
	for job := range max(o.Jobs, 1) {
		g.Go(func() error {
			for seed := range seeds {
				n, err := o.runSeed(ctx, f, binary, seed, o.Net+job)
				if err != nil {
					return fmt.Errorf("seed %d: %w", seed, err)
				}
				violations <- n
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	close(violations)
	total := 0
	for n := range violations {
		total += n
	}
	if total > 0 {
		return fmt.Errorf("%d invariants were violated", total)
	}
	return nil
}

// runSeed runs one seed, prints the report and returns the number of violations.
func (o *SoakOptions) runSeed(ctx context.Context, f *factory.Factory, binary string, seed uint64, network int) (int, error) {
	dir, err := o.runDir(seed)
	if err != nil {
		return 0, err
	}
	report, err := crsoak.Run(ctx, crsoak.Options{
		Binary: binary, Dir: dir, Seed: seed, Machines: o.Machines, Length: o.Length, Mixed: o.Mixed, Cold: o.Cold, Net: network,
	})
	if err != nil {
		return 0, err
	}
	text := report.Summary() + "\n"
	for _, line := range report.Violations() {
		text += "  " + line + "\n"
	}
	if len(report.Violations()) > 0 {
		text += "  faults: " + strings.Join(report.Faults(), "; ") + "\n"
	}
	if _, err := fmt.Fprint(f.Out, text); err != nil {
		return 0, err
	}
	if len(report.Violations()) > 0 && o.Keep != "" {
		return len(report.Violations()), nil
	}
	return len(report.Violations()), os.RemoveAll(dir)
}

func (o *SoakOptions) runDir(seed uint64) (string, error) {
	if o.Keep == "" {
		return os.MkdirTemp("", "camphorroad-soak-")
	}
	dir := filepath.Join(o.Keep, strconv.FormatUint(seed, 10))
	return dir, os.MkdirAll(dir, 0o750)
}
