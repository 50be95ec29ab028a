package crpolicyfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is an error in a policy file, with a hint on how to correct it.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`   // from 1; zero: the whole file
	Column int    `json:"column"` // from 1, in bytes
	Key    string `json:"key"`    // such as route[2].timeout, with indexes from zero
	What   string `json:"what"`
	Hint   string `json:"hint"`
}

// Error returns the problem on one line.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s; %s", p.File, p.Line, p.Column, p.Key, p.What, p.Hint)
}

// Problems holds all problems, sorted by file, line and column.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.Error())
	}
	return strings.Join(lines, "\n")
}

// err returns the sorted problems as an error, nil for none.
func (ps Problems) err() error {
	if len(ps) == 0 {
		return nil
	}
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return ps
}
