package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/tarragonreach/tarragonreach/cmd/usage"
	"github.com/tarragonreach/tarragonreach/entry/dev"
)

// minDuration leaves the scenario of a development run room to act.
const minDuration = 2 * time.Second

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a small fleet with stand-ins in one process and send it a mixed load",
		Description: "Without --duration the fleet stays up after the load until interrupted. Exits 0 only if every " +
			"request was answered or honestly refused and nothing ran twice against its class.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "length of the load; ends by itself afterwards"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON summary on standard output"},
			&cli.StringFlag{Name: "log-level", Value: "warn", Usage: "debug, info, warn or error"},
		},
		Action: runDev,
	}
}

func runDev(ctx context.Context, cmd *cli.Command) error {
	duration := cmd.Duration("duration")
	if cmd.IsSet("duration") && duration < minDuration {
		return usage.Errorf("--duration %s: want at least %s", duration, minDuration)
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	o := dev.Options{
		Duration: duration, Stay: duration == 0, JSON: cmd.Bool("json"), Out: cmd.Root().Writer,
		LogOutput: os.Stderr, LogLevel: cmd.String("log-level"),
	}
	if duration == 0 {
		o.Duration = dev.DefaultDuration
	}
	err := dev.Run(ctx, o)
	if o.Stay && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
