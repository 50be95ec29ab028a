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
	known := map[string]bool{"crevent.Received": true, "crconfig.Read": true, "crconfig.ListRead": true}
	for typ := range c.kinds {
		known[typ.String()] = true
	}
	events := coreEvents(t)
	if len(events) < 8 {
		t.Fatalf("only %d events were found in core", len(events))
	}
	for _, name := range events {
		if !known[name] {
			t.Errorf("%s is not recorded", name)
		}
	}
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
