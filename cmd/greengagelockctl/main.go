// Command greengagelockctl is the command-line tool for operators: it checks files, plans and applies
// configurations, and shows the state of the system.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/greengagelock/greengagelock/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
