// Command topazhollowctl is the command-line client for operators, users and build tools. internal/cli implements it.
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
