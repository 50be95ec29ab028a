// Package factory parses the command lines of camphorroad and camphorlab, and provides
// their commands with streams, output formats and exit codes. Tests replace the streams
// by buffers in memory.
//
// # Usage
//
//	f := factory.System()
//	os.Exit(factory.Exit(f, options.Run(f)))
package factory

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// Exit codes of all commands.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// ErrUsage is wrapped by errors in the arguments or the input of a command.
var ErrUsage = errors.New("usage")

// Factory holds the streams of a command.
type Factory struct {
	In         io.Reader
	Out        io.Writer // results
	ErrOut     io.Writer // diagnostics
	IsTerminal func() bool
}

// System returns a factory with the standard streams of the process.
func System() *Factory {
	return &Factory{In: os.Stdin, Out: os.Stdout, ErrOut: os.Stderr, IsTerminal: func() bool {
		info, err := os.Stdout.Stat()
		return err == nil && info.Mode()&os.ModeCharDevice != 0
	}}
}

// Table writes rows in padded columns below the header on a terminal, and
// tab-separated without the header otherwise.
func (f *Factory) Table(header []string, rows [][]string) error {
	if f.IsTerminal == nil || !f.IsTerminal() {
		return f.writeRows(rows, func(_ int, cell string) string { return cell }, "\t")
	}
	all := append([][]string{header}, rows...)
	widths := make([]int, len(header))
	for _, row := range all {
		for i, cell := range row {
			widths[i] = max(widths[i], len(cell))
		}
	}
	return f.writeRows(all, func(i int, cell string) string { return fmt.Sprintf("%-*s", widths[i], cell) }, "  ")
}

func (f *Factory) writeRows(rows [][]string, cell func(int, string) string, separator string) error {
	for _, row := range rows {
		cells := make([]string, 0, len(row))
		for i, c := range row {
			cells = append(cells, cell(i, c))
		}
		if _, err := fmt.Fprintln(f.Out, strings.TrimRight(strings.Join(cells, separator), " ")); err != nil {
			return err
		}
	}
	return nil
}

// JSON writes a value as indented JSON.
func (f *Factory) JSON(v any) error {
	enc := json.NewEncoder(f.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// Exit prints the error to ErrOut, if there is one, and returns the exit code.
func Exit(f *Factory, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(f.ErrOut, err)
	if errors.Is(err, ErrUsage) {
		return ExitUsage
	}
	return ExitFailure
}
