package crpolicyfile

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is a place in a file, from 1; zero for unknown.
type position struct{ line, column int }

// index maps a key such as route[2].timeout to where it stands, so that a value
// that decoded well but is out of range can still be pointed at.
type index struct {
	places map[string]position
	lines  []int // offset of each line's start
}

func newIndex(data []byte) index {
	ix := index{places: make(map[string]position), lines: lineStarts(data)}
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
			ix.places[join(table, path)] = ix.position(offset)
			continue
		default:
			continue
		}
		ix.places[table] = ix.position(offset)
	}
	return ix
}

func lineStarts(data []byte) []int {
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
	line := sort.Search(len(ix.lines), func(i int) bool { return ix.lines[i] > offset })
	return position{line: line, column: offset - ix.lines[line-1] + 1}
}

func (ix index) has(key string) bool {
	_, ok := ix.places[key]
	return ok
}

// find returns the place of a key, else of the nearest table around it: a
// missing key has no place of its own.
func (ix index) find(key string) position {
	for key != "" {
		if at, ok := ix.places[key]; ok {
			return at
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return position{line: 1, column: 1}
}
