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

// An event type without a kind of record ends the recording of a running daemon. The types are read from the
// source, so that new ones are covered. Effects that one reducer passes to another as events are not recorded.
func TestEveryCoreEventIsRecorded(t *testing.T) {
	c, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	recordedTypes := map[string]bool{"crevent.Received": true, "crconfig.ReadResult": true, "crconfig.ListResult": true}
	for typ := range c.kindByType {
		recordedTypes[typ.String()] = true
	}
	recorded := coreDependencies(t, "crdaemon")
	events := slices.DeleteFunc(coreEvents(t), func(name string) bool {
		pkg, _, _ := strings.Cut(name, ".")
		return withoutRecorder[pkg] && !recorded[pkg]
	})
	if len(events) < 8 {
		t.Fatalf("only %d events were found in core", len(events))
	}
	for _, name := range events {
		if !recordedTypes[name] {
			t.Errorf("%s is not recorded", name)
		}
	}
}

// withoutRecorder lists packages of reducers that run without a recorder. Their
// events cannot occur in a trace as long as the recorded root reducer,
// core/crdaemon, does not import them.
var withoutRecorder = map[string]bool{"crmesh": true}

// coreDependencies returns a package and the packages of core that it imports,
// directly or indirectly.
func coreDependencies(t *testing.T, root string) map[string]bool {
	t.Helper()
	out := make(map[string]bool)
	for queue := []string{root}; len(queue) > 0; queue = queue[1:] {
		if out[queue[0]] {
			continue
		}
		out[queue[0]] = true
		queue = append(queue, coreImports(t, queue[0])...)
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

// coreEvents returns the types of core that have a method At but no EffectName.
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
