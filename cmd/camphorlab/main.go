// Command camphorlab runs the stand-ins that take the place of the users'
// platform and upstreams in tests and the demo.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"camphorroad/command/factory"
	"camphorroad/command/lab"
)

type options struct {
	Platform lab.PlatformOptions `cmd:"" help:"Serve a stand-in of the platform."`
	Path     lab.PathOptions     `cmd:"" help:"Measure what the path of a request adds."`
	Publish  lab.PublishOptions  `cmd:"" help:"Publish a directory on the stand-in."`
	Load     lab.LoadOptions     `cmd:"" help:"Send load by a plan."`
	Measure  lab.MeasureOptions  `cmd:"" help:"Take the four measures beside the baselines."`
	Upstream lab.UpstreamOptions `cmd:"" help:"Serve a stand-in of one upstream."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	f := factory.System()
	code := run(ctx, f, os.Args[1:])
	stop()
	os.Exit(code)
}

func run(ctx context.Context, f *factory.Factory, args []string) int {
	var opts options
	parser, err := kong.New(&opts,
		kong.Name("camphorlab"),
		kong.Description("Stand-ins for the platform and the upstreams of a camphorroad fleet."),
		kong.UsageOnError(),
		kong.Writers(f.Out, f.ErrOut),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(f),
	)
	if err != nil {
		return factory.Exit(f, err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		factory.Exit(f, err)
		return factory.ExitUsage
	}
	return factory.Exit(f, parsed.Run())
}
