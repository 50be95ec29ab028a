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

// Problem is one error in a settings file and how to correct it.
type Problem struct {
	File string // empty if the text was not read from a file
	Line int    // zero if neither the key nor its table is in the file
	Key  string
	What string
}

// Error implements error.
func (p Problem) Error() string {
	location := p.File
	if p.Line > 0 {
		location = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	text := p.What
	if p.Key != "" {
		text = p.Key + " " + p.What
	}
	if location == "" {
		return text
	}
	return location + ": " + text
}

// Problems are all errors of one settings file, ordered by line.
type Problems []Problem

// Error implements error. It returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.Error())
	}
	return strings.Join(lines, "\n")
}

// keyLines maps each key and table to its line, so that problems found by the
// validation, after decoding, are reported with a line.
type keyLines map[string]int

func newKeyLines(b []byte) keyLines {
	lines := make(keyLines)
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
			lines[section] = i + 1
		case strings.HasPrefix(line, "["):
			name, _, _ := strings.Cut(line[1:], "]")
			section = strings.TrimSpace(name)
			lines[section] = i + 1
		default:
			if key, _, ok := strings.Cut(line, "="); ok {
				lines[joinKey(section, strings.TrimSpace(key))] = i + 1
			}
		}
	}
	return lines
}

func joinKey(section, key string) string {
	if section == "" {
		return key
	}
	return section + "." + key
}

// line returns the line of the key, or of its table if the key is missing. It
// returns zero if both are missing.
func (k keyLines) line(key string) int {
	if line, ok := k[key]; ok {
		return line
	}
	if i := strings.LastIndex(key, "."); i > 0 {
		return k[key[:i]]
	}
	return 0
}

// collector collects the problems of one file.
type collector struct {
	lines      keyLines
	problems   Problems
	unreadable map[int]bool // lines whose value could not be decoded; no further problems are reported for them
}

func newCollector(b []byte) *collector {
	return &collector{lines: newKeyLines(b), unreadable: make(map[int]bool)}
}

func (c *collector) addProblem(key, format string, args ...any) {
	line := c.lines.line(key)
	if _, given := c.lines[key]; given && c.unreadable[line] {
		return
	}
	c.problems = append(c.problems, Problem{Line: line, Key: key, What: fmt.Sprintf(format, args...)})
}

// err returns the problems ordered by line, with those without a line last, or
// nil if there are none.
func (c *collector) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(c.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(boolToInt(a.Line == 0), boolToInt(b.Line == 0)), cmp.Compare(a.Line, b.Line))
	})
	return c.problems
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// decode decodes the text into cfg and reports whether cfg can be validated. The
// decoder stops at the first value of a wrong type, so that line is removed and
// the rest decoded again, to report all problems at once. After a syntax error
// decode returns false.
func (c *collector) decode(b []byte, cfg *Settings) bool {
	if err := toml.Unmarshal(b, new(map[string]any)); err != nil {
		c.addDecodeError(err)
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
			c.addUnknownKeys(strict)
			return true
		}
		var typed *toml.DecodeError
		if !errors.As(err, &typed) {
			c.addDecodeError(err)
			return false
		}
		row, _ := typed.Position()
		c.addDecodeError(err)
		if row < 1 || row > len(lines) || c.unreadable[row] {
			return false
		}
		c.unreadable[row] = true
		lines[row-1] = nil
	}
	return true
}

func (c *collector) addDecodeError(err error) {
	var dec *toml.DecodeError
	if !errors.As(err, &dec) {
		c.problems = append(c.problems, Problem{What: err.Error()})
		return
	}
	row, _ := dec.Position()
	what := strings.TrimPrefix(dec.Error(), "toml: ")
	if m := typeMismatch.FindStringSubmatch(what); m != nil {
		what = "found a TOML " + m[1] + ", expected " + expectedValue(m[2])
	}
	c.problems = append(c.problems, Problem{Line: row, Key: strings.Join(dec.Key(), "."), What: "cannot be decoded: " + what})
}

// typeMismatch matches the decoder's message about a value of a wrong type, which
// contains the TOML type and the Go type.
var typeMismatch = regexp.MustCompile(`cannot decode TOML (\w+) into .* of type (\S+)`)

func expectedValue(goType string) string {
	switch goType {
	case "string":
		return "a quoted string"
	case "int", "int64":
		return "an integer"
	}
	return "a duration such as \"250ms\""
}

func (c *collector) addUnknownKeys(strict *toml.StrictMissingError) {
	if strict == nil {
		return
	}
	for _, e := range strict.Errors {
		row, _ := e.Position()
		c.problems = append(c.problems, Problem{Line: row, Key: strings.Join(e.Key(), "."), What: "is not a setting; remove it or correct its name"})
	}
}
