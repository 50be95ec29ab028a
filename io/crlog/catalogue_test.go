package crlog_test

import (
	"bytes"
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"camphorroad/io/crlog"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const page = "../../docs/events.md"

func TestEventsPageIsCurrent(t *testing.T) {
	var b bytes.Buffer
	if err := crlog.Markdown(&b); err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(page, b.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, b.Bytes()) {
		t.Error("docs/events.md differs from the catalogue; run go test ./io/crlog -update")
	}
}

func TestCatalogueIsOrderedAndComplete(t *testing.T) {
	last := 0
	for _, e := range crlog.Catalogue() {
		if e.Number <= last {
			t.Errorf("event %d follows %d", e.Number, last)
		}
		last = e.Number
		for _, cell := range []string{e.Name, e.Cause, e.Effect, e.Action} {
			if cell == "" || strings.ContainsAny(cell, "|\n") {
				t.Errorf("event %d has a cell that is empty or breaks the table: %q", e.Number, cell)
			}
		}
		if e.Level < crlog.LevelDebug || e.Level > crlog.LevelError {
			t.Errorf("event %d has an invalid level", e.Number)
		}
	}
}

// An event without an entry is logged as a bare number. The constants are read
// from the source of core/, so that a new one cannot be missed.
func TestEveryCoreEventIsCatalogued(t *testing.T) {
	known := make(map[int]bool)
	for _, e := range crlog.Catalogue() {
		known[e.Number] = true
	}
	numbers := coreEventNumbers(t)
	if len(numbers) < 30 {
		t.Fatalf("found only %d event constants in core", len(numbers))
	}
	for name, n := range numbers {
		if !known[n] {
			t.Errorf("%s = %d is not in the catalogue", name, n)
		}
	}
}

var eventName = regexp.MustCompile(`^(Event|Number)[A-Z]`)

// coreEventNumbers returns the values of the constants EventX and NumberX of the
// packages under core/, by name.
func coreEventNumbers(t *testing.T) map[string]int {
	t.Helper()
	files, err := filepath.Glob("../../core/*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	numbers := make(map[string]int)
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if spec, ok := n.(*ast.ValueSpec); ok {
				addEventNumbers(numbers, file.Name.Name, spec)
			}
			return true
		})
	}
	return numbers
}

func addEventNumbers(numbers map[string]int, pkg string, spec *ast.ValueSpec) {
	for i, name := range spec.Names {
		if !eventName.MatchString(name.Name) || i >= len(spec.Values) {
			continue
		}
		if lit, ok := spec.Values[i].(*ast.BasicLit); ok && lit.Kind == token.INT {
			n, _ := strconv.Atoi(lit.Value)
			numbers[pkg+"."+name.Name] = n
		}
	}
}
