// Package trace holds the commands that replay and print the control events that
// a daemon recorded. The format is that of io/crtrace.
package trace

import (
	"fmt"
	"os"

	"camphorroad/command/factory"
	"camphorroad/io/crtrace"
)

// Commands are the subcommands of `trace`.
type Commands struct {
	Replay ReplayOptions `cmd:"" help:"Replay a trace's events through the reducers and check effects and invariants."`
	Show   ShowOptions   `cmd:"" help:"Print a trace's records, one per line."`
}

// ReplayOptions are the options of `trace replay`.
type ReplayOptions struct {
	File string `arg:"" help:"The trace file."`
	JSON bool   `name:"json" help:"Print JSON."`
}

// NewReplay returns the options for a file.
func NewReplay(file string) *ReplayOptions { return &ReplayOptions{File: file} }

// Help is shown with the command's flags.
func (*ReplayOptions) Help() string {
	return `Prints a report of the replay, even if the replay fails. Exits with 1 if the file
cannot be read to its end, if an effect differs from the recorded one, or if an
invariant is violated. The error gives the number of the event as printed by
"camphorroad trace show".

EXAMPLES
  $ camphorroad trace replay daemon.trace`
}

// Run replays the file and prints the report.
func (o *ReplayOptions) Run(f *factory.Factory) error {
	file, err := os.Open(o.File)
	if err != nil {
		return err
	}
	defer file.Close()
	report, replayErr := crtrace.Replay(file)
	write := func() error { return report.Write(f.Out) }
	if o.JSON {
		write = func() error { return f.JSON(report) }
	}
	if err := write(); err != nil {
		return err
	}
	if replayErr != nil {
		return fmt.Errorf("%s: %w", o.File, replayErr)
	}
	return nil
}

// ShowOptions are the options of `trace show`.
type ShowOptions struct {
	File string `arg:"" help:"The trace file."`
}

// NewShow returns the options for a file.
func NewShow(file string) *ShowOptions { return &ShowOptions{File: file} }

// Help is shown with the command's flags.
func (*ShowOptions) Help() string {
	return `Prints each record with the number of the event it belongs to, its kind, and its
content in CBOR's diagnostic notation. A trace contains no client key and no hash of one.

EXAMPLES
  $ camphorroad trace show daemon.trace | grep received`
}

// Run prints the records.
func (o *ShowOptions) Run(f *factory.Factory) error {
	file, err := os.Open(o.File)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := crtrace.Show(file, f.Out); err != nil {
		return fmt.Errorf("%s: %w", o.File, err)
	}
	return nil
}
