// Command topazhollowctl is the command line for operators, users and build tools. What it does is in internal/cli.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"topazhollow/internal/cli"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := cli.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	cancel()
	os.Exit(code)
}
