// Command camphorlab runs the stand-ins that take the place of the users'
// platform and upstreams in tests and the demo.
package main

import (
	"os"

	"camphorroad/command/factory"
	"camphorroad/command/lab"
)

type tree struct {
	Platform   lab.PlatformOptions   `cmd:"" help:"Serve a stand-in of the platform."`
	Path       lab.PathOptions       `cmd:"" help:"Measure what the path of a request adds."`
	Publish    lab.PublishOptions    `cmd:"" help:"Publish a directory on the stand-in."`
	Load       lab.LoadOptions       `cmd:"" help:"Send load by a plan."`
	Measure    lab.MeasureOptions    `cmd:"" help:"Take the four measures beside the baselines."`
	Memory     lab.MemoryOptions     `cmd:"" help:"Measure the memory of a daemon."`
	Experiment lab.ExperimentOptions `cmd:"" help:"Play a fleet's decisions in virtual time."`
	Soak       lab.SoakOptions       `cmd:"" help:"Harm fleets of real processes and check the promises."`
	Stage      lab.StageOptions      `cmd:"" help:"Serve stand-ins of the store and of targets."`
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
