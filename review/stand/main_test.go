// Package stand holds stand-ins of clients, targets and the platform, and the cases of the
// review that are scripts. Its test binary runs one case:
//
//	CASE=health OUT=review/1 ROOT=. stand
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package stand

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// outcome says whether a rule was broken, and what was seen.
type outcome struct {
	broken bool
	seen   string
}

func TestMain(_ *testing.M) {
	cases := map[string]func(root string, trouble bool) (*fleet, outcome, error){
		"health": runHealth, "restart": runRestart, "memory": runMemory,
	}
	run, ok := cases[os.Getenv("CASE")]
	if !ok {
		fmt.Fprintln(os.Stderr, "CASE names no case")
		os.Exit(2)
	}
	root, err := filepath.Abs(os.Getenv("ROOT"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	f, out, err := run(root, os.Getenv("TROUBLE") != "0")
	if f != nil {
		f.stop()
		f.record.add("%s", out.seen)
		if writeErr := f.record.write(filepath.Join(os.Getenv("OUT"), "record.txt")); err == nil {
			err = writeErr
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	fmt.Println(out.seen)
	if out.broken {
		os.Exit(1)
	}
	os.Exit(0)
}
