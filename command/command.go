// Package command is the command tree of camphorroad.
//
// # Usage
//
//	os.Exit(command.RunProcess(os.Args[1:]))
package command

import (
	"fmt"
	"runtime/debug"

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
	Serve   serve.Options   `cmd:"" help:"Run the daemon."`
	Join    join.Options    `cmd:"" help:"Run the daemon on the users' platform."`
	Policy  policy.Options  `cmd:"" help:"Check and build what is published."`
	Key     key.Options     `cmd:"" help:"Make and hash client keys."`
	Cert    cert.Commands   `cmd:"" help:"Make certificates for development."`
	State   state.Commands  `cmd:"" help:"Look into a running daemon."`
	Trace   trace.Commands  `cmd:"" help:"Replay what a daemon recorded."`
	Log     log.Commands    `cmd:"" help:"Look into daemons' logs."`
	Events  events.Commands `cmd:"" help:"Look up the log's events."`
	Version versionOptions  `cmd:"" help:"Print the version."`
}

// RunProcess runs the command with the process's own streams and signals; it
// returns the exit code.
func RunProcess(args []string) int {
	return factory.Program{
		Name:        "camphorroad",
		Description: "A proxy fleet for upstreams that fail gray.",
		Tree:        &tree{},
	}.RunProcess(args)
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
