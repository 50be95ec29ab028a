// Package events holds the command that lists the catalogue of log events in
// io/crlog. Package log reads the logs themselves.
package events

import (
	"strconv"

	"camphorroad/command/factory"
	"camphorroad/io/crlog"
)

// Commands are the subcommands of `events`.
type Commands struct {
	List ListOptions `cmd:"" help:"List the numbered events of the log."`
}

// ListOptions are the options of `events list`.
type ListOptions struct {
	JSON     bool `name:"json" xor:"form" help:"Print JSON."`
	Markdown bool `name:"markdown" xor:"form" help:"Print the page docs/events.md."`
}

// NewList returns the options for a format; a table if both are false.
func NewList(asJSON, asMarkdown bool) *ListOptions {
	return &ListOptions{JSON: asJSON, Markdown: asMarkdown}
}

// Help is shown with the command's flags.
func (*ListOptions) Help() string {
	return `Prints the number, level and name of each event, its cause, its effect on callers
or operators (NOTICE), and the action to take. The levels for an operator on call:
info is normal operation, warning is a degradation that recovers without
intervention, error needs an operator.

EXAMPLES
  $ camphorroad events list
  $ camphorroad events list --json
  $ camphorroad events list --markdown > docs/events.md`
}

// Run prints the catalogue.
func (o *ListOptions) Run(f *factory.Factory) error {
	switch {
	case o.JSON:
		return f.JSON(crlog.Catalogue())
	case o.Markdown:
		return crlog.Markdown(f.Out)
	}
	var rows [][]string
	for _, e := range crlog.Catalogue() {
		rows = append(rows, []string{strconv.Itoa(e.Number), e.Level.String(), e.Name, e.Cause, e.Effect, e.Action})
	}
	return f.Table([]string{"NUMBER", "LEVEL", "NAME", "CAUSE", "NOTICE", "ACTION"}, rows)
}
