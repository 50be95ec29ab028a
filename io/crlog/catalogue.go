package crlog

import (
	"fmt"
	"io"
	"slices"
)

// Level is the weight of an event for whoever is on call.
type Level uint8

// The levels of events.
const (
	LevelDebug Level = iota + 1
	LevelInfo        // ordinary: nothing is lost
	LevelWarn        // something is lost, and comes back by itself
	LevelError       // somebody has to act
)

// String returns the level's name.
func (l Level) String() string { return l.logrus().String() }

// MarshalText implements encoding.TextMarshaler.
func (l Level) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// Entry describes one numbered event.
type Entry struct {
	Number int    `json:"number"`
	Level  Level  `json:"level"`
	Name   string `json:"name"`   // the log line's message
	Cause  string `json:"cause"`  // what brings it about
	Notice string `json:"notice"` // what callers or operators notice
	Action string `json:"action"` // what to do
}

// none stands where nothing is noticed, or nothing is to be done.
const none = "nothing"

// Catalogue lists every event that the daemon can log, by number.
func Catalogue() []Entry {
	return slices.Concat(processEntries(), memberEntries(), accountEntries(), healthEntries(), configEntries(), meshEntries())
}

// area is a range of numbers with its heading in the documentation.
type area struct {
	title string
	first int
}

func areas() []area {
	return []area{
		{"The process, 100 to 199", 100},
		{"Membership and standing, 200 to 249", 200},
		{"Account limits, 300 to 349", 300},
		{"Sick targets, 400 to 449", 400},
		{"Configuration, 500 to 549", 500},
		{"Joined by the store's records, 600 to 699", 600},
	}
}

const preamble = `# Numbered events of the log

Made from the catalogue by ` + "`camphorroad events list --markdown`" + `; do not edit it by hand.
An event is logged as one JSON line with its number in the field ` + "`event`" + `. No event carries a key.

| level | for whoever is on call |
| --- | --- |
| info | ordinary: nothing is lost |
| warning | something is lost, and comes back by itself |
| error | somebody has to act, always by mending or publishing, never on the fleet itself |
`

// Markdown writes the catalogue as the page docs/events.md.
func Markdown(w io.Writer) error {
	if _, err := io.WriteString(w, preamble); err != nil {
		return err
	}
	entries := Catalogue()
	for i, a := range areas() {
		last := len(areas()) == i+1
		n := len(entries)
		if !last {
			next := areas()[i+1].first
			n = slices.IndexFunc(entries, func(e Entry) bool { return e.Number >= next })
		}
		if err := section(w, a.title, entries[:n]); err != nil {
			return err
		}
		entries = entries[n:]
	}
	return nil
}

func section(w io.Writer, title string, entries []Entry) error {
	const head = "\n## %s\n\n| number | level | event | cause | what is noticed | what to do |\n| --- | --- | --- | --- | --- | --- |\n"
	if _, err := fmt.Fprintf(w, head, title); err != nil {
		return err
	}
	for _, e := range entries {
		if _, err := fmt.Fprintf(w, "| %d | %s | %s | %s | %s | %s |\n", e.Number, e.Level, e.Name, e.Cause, e.Notice, e.Action); err != nil {
			return err
		}
	}
	return nil
}
