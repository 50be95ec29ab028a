// Command camphorlab serves fakes of the users' platform, store and upstreams for tests
// and the demo, and runs load, measurements and fault tests.
package main

import (
	"os"

	"camphorroad/command/factory"
	"camphorroad/command/lab"
)

type commands struct {
	Platform   lab.PlatformOptions   `cmd:"" help:"Serve a fake platform."`
	Path       lab.PathOptions       `cmd:"" help:"Measure the overhead of the daemons per request."`
	Publish    lab.PublishOptions    `cmd:"" help:"Publish a directory on the fake platform."`
	Load       lab.LoadOptions       `cmd:"" help:"Send load according to a plan."`
	Measure    lab.MeasureOptions    `cmd:"" help:"Compare the product with the baselines by the four measures."`
	Memory     lab.MemoryOptions     `cmd:"" help:"Measure the memory of a daemon."`
	Experiment lab.ExperimentOptions `cmd:"" help:"Simulate a fleet in virtual time."`
	Soak       lab.SoakOptions       `cmd:"" help:"Inject faults into fleets of real processes and check the invariants."`
	Stage      lab.StageOptions      `cmd:"" help:"Serve a fake store and fake targets for daemons that join."`
	Upstream   lab.UpstreamOptions   `cmd:"" help:"Serve a fake upstream."`
}

func main() {
	program := factory.Program{
		Name:        "camphorlab",
		Description: "Fakes of the platform, the store and the upstreams, load, measurements and fault tests for a camphorroad fleet.",
		Tree:        &commands{},
	}
	os.Exit(program.RunProcess(os.Args[1:]))
}
