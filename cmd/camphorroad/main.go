// Command camphorroad is the daemon that runs beside each upstream instance, and
// the tool that its operators use.
package main

import (
	"os"

	"camphorroad/command"
)

func main() { os.Exit(command.RunProcess(os.Args[1:])) }
