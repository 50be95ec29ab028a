package crsettings_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"camphorroad/io/crsettings"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// The golden file beside each settings file under testdata holds all problems that
// Load reports for it, or ok.
func TestLoadReportsAllProblems(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) < 5 {
		t.Fatalf("%d files: %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			got := "ok\n"
			if _, err := crsettings.Load(file); err != nil {
				got = err.Error() + "\n"
			}
			golden := strings.TrimSuffix(file, ".toml") + ".golden"
			if *update {
				if err := os.WriteFile(golden, []byte(got), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if got != string(want) {
				t.Errorf("differs from %s:\n%s", golden, got)
			}
		})
	}
}

// collectDefaults adds each key of the settings in v to out, with its default in
// the form that docs/operate/settings.md uses.
func collectDefaults(v reflect.Value, prefix string, out map[string]string) {
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag.Get("toml")
		field := v.Field(i)
		_, text := field.Interface().(fmt.Stringer)
		switch {
		case field.Kind() == reflect.Slice:
			collectDefaults(reflect.New(field.Type().Elem()).Elem(), prefix+tag+".", out)
		case field.Kind() == reflect.Struct && !text:
			collectDefaults(field, prefix+tag+".", out)
		case field.IsZero():
			out[prefix+tag] = ""
		default:
			out[prefix+tag] = fmt.Sprintf("`%v`", field.Interface())
		}
	}
}

var settingRow = regexp.MustCompile("(?m)^\\| `([a-z.]+)` \\| ([^|]*) \\|")

// docs/operate/settings.md must list every setting with its default.
func TestSettingsPageIsComplete(t *testing.T) {
	page, err := os.ReadFile("../../docs/operate/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	want := make(map[string]string)
	collectDefaults(reflect.ValueOf(crsettings.Defaults()), "", want)
	documented := make(map[string]bool)
	for _, cells := range settingRow.FindAllStringSubmatch(string(page), -1) {
		key, value := cells[1], cells[2]
		documented[key] = true
		def, ok := want[key]
		switch {
		case !ok:
			t.Errorf("the page lists %s, which is not a setting", key)
		case def == "" && value != "required" && value != "none":
			t.Errorf("the page lists the default %s for %s, which has none", value, key)
		case def != "" && value != def:
			t.Errorf("the page lists the default %s for %s, want %s", value, key, def)
		}
	}
	for key := range want {
		if !documented[key] {
			t.Errorf("the page does not list %s", key)
		}
	}
}
