package crpolicyfile

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is a line and column of a file, from 1; zero: unknown.
type position struct{ line, column int }

// index maps a key such as route[2].timeout to its position, so that a problem of a value
// that was decoded but is out of range has a position, too.
type index struct {
	positions  map[string]position
	lineStarts []int // offsets
}

func newIndex(data []byte) index {
	ix := index{positions: make(map[string]position), lineStarts: findLineStarts(data)}
	counts := make(map[string]int)
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		node := p.Expression()
		path, offset := keyOf(node)
		switch node.Kind {
		case unstable.Table:
			table = path
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", path, counts[path])
			counts[path]++
		case unstable.KeyValue:
			ix.positions[join(table, path)] = ix.position(offset)
			continue
		default:
			continue
		}
		ix.positions[table] = ix.position(offset)
	}
	return ix
}

func findLineStarts(data []byte) []int {
	starts := []int{0}
	for i, b := range data {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// keyOf returns the dotted key of an expression, and its offset.
func keyOf(node *unstable.Node) (string, int) {
	if node.Kind != unstable.Table && node.Kind != unstable.ArrayTable && node.Kind != unstable.KeyValue {
		return "", 0
	}
	var parts []string
	offset := -1
	for it := node.Key(); it.Next(); {
		if offset < 0 {
			offset = int(it.Node().Raw.Offset)
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), max(offset, 0)
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

func (ix index) position(offset int) position {
	line := sort.Search(len(ix.lineStarts), func(i int) bool { return ix.lineStarts[i] > offset })
	return position{line: line, column: offset - ix.lineStarts[line-1] + 1}
}

func (ix index) has(key string) bool {
	_, ok := ix.positions[key]
	return ok
}

// find returns the position of a key, or of the innermost table around it if the key is
// missing.
func (ix index) find(key string) position {
	for key != "" {
		if pos, ok := ix.positions[key]; ok {
			return pos
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return position{line: 1, column: 1}
}
