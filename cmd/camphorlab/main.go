// Command camphorlab serves stand-ins of the users' platform, store and upstreams for
// tests and the demo, and runs load, measurements and fault tests.
package main

import (
	"os"

	"camphorroad/command/factory"
	"camphorroad/command/lab"
)

type tree struct {
	Platform   lab.PlatformOptions   `cmd:"" help:"Serve a stand-in of the platform."`
	Path       lab.PathOptions       `cmd:"" help:"Measure the overhead of the daemons per request."`
	Publish    lab.PublishOptions    `cmd:"" help:"Publish a directory on the platform's stand-in."`
	Load       lab.LoadOptions       `cmd:"" help:"Send load according to a plan."`
	Measure    lab.MeasureOptions    `cmd:"" help:"Compare the four measures with those of the baselines."`
	Memory     lab.MemoryOptions     `cmd:"" help:"Measure the memory of a daemon."`
	Experiment lab.ExperimentOptions `cmd:"" help:"Simulate a fleet in virtual time."`
	Soak       lab.SoakOptions       `cmd:"" help:"Inject faults into fleets of real processes and check the invariants."`
	Stage      lab.StageOptions      `cmd:"" help:"Serve stand-ins of the store and of targets for daemons that join."`
	Upstream   lab.UpstreamOptions   `cmd:"" help:"Serve a stand-in of one upstream."`
}

func main() {
	program := factory.Program{
		Name:        "camphorlab",
		Description: "Stand-ins for the platform and the upstreams of a camphorroad fleet.",
		Tree:        &tree{},
	}
	os.Exit(program.RunProcess(os.Args[1:]))
}
