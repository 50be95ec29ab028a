// Command camphorroad is the daemon that runs beside each upstream instance, and
// the tool that its operators use.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"camphorroad/command"
	"camphorroad/command/factory"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, factory.System(), os.Args[1:])
	stop()
	os.Exit(code)
}
