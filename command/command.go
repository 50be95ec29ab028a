// Package command is the command tree of camphorroad.
//
// # Usage
//
//	os.Exit(command.RunProcess(os.Args[1:]))
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"camphorroad/command/cert"
	"camphorroad/command/events"
	"camphorroad/command/factory"
	"camphorroad/command/key"
	"camphorroad/command/policy"
	"camphorroad/command/serve"
	"camphorroad/command/state"
	"camphorroad/command/trace"
)

type tree struct {
	Serve   serve.Options   `cmd:"" help:"Run the daemon."`
	Policy  policy.Options  `cmd:"" help:"Check and build what is published."`
	Key     key.Options     `cmd:"" help:"Make and hash client keys."`
	Cert    cert.Commands   `cmd:"" help:"Make certificates for development."`
	State   state.Commands  `cmd:"" help:"Look into a running daemon."`
	Trace   trace.Commands  `cmd:"" help:"Replay what a daemon recorded."`
	Events  events.Commands `cmd:"" help:"Look up the log's events."`
	Version versionOptions  `cmd:"" help:"Print the version."`
}

// Run parses the arguments and runs the command; it returns the exit code.
func Run(ctx context.Context, f *factory.Factory, args []string) int {
	var opts tree
	parser, err := kong.New(&opts,
		kong.Name("camphorroad"),
		kong.Description("A proxy fleet for upstreams that fail gray. Exit codes: 0 done, 1 failed, 2 called wrongly."),
		kong.Writers(f.Out, f.ErrOut),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(f),
	)
	if err != nil {
		return factory.Exit(f, err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return factory.Exit(f, fmt.Errorf("%w: %w (see camphorroad --help)", factory.ErrUsage, err))
	}
	return factory.Exit(f, parsed.Run())
}

// RunProcess runs the command with the process's own streams and signals.
func RunProcess(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, factory.System(), args)
}

type versionOptions struct{}

// Run prints the module's version, or "devel".
func (versionOptions) Run(f *factory.Factory) error {
	version := "devel"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	_, err := fmt.Fprintf(f.Out, "camphorroad %s\n", version)
	return err
}
