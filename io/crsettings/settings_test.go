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

var update = flag.Bool("update", false, "write the golden files anew")

// Each file under testdata is loaded; its golden file holds all that is wrong
// with it, or that it is right.
func TestFaultsAreToldAtOnce(t *testing.T) {
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

// settingsOf returns each key of the settings with its default, as the page
// writes it.
func settingsOf(v reflect.Value, prefix string, out map[string]string) {
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag.Get("toml")
		field := v.Field(i)
		_, text := field.Interface().(fmt.Stringer)
		switch {
		case field.Kind() == reflect.Slice:
			settingsOf(reflect.New(field.Type().Elem()).Elem(), prefix+tag+".", out)
		case field.Kind() == reflect.Struct && !text:
			settingsOf(field, prefix+tag+".", out)
		case field.IsZero():
			out[prefix+tag] = ""
		default:
			out[prefix+tag] = fmt.Sprintf("`%v`", field.Interface())
		}
	}
}

var row = regexp.MustCompile("(?m)^\\| `([a-z.]+)` \\| ([^|]*) \\|")

// A setting that the page does not tell, or tells with another default, misleads
// whoever writes settings.
func TestPageTellsEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/operate/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	want := make(map[string]string)
	settingsOf(reflect.ValueOf(crsettings.Defaults()), "", want)
	told := make(map[string]bool)
	for _, cells := range row.FindAllStringSubmatch(string(page), -1) {
		key, value := cells[1], cells[2]
		told[key] = true
		def, ok := want[key]
		switch {
		case !ok:
			t.Errorf("the page tells %s, which is no setting", key)
		case def == "" && value != "required" && value != "none":
			t.Errorf("the page tells the default %s of %s, which has none", value, key)
		case def != "" && value != def:
			t.Errorf("the page tells the default %s of %s instead of %s", value, key, def)
		}
	}
	for key := range want {
		if !told[key] {
			t.Errorf("the page does not tell %s", key)
		}
	}
}
