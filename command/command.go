// Package command is the command tree of camphorroad, which cmd/camphorroad runs. The
// subpackages hold the commands; package factory parses the command line.
//
// # Usage
//
//	os.Exit(command.RunProcess(os.Args[1:]))
package command

import (
	"fmt"
	"os/signal"
	"runtime/debug"
	"syscall"

	"camphorroad/command/cert"
	"camphorroad/command/events"
	"camphorroad/command/factory"
	"camphorroad/command/join"
	"camphorroad/command/key"
	"camphorroad/command/log"
	"camphorroad/command/policy"
	"camphorroad/command/serve"
	"camphorroad/command/state"
	"camphorroad/command/trace"
)

type tree struct {
	Serve   serve.Options   `cmd:"" help:"Run a daemon."`
	Join    join.Options    `cmd:"" help:"Run a daemon that joins its fleet through the platform's store."`
	Policy  policy.Commands `cmd:"" help:"Check policy files and build the bundle to publish."`
	Key     key.Commands    `cmd:"" help:"Generate and hash client keys."`
	Cert    cert.Commands   `cmd:"" help:"Issue certificates for development."`
	State   state.Commands  `cmd:"" help:"Inspect a running daemon."`
	Trace   trace.Commands  `cmd:"" help:"Replay and print the control events that a daemon recorded."`
	Log     log.Commands    `cmd:"" help:"Search daemons' logs."`
	Events  events.Commands `cmd:"" help:"List the catalogue of log events."`
	Version versionOptions  `cmd:"" help:"Print the version."`
}

// RunProcess runs the command that args select, with the streams and signals of the
// process, and returns the exit code.
func RunProcess(args []string) int {
	if isDaemon(args) {
		// A platform may announce changed settings by SIGHUP at any moment. Until the daemon handles
		// it, the signal would end the process. The settings are read afterwards anyway.
		signal.Ignore(syscall.SIGHUP)
	}
	return factory.Program{
		Name:        "camphorroad",
		Description: "A proxy fleet for upstreams with gray failures.",
		Tree:        &tree{},
	}.RunProcess(args)
}

// isDaemon reports whether the command runs until it is stopped.
func isDaemon(args []string) bool { return len(args) > 0 && (args[0] == "join" || args[0] == "serve") }

type versionOptions struct{}

// Run prints the version of the module, or "devel" if it has none.
func (versionOptions) Run(f *factory.Factory) error {
	version := "devel"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	_, err := fmt.Fprintf(f.Out, "camphorroad %s\n", version)
	return err
}
