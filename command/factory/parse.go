package factory

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Program describes a program and its command tree.
type Program struct {
	Name        string
	Description string
	Tree        any // pointer to a struct with kong tags
}

// Run parses the arguments, runs the command that they select and returns the
// exit code. A command's Run method may take ctx and f as parameters.
func (p Program) Run(ctx context.Context, f *Factory, args []string) int {
	parser, err := kong.New(p.Tree,
		kong.Name(p.Name),
		kong.Description(p.Description+" Exit codes: 0 success, 1 failure, 2 invalid usage."),
		kong.Writers(f.Out, f.ErrOut),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(f),
	)
	if err != nil {
		return Exit(f, err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return Exit(f, fmt.Errorf("%w: %w (see %s --help)", ErrUsage, err, p.commandPath(err)))
	}
	return Exit(f, parsed.Run())
}

// commandPath returns the names of the commands that were parsed before the error. The
// help of the last one lists its flags, which the help of the program does not.
func (p Program) commandPath(err error) string {
	var parseErr *kong.ParseError
	if !errors.As(err, &parseErr) || parseErr.Context == nil {
		return p.Name
	}
	name := p.Name
	for _, element := range parseErr.Context.Path {
		if element.Command != nil {
			name += " " + element.Command.Name
		}
	}
	return name
}

// RunProcess runs the program with the standard streams of the process. SIGINT and
// SIGTERM cancel the context.
func (p Program) RunProcess(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return p.Run(ctx, System(), args)
}
