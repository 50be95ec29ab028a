// Package events holds the command that lists the numbered log events.
package events

import (
	"strconv"

	"camphorroad/command/factory"
	"camphorroad/io/crlog"
)

// Commands are the verbs on events.
type Commands struct {
	List ListOptions `cmd:"" help:"List the numbered events of the log."`
}

// ListOptions lists the catalogue.
type ListOptions struct {
	JSON bool `name:"json" help:"Print JSON."`
}

// NewList returns the options.
func NewList(asJSON bool) *ListOptions { return &ListOptions{JSON: asJSON} }

// Help is shown with the command's flags.
func (*ListOptions) Help() string {
	return `Prints number, level, name, cause, and what to expect of each event.

EXAMPLES
  $ camphorroad events list
  $ camphorroad events list --json`
}

// Run prints the catalogue.
func (o *ListOptions) Run(f *factory.Factory) error {
	if o.JSON {
		return f.JSON(crlog.Catalogue())
	}
	var rows [][]string
	for _, e := range crlog.Catalogue() {
		rows = append(rows, []string{strconv.Itoa(e.Number), e.Level.String(), e.Name, e.Cause, e.Expect})
	}
	return f.Table([]string{"NUMBER", "LEVEL", "NAME", "CAUSE", "EXPECT"}, rows)
}
