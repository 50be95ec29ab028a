// Package stand2 plays the scripted cases of the review: stand-ins of the platform's store, of
// targets and of clients, against daemons that run as processes of their own. It consists of test
// files, which belong to no product, and is built by build-2.sh as a test program.
//
// Usage: stand2 CASE RECORD, in the root of the repository. TROUBLE=0 leaves the disruption out.
package stand2

import (
	"fmt"
	"os"
	"testing"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// result is the result of a case.
type result struct {
	broken bool
	text   string
}

// trouble reports whether the disruption takes place.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

var cases = map[string]func(*record) (result, error){
	"leave":  playLeave,
	"former": playFormer,
	"quota":  playQuota,
	"entry":  playEntry,
}

// TestMain plays a case in place of tests.
func TestMain(*testing.M) { os.Exit(play()) }

// play plays the case that the arguments name, and returns the exit code.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	res, err := cases[os.Args[1]](rec)
	if err != nil {
		rec.event("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	verdict, code := "the rule held", exitHeld
	if res.broken {
		verdict, code = "the rule was broken", exitBroken
	}
	rec.event("%s: %s", verdict, res.text)
	fmt.Printf("%s: %s\n", verdict, res.text)
	return code
}
