package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/tarragonreach/tarragonreach/entry/host"
	"github.com/tarragonreach/tarragonreach/entry/logging"
	"github.com/tarragonreach/tarragonreach/platform/nodefile"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:        "serve",
		Usage:       "run jobs on the operators' machines",
		Description: "Reads the settings file that the platform names in " + nodefile.EnvironmentVariable + ".",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "reject-late", Usage: "reject jobs of tenants at once that would start too late, with 429 and Retry-After"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runServe(ctx, host.Options{RejectLate: c.Bool("reject-late")})
		},
	}
}

// runServe runs until SIGTERM or SIGINT. On SIGHUP it only checks the settings file.
func runServe(ctx context.Context, options host.Options) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	node, err := nodefile.Load()
	if err != nil {
		return err
	}
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close()
	logger := slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{ReplaceAttr: logging.BoundText})).With("instance", string(node.ID), "zone", string(node.Zone))
	app := host.New(node, options, logger)
	if err := app.Start(ctx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	awaitStop(signals, logger)
	stopCtx, cancel := context.WithTimeout(ctx, node.ShutdownGrace)
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		logger.Error("shutdown incomplete", "error", err)
	}
	return nil
}

// awaitStop returns on the first signal other than SIGHUP.
func awaitStop(signals <-chan os.Signal, logger *slog.Logger) {
	for s := range signals {
		if s != syscall.SIGHUP {
			logger.Info("shutdown signal received", "signal", s.String())
			return
		}
		recheckSettings(logger)
	}
}

// recheckSettings checks the settings file again and logs the result. Addresses and
// limits take effect only when the process starts.
func recheckSettings(logger *slog.Logger) {
	node, err := nodefile.Load()
	if err != nil {
		logger.Error("settings check failed", "error", err)
		return
	}
	logger.Info("settings check passed; changes take effect at the next start", "store", node.StoreAddress, "zone", string(node.Zone))
}
