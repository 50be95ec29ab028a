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

// Program is a command line: its name, what it is for, and its tree of commands
// as kong reads it.
type Program struct {
	Name        string
	Description string
	Tree        any // pointer to a struct with kong's tags
}

// Run parses the arguments, runs the command that they name and returns the
// exit code. Commands get ctx and f.
func (p Program) Run(ctx context.Context, f *Factory, args []string) int {
	parser, err := kong.New(p.Tree,
		kong.Name(p.Name),
		kong.Description(p.Description+" Exit codes: 0 done, 1 failed, 2 called wrongly."),
		kong.Writers(f.Out, f.ErrOut),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(f),
	)
	if err != nil {
		return Exit(f, err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return Exit(f, fmt.Errorf("%w: %w (see %s --help)", ErrUsage, err, p.reached(err)))
	}
	return Exit(f, parsed.Run())
}

// reached is the command that the arguments named before they went wrong; its
// help lists the flags that the program's own help leaves out.
func (p Program) reached(err error) string {
	var parse *kong.ParseError
	if !errors.As(err, &parse) || parse.Context == nil {
		return p.Name
	}
	name := p.Name
	for _, step := range parse.Context.Path {
		if step.Command != nil {
			name += " " + step.Command.Name
		}
	}
	return name
}

// RunProcess runs the command line with the process's own streams; SIGINT and
// SIGTERM end the context.
func (p Program) RunProcess(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return p.Run(ctx, System(), args)
}
