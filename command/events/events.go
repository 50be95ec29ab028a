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
	JSON     bool `name:"json" xor:"form" help:"Print JSON."`
	Markdown bool `name:"markdown" xor:"form" help:"Print the page docs/events.md."`
}

// NewList returns the options.
func NewList(asJSON, asMarkdown bool) *ListOptions {
	return &ListOptions{JSON: asJSON, Markdown: asMarkdown}
}

// Help is shown with the command's flags.
func (*ListOptions) Help() string {
	return `Prints number, level, name and cause of each event, what is noticed, and what to
do. The level is a weight for whoever is on call: info is ordinary, warning
means that something is lost, error that somebody has to act.

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
		rows = append(rows, []string{strconv.Itoa(e.Number), e.Level.String(), e.Name, e.Cause, e.Notice, e.Action})
	}
	return f.Table([]string{"NUMBER", "LEVEL", "NAME", "CAUSE", "NOTICE", "ACTION"}, rows)
}
