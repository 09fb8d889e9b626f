// Command topaz is the deprecated name of topazhollowctl. It will be removed in the version after 0.1.0.
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
