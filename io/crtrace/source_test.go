package crtrace

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// An event that the codec does not know stops the trace of a daemon in service,
// just when somebody wants it. The events are read from the source, so that a new
// one can not be forgotten. Notices come from the reducers and are not recorded.
func TestEveryEventOfCoreIsRecorded(t *testing.T) {
	c, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{"crevent.Received": true, "crconfig.ReadResult": true, "crconfig.ListResult": true}
	for typ := range c.kinds {
		known[typ.String()] = true
	}
	recorded := reached(t, "crdaemon")
	events := slices.DeleteFunc(coreEvents(t), func(name string) bool {
		pkg, _, _ := strings.Cut(name, ".")
		return unrecorded[pkg] && !recorded[pkg]
	})
	if len(events) < 8 {
		t.Fatalf("only %d events were found in core", len(events))
	}
	for _, name := range events {
		if !known[name] {
			t.Errorf("%s is not recorded", name)
		}
	}
}

// unrecorded names the packages of reducers that run without a recorder. Their
// events cannot come into a trace as long as the recorded root reducer,
// core/crdaemon, reaches none of them.
var unrecorded = map[string]bool{"crmesh": true}

// reached returns the packages of core that a package imports, at any depth.
func reached(t *testing.T, root string) map[string]bool {
	t.Helper()
	out := make(map[string]bool)
	for open := []string{root}; len(open) > 0; open = open[1:] {
		if out[open[0]] {
			continue
		}
		out[open[0]] = true
		open = append(open, coreImports(t, open[0])...)
	}
	return out
}

func coreImports(t *testing.T, pkg string) []string {
	t.Helper()
	files, err := filepath.Glob("../../core/" + pkg + "/*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("core/%s: no files (%v)", pkg, err)
	}
	var out []string
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, imp := range file.Imports {
			if dep, ok := strings.CutPrefix(strings.Trim(imp.Path.Value, `"`), "camphorroad/core/"); ok && !strings.HasSuffix(name, "_test.go") {
				out = append(out, dep)
			}
		}
	}
	return out
}

// coreEvents finds the types of core that have the method At and not EffectName.
func coreEvents(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("../../core/*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	at, effect := make(map[string]bool), make(map[string]bool)
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, decl := range file.Decls {
			fn, ok := decl.(*ast.FuncDecl)
			if !ok || fn.Recv == nil {
				continue
			}
			receiver, ok := fn.Recv.List[0].Type.(*ast.Ident)
			if !ok {
				continue
			}
			switch fn.Name.Name {
			case "At":
				at[file.Name.Name+"."+receiver.Name] = true
			case "EffectName":
				effect[file.Name.Name+"."+receiver.Name] = true
			}
		}
	}
	maps.DeleteFunc(at, func(name string, _ bool) bool { return effect[name] })
	return slices.Sorted(maps.Keys(at))
}
