// Package trace holds the commands on recorded control events.
package trace

import (
	"fmt"
	"os"

	"camphorroad/command/factory"
	"camphorroad/io/crtrace"
)

// Commands are the verbs on traces.
type Commands struct {
	Replay ReplayOptions `cmd:"" help:"Run the reducers over a trace again and check the outcomes."`
	Show   ShowOptions   `cmd:"" help:"Print a trace's events, one a line."`
}

// ReplayOptions replays a trace.
type ReplayOptions struct {
	File string `arg:"" help:"The trace."`
	JSON bool   `name:"json" help:"Print JSON."`
}

// NewReplay returns the options for a file.
func NewReplay(file string) *ReplayOptions { return &ReplayOptions{File: file} }

// Help is shown with the command's flags.
func (*ReplayOptions) Help() string {
	return `Prints what the replay came to, also when it fails: with 1 if the file can not be
read to its end, if an effect differs from what the daemon did, or if an outcome
broke a promise. The message names the event, which trace show tells.

EXAMPLES
  $ camphorroad trace replay daemon.trace`
}

// Run replays the file.
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

// ShowOptions prints a trace.
type ShowOptions struct {
	File string `arg:"" help:"The trace."`
}

// NewShow returns the options for a file.
func NewShow(file string) *ShowOptions { return &ShowOptions{File: file} }

// Help is shown with the command's flags.
func (*ShowOptions) Help() string {
	return `Prints each record with the number of the event it belongs to, its kind, and its
content in CBOR's diagnostic notation. A trace holds no key and no hash of one.

EXAMPLES
  $ camphorroad trace show daemon.trace | grep received`
}

// Run prints the file.
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
