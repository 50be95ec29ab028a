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

var update = flag.Bool("update", false, "write the golden files anew")

const page = "../../docs/events.md"

func TestCataloguePageIsCurrent(t *testing.T) {
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

func TestCatalogueIsInOrderAndComplete(t *testing.T) {
	last := 0
	for _, e := range crlog.Catalogue() {
		if e.Number <= last {
			t.Errorf("%d stands after %d", e.Number, last)
		}
		last = e.Number
		for _, cell := range []string{e.Name, e.Cause, e.Notice, e.Action} {
			if cell == "" || strings.ContainsAny(cell, "|\n") {
				t.Errorf("%d has an empty cell or one that breaks the table: %q", e.Number, cell)
			}
		}
		if e.Level < crlog.LevelDebug || e.Level > crlog.LevelError {
			t.Errorf("%d has no level", e.Number)
		}
	}
}

// A reducer that reports a number which nobody has described leaves whoever is
// on call with a bare number. The constants are read from the source, so that a
// new one can not be forgotten.
func TestEveryCoreEventIsCatalogued(t *testing.T) {
	known := make(map[int]bool)
	for _, e := range crlog.Catalogue() {
		known[e.Number] = true
	}
	numbers := coreNumbers(t)
	if len(numbers) < 30 {
		t.Fatalf("only %d event constants were found in core", len(numbers))
	}
	for name, n := range numbers {
		if !known[n] {
			t.Errorf("%s = %d is not in the catalogue", name, n)
		}
	}
}

var eventName = regexp.MustCompile(`^(Event|Number)[A-Z]`)

// coreNumbers finds the constants EventX and NumberX of the core packages.
func coreNumbers(t *testing.T) map[string]int {
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
				collect(numbers, file.Name.Name, spec)
			}
			return true
		})
	}
	return numbers
}

func collect(numbers map[string]int, pkg string, spec *ast.ValueSpec) {
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
