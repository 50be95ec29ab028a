package crlog

import (
	"fmt"
	"io"
	"slices"
)

// Level is the severity of an event, as seen by the operator on call.
type Level uint8

// The levels of events.
const (
	LevelDebug Level = iota + 1
	LevelInfo        // normal operation, no loss
	LevelWarn        // degraded, recovers without intervention
	LevelError       // needs an operator
)

// String returns the name of the level as written in log lines.
func (l Level) String() string { return l.logrus().String() }

// MarshalText implements encoding.TextMarshaler.
func (l Level) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// Entry describes one numbered event.
type Entry struct {
	Number int    `json:"number"`
	Level  Level  `json:"level"`
	Name   string `json:"name"`   // the log line's message
	Cause  string `json:"cause"`  // condition under which it is logged
	Effect string `json:"notice"` // effect on callers or operators
	Action string `json:"action"` // what the operator should do
}

// none is the text of an empty Effect or Action.
const none = "nothing"

// Catalogue returns every event that the daemon can log, in order of number.
func Catalogue() []Entry {
	return slices.Concat(processEntries(), memberEntries(), accountEntries(), healthEntries(), configEntries(), meshEntries())
}

// numberRange is a range of event numbers and its heading in docs/events.md.
type numberRange struct {
	title string
	first int
}

func numberRanges() []numberRange {
	return []numberRange{
		{"The process, 100 to 199", 100},
		{"Membership, 200 to 249", 200},
		{"Account limits, 300 to 349", 300},
		{"Outlier detection, 400 to 449", 400},
		{"Configuration, 500 to 549", 500},
		{"Daemons started by camphorroad join, 600 to 699", 600},
	}
}

const pagePreamble = `# Log events

Generated from the catalogue in io/crlog by ` + "`camphorroad events list --markdown`" + `; do not edit by hand.
Each event is logged as one JSON line with its number in the field ` + "`event`" + `. No event contains a client key.

| level | meaning for the operator on call |
| --- | --- |
| info | normal operation, no loss |
| warning | degraded, recovers without intervention |
| error | needs an operator: repair the cause or publish a correction; the fleet itself needs no intervention |
`

// Markdown writes the catalogue in the form of docs/events.md.
func Markdown(w io.Writer) error {
	if _, err := io.WriteString(w, pagePreamble); err != nil {
		return err
	}
	entries := Catalogue()
	for i, r := range numberRanges() {
		last := len(numberRanges()) == i+1
		n := len(entries)
		if !last {
			next := numberRanges()[i+1].first
			n = slices.IndexFunc(entries, func(e Entry) bool { return e.Number >= next })
		}
		if err := writeSection(w, r.title, entries[:n]); err != nil {
			return err
		}
		entries = entries[n:]
	}
	return nil
}

func writeSection(w io.Writer, title string, entries []Entry) error {
	const header = "\n## %s\n\n| number | level | event | cause | effect | action |\n| --- | --- | --- | --- | --- | --- |\n"
	if _, err := fmt.Fprintf(w, header, title); err != nil {
		return err
	}
	for _, e := range entries {
		if _, err := fmt.Fprintf(w, "| %d | %s | %s | %s | %s | %s |\n", e.Number, e.Level, e.Name, e.Cause, e.Effect, e.Action); err != nil {
			return err
		}
	}
	return nil
}
