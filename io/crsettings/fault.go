package crsettings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// keyIndex finds the line of a key, so that a fault of meaning, which the
// decoder does not see, still names its line.
type keyIndex map[string]int

func bytesReader(b []byte) io.Reader { return bytes.NewReader(b) }

func newKeyIndex(b []byte) keyIndex {
	at := make(keyIndex)
	section := ""
	counts := make(map[string]int)
	for i, line := range strings.Split(string(b), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			name := strings.Trim(line, "[] ")
			section = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			at[section] = i + 1
		case strings.HasPrefix(line, "["):
			section = strings.Trim(line, "[] ")
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

func (at keyIndex) fault(key, what string) error {
	if line, ok := at[key]; ok {
		return fmt.Errorf("line %d: %s %s", line, key, what)
	}
	return fmt.Errorf("%s %s", key, what)
}

func decodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var errs []error
		for _, e := range strict.Errors {
			row, _ := e.Position()
			errs = append(errs, fmt.Errorf("line %d: %s is no setting; remove it or mend its name", row, strings.Join(e.Key(), ".")))
		}
		return errors.Join(errs...)
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		row, col := dec.Position()
		return fmt.Errorf("line %d, column %d: %s", row, col, dec.Error())
	}
	return err
}
