// Command camphorroad runs the daemon beside each upstream instance, and provides the
// commands for its operators.
package main

import (
	"os"

	"camphorroad/command"
)

func main() { os.Exit(command.RunProcess(os.Args[1:])) }
