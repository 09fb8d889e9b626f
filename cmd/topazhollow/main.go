// Command topazhollow runs a controller of the cluster scheduler.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"topazhollow"
	"topazhollow/internal/settings"
)

var cli struct {
	Config  string           `required:"" placeholder:"FILE" help:"Settings file (JSON) provided by the platform."`
	Script  string           `placeholder:"FILE" help:"Starlark script with the operator's options (see README)."`
	Check   bool             `help:"Check the settings and the script, then exit."`
	Version kong.VersionFlag `help:"Print the version, then exit."`
}

func main() {
	kong.Parse(&cli,
		kong.Name("topazhollow"),
		kong.Description("A cluster scheduler whose controllers replicate job progress among themselves."),
		kong.Vars{"version": topazhollow.Version})
	log, err := newLogger(os.Getenv("LOG_LEVEL"))
	if err != nil {
		fail(err)
	}
	s, err := settings.Load(cli.Config)
	if err != nil {
		fail(err)
	}
	options, err := settings.LoadScript(cli.Script)
	if err != nil {
		fail(err)
	}
	if cli.Check {
		fmt.Println("ok")
		return
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	if err := topazhollow.Run(ctx, s, options, log); err != nil {
		log.Error("controller failed", "err", err)
		os.Exit(1)
	}
}

// newLogger returns a logger for a value of LOG_LEVEL.
func newLogger(level string) (*slog.Logger, error) {
	var l slog.Level
	switch level {
	case "", "info":
	case "error":
		l = slog.LevelError
	case "debug":
		l = slog.LevelDebug
	default:
		return nil, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", level)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l})), nil
}

// fail prints an error of the configuration and exits with status 2.
func fail(err error) {
	fmt.Fprintln(os.Stderr, "topazhollow:", err)
	os.Exit(2)
}
