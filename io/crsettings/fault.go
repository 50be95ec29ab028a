package crsettings

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Problem is one thing wrong with the settings, and what to do about it.
type Problem struct {
	File string // empty when the text came from no file
	Line int    // zero when the key is not in the file, nor its table
	Key  string
	What string
}

// Error implements error.
func (f Problem) Error() string {
	at := f.File
	if f.Line > 0 {
		at = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	text := f.What
	if f.Key != "" {
		text = f.Key + " " + f.What
	}
	if at == "" {
		return text
	}
	return at + ": " + text
}

// Problems are all faults of one file, by line.
type Problems []Problem

// Error implements error, a fault a line.
func (fs Problems) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// keyIndex finds the line of a key, so that a fault of meaning, which the
// decoder does not see, still names its line.
type keyIndex map[string]int

func newKeyIndex(b []byte) keyIndex {
	at := make(keyIndex)
	section := ""
	counts := make(map[string]int)
	for i, line := range strings.Split(string(b), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			name, _, _ := strings.Cut(line[2:], "]")
			name = strings.TrimSpace(name)
			section = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			at[section] = i + 1
		case strings.HasPrefix(line, "["):
			name, _, _ := strings.Cut(line[1:], "]")
			section = strings.TrimSpace(name)
			at[section] = i + 1
		default:
			if key, _, ok := strings.Cut(line, "="); ok {
				at[join(section, strings.TrimSpace(key))] = i + 1
			}
		}
	}
	return at
}

func join(section, key string) string {
	if section == "" {
		return key
	}
	return section + "." + key
}

// line is the key's line, or that of its table where the key is missing.
func (at keyIndex) line(key string) int {
	if line, ok := at[key]; ok {
		return line
	}
	if i := strings.LastIndex(key, "."); i > 0 {
		return at[key[:i]]
	}
	return 0
}

// collector gathers faults.
type collector struct {
	at     keyIndex
	faults Problems
	unread map[int]bool // lines whose value could not be read: nothing more is said of them
}

func newCollector(b []byte) *collector {
	return &collector{at: newKeyIndex(b), unread: make(map[int]bool)}
}

func (c *collector) add(key, format string, args ...any) {
	line := c.at.line(key)
	if _, given := c.at[key]; given && c.unread[line] {
		return
	}
	c.faults = append(c.faults, Problem{Line: line, Key: key, What: fmt.Sprintf(format, args...)})
}

// err returns the faults by line, those without one last; nil for none.
func (c *collector) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(c.faults, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(bit(a.Line == 0), bit(b.Line == 0)), cmp.Compare(a.Line, b.Line))
	})
	return c.faults
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

// decode reads the text into cfg. The decoder ends at the first value of a wrong
// type, so its line is left out and the rest read again: who mends settings is
// told all faults at once. After a fault of syntax nothing more can be said.
func (c *collector) decode(b []byte, cfg *Settings) bool {
	if err := toml.Unmarshal(b, new(map[string]any)); err != nil {
		c.decodeFault(err)
		return false
	}
	lines := bytes.Split(b, []byte("\n"))
	for range len(lines) {
		*cfg = Defaults()
		dec := toml.NewDecoder(bytes.NewReader(bytes.Join(lines, []byte("\n"))))
		dec.DisallowUnknownFields()
		err := dec.Decode(cfg)
		var strict *toml.StrictMissingError
		if err == nil || errors.As(err, &strict) {
			c.unknown(strict)
			return true
		}
		var typed *toml.DecodeError
		if !errors.As(err, &typed) {
			c.decodeFault(err)
			return false
		}
		row, _ := typed.Position()
		c.decodeFault(err)
		if row < 1 || row > len(lines) || c.unread[row] {
			return false
		}
		c.unread[row] = true
		lines[row-1] = nil
	}
	return true
}

func (c *collector) decodeFault(err error) {
	var dec *toml.DecodeError
	if !errors.As(err, &dec) {
		c.faults = append(c.faults, Problem{What: err.Error()})
		return
	}
	row, _ := dec.Position()
	what := strings.TrimPrefix(dec.Error(), "toml: ")
	if m := wrongType.FindStringSubmatch(what); m != nil {
		what = "a TOML " + m[1] + " stands where " + wanted(m[2]) + " should"
	}
	c.faults = append(c.faults, Problem{Line: row, Key: strings.Join(dec.Key(), "."), What: "can not be read: " + what})
}

// wrongType finds the types in the decoder's words, which name Go's.
var wrongType = regexp.MustCompile(`cannot decode TOML (\w+) into .* of type (\S+)`)

func wanted(goType string) string {
	switch goType {
	case "string":
		return "text in quotes"
	case "int", "int64":
		return "a whole number"
	}
	return "a duration such as \"250ms\""
}

func (c *collector) unknown(strict *toml.StrictMissingError) {
	if strict == nil {
		return
	}
	for _, e := range strict.Errors {
		row, _ := e.Position()
		c.faults = append(c.faults, Problem{Line: row, Key: strings.Join(e.Key(), "."), What: "is no setting; remove it or mend its name"})
	}
}
